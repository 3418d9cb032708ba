package retry_test

import (
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/core/retry"
)

// TestShareBudgetHoldsInEveryWindow simulates a service that fails all requests, so that a retry is requested for each of them.
func TestShareBudgetHoldsInEveryWindow(t *testing.T) {
	const (
		ratio  = 0.2
		window = 10 * time.Second
		step   = 10 * time.Millisecond
	)
	b := retry.NewShareBudget(ratio)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var taken []time.Time
	requests := 0
	for at := start; at.Before(start.Add(3 * window)); at = at.Add(step) {
		b.OnRequest(at)
		requests++
		if b.Take(at) {
			taken = append(taken, at)
		}
	}
	if len(taken) == 0 {
		t.Fatal("no retry was allowed")
	}
	perWindow := float64(window / step)
	for i, from := range taken {
		n := 0
		for _, at := range taken[i:] {
			if at.Sub(from) < window {
				n++
			}
		}
		if float64(n) > ratio*perWindow+2 {
			t.Fatalf("got %d retries in the window that starts at %v, want at most %v", n, from.Sub(start), ratio*perWindow+2)
		}
	}
}

func TestShareBudgetAllowsAFewWithoutTraffic(t *testing.T) {
	b := retry.NewShareBudget(0.2)
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	n := 0
	for b.Take(at) {
		n++
	}
	if n == 0 || n > 3 {
		t.Errorf("got %d retries without any request, want 1 to 3, because the sum over all processes counts", n)
	}
	if !b.Take(at.Add(time.Minute)) {
		t.Error("no retry allowed after the window has passed")
	}
}
