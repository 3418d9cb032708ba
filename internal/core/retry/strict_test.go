package retry_test

import (
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/core/retry"
)

// TestStrictShareBudget guards against extra work without requests, and above the share of the requests of the window.
func TestStrictShareBudget(t *testing.T) {
	b := retry.NewStrictShareBudget(0.1)
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	if b.Allows(at) || b.Take(at) {
		t.Error("extra work is allowed without requests")
	}
	for range 99 {
		b.OnRequest(at)
	}
	taken := 0
	for b.Allows(at) {
		if !b.Take(at) {
			t.Fatal("Take refuses what Allows allows")
		}
		taken++
	}
	if taken != 9 {
		t.Errorf("%d allowed for 99 requests, want 9", taken)
	}
	if b.Take(at.Add(time.Minute)) {
		t.Error("requests count after the window has passed")
	}
}

// TestStrictShareBudgetHoldsAcrossSlots guards against extra work that is forgotten up to half a second too early: those at the end of a slot
// count until 10 s have passed.
func TestStrictShareBudgetHoldsAcrossSlots(t *testing.T) {
	const ratio = 0.1
	b := retry.NewStrictShareBudget(ratio)
	slotStart := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for range 100 {
		b.OnRequest(slotStart)
	}
	for b.Take(slotStart.Add(499 * time.Millisecond)) {
		continue
	}
	later := slotStart.Add(10_100 * time.Millisecond)
	for range 50 {
		b.OnRequest(later)
	}
	if b.Take(later) {
		t.Errorf("extra work is allowed for 50 requests although 10 were used 9.6 s before, want at most the share %v", ratio)
	}
}
