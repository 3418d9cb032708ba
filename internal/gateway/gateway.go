// Package gateway is the caller-facing role for routed requests: it matches a request to a route of the catalog, checks
// the organisation's key, chooses a backend server, sends the request there and passes the answer on.
//
// It decides by the catalog and the registry as the watch brings them, and keeps nothing on a disk. How callers and backend
// servers state ids, deadlines and the like is a Dialect.
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

	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/core/catalog"
	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/meter"
	"github.com/guavastack/guavastack/internal/serverset"
	"github.com/guavastack/guavastack/internal/telemetry"
	"github.com/guavastack/guavastack/internal/upstream"
	"github.com/guavastack/guavastack/internal/wait"
	"github.com/guavastack/guavastack/proto/controlpb"
)

const (
	// DefaultGracePeriod is the time between the signal to stop and the end of the process.
	DefaultGracePeriod = 10 * time.Second
	// rotationDelay is how long new connections are still taken after the signal to stop: the balancer checks readiness
	// once a second and wants two misses. A request that comes later may outlast the grace period.
	rotationDelay = 2500 * time.Millisecond
	// graceMargin is left of the grace period when the last requests are ended.
	graceMargin = 500 * time.Millisecond
	// idleTimeout closes callers' connections where the catalog sets no limit or a longer one.
	idleTimeout = 75 * time.Second
	// headerTimeout bounds how long a caller may take for the head of a request, whatever the catalog says.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the head of a request, whatever the catalog says.
	maxHeaderBytes = 64 << 10
	// drainPollInterval is the time between looks at the connections that are left.
	drainPollInterval = 50 * time.Millisecond
	// usageInterval is the time between reports of usage.
	usageInterval = 500 * time.Millisecond
	// stateInterval is the time between looks at the health of backend servers and the freshness of the keys.
	stateInterval = 250 * time.Millisecond
	// housekeepingInterval is the time between looks at unused connections.
	housekeepingInterval = 2 * time.Second
)

// Directory is what the gateway knows of the control group.
type Directory interface {
	// Catalog returns the newest catalog that is known here, nil while there is none.
	Catalog() *catalog.Index
	// Fresh reports whether keys may be acted on at now.
	Fresh(now time.Time) bool
	// FreshFor returns how long keys may still be acted on; below 0: no longer.
	FreshFor(now time.Time) time.Duration
	// Wall returns the time of day that billing windows follow.
	Wall() time.Time
	// LaneShare returns the common share of a service's servers that makes its tight lane, false where it isn't known.
	LaneShare(service string) (float64, bool)
	// SetLaneWork gives the function that reads the recent work for the lanes of services.
	SetLaneWork(f func() []*controlpb.LaneWork)
	// Backends returns the registered backend servers.
	Backends() []*controlpb.BackendServer
	meter.Sink
	// OnChange calls f after each change of the catalog or the registry.
	OnChange(f func())
}

// Config is what a Server works with.
type Config struct {
	ID          string // of the process
	Incarnation string
	Zone        string
	Routing     route.Policy
	RetryRatio  float64 // further sends of a service as a share of its requests
	GracePeriod time.Duration
	UsageWindow time.Duration // length of a billing window by the time of day; 0: usage is not counted
	Dialect     Dialect
	Logger      *slog.Logger
	Metrics     *telemetry.Registry
}

// Server is one gateway.
type Server struct {
	cfg     Config
	dir     Directory
	servers *serverset.Set
	client  *upstream.Client
	conns   *connTracker
	usage   *meter.Meter

	budgets *budgets
	knownMu sync.Mutex
	known   map[string]string // lifecycles of the backend servers, by id

	lanes *lanes

	addresses atomic.Pointer[map[string]bool] // of the registered backend servers
	draining  atomic.Bool
	inFlight  atomic.Int64
	steps     telemetry.PerSecond // that are logged at once
	waiting   atomic.Int64        // requests held until the gateway can serve them
}

// New returns a gateway that serves once Serve is called.
func New(cfg Config, dir Directory) *Server {
	if cfg.GracePeriod <= 0 {
		cfg.GracePeriod = DefaultGracePeriod
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
		lanes:   newLanes(dir.LaneShare),
	}
	s.addresses.Store(&map[string]bool{})
	s.showState()
	dir.OnChange(s.directoryChanged)
	dir.SetLaneWork(s.lanes.work)
	return s
}

// directoryChanged takes over the registry.
func (s *Server) directoryChanged() {
	backends := youngestByAddress(s.dir.Backends())
	addresses := make(map[string]bool, len(backends))
	for _, b := range backends {
		addresses[b.Address] = true
	}
	s.addresses.Store(&addresses)
	s.logServers(backends)
	s.servers.Update(time.Now(), backends)
}

