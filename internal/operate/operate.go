// Package operate carries out what the leader of the control group decides: orders of backend servers and engines,
// billing windows and usage reports.
//
// An Operator runs in every control member and does nothing while the member does not hold the quorum lease. One
// tenure begins with waiting out every older lease, then makes a fencing number, settles the orders whose
// outcome is unknown, and only then orders anything new.
package operate

import (
	"cmp"
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/core/billing"
	"github.com/guavastack/guavastack/internal/core/duty"
	"github.com/guavastack/guavastack/internal/core/fleet"
	"github.com/guavastack/guavastack/internal/platform"
	"github.com/guavastack/guavastack/internal/telemetry"
	"github.com/guavastack/guavastack/internal/wait"
	"github.com/guavastack/guavastack/proto/controlpb"
	"github.com/guavastack/guavastack/proto/linkpb"
)

// Group is the control group as seen by one of its members.
type Group interface {
	// Propose commits one command and returns its outcome. An error leaves open whether it commits later.
	Propose(ctx context.Context, data []byte) (json.RawMessage, error)
	// View runs f while no command is applied.
	View(f func())
	// Lease returns the quorum lease of this member, and false where it holds none.
	Lease() (duty.Lease, bool)
}

// Agents is what the operator asks of the agents beside the backend servers.
type Agents interface {
	// SetLifecycle starts the draining of a backend server, or asks how far it has come.
	SetLifecycle(ctx context.Context, server *controlpb.BackendServer, req *linkpb.LifecycleRequest) (*linkpb.LifecycleReply, error)
	// Order gives an order to the engine beside the agent.
	Order(ctx context.Context, server *controlpb.BackendServer, order *linkpb.EngineOrder) (*linkpb.EngineOrderResult, error)
}

// Default intervals.
const (
	defaultPoll          = 100 * time.Millisecond
	defaultOrderInterval = 2 * time.Second
	defaultWindow        = time.Minute
	defaultGrace         = 10 * time.Second
	defaultRecord        = 10 * time.Second
	defaultNoSupplyHold  = 5 * time.Minute
	defaultAbsentAfter   = 15 * time.Minute
	proposeTimeout       = 5 * time.Second
)

// Config configures an Operator. Zero intervals take their defaults.
type Config struct {
	ID       string // of this member, named in orders and reports
	Group    Group
	Platform platform.Platform
	Agents   Agents
	Duty     *duty.Module
	Billing  *billing.Module
	Registry func() []*controlpb.BackendServer
	// ZoneCeiling returns the highest price per hour at which a server is ordered in a zone. May be nil.
	ZoneCeiling func(zone string) (float64, bool)
	Logger      *slog.Logger
	Metrics     *telemetry.Registry

	Timing        duty.Timing
	Poll          time.Duration // between looks at the lease
	OrderInterval time.Duration // between rounds of orders
	Window        time.Duration // length of a billing window
	// ClockWindows numbers the windows by the time of day: window k begins k windows after the start of 1970.
	ClockWindows bool
	Wall         func() time.Time // the time of day that windows follow; nil: that of this process
	Grace        time.Duration    // from the end of a window to its closing, for late counters; at most a window by default
	Record       time.Duration    // between commits of counters
	NoSupplyHold time.Duration    // after a refusal of a zone, before it is asked again
	AbsentAfter  time.Duration    // a server whose agent was silent so long has no request left; above every deadline
}

// Operator carries out duty, fleet and billing while its member leads.
type Operator struct {
	cfg   Config
	usage *Usage

	mu     sync.Mutex
	status tenureStatus
}

// tenureStatus is what the current tenure knows beyond the replicated state.
type tenureStatus struct {
	phase     Phase
	plans     []fleet.Plan
	inventory platform.Inventory
	lastError string
}

// New returns an operator; Run starts it.
func New(cfg Config) (*Operator, error) {
	if cfg.Group == nil || cfg.Platform == nil || cfg.Agents == nil || cfg.Duty == nil || cfg.Billing == nil {
		return nil, errors.NotValidf("operator without group, platform, agents or state")
	}
	cfg = withDefaults(cfg)
	return &Operator{cfg: cfg, usage: newUsage(cfg), status: tenureStatus{phase: Following}}, nil
}

func withDefaults(cfg Config) Config {
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	if cfg.Wall == nil {
		cfg.Wall = clock.Wall
	}
	if cfg.Registry == nil {
		cfg.Registry = func() []*controlpb.BackendServer { return nil }
	}
	if cfg.ZoneCeiling == nil {
		cfg.ZoneCeiling = func(string) (float64, bool) { return 0, false }
	}
	if cfg.Metrics == nil {
		cfg.Metrics = telemetry.NewRegistry(telemetry.DefaultMaxSeries)
	}
	if cfg.Timing == (duty.Timing{}) {
		cfg.Timing = duty.DefaultTiming()
	}
	cfg.Poll = cmp.Or(cfg.Poll, defaultPoll)
	cfg.OrderInterval = cmp.Or(cfg.OrderInterval, defaultOrderInterval)
	cfg.Window = cmp.Or(cfg.Window, defaultWindow)
	cfg.Grace = cmp.Or(cfg.Grace, min(defaultGrace, cfg.Window))
	cfg.Record = cmp.Or(cfg.Record, defaultRecord)
	cfg.NoSupplyHold = cmp.Or(cfg.NoSupplyHold, defaultNoSupplyHold)
	cfg.AbsentAfter = cmp.Or(cfg.AbsentAfter, defaultAbsentAfter)
	return cfg
}

// Usage returns the sink of the entries' usage reports.
func (o *Operator) Usage() *Usage { return o.usage }

// Run works until ctx ends. It never returns for a failure of the platform.
func (o *Operator) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if lease, ok := o.lease(); ok {
			o.tenure(ctx, lease.Term)
			o.setPhase(Following)
			o.usage.reset()
		}
		wait.For(ctx, o.cfg.Poll)
	}
	return ctx.Err()
}

// lease returns the lease of this member while it has not expired.
func (o *Operator) lease() (duty.Lease, bool) {
	lease, ok := o.cfg.Group.Lease()
	return lease, ok && clock.Now().Before(lease.Expires)
}

// tenure works as the leader; it returns when the lease is lost or the fencing number was overtaken.
func (o *Operator) tenure(ctx context.Context, term uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := newTenure(o, term)
	o.setPhase(TakingOver)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.repeat(ctx, o.cfg.Record, c.countingRound) })
	g.Go(func() error { return c.lead(ctx, g) })
	if err := g.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		o.fail("leading", err)
	}
}

// lead takes over and then carries out the duties in further functions of the group.
func (c *tenure) lead(ctx context.Context, g *errgroup.Group) error {
	o := c.op
	if err := c.takeOver(ctx); err != nil {
		return errors.Annotate(err, "take over")
	}
	o.setPhase(Leading)
	o.cfg.Logger.Info("leading", "term", c.term, "fencing", c.fencing)
	g.Go(func() error { return c.repeat(ctx, o.cfg.OrderInterval, c.orderRound) })
	g.Go(func() error { return c.repeat(ctx, o.cfg.Poll, c.billingRound) })
	return c.watchLease(ctx)
}

func (o *Operator) setPhase(p Phase) {
	o.showPhase(p)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.status.phase = p
}

func (o *Operator) fail(doing string, err error) {
	o.cfg.Logger.Warn("operator", "doing", doing, "error", err.Error())
	o.mu.Lock()
	defer o.mu.Unlock()
	o.status.lastError = doing + ": " + err.Error()
}
