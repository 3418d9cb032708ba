// Package operate performs the duties of the leader of the control group: orders for backend servers and engines,
// billing windows and usage reports.
//
// An Operator runs in every control member and does nothing while the member does not hold the quorum lease. A tenure
// begins by waiting until every older lease has expired; then it creates a fencing token, settles the orders whose
// outcome is unknown, and only then issues new orders.
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
	"github.com/guavastack/guavastack/internal/platformclient"
	"github.com/guavastack/guavastack/internal/telemetry"
	"github.com/guavastack/guavastack/internal/wait"
	"github.com/guavastack/guavastack/proto/controlpb"
	"github.com/guavastack/guavastack/proto/linkpb"
)

// Group is the control group as seen by one of its members.
type Group interface {
	// Propose commits one command and returns its outcome. After an error the command may still commit later.
	Propose(ctx context.Context, data []byte) (json.RawMessage, error)
	// View runs f while no command is being applied.
	View(f func())
	// Lease returns the quorum lease of this member, and false if it holds none.
	Lease() (duty.Lease, bool)
}

// Agents calls the agents of backend servers.
type Agents interface {
	// SetLifecycle starts draining a backend server, and returns how many requests are left.
	SetLifecycle(ctx context.Context, server *controlpb.BackendServer, req *linkpb.LifecycleRequest) (*linkpb.LifecycleReply, error)
	// Order sends an engine order to the agent of a server.
	Order(ctx context.Context, server *controlpb.BackendServer, order *linkpb.EngineOrder) (*linkpb.EngineOrderResult, error)
}

// Default intervals.
const (
	defaultPollInterval        = 100 * time.Millisecond
	defaultOrderInterval       = 2 * time.Second
	defaultWindowLength        = time.Minute
	defaultWindowGrace         = 10 * time.Second
	defaultRecordInterval      = 10 * time.Second
	defaultNoSupplyHold        = 5 * time.Minute
	defaultAgentAbsenceTimeout = 15 * time.Minute
	proposeTimeout             = 5 * time.Second
)

// Config configures an Operator. Zero intervals take their defaults.
type Config struct {
	ID       string // id of this member, stated in orders and reports
	Group    Group
	Platform platformclient.Platform
	Agents   Agents
	Duty     *duty.Module
	Billing  *billing.Module
	Registry func() []*controlpb.BackendServer
	// ZoneCeiling returns the highest price per hour at which servers are ordered in a zone, and false if there is none.
	// May be nil.
	ZoneCeiling func(zone string) (float64, bool)
	Logger      *slog.Logger
	Metrics     *telemetry.Registry

	Timing        duty.Timing
	PollInterval  time.Duration // between checks of the lease
	OrderInterval time.Duration // between rounds of orders
	WindowLength  time.Duration // length of a billing window
	// ClockWindows aligns the windows to the Unix epoch: window k begins k window lengths after it.
	ClockWindows        bool
	Wall                func() time.Time // clock for ClockWindows; nil: clock.Wall
	WindowGrace         time.Duration    // from the end of a window to its closing, for late counters; by default at most the window length
	RecordInterval      time.Duration    // between commits of usage counters
	NoSupplyHold        time.Duration    // how long no server is ordered in a zone after a refusal
	AgentAbsenceTimeout time.Duration    // a server whose agent has been missing for so long has no requests left; longer than every deadline
}

// Operator performs the leader's duties while its member leads.
type Operator struct {
	cfg   Config
	usage *Usage

	mu     sync.Mutex
	status tenureStatus
}

// tenureStatus is the status of the current tenure that is not part of the replicated state.
type tenureStatus struct {
	phase     Phase
	plans     []fleet.Plan
	inventory platformclient.Inventory
	lastError string
}

// New returns an Operator; Run starts it. It returns an error if a required field of cfg is missing.
func New(cfg Config) (*Operator, error) {
	if cfg.Group == nil || cfg.Platform == nil || cfg.Agents == nil || cfg.Duty == nil || cfg.Billing == nil {
		return nil, errors.NotValidf("operator configuration without Group, Platform, Agents, Duty or Billing")
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
	cfg.PollInterval = cmp.Or(cfg.PollInterval, defaultPollInterval)
	cfg.OrderInterval = cmp.Or(cfg.OrderInterval, defaultOrderInterval)
	cfg.WindowLength = cmp.Or(cfg.WindowLength, defaultWindowLength)
	cfg.WindowGrace = cmp.Or(cfg.WindowGrace, min(defaultWindowGrace, cfg.WindowLength))
	cfg.RecordInterval = cmp.Or(cfg.RecordInterval, defaultRecordInterval)
	cfg.NoSupplyHold = cmp.Or(cfg.NoSupplyHold, defaultNoSupplyHold)
	cfg.AgentAbsenceTimeout = cmp.Or(cfg.AgentAbsenceTimeout, defaultAgentAbsenceTimeout)
	return cfg
}

// Usage returns the collector of the entries' usage reports.
func (o *Operator) Usage() *Usage { return o.usage }

// Run performs the leader's duties whenever this member leads, until ctx ends. Failures of the platform do not end it.
func (o *Operator) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if lease, ok := o.lease(); ok {
			o.runTenure(ctx, lease.Term)
			o.setPhase(Following)
			o.usage.reset()
		}
		wait.For(ctx, o.cfg.PollInterval)
	}
	return ctx.Err()
}

// lease returns the lease of this member, and false if it holds none or it has expired.
func (o *Operator) lease() (duty.Lease, bool) {
	lease, ok := o.cfg.Group.Lease()
	return lease, ok && clock.Now().Before(lease.Expires)
}

// runTenure performs the leader's duties until the lease is lost or the fencing token is superseded.
func (o *Operator) runTenure(ctx context.Context, term uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := newTenure(o, term)
	o.setPhase(TakingOver)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.repeat(ctx, o.cfg.RecordInterval, c.recordingRound) })
	g.Go(func() error { return c.lead(ctx, g) })
	if err := g.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		o.recordError("leading", err)
	}
}

// lead takes over, then starts the rounds of orders and billing in g, and returns once the lease is lost.
func (c *tenure) lead(ctx context.Context, g *errgroup.Group) error {
	o := c.op
	if err := c.takeOver(ctx); err != nil {
		return errors.Annotate(err, "take over")
	}
	o.setPhase(Leading)
	o.cfg.Logger.Info("leading", "term", c.term, "fencing", c.fencing)
	g.Go(func() error { return c.repeat(ctx, o.cfg.OrderInterval, c.orderRound) })
	g.Go(func() error { return c.repeat(ctx, o.cfg.PollInterval, c.billingRound) })
	return c.watchLease(ctx)
}

func (o *Operator) setPhase(p Phase) {
	o.recordPhase(p)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.status.phase = p
}

// recordError logs err and stores it for the status.
func (o *Operator) recordError(doing string, err error) {
	o.cfg.Logger.Warn("operator step failed", "doing", doing, "error", err.Error())
	o.mu.Lock()
	defer o.mu.Unlock()
	o.status.lastError = doing + ": " + err.Error()
}
