package agent

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/backend"
	"github.com/guavastack/guavastack/proto/linkpb"
)

func lifecycleName(l linkpb.Lifecycle) string {
	return strings.ToLower(strings.TrimPrefix(l.String(), "LIFECYCLE_"))
}

// BeginLeaving starts draining: new requests are refused, waiting ones are returned, running ones continue.
func (a *Agent) BeginLeaving(ctx context.Context) error {
	return a.runInLoop(ctx, func(now time.Time) { a.setLeaving(now, true) })
}

func (a *Agent) setLeaving(now time.Time, leaving bool) {
	a.lifecycle = linkpb.Lifecycle_LIFECYCLE_READY
	if leaving {
		a.lifecycle = linkpb.Lifecycle_LIFECYCLE_LEAVING
	}
	a.publish(now)
	a.applyActions(now, a.sched.SetLeaving(now, leaving))
}

// Shutdown drains the agent: it refuses waiting requests and returns once all running ones have ended and their
// entries have acknowledged the end. It returns an error if ctx ends before. Afterwards cancel the context of Run.
func (a *Agent) Shutdown(ctx context.Context) error {
	drained := make(chan struct{})
	err := a.runInLoop(ctx, func(now time.Time) {
		a.setLeaving(now, true)
		a.drainWaiters = append(a.drainWaiters, drained)
	})
	if err != nil {
		return err
	}
	select {
	case <-drained:
		return a.closeLinks(ctx)
	case <-a.done:
		return nil
	case <-ctx.Done():
		return errors.Annotate(ctx.Err(), "requests are still in progress")
	}
}

// byeTimeout bounds the wait for entries to close their links.
const byeTimeout = 2 * time.Second

// closeLinks sends Bye on all links, so that the entry of a Submit that arrives later can conclude that it did not
// run. It returns once the entries have closed the links or byeTimeout has passed.
func (a *Agent) closeLinks(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, byeTimeout)
	defer cancel()
	closed := make(chan struct{})
	err := a.runInLoop(ctx, func(time.Time) {
		a.closing = true
		a.linksClosed = closed
		for _, e := range a.entries {
			if e.session != nil {
				e.session.Send(&linkpb.AgentFrame{Bye: &linkpb.Bye{Known: a.startedRequests(e)}})
			}
		}
	})
	if err != nil {
		return err
	}
	select {
	case <-closed:
	case <-a.done:
	case <-ctx.Done():
		a.cfg.Logger.Warn("entries have not closed their links", "backend_server", a.cfg.ID)
	}
	return nil
}

// signalLinksClosed makes closeLinks return when no link is open.
func (a *Agent) signalLinksClosed() {
	if a.linksClosed == nil {
		return
	}
	for _, e := range a.entries {
		if e.session != nil {
			return
		}
	}
	close(a.linksClosed)
	a.linksClosed = nil
}

// signalDrained makes Shutdown proceed when no request is in progress.
func (a *Agent) signalDrained() {
	if len(a.drainWaiters) == 0 || a.inProgress() {
		return
	}
	for _, c := range a.drainWaiters {
		close(c)
	}
	a.drainWaiters = nil
}

// inProgress reports whether any request is active or its answer is still being delivered.
func (a *Agent) inProgress() bool {
	return len(a.active) > 0 || a.delivering() > 0
}

// fencingGuard admits only orders whose fencing token is not lower than the highest seen.
type fencingGuard struct {
	serial sync.Mutex // held while an order is executed

	mu          sync.Mutex
	newest      uint64
	initialised bool
}

func (g *fencingGuard) current() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.newest
}

func (g *fencingGuard) observe(n uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.newest = max(g.newest, n)
	g.initialised = true
}

// admit reports whether an order with the fencing token n may be executed, and if so records n as the highest seen. It
// refuses all orders before the first observe.
func (g *fencingGuard) admit(n uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.initialised || n < g.newest {
		return false
	}
	g.newest = n
	return true
}

// ObserveFencing records the current fencing token of the control group. Orders are refused before its first call.
func (a *Agent) ObserveFencing(n uint64) { a.fencing.observe(n) }

// Order executes one order at the engine. It checks the fencing token for engines that do not check it themselves.
func (a *Agent) Order(ctx context.Context, o *linkpb.EngineOrder) (*linkpb.EngineOrderResult, error) {
	a.fencing.serial.Lock()
	defer a.fencing.serial.Unlock()
	if !a.fencing.admit(o.Fencing) {
		return &linkpb.EngineOrderResult{Stale: true, Fencing: a.fencing.current(), Error: "fencing token is stale, or the agent has not received the current one yet"}, nil
	}
	if o.TimeoutMs > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(o.TimeoutMs)*time.Millisecond)
		defer cancel()
	}
	err := a.backend.Order(ctx, backend.Order{
		ID:      o.OrderId,
		Fencing: o.Fencing,
		Kind:    strings.ToLower(strings.TrimPrefix(o.Kind.String(), "ENGINE_ORDER_KIND_")),
		Model:   o.Model,
		Version: o.Version,
		Adapter: o.Adapter,
		Role:    o.Role,
	})
	result := &linkpb.EngineOrderResult{Accepted: err == nil, Fencing: a.fencing.current()}
	if err != nil {
		result.Error = err.Error()
		result.Refused = backend.IsRefusal(err)
	}
	return result, nil
}

// SetLifecycle starts or ends draining on behalf of the control leader. The reply counts answers that are still being
// delivered as running.
func (a *Agent) SetLifecycle(ctx context.Context, m *linkpb.LifecycleRequest) (*linkpb.LifecycleReply, error) {
	accepted := a.fencing.admit(m.Fencing)
	delivering := 0
	err := a.runInLoop(ctx, func(now time.Time) {
		if accepted {
			a.setLeaving(now, m.Lifecycle == linkpb.Lifecycle_LIFECYCLE_LEAVING)
		}
		delivering = a.delivering()
	})
	if err != nil {
		return nil, err
	}
	l := a.Load()
	return &linkpb.LifecycleReply{
		Accepted:  accepted,
		Fencing:   a.fencing.current(),
		Lifecycle: l.Lifecycle,
		Running:   l.Running + uint32(delivering),
		Waiting:   l.Waiting,
	}, nil
}

// delivering returns the number of finished requests whose answer a link still delivers: the entry has not acknowledged
// its end.
func (a *Agent) delivering() int {
	n := 0
	for _, r := range a.records {
		if !r.active() && r.isDelivering() {
			n++
		}
	}
	return n
}
