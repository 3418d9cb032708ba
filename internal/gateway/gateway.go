// Package gateway is the caller-facing role for routed requests: it matches a request to a route of the catalog, checks
// the organisation's key, chooses a backend server, forwards the request and relays the answer.
//
// Its decisions are based on the catalog and the registry that a Directory supplies; it stores nothing on disk. A Dialect
// defines the headers that carry ids, deadlines and other metadata.
package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/callerconn"
	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/core/catalog"
	"github.com/guavastack/guavastack/internal/core/limit"
	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/core/zonedrain"
	"github.com/guavastack/guavastack/internal/meter"
	"github.com/guavastack/guavastack/internal/requestmemory"
	"github.com/guavastack/guavastack/internal/serverset"
	"github.com/guavastack/guavastack/internal/telemetry"
	"github.com/guavastack/guavastack/internal/upstream"
	"github.com/guavastack/guavastack/internal/wait"
	"github.com/guavastack/guavastack/proto/controlpb"
)

const (
	// DefaultGracePeriod is the time from the shutdown signal to the end of the process.
	DefaultGracePeriod = 10 * time.Second
	// idleTimeout bounds how long callers' connections stay idle if the catalog sets no limit or a longer one.
	idleTimeout = 75 * time.Second
	// headerTimeout bounds the time in which the header of a request must arrive, regardless of the catalog.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the header of a request, regardless of the catalog.
	maxHeaderBytes = 64 << 10
	// usageInterval is the time between usage reports.
	usageInterval = 500 * time.Millisecond
	// stateInterval is the time between checks of the health of backend servers, the freshness of the keys and the gateway's turns.
	stateInterval = 250 * time.Millisecond
	// housekeepingInterval is the time between checks for connections to close.
	housekeepingInterval = 2 * time.Second
)

// Directory is the gateway's view of the control group.
type Directory interface {
	// Catalog returns the newest catalog received, nil before the first.
	Catalog() *catalog.Index
	// Fresh reports whether the keys were confirmed recently enough to be used at now.
	Fresh(now time.Time) bool
	// FreshFor returns how long the keys may still be used; below 0: they have expired.
	FreshFor(now time.Time) time.Duration
	// Unconfirmed returns how long ago the catalog was certainly the newest one.
	Unconfirmed(now time.Time) time.Duration
	// Wall returns the wall-clock time on which billing windows are based.
	Wall() time.Time
	// LanePlan returns the plan by which all gateways split a service's servers into lanes, or false if none is known.
	LanePlan(service string) (*route.LanePlan, bool)
	// SetLaneWork registers the function that returns the recent work of the services, from which their lanes are planned.
	SetLaneWork(f func() []route.ServiceWork)
	// SetPaces registers the function that returns what the gateway knows of the pace of the services' servers.
	SetPaces(f func() []route.PaceReport)
	// Backends returns the registered backend servers.
	Backends() []*controlpb.BackendServer
	// ZoneDrains returns the drains of availability zones that are in force.
	ZoneDrains() *zonedrain.List
	// Turns returns the turns by which all gateways share the rate limits of backend servers.
	Turns() limit.Turns
	meter.Sink
	PromptParts
	// OnChange registers a function that runs after each change of the catalog, the registry or the drains of zones.
	OnChange(f func())
}

// Config configures a Server.
type Config struct {
	ID          string // of the process
	Incarnation string // of this start of the process
	Zone        string // availability zone
	Routing     route.Policy
	FairShares  bool          // hold requests for contended plain services, so that organisations get fair shares
	RetryRatio  float64       // maximum number of retries of a service, as a share of its requests
	HedgeRatio  float64       // maximum number of hedged requests of a service, as a share of its requests; 0: none
	GracePeriod time.Duration // from the shutdown signal to the end of the process; 0: DefaultGracePeriod
	// CatalogLimit is the time in which a new catalog must be in force. Routes and keys that are missing from a catalog that was
	// not confirmed in this time may exist. 0: the time is not limited.
	CatalogLimit time.Duration
	// ColdOverrun and ColdSlack bound the requests that a cold server gets in any one second, see route.ColdStart. 0: the defaults.
	ColdOverrun float64
	ColdSlack   float64
	UsageWindow time.Duration // length of a billing window in wall-clock time; 0: usage is not counted
	Dialect     Dialect
	Logger      *slog.Logger
	Metrics     *telemetry.Registry // nil: none

	Memory      *requestmemory.Memory // of the bodies of requests; nil: one with default limits
	Connections callerconn.Config     // limits of the callers' connections
}

