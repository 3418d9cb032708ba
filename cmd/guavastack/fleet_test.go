package main

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/guavastack/guavastack/internal/adminclient"
	"github.com/guavastack/guavastack/internal/platform"
)

const (
	callerCount  = 6
	callerTokens = 300
)

// TestPlannedStopCutsNothing gives one of two backend servers back while both answer. The platform kills the agent and
// takes the engine away as soon as the order arrives.
func TestPlannedStopCutsNothing(t *testing.T) {
	c := newCluster(t, 2)
	for _, name := range []string{"engine-1", "engine-2"} {
		c.Platform.Adopt(platform.Server{ID: name, Model: "m", Zone: "a", PricePerHour: 1})
	}
	load := newCallers(c)
	c.until("both servers at work", func() bool { return c.running("engine-1") > 0 && c.running("engine-2") > 0 })
	_, err := c.Admin().PutFleetSettings(context.Background(),
		`{"pools": [{"model": "m", "zones": ["a"], "manual": {"a": 1}}]}`, adminclient.Options{IfMatch: "*"})
	c.must(err)
	c.until("one server", func() bool { return len(c.Platform.Servers()) == 1 })
	stopped := "engine-1"
	if c.Platform.Servers()[0].ID == stopped {
		stopped = "engine-2"
	}
	c.Kill(stopped)
	c.Engines[stopped].Crash()
	before := load.done.Load()
	c.until("answers after the stop", func() bool { return load.done.Load() >= before+2*callerCount })
	load.end()
	if load.failed.Load() > 0 || load.done.Load() == 0 {
		t.Errorf("%d of %d answers failed, the first: %+v", load.failed.Load(), load.done.Load(), load.first.Load())
	}
	if v := c.Platform.Record().Violations; len(v) > 0 {
		t.Errorf("the platform saw: %v", v)
	}
	t.Logf("%d answers, %d failed", load.done.Load(), load.failed.Load())
}

// running returns what runs at a backend server, as registered.
func (c *cluster) running(id string) uint32 {
	list, err := c.Admin().Backends(context.Background())
	if err != nil {
		return 0
	}
	for _, b := range list.Backends {
		if b.ID == id {
			return b.Running
		}
	}
	return 0
}

// callers ask for answers one after another.
type callers struct {
	stop         chan struct{}
	running      sync.WaitGroup
	done, failed atomic.Int64
	first        atomic.Pointer[reply] // of the failures
}

func newCallers(c *cluster) *callers {
	l := &callers{stop: make(chan struct{})}
	for range callerCount {
		l.running.Go(func() {
			for {
				select {
				case <-l.stop:
					return
				default:
				}
				r := c.chat("entry-1", callerTokens)
				l.done.Add(1)
				if !r.ok {
					l.failed.Add(1)
					l.first.CompareAndSwap(nil, &r)
				}
			}
		})
	}
	return l
}

func (l *callers) end() {
	close(l.stop)
	l.running.Wait()
}
