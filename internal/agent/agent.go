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
	// inboxLength bounds the events that wait for the loop; senders wait beyond it.
	inboxLength = 1024
	// busyTick and keepTick are the pauses between ticks while requests are active, or only kept.
	busyTick = 20 * time.Millisecond
	keepTick = time.Second
	// maxRecords bounds the table; the oldest finished ones go first.
	maxRecords = 1 << 14
	// rememberedIDs bounds the ids of requests that started and are no longer in the table.
	rememberedIDs = 1 << 15
	// probeInterval is the pause between attempts to reach a backend server that is down.
	probeInterval = 500 * time.Millisecond
)

// Agent is the process beside one backend server.
type Agent struct {
	cfg      Config
	backend  backend.Backend
	server   *link.Server
	listener net.Listener
	meters   meters

	inbox chan func(now time.Time)
	done  chan struct{}  // closed when the loop has ended
	runs  sync.WaitGroup // calls of the backend server
	load  atomic.Pointer[linkpb.Load]
	view  atomic.Pointer[controlpb.BackendServer]

	orders orderGate

	// Owned by the loop.
	sched     *sched.Scheduler
	records   map[string]*record
	entries   map[entryKey]*entry
	ran       *lru.Cache[string, struct{}] // non-repeatable requests that started and left the table
	ranForgot bool                         // an id has left ran
	lostEntry bool                         // an entry with unfinished business has left the table
	active    map[*record]struct{}         // those that wait or run
	released  []*record                    // finished and delivered or without a link, oldest first
	keptBytes int                          // of all finished answers
	lifecycle linkpb.Lifecycle
	up        bool // the backend server answers
	probing   bool
	runCtx    context.Context
	tickAt    time.Time
	drained   []chan struct{} // closed once nothing is in progress
	closing   bool            // links have been told to end: no more are opened, and no Submit is taken
	closed    chan struct{}   // closed once no link is open
	sweepAt   time.Time
}

// New returns an Agent that listens but serves only once Run is called.
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
	ran, err := lru.NewWithEvict(rememberedIDs, func(string, struct{}) { a.ranForgot = true })
	if err != nil {
		return nil, errors.Trace(err)
	}
	a.ran = ran
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

// Incarnation returns the name of this life of the agent.
func (a *Agent) Incarnation() string { return a.cfg.Incarnation }

// Run serves until ctx ends. Call Shutdown before, for requests in progress end with ctx.
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

// loop is the goroutine that owns the scheduler and the records.
func (a *Agent) loop(ctx context.Context) {
	timer := time.NewTimer(keepTick)
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
		a.checkDrained()
		a.checkClosed()
		a.armTick(timer)
	}
}

// drainInbox carries out what waits, so that the load is published once for all of it.
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

// armTick sets the timer while there is anything that time changes.
func (a *Agent) armTick(timer *time.Timer) {
	if !a.tickAt.IsZero() && (len(a.active) == 0 || time.Until(a.tickAt) <= busyTick) {
		return
	}
	pause := keepTick
	switch {
	case len(a.active) > 0:
		pause = busyTick
	case len(a.records)+len(a.entries) == 0:
		return
	}
	a.tickAt = time.Now().Add(pause)
	timer.Reset(pause)
}

// post hands f to the loop; it reports false when the loop has ended.
func (a *Agent) post(f func(now time.Time)) bool {
	select {
	case a.inbox <- f:
		return true
	case <-a.done:
		return false
	}
}

// ask runs f in the loop and waits for it.
func (a *Agent) ask(ctx context.Context, f func(now time.Time)) error {
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

// Load returns the state of the scheduler as of the last event.
func (a *Agent) Load() *linkpb.Load { return a.load.Load() }

// Report returns what the registry shall know of the backend server.
func (a *Agent) Report() *controlpb.BackendServer { return a.view.Load() }

// publish makes the load visible to other goroutines.
func (a *Agent) publish(now time.Time) {
	l := a.sched.Load(now)
	m := &linkpb.Load{
		Slots:           uint32(l.Slots),
		Running:         uint32(l.Running),
		Waiting:         uint32(l.Waiting),
		QueueLimit:      uint32(l.QueueLimit),
		WaitingByTier:   counts(l.WaitingByTier),
		RunningByTier:   counts(l.RunningByTier),
		LowestTier:      uint32(l.LowestTier),
		HasDisplaceable: l.HasDisplaceable,
		TokenIntervalUs: l.TokenInterval.Microseconds(),
		FirstTokenUs:    l.FirstToken.Microseconds(),
		Lifecycle:       a.lifecycle,
	}
	a.load.Store(m)
	before := a.view.Swap(a.report(m))
	if f := a.cfg.OnLifecycle; f != nil && before != nil && before.Lifecycle != lifecycleName(a.lifecycle) {
		f()
	}
}

func counts(list []int) []uint32 {
	out := make([]uint32, len(list))
	for i, n := range list {
		out[i] = uint32(n)
	}
	return out
}

func (a *Agent) report(l *linkpb.Load) *controlpb.BackendServer {
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
		Fencing:         a.orders.current(),
	}
}
