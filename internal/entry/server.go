package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/callerconn"
	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/core/retry"
	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/internal/meter"
	"github.com/guavastack/guavastack/internal/serverset"
	"github.com/guavastack/guavastack/internal/telemetry"
)

const (
	// maxStreams bounds the requests in progress on one HTTP/2 connection.
	maxStreams = 100
	// maxUnreadBytes bounds what a client may send ahead on an HTTP/2 connection. net/http keeps it outside of the memory of bodies, 1 MiB by
	// default.
	maxUnreadBytes = 64 << 10
)

// Server is one entry.
type Server struct {
	cfg     Config
	dir     Directory
	links   Links
	servers *serverset.Set
	limits  *limits
	usage   *meter.Meter
	active  *activeSet
	demand  *demandMeter
	handler http.Handler

	budgetMu sync.Mutex
	budget   *retry.Budget

	draining   atomic.Bool
	background sync.WaitGroup // work that continues after its request
}

// New returns an entry that serves once Serve is called.
func New(cfg Config, dir Directory, links Links) *Server {
	cfg = cfg.withDefaults()
	s := &Server{
		cfg:     cfg,
		dir:     dir,
		links:   links,
		servers: serverset.New(cfg.Zone, cfg.Routing),
		limits:  newLimits(),
		usage:   meter.New(meter.Config{ID: cfg.ID, Incarnation: cfg.Incarnation, Interval: cfg.UsageInterval, Logger: cfg.Logger}, dir),
		active:  newActiveSet(cfg.MaxInFlight),
		demand:  newDemandMeter(),
		budget:  retry.NewBudget(),
	}
	s.handler = cfg.Memory.JoiningHandler(s.routes())
	dir.SetDemand(s.demand.collect)
	dir.OnChange(s.directoryChanged)
	return s
}

// routes returns the handler of the callers' API.
func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	for _, path := range []string{"/v1/chat/completions", "/v1/completions", "/v1/embeddings"} {
		mux.HandleFunc("POST "+path, s.serveEngine)
	}
	mux.HandleFunc("GET /v1/models", s.serveModels)
	mux.HandleFunc("GET /v1/answers/{id}", s.serveAnswer)
	mux.HandleFunc("GET /healthz", telemetry.Healthz)
	mux.HandleFunc("GET /readyz", telemetry.Readyz(s.Status))
	mux.HandleFunc("/", s.serveService)
	return mux
}

// Status reports whether the entry accepts new requests.
func (s *Server) Status() (ready bool, reason string) {
	switch {
	case s.draining.Load():
		return false, "shutting down"
	case !s.dir.Ready():
		return false, "no settings from the control group yet"
	case !s.dir.Fresh(clock.Now()):
		return false, "settings not confirmed by the control group recently"
	default:
		return true, ""
	}
}

// ServeHTTP serves one request of a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Serve serves callers on lis until ctx is done, then shuts down gracefully: it reports not ready, stops accepting
// connections, and waits for all requests in progress.
func (s *Server) Serve(ctx context.Context, lis net.Listener) error {
	srv := &http.Server{
		Handler:           s,
		ReadHeaderTimeout: s.cfg.HeaderTimeout,
		IdleTimeout:       s.cfg.IdleTimeout,
		MaxHeaderBytes:    s.cfg.MaxHeaderBytes,
		TLSConfig:         s.cfg.TLS,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          maxStreams,
			MaxReceiveBufferPerConnection: maxUnreadBytes,
			MaxReceiveBufferPerStream:     maxUnreadBytes,
		},
		ErrorLog: errorLog(s.cfg.Logger),
	}
	connections := s.cfg.Connections
	connections.Name, connections.Logger, connections.Metrics = "entry", s.cfg.Logger, s.cfg.Metrics
	connections.Encrypted = s.cfg.TLS != nil
	lis = callerconn.Protect(srv, lis, connections)
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var loops sync.WaitGroup
	loops.Go(func() { s.watchFreshness(background) })
	loops.Go(func() { s.usage.Run(background) })

	served := make(chan error, 1)
	go func() {
		if s.cfg.TLS != nil {
			served <- srv.ServeTLS(lis, "", "")
			return
		}
		served <- srv.Serve(lis)
	}()
	select {
	case err := <-served:
		return errors.Annotate(err, "callers' listener")
	case <-ctx.Done():
	}
	err := s.drain(background, srv)
	stop()
	loops.Wait()
	s.usage.Flush(context.WithoutCancel(ctx))
	return err
}

// drain stops accepting connections and waits for the requests in progress.
func (s *Server) drain(ctx context.Context, srv *http.Server) error {
	s.draining.Store(true)
	s.cfg.Logger.Info("entry is shutting down", "in_flight", s.active.count())
	time.Sleep(s.cfg.DrainDelay)
	err := srv.Shutdown(ctx)
	s.background.Wait()
	return errors.Annotate(err, "shut down callers' listener")
}

// directoryChanged applies a change of settings, keys, the registry or the drains of zones.
func (s *Server) directoryChanged() {
	s.servers.SetDrainedZones(time.Now(), s.dir.ZoneDrains().Zones())
	s.servers.Update(time.Now(), s.dir.Backends())
	s.cancelWithdrawn(s.dir.Tree())
}

// cancelWithdrawn cancels the requests whose key is no longer valid.
func (s *Server) cancelWithdrawn(tree *settings.Tree) {
	now := time.Now()
	s.active.cancelIf(errKeyWithdrawn, func(x *exchange) bool {
		if x.open {
			return false
		}
		k, ok := tree.KeyByHash(x.keyHash)
		return !ok || !k.IsUsable(now)
	})
}

// freshnessCheckInterval is the time between checks of the requests in progress against the freshness and the expiry of
// their keys.
const freshnessCheckInterval = 100 * time.Millisecond

// watchFreshness cancels keyed requests when the keys are no longer fresh, since a withdrawal could be missed, and those
// whose key has expired.
func (s *Server) watchFreshness(ctx context.Context) {
	tick := time.NewTicker(freshnessCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if !s.dir.Fresh(clock.Now()) {
				s.active.cancelIf(errNotFresh, func(x *exchange) bool { return !x.open })
			}
			s.cancelWithdrawn(s.dir.Tree())
		}
	}
}

// recordSuccess adds to the retry budget.
func (s *Server) recordSuccess() {
	s.budgetMu.Lock()
	defer s.budgetMu.Unlock()
	s.budget.OnSuccess()
}
