package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"
)

// result is what a run showed.
type result struct {
	plan           Plan
	err            error // the run could not be played
	broken         []broken
	undone         []undone
	promotions     []promotion
	served, failed int64
	took           time.Duration
}

// series runs plans, several at the same time.
type series struct {
	program program
	bound   time.Duration
	out     string // directory for the records of broken seeds
	jobs    int
	start   time.Time

	mu      sync.Mutex
	results []result
}

func (s *series) run(ctx context.Context, plans []Plan) {
	var jobs errgroup.Group
	jobs.SetLimit(s.jobs)
	for _, plan := range plans {
		jobs.Go(func() error {
			if ctx.Err() != nil {
				return nil
			}
			res := s.play(ctx, plan)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.results = append(s.results, res)
			fmt.Println(res)
			return nil
		})
	}
	_ = jobs.Wait()
}

// play plays one plan and keeps its records if it is broken.
func (s *series) play(ctx context.Context, plan Plan) (res result) {
	res.plan = plan
	start := time.Now()
	defer func() { res.took = time.Since(start) }()
	rec := &record{}
	sys, err := newSystem(plan, s.program, rec)
	if err != nil {
		res.err = err
		return res
	}
	defer sys.deleteFiles()
	l := &ledger{}
	r := &run{plan: plan, bound: s.bound, sys: sys, record: rec, ledger: l}
	r.watch = &watcher{sys: sys, ledger: l, report: r.fail}
	res.err = r.play(ctx)
	sys.close()
	res.served, res.failed = r.watch.served.Load(), r.watch.failed.Load()
	if err := res.readLogs(sys); err != nil && res.err == nil {
		res.err = err
	}
	if n := len(res.undone); n > 0 {
		u := res.undone[0]
		r.fail(brokenMembership, fmt.Sprintf("%d times, first %s (%s), leader %.1f s old", n, u.Member, u.Reason, u.LeaderAge.Seconds()))
	}
	res.broken = r.broken
	if len(res.broken) > 0 || res.err != nil {
		if err := s.keep(sys); err != nil && res.err == nil {
			res.err = err
		}
	}
	return res
}

// readLogs fills in what the logs of the control members show.
func (res *result) readLogs(sys *system) error {
	lines, err := readControlLogs(sys.dir)
	if err != nil {
		return err
	}
	names, addresses := make(map[string]string), make(map[string]string)
	for _, m := range sys.machines {
		a := address(m, internalPort)
		names[a], addresses[m.name] = m.name, a
	}
	events := sys.record.all()
	res.undone = undoneChanges(lines, events, names)
	res.promotions = promotions(lines, events, addresses)
	return nil
}

// keep copies the schedule, the settings and the logs of a run.
func (s *series) keep(sys *system) error {
	dir := filepath.Join(s.out, fmt.Sprintf("seed-%d", sys.plan.Seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errors.Trace(err)
	}
	for _, pattern := range []string{"*.log", "*.json"} {
		files, err := filepath.Glob(filepath.Join(sys.dir, pattern))
		if err != nil {
			return errors.Trace(err)
		}
		for _, file := range files {
			data, err := os.ReadFile(file)
			if err != nil {
				return errors.Trace(err)
			}
			if err := os.WriteFile(filepath.Join(dir, filepath.Base(file)), data, 0o600); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return sys.record.write(filepath.Join(dir, "schedule.jsonl"), sys.plan)
}

// String returns the line of a run.
func (res result) String() string {
	verdict := "ok"
	if res.err != nil {
		verdict = fmt.Sprintf("NOT RUN (%v)", res.err)
	}
	if len(res.broken) > 0 {
		var texts []string
		for _, b := range res.broken {
			texts = append(texts, fmt.Sprintf("%s: %s", b.Kind, b.Detail))
		}
		verdict = "BROKEN (" + strings.Join(texts, "; ") + ")"
	}
	return fmt.Sprintf("seed %d  %s  %s, undone %d, votes %s, served %d of %d, %.0f s", res.plan.Seed, verdict, res.plan, len(res.undone),
		describeVotes(res.promotions), res.served, res.served+res.failed, res.took.Seconds())
}
