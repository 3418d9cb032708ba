package agent

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/backend"
	"github.com/guavastack/guavastack/internal/core/sched"
	"github.com/guavastack/guavastack/internal/link"
	"github.com/guavastack/guavastack/proto/controlpb"
	"github.com/guavastack/guavastack/proto/linkpb"
)

const (
	// inboxLength bounds the queue of events for the loop; senders block while it is full.
	inboxLength = 1024
	// busyTick and idleTick are the intervals between ticks while requests are active, and while only finished
	// requests are retained.
	busyTick = 20 * time.Millisecond
	idleTick = time.Second
	// maxRecords bounds the table of requests; the oldest finished ones are evicted first.
	maxRecords = 1 << 14
	// maxStartedIDs bounds the retained ids of requests that started and have been evicted from the table.
	maxStartedIDs = 1 << 15
	// probeInterval is the time between attempts to reach a backend server that is down.
	probeInterval = 500 * time.Millisecond
)

// Agent is the sidecar process of one backend server: it admits, queues and runs all requests to it.
type Agent struct {
	cfg      Config
	backend  backend.Backend
	server   *link.Server
	listener net.Listener
	meters   meters

	inbox        chan func(now time.Time)
	done         chan struct{}  // closed once the loop has returned
	runs         sync.WaitGroup // goroutines that call the backend server
	load         atomic.Pointer[linkpb.Load]
	registration atomic.Pointer[controlpb.BackendServer]

	fencing fencingGuard

	// Accessed only by the loop goroutine.
	sched                  *sched.Scheduler
	records                map[string]*record
	entries                map[entryKey]*entry
	startedIDs             *lru.Cache[string, struct{}] // non-repeatable requests that started and were evicted
	startedIDEvicted       bool                         // an id was evicted from startedIDs
	incompleteEntryEvicted bool                         // an incomplete entry was evicted: a returning entry may miss requests
	active                 map[*record]struct{}         // waiting or running
	evictable              []*record                    // finished, and delivered or without a link; oldest first
	keptBytes              int                          // bytes of all finished answers
	lifecycle              linkpb.Lifecycle
	up                     bool // the backend server is reachable
	probing                bool
	runCtx                 context.Context
	tickAt                 time.Time
	drainWaiters           []chan struct{} // closed once no request is in progress
	closing                bool            // Bye has been sent: no link is opened and no Submit accepted
	linksClosed            chan struct{}   // closed once no link is open
	sweepAt                time.Time
}

// New returns an Agent that is listening; it serves links only once Run is called.
func New(cfg Config) (*Agent, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	a := &Agent{
		cfg:     cfg,
		backend: cfg.newBackend(),
		inbox:   make(chan func(time.Time), inboxLength),
		done:    make(chan struct{}),
		sched: sched.New(sched.Config{
			Policy:     cfg.Policy,
			Slots:      cfg.Backend.Slots,
			MaxSlots:   cfg.Backend.MaxSlots,
			QueueLimit: cfg.QueueLimit,
		}),
		records:   make(map[string]*record),
		entries:   make(map[entryKey]*entry),
		active:    make(map[*record]struct{}),
		lifecycle: linkpb.Lifecycle_LIFECYCLE_JOINING,
		meters:    newMeters(cfg.Metrics),
	}
	ids, err := lru.NewWithEvict(maxStartedIDs, func(string, struct{}) { a.startedIDEvicted = true })
	if err != nil {
		return nil, errors.Trace(err)
	}
	a.startedIDs = ids
	if a.server, err = link.NewServer(a, cfg.Logger); err != nil {
		return nil, err
	}
	if a.listener, err = cfg.listen(); err != nil {
		return nil, err
	}
	a.publish(time.Now())
	return a, nil
}

// Addr returns the address that the agent listens on.
func (a *Agent) Addr() net.Addr { return a.listener.Addr() }

// Incarnation returns the identifier of this start of the agent.
func (a *Agent) Incarnation() string { return a.cfg.Incarnation }

// Run serves until ctx ends, which aborts requests in progress; call Shutdown first to drain them.
func (a *Agent) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.runCtx = runCtx

	served := make(chan error, 1)
	go func() { served <- a.server.Serve(runCtx, a.listener) }()
	a.probe()
	a.loop(runCtx)
	cancel()
	close(a.done)
	err := <-served
	a.runs.Wait()
	a.backend.Close()
	return err
}

