package gateway

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/guavastack/guavastack/internal/core/poison"
	"github.com/guavastack/guavastack/internal/wait"
)

const (
	// maxKnownParts bounds the prompt parts of which answers are remembered.
	maxKnownParts = 4096
	// answerReportDelay bounds the random delay of a report on answered parts. One gateway's report makes those of the others needless.
	answerReportDelay = 300 * time.Millisecond
	// partReportTimeout bounds one attempt to report on prompt parts.
	partReportTimeout = 2 * time.Second
	// partReportRetry is the pause after a report that was not accepted.
	partReportRetry = 250 * time.Millisecond
	// maxPendingCrashes bounds the crashes that wait for their report, while the control group can't be reached.
	maxPendingCrashes = 64
)

// PromptParts is the gateway's view of the parts of prompts under which backend servers crash.
type PromptParts interface {
	// PromptParts returns the newest list received. It is immutable.
	PromptParts() *poison.List
	// OnPromptParts sets a function that runs after each change of the list.
	OnPromptParts(f func())
	// ReportPromptParts commits observations on prompt parts. They may be committed twice without harm.
	ReportPromptParts(ctx context.Context, report poison.Command) error
}

// promptParts reports to the control group under which parts of prompts servers crashed, and which suspected parts were answered. It
// is safe for concurrent use.
type promptParts struct {
	group  PromptParts
	wall   func() time.Time // wall-clock time on which the processes agree
	logger *slog.Logger
	wake   chan struct{} // receives a value when there may be something to report

	mu      sync.Mutex
	answers *simplelru.LRU[uint64, time.Time] // of the parts of which an answer has begun: when one was last complete; zero: not yet
	listed  poison.FirstSeen
	blocked map[uint64]bool      // parts last logged as blocked
	crashes []poison.ServerCrash // not reported yet
}

func newPromptParts(group PromptParts, wall func() time.Time, logger *slog.Logger) *promptParts {
	answers, err := simplelru.NewLRU[uint64, time.Time](maxKnownParts, nil)
	if err != nil {
		panic(err) // the size is positive
	}
	return &promptParts{
		group: group, wall: wall, logger: logger, wake: make(chan struct{}, 1),
		answers: answers, listed: make(poison.FirstSeen), blocked: make(map[uint64]bool),
	}
}

// recordCrash queues the report of a crash.
func (p *promptParts) recordCrash(c crash) {
	if len(c.parts) == 0 {
		return
	}
	report := poison.ServerCrash{Crash: poison.Crash{Server: c.server.ID + "/" + c.server.Incarnation, AtMS: p.wall().UnixMilli()}}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range slices.Sorted(maps.Keys(c.parts)) {
		_, begun := p.answers.Peek(part)
		report.Parts = append(report.Parts, poison.CrashedPart{Part: part, Depth: c.parts[part], Begun: begun})
	}
	p.crashes = append(p.crashes, report)
	p.crashes = p.crashes[max(0, len(p.crashes)-maxPendingCrashes):]
	p.signal()
}

// recordBegun records that the answer to a request with the given parts has begun.
func (p *promptParts) recordBegun(parts []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range parts {
		if _, known := p.answers.Get(part); !known {
			p.answers.Add(part, time.Time{})
		}
	}
}

// recordAnswered records that a request with the given parts was answered completely.
func (p *promptParts) recordAnswered(now time.Time, parts []uint64) {
	list := p.group.PromptParts()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range parts {
		p.answers.Add(part, now)
		if list.Find(part) != nil {
			p.signal()
		}
	}
}

// signal wakes run.
func (p *promptParts) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// listChanged records when parts were first listed, and logs which are blocked.
func (p *promptParts) listChanged() {
	list := p.group.PromptParts()
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listed.Update(list, now)
	p.logBlocked(list)
	if len(list.Suspects) > 0 {
		p.signal()
	}
}

// logBlocked logs which parts became blocked or are no longer. It must be called with mu locked.
func (p *promptParts) logBlocked(list *poison.List) {
	for i := range list.Suspects {
		s := &list.Suspects[i]
		if s.IsBlocked() && !p.blocked[s.Part] {
			p.blocked[s.Part] = true
			p.logger.Warn("requests with a prompt part are refused", "part", poison.Format(s.Part), "list_version", list.Version)
		}
	}
	for part := range p.blocked {
		if s := list.Find(part); s == nil || !s.IsBlocked() {
			delete(p.blocked, part)
			p.logger.Info("requests with a prompt part are served again", "part", poison.Format(part), "list_version", list.Version)
		}
	}
}

// run sends reports until ctx ends.
func (p *promptParts) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		}
		if !p.hasCrashes() && !wait.For(ctx, rand.N(answerReportDelay)) {
			return
		}
		report := p.nextReport()
		if report.IsEmpty() {
			continue
		}
		if err := p.send(ctx, report); err != nil {
			p.logger.Warn("report on prompt parts not accepted", "error", err, "crashes", len(report.Crashes))
			p.requeue(report.Crashes)
			wait.For(ctx, partReportRetry)
		}
	}
}

func (p *promptParts) send(ctx context.Context, report poison.Command) error {
	ctx, cancel := context.WithTimeout(ctx, partReportTimeout)
	defer cancel()
	return p.group.ReportPromptParts(ctx, report)
}

func (p *promptParts) hasCrashes() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.crashes) > 0
}

// nextReport returns what the control group does not know yet: queued crashes, and the listed parts that were answered.
func (p *promptParts) nextReport() poison.Command {
	list := p.group.PromptParts()
	p.mu.Lock()
	defer p.mu.Unlock()
	report := poison.Command{Crashes: p.crashes}
	p.crashes = nil
	for i := range list.Suspects {
		s := &list.Suspects[i]
		answered, begun := p.answers.Peek(s.Part)
		switch {
		case !begun:
		case p.isAnsweredSinceListed(s.Part, answered):
			report.Answered = append(report.Answered, s.Part)
		case !s.Begun && !s.IsBlocked():
			report.Begun = append(report.Begun, s.Part)
		}
	}
	return report
}

func (p *promptParts) isAnsweredSinceListed(part uint64, at time.Time) bool {
	since, ok := p.listed[part]
	return ok && at.After(since)
}

// requeue puts back the crashes of a report that was not accepted.
func (p *promptParts) requeue(crashes []poison.ServerCrash) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashes = append(crashes, p.crashes...)
	p.signal()
}

// refusal returns the refusal of a request with a blocked part, or nil.
func (p *promptParts) refusal(parts []uint64) *refusal {
	s := p.group.PromptParts().Blocked(parts)
	if s == nil {
		return nil
	}
	ref := notRun(http.StatusServiceUnavailable, "prompt_part_blocked", "backend servers crash under requests with part "+poison.Format(s.Part)+" of the prompt")
	ref.retryAfter = max(0, time.UnixMilli(s.BlockedAtMS).Add(poison.BlockTime).Sub(p.wall()))
	return ref
}

// blockedCount returns the number of blocked parts.
func (p *promptParts) blockedCount() int64 {
	var n int64
	list := p.group.PromptParts()
	for i := range list.Suspects {
		if list.Suspects[i].IsBlocked() {
			n++
		}
	}
	return n
}
