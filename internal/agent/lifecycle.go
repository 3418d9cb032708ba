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

// BeginLeaving stops the intake at once: waiting requests are returned, running ones go on.
func (a *Agent) BeginLeaving(ctx context.Context) error {
	return a.ask(ctx, func(now time.Time) { a.setLeaving(now, true) })
}

func (a *Agent) setLeaving(now time.Time, leaving bool) {
	a.lifecycle = linkpb.Lifecycle_LIFECYCLE_READY
	if leaving {
		a.lifecycle = linkpb.Lifecycle_LIFECYCLE_LEAVING
	}
	a.publish(now)
	a.act(now, a.sched.SetLeaving(now, leaving))
}

// Shutdown returns what waits, and returns once all running requests have ended and their entries have seen the end,
// or with an error when ctx ends before. Then end the context of Run.
func (a *Agent) Shutdown(ctx context.Context) error {
	drained := make(chan struct{})
	err := a.ask(ctx, func(now time.Time) {
		a.setLeaving(now, true)
		a.drained = append(a.drained, drained)
	})
	if err != nil {
		return err
	}
	select {
	case <-drained:
		return a.sayBye(ctx)
	case <-a.done:
		return nil
	case <-ctx.Done():
		return errors.Annotate(ctx.Err(), "requests are still in progress")
	}
}

// byeTimeout bounds the wait for entries to close their links.
const byeTimeout = 2 * time.Second

// sayBye ends all links in order, so that a Submit which comes too late is known not to run. It returns once the
// entries have closed them.
func (a *Agent) sayBye(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, byeTimeout)
	defer cancel()
	closed := make(chan struct{})
	err := a.ask(ctx, func(time.Time) {
		a.closing = true
		a.closed = closed
		for _, e := range a.entries {
			if e.session != nil {
				e.session.Send(&linkpb.AgentFrame{Bye: &linkpb.Bye{Known: a.known(e)}})
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

// checkClosed lets sayBye return when no link is open.
func (a *Agent) checkClosed() {
	if a.closed == nil {
		return
	}
	for _, e := range a.entries {
		if e.session != nil {
			return
		}
	}
	close(a.closed)
	a.closed = nil
}

// checkDrained lets Shutdown return when nothing is in progress.
func (a *Agent) checkDrained() {
	if len(a.drained) == 0 || a.inProgress() {
		return
	}
	for _, c := range a.drained {
		close(c)
	}
	a.drained = nil
}

// inProgress reports whether a request is active, or its end is on its way to an entry.
func (a *Agent) inProgress() bool {
	return len(a.active) > 0 || a.delivering() > 0
}

// orderGate lets through what carries a fencing number that is not older than the newest seen.
type orderGate struct {
	serial sync.Mutex // held while an order is carried out

	mu     sync.Mutex
	newest uint64
	known  bool
}

func (g *orderGate) current() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.newest
}

func (g *orderGate) learn(n uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.newest = max(g.newest, n)
	g.known = true
}

// admit reports whether an order with number n may pass; a number is needed before the first.
func (g *orderGate) admit(n uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.known || n < g.newest {
		return false
	}
	g.newest = n
	return true
}

// LearnFencing tells the newest fencing number that the control group knows. Before it no order is taken.
func (a *Agent) LearnFencing(n uint64) { a.orders.learn(n) }

// Order gives one order to the engine, on behalf of engines that do not check fencing numbers themselves.
func (a *Agent) Order(ctx context.Context, o *linkpb.EngineOrder) (*linkpb.EngineOrderResult, error) {
	a.orders.serial.Lock()
	defer a.orders.serial.Unlock()
	if !a.orders.admit(o.Fencing) {
		return &linkpb.EngineOrderResult{Stale: true, Fencing: a.orders.current(), Error: "fencing number is old or none is known yet"}, nil
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
	result := &linkpb.EngineOrderResult{Accepted: err == nil, Fencing: a.orders.current()}
	if err != nil {
		result.Error = err.Error()
		result.Refused = backend.IsRefusal(err)
	}
	return result, nil
}

// SetLifecycle starts or ends the draining by the control leader's word.
func (a *Agent) SetLifecycle(ctx context.Context, m *linkpb.LifecycleRequest) (*linkpb.LifecycleReply, error) {
	accepted := a.orders.admit(m.Fencing)
	delivering := 0
	err := a.ask(ctx, func(now time.Time) {
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
		Fencing:   a.orders.current(),
		Lifecycle: l.Lifecycle,
		Running:   l.Running + uint32(delivering),
		Waiting:   l.Waiting,
	}, nil
}

// delivering returns the number of answers that the backend server has finished and an entry has not seen whole.
func (a *Agent) delivering() int {
	n := 0
	for _, r := range a.records {
		if !r.active() && r.isDelivering() {
			n++
		}
	}
	return n
}
