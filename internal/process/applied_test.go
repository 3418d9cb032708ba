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

// nothing is a state machine without state.
type nothing struct{}

func (nothing) Apply(uint64, []byte) (json.RawMessage, error) { return nil, nil }
func (nothing) Snapshot() ([]byte, error)                     { return nil, nil }
func (nothing) Restore([]byte) error                          { return nil }

// TestAppliedGoesOnAfterManyCommandsAtOnce applies more commands at once than a subscription would hold. The events
// must go on: a hub that stops hearing of them serves an old version of the settings for ever.
func TestAppliedGoesOnAfterManyCommandsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, err := replica.Open(replica.Config{
			ID: 1, Members: []replica.Member{{ID: 1}}, DataDir: "data", FS: waltest.New(),
		}, nothing{})
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
		<-events // collapsed into one
		if _, err := r.Propose(ctx, []byte("y")); err != nil {
			t.Fatal(err)
		}
		select {
		case <-events:
		case <-time.After(time.Minute):
			t.Error("no event for a command after many at once")
		}
	})
}
