// Package retry decides whether and when a request is retried.
//
// Entries use Config.Next with a Budget, gateways use a ShareBudget. Agents do not retry. A Budget is not safe for concurrent use.
package retry

import (
	"time"

	"github.com/guavastack/guavastack/internal/core/verdict"
)

const (
	// SuccessShare is the number of retries that one success adds to a budget.
	SuccessShare = 0.1
	// MaxTokens is the capacity of a budget, in retries; a new budget is full.
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

// take removes one retry from the budget. It returns false if there is none.
func (b *Budget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Config bounds the attempts of a request.
type Config struct {
	MaxDispatches int           // maximum number of dispatches, including refused ones
	BaseBackoff   time.Duration // mean wait after the first failure; doubles with each further one
	MaxBackoff    time.Duration
	MinRemaining  time.Duration // minimum time to the deadline for another attempt
}

// DefaultConfig holds the values used if the settings give none.
var DefaultConfig = Config{
	MaxDispatches: 32,
	BaseBackoff:   20 * time.Millisecond,
	MaxBackoff:    time.Second,
	MinRemaining:  5 * time.Millisecond,
}

// Attempt describes how the last attempt of a request ended.
type Attempt struct {
	Refused    bool // the agent refused or returned it; otherwise it failed
	Verdict    verdict.Verdict
	Repeatable bool
	Delivered  bool // bytes of the answer have reached the caller

	Dispatches  int       // dispatches so far, including this one
	Failures    int       // failed attempts so far, including this one
	MaxAttempts int       // maximum number of attempts that may have run; 0 counts as 1
	Deadline    time.Time // zero: none
}

// Reason is why a request is not retried.
type Reason uint8

const (
	// MayHaveRun: a retry could run the request twice.
	MayHaveRun Reason = iota + 1
	// Exhausted: the attempts or dispatches are used up.
	Exhausted
	// NoBudget: the retry budget is used up.
	NoBudget
	// NoTime: the deadline is too near.
	NoTime
)

// Decision is whether and when to retry a request.
type Decision struct {
	Again     bool
	After     time.Duration // wait before the retry
	Remaining time.Duration // time to the deadline after the wait; zero: no deadline
	Reason    Reason        // set unless Again
}

// Next decides on a request whose last attempt has ended. random is uniform in [0, 1).
//
// A refused request has not run and costs the backend servers almost nothing, so it goes to the next candidate at once and without
// using the budget; otherwise retries of a low tier would exhaust the budget that a high tier needs to be placed.
func (c Config) Next(now time.Time, a Attempt, b *Budget, random float64) Decision {
	if !a.Verdict.MayRepeat(a.Repeatable, a.Delivered) {
		return Decision{Reason: MayHaveRun}
	}
	if a.Dispatches >= c.MaxDispatches {
		return Decision{Reason: Exhausted}
	}
	refusedNotRun := a.Refused && a.Verdict == verdict.NotRun
	if !refusedNotRun && a.Failures >= max(1, a.MaxAttempts) {
		return Decision{Reason: Exhausted}
	}
	after := time.Duration(0)
	if !refusedNotRun {
		after = c.backoff(a.Failures, random)
	}
	remaining, ok := c.remaining(now.Add(after), a.Deadline)
	if !ok {
		return Decision{Reason: NoTime}
	}
	if !refusedNotRun && !b.take() {
		return Decision{Reason: NoBudget}
	}
	return Decision{Again: true, After: after, Remaining: remaining}
}

// backoff returns a wait between zero and twice the mean, proportional to random; the mean doubles with each failure. The wait is
// at most MaxBackoff.
func (c Config) backoff(failures int, random float64) time.Duration {
	mean := c.BaseBackoff
	for i := 1; i < failures && mean < c.MaxBackoff; i++ {
		mean *= 2
	}
	return time.Duration(random * float64(min(2*mean, c.MaxBackoff)))
}

// remaining returns the time to the deadline, and whether it is enough for another attempt.
func (c Config) remaining(at, deadline time.Time) (time.Duration, bool) {
	if deadline.IsZero() {
		return 0, true
	}
	untilDeadline := deadline.Sub(at)
	return untilDeadline, untilDeadline >= c.MinRemaining
}
