package retry

import (
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/core/verdict"
)

var epoch = time.Unix(1_700_000_000, 0)

func TestNext(t *testing.T) {
	soon, late := epoch.Add(time.Second), epoch.Add(time.Millisecond)
	failed := func(change func(a *Attempt)) Attempt {
		a := Attempt{Verdict: verdict.MayHaveRun, Repeatable: true, Dispatches: 1, Failures: 1, MaxAttempts: 3, Deadline: soon}
		if change != nil {
			change(&a)
		}
		return a
	}
	refused := func(a *Attempt) { a.Refused, a.Verdict, a.Failures = true, verdict.NotRun, 0 }
	tests := []struct {
		name    string
		attempt Attempt
		empty   bool // the budget is empty
		want    bool
		reason  Reason
	}{
		{"repeatable failure", failed(nil), false, true, 0},
		{"may have run and not repeatable", failed(func(a *Attempt) { a.Repeatable = false }), false, false, MayHaveRun},
		{"ran and not repeatable", failed(func(a *Attempt) { a.Repeatable, a.Verdict = false, verdict.Ran }), false, false, MayHaveRun},
		{"proved not run", failed(func(a *Attempt) { a.Repeatable, a.Verdict = false, verdict.NotRun }), false, true, 0},
		{"partly delivered", failed(func(a *Attempt) { a.Delivered = true }), false, false, MayHaveRun},
		{"attempts used up", failed(func(a *Attempt) { a.Failures = 3 }), false, false, Exhausted},
		{"one attempt by default", failed(func(a *Attempt) { a.MaxAttempts = 0 }), false, false, Exhausted},
		{"no budget", failed(nil), true, false, NoBudget},
		{"deadline too near", failed(func(a *Attempt) { a.Deadline = late }), false, false, NoTime},
		{"no deadline", failed(func(a *Attempt) { a.Deadline = time.Time{} }), false, true, 0},
		{"refused needs no budget", failed(refused), true, true, 0},
		{"refused too often", failed(func(a *Attempt) { refused(a); a.Dispatches = DefaultConfig.MaxDispatches }), false, false, Exhausted},
		{"refused at the deadline", failed(func(a *Attempt) { refused(a); a.Deadline = late }), false, false, NoTime},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := NewBudget()
			if tt.empty {
				b = &Budget{}
			}
			got := DefaultConfig.Next(epoch, tt.attempt, b, 0.5)
			if got.Again != tt.want || got.Reason != tt.reason {
				t.Errorf("got %+v, want again %v, reason %d", got, tt.want, tt.reason)
			}
			if got.Again && !tt.attempt.Deadline.IsZero() && got.Remaining != tt.attempt.Deadline.Sub(epoch)-got.After {
				t.Errorf("got remaining %v, want the time to the deadline minus the wait of %v", got.Remaining, got.After)
			}
			if got.Again && tt.attempt.Refused && got.After != 0 {
				t.Errorf("a refused request waits %v, want 0", got.After)
			}
		})
	}
}

func TestBudgetBoundsRetriesByShareOfSuccesses(t *testing.T) {
	b := NewBudget()
	a := Attempt{Verdict: verdict.MayHaveRun, Repeatable: true, Dispatches: 1, Failures: 1, MaxAttempts: 2}
	retries := 0
	const successes = 10_000
	for range successes {
		b.OnSuccess()
		for range MaxTokens + 1 {
			if DefaultConfig.Next(epoch, a, b, 0).Again {
				retries++
			}
		}
	}
	if want := int(successes * SuccessShare); retries < want-1 || retries > want+MaxTokens {
		t.Errorf("got %d retries for %d successes, want a tenth of them", retries, successes)
	}
}

func TestBackoff(t *testing.T) {
	c := Config{BaseBackoff: 10 * time.Millisecond, MaxBackoff: 100 * time.Millisecond}
	tests := []struct {
		failures int
		random   float64
		want     time.Duration
	}{
		{1, 0, 0},
		{1, 0.5, 10 * time.Millisecond},
		{2, 0.5, 20 * time.Millisecond},
		{3, 0.5, 40 * time.Millisecond},
		{9, 0.5, 50 * time.Millisecond},
		{90, 1, 100 * time.Millisecond},
	}
	for _, tt := range tests {
		if got := c.backoff(tt.failures, tt.random); got != tt.want {
			t.Errorf("backoff(%d, %v) = %v, want %v", tt.failures, tt.random, got, tt.want)
		}
	}
}
