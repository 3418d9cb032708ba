package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"
)

// breakKind is an invariant that was broken.
type breakKind string

const (
	brokenRead       breakKind = "read older or changed"
	brokenAnswer     breakKind = "answer changed"
	brokenRevocation breakKind = "former key served"
	brokenTwice      breakKind = "request run twice"
	brokenAfterLoss  breakKind = "no new version after a loss"
	brokenForce      breakKind = "version not in force"
	brokenRecovery   breakKind = "not read back after the final fault"
	brokenService    breakKind = "not served after the final fault"
	brokenMembership breakKind = "membership change undone"
)

// pollPause is the time between two tries of a call.
const pollPause = 100 * time.Millisecond

// outageKinds are those of a service that is lost.
var outageKinds = []breakKind{brokenAfterLoss, brokenForce, brokenRecovery, brokenService}

// broken is an invariant that was broken in a run.
type broken struct {
	Kind   breakKind `json:"kind"`
	Detail string    `json:"detail"`
}

// run is one run of a plan: the first start and a first configuration, the rounds of losses, each followed by a new configuration that must
// be acknowledged and in force, the final fault, and the reading back. A watcher reads and sends requests all the while.
type run struct {
	plan    Plan
	bound   time.Duration
	sys     *system
	record  *record
	ledger  *ledger
	watch   *watcher
	backend *backend

	mu     sync.Mutex
	broken []broken
}

// fail adds a broken invariant, each kind once.
func (r *run) fail(kind breakKind, detail string) {
	r.record.event("broken", "", string(kind), ": ", detail)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.broken {
		if b.Kind == kind {
			return
		}
	}
	r.broken = append(r.broken, broken{kind, detail})
}

func (r *run) isBroken() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.broken) > 0
}

// play plays the plan. An error means that the run could not be played.
func (r *run) play(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	var err error
	if r.backend, err = startBackend(ctx, r.sys); err != nil {
		return err
	}
	defer r.backend.close()
	if err := r.begin(ctx); err != nil {
		return errors.Annotate(err, "first start")
	}
	var watchers sync.WaitGroup
	watchCtx, stop := context.WithCancel(ctx)
	for _, f := range []func(context.Context){r.watch.reads, r.watch.clients, r.watch.formerKeys} {
		watchers.Go(func() { f(watchCtx) })
	}
	err = r.series(ctx)
	stop()
	watchers.Wait()
	if id := r.backend.twice(); id != "" {
		r.fail(brokenTwice, id)
	}
	return err
}

// begin starts all machines and sends the first configuration.
func (r *run) begin(ctx context.Context) error {
	for _, m := range r.sys.current() {
		if err := r.sys.startMachine(m); err != nil {
			return err
		}
	}
	version, err := r.order(ctx, time.Now().Add(firstTimeout))
	if err != nil {
		return err
	}
	missing, err := r.awaitForce(ctx, version, time.Now().Add(firstTimeout))
	if err == nil && missing != "" {
		err = errors.Errorf("version %d not in force: %s", version, missing)
	}
	return err
}

// series plays the rounds and the final fault, until an invariant is broken.
func (r *run) series(ctx context.Context) error {
	if err := sleep(ctx, r.plan.Calm); err != nil {
		return err
	}
	for i, round := range r.plan.Rounds {
		if err := r.round(ctx, i+1, round); err != nil || r.isBroken() {
			return err
		}
	}
	return r.final(ctx)
}

// round plays one round: the losses, a configuration and the time to catch up.
func (r *run) round(ctx context.Context, number int, round Round) error {
	r.record.event("round", "", fmt.Sprint(number))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events := r.disturb(ctx, round)
	acks := r.orderBehind(ctx)
	if err := events.Wait(); err != nil {
		return err
	}
	calmSince := time.Now()
	var version int
	select {
	case version = <-acks:
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	case <-time.After(r.bound):
		r.fail(brokenAfterLoss, fmt.Sprintf("round %d: not within %v", number, r.bound))
		return nil
	}
	missing, err := r.awaitForce(ctx, version, time.Now().Add(r.bound))
	if err != nil {
		return err
	}
	if missing != "" {
		r.fail(brokenForce, fmt.Sprintf("round %d: version %d: %s", number, version, missing))
		return nil
	}
	return sleep(ctx, time.Until(calmSince.Add(round.Calm)))
}

// disturb starts the losses and the pause of a round. It returns when all members of the round are lost.
func (r *run) disturb(ctx context.Context, round Round) *errgroup.Group {
	var events errgroup.Group
	var hit sync.WaitGroup
	for _, l := range round.Losses {
		hit.Add(1)
		events.Go(func() error { return r.lose(ctx, l, hit.Done) })
	}
	if p := round.Pause; p != nil {
		events.Go(func() error {
			if err := sleep(ctx, p.After); err != nil {
				return err
			}
			r.sys.pause(r.sys.member(p.Member), p.Length)
			return nil
		})
	}
	hit.Wait()
	return &events
}

// orderBehind orders the next version until ctx is done, and sends its number when it is acknowledged.
func (r *run) orderBehind(ctx context.Context) <-chan int {
	acks := make(chan int, 1)
	go func() {
		if version, err := r.order(ctx, time.Time{}); err == nil {
			acks <- version
		}
	}()
	return acks
}