// logServers logs which backend servers came, changed and went.
func (s *Server) logServers(backends []*controlpb.BackendServer) {
	s.knownMu.Lock()
	defer s.knownMu.Unlock()
	known := make(map[string]string, len(backends))
	for _, b := range backends {
		known[b.Id] = b.Lifecycle
		if s.known[b.Id] != b.Lifecycle {
			s.cfg.Logger.Info("backend server", telemetry.KeyBackendServer, b.Id, "lifecycle", b.Lifecycle, "address", b.Address,
				"model", b.Model, "sequence", b.Sequence)
		}
	}
	for id := range s.known {
		if known[id] == "" {
			s.cfg.Logger.Info("backend server", telemetry.KeyBackendServer, id, "lifecycle", route.LifecycleGone)
		}
	}
	s.known = known
}

// watchState logs changes of what the gateway decides by: the health of backend servers with it, and whether keys may be acted on.
func (s *Server) watchState(ctx context.Context) {
	var servers healthWatch
	fresh := true
	for wait.For(ctx, stateInterval) {
		servers.observe(s)
		fresh = s.observeFreshness(fresh)
	}
}

// observeFreshness logs when the keys can't be acted on any more, and when they can again. It returns whether they can.
func (s *Server) observeFreshness(before bool) bool {
	fresh := s.dir.Fresh(clock.Now())
	if fresh != before {
		s.cfg.Logger.Warn("confirmation of the keys", "fresh", fresh, "fresh_for_ms", s.dir.FreshFor(clock.Now()).Milliseconds(),
			"catalog_version", s.dir.Catalog().Version())
	}
	return fresh
}

// youngestByAddress drops backend servers whose address a younger one has: they are gone, whatever a late report says.
func youngestByAddress(backends []*controlpb.BackendServer) []*controlpb.BackendServer {
	youngest := make(map[string]*controlpb.BackendServer, len(backends))
	for _, b := range backends {
		if other := youngest[b.Address]; other == nil || other.StartedMs < b.StartedMs {
			youngest[b.Address] = b
		}
	}
	out := make([]*controlpb.BackendServer, 0, len(youngest))
	for _, b := range backends {
		if youngest[b.Address] == b {
			out = append(out, b)
		}
	}
	return out
}

// Status reports whether the gateway takes new requests.
func (s *Server) Status() (ready bool, reason string) {
	switch {
	case s.draining.Load():
		return false, "shutting down"
	case s.dir.Catalog() == nil:
		return false, "no catalog from the control group yet"
	case !s.dir.Fresh(clock.Now()):
		return false, "catalog not confirmed by the control group lately"
	default:
		return true, ""
	}
}

// ReadinessHandler answers 200 while the gateway takes new requests.
func (s *Server) ReadinessHandler() http.Handler { return telemetry.Readyz(s.Status) }

// Serve answers callers on lis until ctx is done, then shuts down gracefully: not ready first, then no new connections,
// then it waits for the requests in progress as long as the grace period allows.
func (s *Server) Serve(ctx context.Context, lis net.Listener) error {
	srv := &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         s.conns.stateChanged,
		ErrorLog:          slog.NewLogLogger(s.cfg.Logger.Handler(), slog.LevelDebug),
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go s.housekeep(background)
	go s.usage.Run(background)
	go s.watchState(background)
	served := make(chan error, 1)
	go func() { served <- srv.Serve(trackedListener{lis, s.conns}) }()
	select {
	case err := <-served:
		return errors.Annotate(err, "callers' listener")
	case <-ctx.Done():
	}
	s.drain(srv, lis)
	s.usage.Flush(context.WithoutCancel(ctx))
	return nil
}

// drain stops accepting, closes connections once they are idle and waits for the requests in progress as long as the grace
// period allows. Until then answers tell callers to leave.
func (s *Server) drain(srv *http.Server, lis net.Listener) {
	began := time.Now()
	s.draining.Store(true)
	s.cfg.Logger.Info("gateway is shutting down", "in_flight", s.inFlight.Load())
	listen, all := drainTimes(s.cfg.GracePeriod)
	time.Sleep(listen)
	_ = lis.Close()
	for s.conns.closeIdle() > 0 && time.Since(began) < all {
		time.Sleep(drainPollInterval)
	}
	s.cfg.Logger.Info("gateway has shut down", "in_flight", s.inFlight.Load())
	_ = srv.Close() // what is left has used up the grace period
}

// drainTimes returns how long after the signal to stop new connections are taken, and after what time the requests that
// are left are ended.
func drainTimes(grace time.Duration) (listen, all time.Duration) {
	return min(rotationDelay, grace/2), grace - min(graceMargin, grace/4)
}

// housekeep closes connections to backend servers that are not used any more, and those of callers beyond the limits of the
// catalog.
func (s *Server) housekeep(ctx context.Context) {
	for wait.For(ctx, housekeepingInterval) {
		if index := s.dir.Catalog(); index != nil {
			limits := index.Limits()
			s.conns.closeOverdue(time.Now(), connLimits{idle: limits.IdleTimeout, head: limits.HeaderTimeout})
		}
		addresses := *s.addresses.Load()
		s.client.Expire(time.Now(), func(address string) bool { return addresses[address] })
	}
}
