package process

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/guavastack/guavastack/internal/replica"
	"github.com/guavastack/guavastack/internal/wal/waltest"
)

// noopStateMachine is a state machine without state that accepts every command.
type noopStateMachine struct{}

func (noopStateMachine) Apply(uint64, []byte) (json.RawMessage, error) { return nil, nil }
func (noopStateMachine) Snapshot() ([]byte, error)                     { return nil, nil }
func (noopStateMachine) Restore([]byte) error                          { return nil }

// TestAppliedContinuesAfterConcurrentCommands applies more commands at once than a subscription can buffer. If the
// subscription ended on overflow, the control service would serve an outdated version of the settings forever.
func TestAppliedContinuesAfterConcurrentCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, err := replica.Open(replica.Config{
			ID: 1, Members: []replica.Member{{ID: 1}}, DataDir: "data", FS: waltest.New(),
		}, noopStateMachine{})
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		go func() { _ = r.Run(ctx) }()
		defer func() { stop(); _ = r.Close() }()
		events, cancel := controlGroup{Replica: r}.Applied()
		defer cancel()
		time.Sleep(time.Second)

		var callers sync.WaitGroup
		for range 50 {
			callers.Go(func() { _, _ = r.Propose(ctx, []byte("x")) })
		}
		callers.Wait()
		time.Sleep(time.Second)
		<-events // all events so far are merged into one
		if _, err := r.Propose(ctx, []byte("y")); err != nil {
			t.Fatal(err)
		}
		select {
		case <-events:
		case <-time.After(time.Minute):
			t.Error("no event within a minute for a command that followed a burst")
		}
	})
}
