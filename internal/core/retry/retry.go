// Package retry decides whether an entry sends a request again, and when.
//
// Only entries retry. A Budget is not safe for concurrent use.
package retry

import (
	"time"

	"github.com/guavastack/guavastack/internal/core/verdict"
)

const (
	// SuccessShare is the number of retries that one success pays for.
	SuccessShare = 0.1
	// MaxTokens bounds the retries saved up by successes; a budget starts with as many.
	MaxTokens = 10
)

// Budget is a token bucket that successes fill and retries drain.
type Budget struct {
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: MaxTokens} }

// OnSuccess credits one success.
func (b *Budget) OnSuccess() { b.tokens = min(MaxTokens, b.tokens+SuccessShare) }

// take draws one retry.
func (b *Budget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Config bounds the tries of one request.
type Config struct {
	MaxPlacements int           // dispatches after which a refused request is given up
	BaseBackoff   time.Duration // mean wait before the first retry of a failure; doubles with each
	MaxBackoff    time.Duration
	MinRemaining  time.Duration // time to the deadline below which no further try is made
}

// DefaultConfig holds the values used where the settings give none.
var DefaultConfig = Config{
	MaxPlacements: 32,
	BaseBackoff:   20 * time.Millisecond,
	MaxBackoff:    time.Second,
	MinRemaining:  5 * time.Millisecond,
}

// Attempt is how the last try of a request ended.
type Attempt struct {
	Refused    bool // the agent did not take it or gave it back; otherwise it failed
	Verdict    verdict.Verdict
	Repeatable bool
	Delivered  bool // bytes of the answer have reached the caller

	Placements  int       // dispatches so far, this one included
	Failures    int       // failed tries so far, this one included
	MaxAttempts int       // upper bound on tries that may have run; 0 counts as 1
	Deadline    time.Time // zero: none
}

// Reason says why a request is not sent again.
type Reason uint8

const (
	// MayHaveRun: sending again could run it twice.
	MayHaveRun Reason = iota + 1
	// Exhausted: the attempts or placements are used up.
	Exhausted
	// NoBudget: too few requests succeed to pay for another retry.
	NoBudget
	// NoTime: the deadline is too near.
	NoTime
)

// Decision says whether to send a request again.
type Decision struct {
	Again     bool
	After     time.Duration // wait before sending
	Remaining time.Duration // to pass on as the deadline, after the wait; zero: none
	Reason    Reason        // without Again
}

// Next decides on a request whose last try has ended. random is uniform in [0, 1).
//
// A refused request did not run and costs the backend servers next to nothing, so that it goes on to the next candidate
// at once and outside the budget; otherwise retries of a low tier would use up what a high tier needs to find its place.
func (c Config) Next(now time.Time, a Attempt, b *Budget, random float64) Decision {
	if !a.Verdict.MayRepeat(a.Repeatable, a.Delivered) {
		return Decision{Reason: MayHaveRun}
	}
	if a.Placements >= c.MaxPlacements {
		return Decision{Reason: Exhausted}
	}
	placedOn := a.Refused && a.Verdict == verdict.NotRun
	if !placedOn && a.Failures >= max(1, a.MaxAttempts) {
		return Decision{Reason: Exhausted}
	}
	after := time.Duration(0)
	if !placedOn {
		after = c.backoff(a.Failures, random)
	}
	remaining, ok := c.remaining(now.Add(after), a.Deadline)
	if !ok {
		return Decision{Reason: NoTime}
	}
	if !placedOn && !b.take() {
		return Decision{Reason: NoBudget}
	}
	return Decision{Again: true, After: after, Remaining: remaining}
}

// backoff is uniform between zero and twice the mean wait, which doubles with each failure.
func (c Config) backoff(failures int, random float64) time.Duration {
	mean := c.BaseBackoff
	for i := 1; i < failures && mean < c.MaxBackoff; i++ {
		mean *= 2
	}
	return time.Duration(random * float64(min(2*mean, c.MaxBackoff)))
}

// remaining is the time to the deadline, and whether it is enough for another try.
func (c Config) remaining(at, deadline time.Time) (time.Duration, bool) {
	if deadline.IsZero() {
		return 0, true
	}
	left := deadline.Sub(at)
	return left, left >= c.MinRemaining
}
