package control

import (
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// TestColdTimeInDigests checks what another member is told of a cold server: the remaining time less the time for which it was held, in
// full reports and renewals, a full report for each change, and none for a time that elapses.
func TestColdTimeInDigests(t *testing.T) {
	s := New(Config{Group: soloGroup{}})
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(d) }
	var have peerState
	steps := []struct {
		name      string
		at        time.Duration
		reported  int64 // cold time that the server reports, ms
		sequence  uint64
		full      bool // the digest has the full report, not a renewal
		remaining int64
	}{
		{"registers warm", 0, 0, 1, true, 0},
		{"turns cold", 2 * time.Second, 20_000, 2, true, 20_000},
		{"is still cold", 4 * time.Second, 18_000, 3, false, 18_000},
		{"jitter of a report", 6 * time.Second, 16_200, 4, false, 16_000},
		{"an older report that it is warm", 8 * time.Second, 0, 1, false, 14_000},
		{"cold for longer", 10 * time.Second, 30_000, 5, true, 30_000},
		{"warm early", 12 * time.Second, 0, 6, true, 0},
		{"above an hour", 14 * time.Second, 7_200_000, 7, true, 3_600_000},
		{"cold for a short time", 16 * time.Second, 1000, 8, true, 1000},
		{"has elapsed", 18 * time.Second, 0, 9, false, 0},
		{"negative", 20 * time.Second, -5, 10, false, 0},
	}
	for _, step := range steps {
		s.soft.putBackend(&controlpb.BackendServer{
			Id: "a", Incarnation: "1", StartedMs: 1, Sequence: step.sequence, Lifecycle: "ready", ColdRemainingMs: step.reported,
		}, at(step.at), true)
		d, next := s.digest(have, at(step.at))
		have = next
		if got := len(d.Backends) == 1; got != step.full {
			t.Errorf("%s: full report %v, want %v", step.name, got, step.full)
			continue
		}
		var got int64
		switch {
		case step.full:
			got = d.Backends[0].ColdRemainingMs
		case len(d.Renewals) == 1:
			got = d.Renewals[0].ColdRemainingMs
		default:
			continue // an older report renews nothing
		}
		if got != step.remaining {
			t.Errorf("%s: remaining %d ms, want %d", step.name, got, step.remaining)
		}
	}
	s.soft.putBackend(&controlpb.BackendServer{
		Id: "a", Incarnation: "2", StartedMs: 2, Sequence: 1, Lifecycle: "ready", ColdRemainingMs: 5000,
	}, at(21*time.Second), true)
	if d, _ := s.digest(peerState{}, at(22*time.Second)); d.Backends[0].ColdRemainingMs != 4000 {
		t.Errorf("full report of the next incarnation after 1 s: %d ms, want 4000", d.Backends[0].ColdRemainingMs)
	}
	if route.MaxCold != time.Hour {
		t.Error("the longest cold time is not an hour")
	}
}

// TestRenewalHidesNoColdReport guards against a member that takes a server for warm because the renewal by one member arrived before the
// report that another member sends: that report would then be older than the renewal.
func TestRenewalHidesNoColdReport(t *testing.T) {
	cases := []struct {
		name      string
		sequence  uint64
		remaining int64
		renews    bool
	}{
		{"turned cold", 10, 30_000, false},
		{"no change", 10, 0, true},
		{"a difference by the time that digests take", 10, 400, true},
		{"of an older report", 7, 30_000, true},
	}
	for _, c := range cases {
		s := New(Config{Group: soloGroup{}}).soft
		now := time.Now()
		report := func(sequence uint64, remaining int64) {
			s.putBackend(&controlpb.BackendServer{
				Id: "a", Incarnation: "1", StartedMs: 1, Sequence: sequence, Lifecycle: "ready", ColdRemainingMs: remaining,
			}, now, false)
		}
		report(8, 0)
		renewal := &controlpb.Renewal{
			Id: "a", Incarnation: "1", Lifecycle: "ready", Sequence: c.sequence, ColdRemainingMs: c.remaining,
		}
		if got := s.renew(renewal, now, now); got != c.renews {
			t.Errorf("%s: renewed %v, want %v", c.name, got, c.renews)
		}
		if c.renews {
			continue
		}
		report(9, 31_000)
		if got := s.cold.remainingMS("a", now); got != 31_000 {
			t.Errorf("%s: cold for %d ms after the report that was under way, want 31000", c.name, got)
		}
	}
}