// Server is one gateway.
type Server struct {
	cfg     Config
	dir     Directory
	servers *serverset.Set
	client  *upstream.Client
	conns   *connTracker
	usage   *meter.Meter

	budgets      *budgets
	hedges       *hedges // nil: off
	lifecyclesMu sync.Mutex
	lifecycles   map[string]string // lifecycle by backend server id, as last logged

	lanes   *lanes
	paces   *paces
	crashes *crashDetector
	parts   *promptParts
	answers *answerMemory
	fair    *fairness // nil: off

	drains    atomic.Pointer[zonedrain.List]  // in force at this gateway
	addresses atomic.Pointer[map[string]bool] // of the registered backend servers
	abortAt   atomic.Pointer[time.Time]       // when a shutdown aborts the requests in progress; nil: not shutting down
	inFlight  atomic.Int64
	// hasStoppedAccepting is true once a shutdown has closed the callers' listener.
	hasStoppedAccepting atomic.Bool
	aborted             context.Context // ends when a shutdown ends the requests in progress
	abort               func()
	stepRate            telemetry.PerSecondLimiter // limits the steps that are logged immediately
	heldRequests        atomic.Int64               // requests held until the gateway can serve them
}

// New returns a gateway that serves once Serve is called.
func New(cfg Config, dir Directory) *Server {
	if cfg.GracePeriod <= 0 {
		cfg.GracePeriod = DefaultGracePeriod
	}
	if cfg.Memory == nil {
		cfg.Memory = requestmemory.New(requestmemory.DefaultConfig())
	}
	s := &Server{
		cfg:     cfg,
		dir:     dir,
		servers: serverset.New(cfg.Zone, cfg.Routing),
		client:  upstream.New(),
		conns:   newConnTracker(),
		usage: meter.New(meter.Config{
			ID: cfg.ID, Incarnation: cfg.Incarnation, Interval: usageInterval, Logger: cfg.Logger,
		}, dir),
		budgets: newBudgets(cfg.RetryRatio),
		hedges:  newHedges(cfg.HedgeRatio),
		lanes:   newLanes(dir.LanePlan),
		paces:   newPaces(),
		answers: newAnswerMemory(),
	}
	s.aborted, s.abort = context.WithCancel(context.Background())
	s.fair = newFairness(s)
	s.parts = newPromptParts(dir, dir.Wall, cfg.Logger)
	s.crashes = newCrashDetector(s.hasCrashed, s.recordCrash)
	s.addresses.Store(&map[string]bool{})
	s.drains.Store(&zonedrain.List{})
	s.registerGauges()
	s.followTurns()
	dir.OnChange(s.directoryChanged)
	dir.OnPromptParts(s.parts.listChanged)
	dir.SetLaneWork(s.lanes.work)
	dir.SetPaces(s.servers.PaceReports)
	return s
}

// directoryChanged applies a change of the registry or of the drains of zones.
func (s *Server) directoryChanged() {
	backends := newestByAddress(s.dir.Backends())
	addresses := make(map[string]bool, len(backends))
	for _, b := range backends {
		addresses[b.Address] = true
	}
	s.addresses.Store(&addresses)
	s.logServerChanges(backends)
	s.applyZoneDrains() // before servers that register in a drained zone are added
	s.setColdStarts(s.dir.Catalog())
	s.servers.Update(time.Now(), backends)
}

