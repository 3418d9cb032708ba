package process

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/core/claim"
	"github.com/guavastack/guavastack/internal/core/state"
	"github.com/guavastack/guavastack/internal/replica"
)

// TestAppliedContinuesAfterBurst proposes more commands at once than a subscription can buffer, and checks that commands
// after the burst still cause events.
func TestAppliedContinuesAfterBurst(t *testing.T) {
	s, err := NewState()
	if err != nil {
		t.Fatal(err)
	}
	self := replica.Member{ID: 1, Address: "127.0.0.1:1"}
	r, err := replica.Open(replica.Config{GroupID: 1, ID: 1, Members: []replica.Member{self}, DataDir: t.TempDir(), MinFreeBytes: 1}, s.Machine)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = r.Run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait(); _ = r.Close() })
	g := controlGroup{Replica: r, self: self}
	events, stop := g.Applied()
	t.Cleanup(stop)

	data, err := json.Marshal(state.Command{Module: claim.ModuleName, Body: json.RawMessage(`{"op": "expire"}`)})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := g.ReadIndex(ctx); err != nil { // returns once there is a leader
		t.Fatal(err)
	}
	propose := func() {
		if _, err := g.Propose(ctx, data); err != nil {
			t.Error(err)
		}
	}
	var burst sync.WaitGroup
	const commands = 256 // more than a subscription can buffer
	for range commands {
		burst.Go(propose)
	}
	burst.Wait()
	const pendingEvents = 2 // events of the burst that may still be pending
	for range pendingEvents + 2 {
		propose()
		select {
		case <-events:
		case <-time.After(time.Minute): // fails instead of hanging
			t.Fatal("no event for an applied command within a minute")
		}
	}
}
