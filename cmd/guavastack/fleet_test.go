package main

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/guavastack/guavastack/internal/adminclient"
	"github.com/guavastack/guavastack/internal/platformclient"
)

const (
	callerCount  = 6
	callerTokens = 300
)

// TestScaleDownInterruptsNoResponse stops one of two backend servers by the fleet's settings while both run requests. The test
// kills the agent and the engine as soon as the platform has stopped the server, so the server must be drained before the order.
func TestScaleDownInterruptsNoResponse(t *testing.T) {
	c := newCluster(t, 2)
	for _, name := range []string{"engine-1", "engine-2"} {
		c.Platform.AddServer(platformclient.Server{ID: name, Model: "m", Zone: "a", PricePerHour: 1})
	}
	load := startChatLoad(c)
	c.waitUntil("requests at both servers", func() bool { return c.runningRequests("engine-1") > 0 && c.runningRequests("engine-2") > 0 })
	_, err := c.Admin().PutFleetSettings(context.Background(),
		`{"pools": [{"model": "m", "zones": ["a"], "manual": {"a": 1}}]}`, adminclient.Options{IfMatch: "*"})
	c.must(err)
	c.waitUntil("stop of one server", func() bool { return len(c.Platform.Servers()) == 1 })
	stopped := "engine-1"
	if c.Platform.Servers()[0].ID == stopped {
		stopped = "engine-2"
	}
	c.Kill(stopped)
	c.Engines[stopped].Crash()
	before := load.done.Load()
	c.waitUntil("responses after the stop", func() bool { return load.done.Load() >= before+2*callerCount })
	load.stopAndWait()
	if load.failed.Load() > 0 || load.done.Load() == 0 {
		t.Errorf("%d of %d requests failed, want none of at least one; first failure: %+v", load.failed.Load(), load.done.Load(), load.firstFailure.Load())
	}
	if v := c.Platform.Record().Violations; len(v) > 0 {
		t.Errorf("got violations %v at the platform, want none", v)
	}
	t.Logf("%d requests, %d failed", load.done.Load(), load.failed.Load())
}

// runningRequests returns the number of running requests that a backend server last reported, or 0 if it isn't registered.
func (c *cluster) runningRequests(id string) uint32 {
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

// chatLoad is a number of callers that each send chat requests one after another.
type chatLoad struct {
	stop         chan struct{}
	running      sync.WaitGroup
	done, failed atomic.Int64
	firstFailure atomic.Pointer[response]
}

func startChatLoad(c *cluster) *chatLoad {
	l := &chatLoad{stop: make(chan struct{})}
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
					l.firstFailure.CompareAndSwap(nil, &r)
				}
			}
		})
	}
	return l
}

func (l *chatLoad) stopAndWait() {
	close(l.stop)
	l.running.Wait()
}