// lose plays one loss. It calls hit when the member is lost, and returns when its successor has been started.
func (r *run) lose(ctx context.Context, l Loss, hit func()) error {
	var once sync.Once
	defer once.Do(hit)
	old := r.sys.member(l.Member)
	if l.Kind == Planned {
		if err := r.sys.startMachine(r.sys.addMember(l.Successor)); err != nil {
			return err
		}
		if err := sleep(ctx, l.Delay); err != nil {
			return err
		}
		once.Do(hit)
		r.sys.remove(old)
		r.sys.terminateMachine(old)
		return nil
	}
	r.sys.killMachine(old)
	once.Do(hit)
	if l.Kind == Replaced {
		r.sys.remove(old)
	}
	if l.Kind == Emptied {
		if err := r.sys.emptyDisk(old); err != nil {
			return err
		}
	}
	if err := sleep(ctx, l.Delay); err != nil {
		return err
	}
	if l.Kind == Replaced {
		old = r.sys.addMember(l.Successor)
	}
	return r.sys.startMachine(old)
}

// final plays the final fault right after an acknowledgement.
func (r *run) final(ctx context.Context) error {
	version, err := r.order(ctx, time.Now().Add(r.bound))
	if ctx.Err() != nil {
		return errors.Trace(ctx.Err())
	}
	if err != nil {
		r.fail(brokenAfterLoss, fmt.Sprintf("before the final fault: %v", err))
		return nil
	}
	r.record.event("kill all", "")
	r.sys.killAll()
	killed := time.Now()
	for _, number := range r.plan.Final.Emptied {
		if err := r.sys.emptyDisk(r.sys.member(number)); err != nil {
			return err
		}
	}
	var starts errgroup.Group
	for i, m := range r.restartOrder() {
		starts.Go(func() error {
			if err := sleep(ctx, time.Until(killed.Add(r.plan.Final.Delays[i]))); err != nil {
				return err
			}
			return r.sys.startMachine(m)
		})
	}
	if err := starts.Wait(); err != nil {
		return err
	}
	return r.recover(ctx, version, time.Now().Add(r.bound))
}

// restartOrder returns the machines that run at the end: the members, then the instances.
func (r *run) restartOrder() []*machine {
	var members []*machine
	for _, m := range r.sys.current() {
		if m.hasDisk {
			members = append(members, m)
		}
	}
	return append(members, r.sys.instances...)
}

// recover checks that the configuration is read back and served within the bound, and watches on for a while.
func (r *run) recover(ctx context.Context, version int, end time.Time) error {
	got, err := r.readBack(ctx, end)
	if err != nil {
		return err
	}
	if got < version {
		r.fail(brokenRecovery, fmt.Sprintf("version %d within %v: got %d", version, r.bound, got))
		return nil
	}
	r.record.event("read back", "", fmt.Sprint(got))
	missing, err := r.awaitForce(ctx, version, end)
	if err != nil {
		return err
	}
	if missing != "" {
		r.fail(brokenService, fmt.Sprintf("version %d not in force within %v: %s", version, r.bound, missing))
		return nil
	}
	return sleep(ctx, contactTime)
}

// readBack reads the configuration at one machine after another until one answers, and returns its version, or 0 at the end.
func (r *run) readBack(ctx context.Context, end time.Time) (int, error) {
	for time.Now().Before(end) {
		for _, m := range r.sys.current() {
			if version := r.watch.read(m); version > 0 {
				return version, nil
			}
		}
		if err := sleep(ctx, pollPause); err != nil {
			return 0, err
		}
	}
	return 0, nil
}

// awaitForce waits until all instances serve what only a version has. At the end it returns which one doesn't.
func (r *run) awaitForce(ctx context.Context, version int, end time.Time) (missing string, err error) {
	for {
		missing = r.watch.notInForce(version)
		if missing == "" {
			r.record.event("in force", "", fmt.Sprint(version))
			return "", nil
		}
		if time.Now().After(end) {
			return missing, nil
		}
		if err := sleep(ctx, pollPause); err != nil {
			return missing, err
		}
	}
}

// order sends the next version to one machine of the operator's list after another until one acknowledges it. A zero end means no end.
func (r *run) order(ctx context.Context, end time.Time) (version int, err error) {
	version = r.ledger.next()
	body, err := json.Marshal(newDocument(version))
	if err != nil {
		return 0, errors.Trace(err)
	}
	r.record.event("order", "", fmt.Sprint(version))
	last := ""
	for end.IsZero() || time.Now().Before(end) {
		machines := r.sys.listed(time.Now())
		m := machines[rand.IntN(len(machines))]
		status, _, err := callControl(http.MethodPost, address(m, operatorPort), pathReplace, body)
		if err == nil && status == http.StatusOK {
			r.ledger.acknowledge(version, r.record.event("acknowledged", m.name, fmt.Sprint(version)))
			return version, nil
		}
		last = fmt.Sprintf("%s: status %d, error %v", m.name, status, err)
		if err := sleep(ctx, pollPause); err != nil {
			return 0, errors.Annotate(err, last)
		}
	}
	return 0, errors.Errorf("version %d not acknowledged: %s", version, last)
}