// logServerChanges logs which backend servers were added, changed their lifecycle or were removed.
func (s *Server) logServerChanges(backends []*controlpb.BackendServer) {
	s.lifecyclesMu.Lock()
	defer s.lifecyclesMu.Unlock()
	known := make(map[string]string, len(backends))
	for _, b := range backends {
		known[b.Id] = b.Lifecycle
		if s.lifecycles[b.Id] != b.Lifecycle {
			s.cfg.Logger.Info("backend server", telemetry.KeyBackendServer, b.Id, "lifecycle", b.Lifecycle, "address", b.Address,
				"model", b.Model, "sequence", b.Sequence)
		}
	}
	for id := range s.lifecycles {
		if known[id] == "" {
			s.cfg.Logger.Info("backend server", telemetry.KeyBackendServer, id, "lifecycle", route.LifecycleGone)
		}
	}
	s.lifecycles = known
}

// watchState follows the turns of this gateway, and logs changes of the health of backend servers as this gateway sees it, and of
// the freshness of the keys.
func (s *Server) watchState(ctx context.Context) {
	var servers healthMonitor
	fresh := true
	for wait.For(ctx, stateInterval) {
		s.followTurns()
		servers.observe(s)
		fresh = s.observeFreshness(fresh)
	}
}

// observeFreshness logs when the keys cease or begin to be fresh, and returns whether they are.
func (s *Server) observeFreshness(before bool) bool {
	fresh := s.dir.Fresh(clock.Now())
	if fresh != before {
		s.cfg.Logger.Warn("key freshness changed", "fresh", fresh, "fresh_for_ms", s.dir.FreshFor(clock.Now()).Milliseconds(),
			"catalog_version", s.dir.Catalog().Version())
	}
	return fresh
}

// newestByAddress returns the backend servers except those whose address also belongs to a server that started later: they have
// ended, even if a delayed report still lists them.
func newestByAddress(backends []*controlpb.BackendServer) []*controlpb.BackendServer {
	newest := make(map[string]*controlpb.BackendServer, len(backends))
	for _, b := range backends {
		if other := newest[b.Address]; other == nil || other.StartedMs < b.StartedMs {
			newest[b.Address] = b
		}
	}
	out := make([]*controlpb.BackendServer, 0, len(newest))
	for _, b := range backends {
		if newest[b.Address] == b {
			out = append(out, b)
		}
	}
	return out
}

// Status reports whether the gateway accepts new requests.
func (s *Server) Status() (ready bool, reason string) {
	switch {
	case s.isDraining():
		return false, "shutting down"
	case s.dir.Catalog() == nil:
		return false, "no catalog from the control group yet"
	case !s.dir.Fresh(clock.Now()):
		return false, "catalog not confirmed by the control group recently"
	default:
		return true, ""
	}
}

// ReadinessHandler answers 200 while the gateway accepts new requests.
func (s *Server) ReadinessHandler() http.Handler { return telemetry.Readyz(s.Status) }

// Serve serves callers on lis until ctx is done, then shuts down gracefully: it reports not ready, stops accepting connections,
// and waits for the requests in progress as long as the grace period allows.
func (s *Server) Serve(ctx context.Context, lis net.Listener) error {
	s.conns.guard = s.newConnGuard()
	srv := &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         s.conns.onStateChange,
		ConnContext:       withConn,
		ErrorLog:          slog.NewLogLogger(s.cfg.Logger.Handler(), slog.LevelDebug),
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go s.housekeep(background)
	go s.usage.Run(background)
	go s.parts.run(background)
	go s.watchState(background)
	go s.watchPaces(background)
	served := make(chan error, 1)
	go func() { served <- srv.Serve(trackedListener{s.conns.guard.Listen(lis), s.conns}) }()
	select {
	case err := <-served:
		return errors.Annotate(err, "callers' listener")
	case <-ctx.Done():
	}
	s.drain(srv, lis)
	s.usage.Flush(context.WithoutCancel(ctx))
	return nil
}

// housekeep closes connections to backend servers that are no longer used, and callers' connections that exceed the limits of
// the catalog.
func (s *Server) housekeep(ctx context.Context) {
	for wait.For(ctx, housekeepingInterval) {
		if index := s.dir.Catalog(); index != nil {
			limits := index.Limits()
			s.conns.closeOverdue(time.Now(), connLimits{idle: limits.IdleTimeout, header: limits.HeaderTimeout})
		}
		addresses := *s.addresses.Load()
		s.client.CloseExpired(time.Now(), func(address string) bool { return addresses[address] })
	}
}