// loop runs all work on the scheduler and the records in one goroutine, until ctx ends.
func (a *Agent) loop(ctx context.Context) {
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-a.inbox:
			f(time.Now())
			a.drainInbox()
		case <-timer.C:
			a.tick(time.Now())
			a.tickAt = time.Time{}
		}
		a.publish(time.Now())
		a.signalDrained()
		a.signalLinksClosed()
		a.armTick(timer)
	}
}

// drainInbox handles all queued events, so that the load is published once for the batch.
func (a *Agent) drainInbox() {
	for range inboxLength {
		select {
		case f := <-a.inbox:
			f(time.Now())
		default:
			return
		}
	}
}

// armTick sets the timer while there are active requests or anything that expires.
func (a *Agent) armTick(timer *time.Timer) {
	if !a.tickAt.IsZero() && (len(a.active) == 0 || time.Until(a.tickAt) <= busyTick) {
		return
	}
	pause := idleTick
	switch {
	case len(a.active) > 0:
		pause = busyTick
	case len(a.records)+len(a.entries) == 0:
		return
	}
	a.tickAt = time.Now().Add(pause)
	timer.Reset(pause)
}

// post queues f for the loop; it reports false once the loop has returned.
func (a *Agent) post(f func(now time.Time)) bool {
	select {
	case a.inbox <- f:
		return true
	case <-a.done:
		return false
	}
}

// runInLoop runs f in the loop and waits for it. It fails once the loop has returned or ctx has ended.
func (a *Agent) runInLoop(ctx context.Context, f func(now time.Time)) error {
	done := make(chan struct{})
	if !a.post(func(now time.Time) { f(now); close(done) }) {
		return errors.New("agent has stopped")
	}
	select {
	case <-done:
		return nil
	case <-a.done:
		return errors.New("agent has stopped")
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// Load returns the state of the scheduler as of the last event that the loop handled.
func (a *Agent) Load() *linkpb.Load { return a.load.Load() }

// Registration returns the registration record of the backend server as of the last event.
func (a *Agent) Registration() *controlpb.BackendServer { return a.registration.Load() }

// publish makes the load and the registration record visible to other goroutines, and calls OnLifecycle after a change.
func (a *Agent) publish(now time.Time) {
	l := a.sched.Load(now)
	m := &linkpb.Load{
		Slots:           uint32(l.Slots),
		Running:         uint32(l.Running),
		Waiting:         uint32(l.Waiting),
		QueueLimit:      uint32(l.QueueLimit),
		WaitingByTier:   toUint32s(l.WaitingByTier),
		RunningByTier:   toUint32s(l.RunningByTier),
		LowestTier:      uint32(l.LowestTier),
		HasDisplaceable: l.HasDisplaceable,
		TokenIntervalUs: l.TokenInterval.Microseconds(),
		FirstTokenUs:    l.FirstToken.Microseconds(),
		Lifecycle:       a.lifecycle,
	}
	a.load.Store(m)
	before := a.registration.Swap(a.newRegistration(m))
	if f := a.cfg.OnLifecycle; f != nil && before != nil && before.Lifecycle != lifecycleName(a.lifecycle) {
		f()
	}
}

func toUint32s(list []int) []uint32 {
	out := make([]uint32, len(list))
	for i, n := range list {
		out[i] = uint32(n)
	}
	return out
}

func (a *Agent) newRegistration(l *linkpb.Load) *controlpb.BackendServer {
	b := a.cfg.Backend
	address := a.cfg.Advertise
	if address == "" {
		address = a.listener.Addr().String()
	}
	return &controlpb.BackendServer{
		Id:              a.cfg.ID,
		Incarnation:     a.cfg.Incarnation,
		Address:         address,
		Kind:            string(b.Kind),
		Model:           b.Model,
		Version:         b.Version,
		Adapters:        b.Adapters,
		Zone:            a.cfg.Zone,
		Slots:           l.Slots,
		Lifecycle:       lifecycleName(a.lifecycle),
		Role:            b.Role,
		Running:         l.Running,
		Waiting:         l.Waiting,
		FirstTokenUs:    l.FirstTokenUs,
		TokenIntervalUs: l.TokenIntervalUs,
		Fencing:         a.fencing.current(),
	}
}
