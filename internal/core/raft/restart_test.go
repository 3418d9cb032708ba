package raft

import (
	"testing"
	"time"
)

// TestLeaderSoonAfterAllRestart checks that a leader is elected soon after a power loss, when the members restart one after the
// other. No request can be served before.
func TestLeaderSoonAfterAllRestart(t *testing.T) {
	const (
		restartInterval = 150 * time.Millisecond // between the restarts of two members
		bound           = simLease + 2*simHeartbeat
	)
	for seed := uint64(1); seed <= 40; seed++ {
		w := newSimulation(seed, 3)
		w.hasBoundedDelay = true
		w.run(5 * time.Second)
		if w.leader() == nil {
			t.Fatalf("seed %d: no leader before the restart", seed)
		}
		for _, id := range w.ids {
			w.stop(id)
		}
		w.run(time.Second)
		for i, id := range w.ids {
			if i > 0 {
				w.run(restartInterval)
			}
			w.restart(id)
		}
		w.run(bound)
		if w.leader() == nil {
			t.Errorf("seed %d: no leader %v after the last member restarted", seed, bound)
		}
		if len(w.violations) > 0 {
			t.Fatalf("seed %d: want no violations, got:\n%s", seed, w.report())
		}
	}
}
