package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/net/netutil"

	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/core/retry"
	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/internal/meter"
	"github.com/guavastack/guavastack/internal/serverset"
	"github.com/guavastack/guavastack/internal/telemetry"
)

// Server is one entry.
type Server struct {
	cfg     Config
	dir     Directory
	links   Links
	fleet   *serverset.Set
	limits  *limits
	usage   *meter.Meter
	active  *activeSet
	demand  *demandMeter
	handler http.Handler

	budgetMu sync.Mutex
	budget   *retry.Budget

	draining   atomic.Bool
	background sync.WaitGroup // work that outlives its request
}

// New returns an entry that serves once Serve is called.
func New(cfg Config, dir Directory, links Links) *Server {
	cfg = cfg.withDefaults()
	s := &Server{
		cfg:    cfg,
		dir:    dir,
		links:  links,
		fleet:  serverset.New(cfg.Zone, cfg.Routing),
		limits: newLimits(),
		usage:  meter.New(meter.Config{ID: cfg.ID, Incarnation: cfg.Incarnation, Interval: cfg.UsageInterval, Logger: cfg.Logger}, dir),
		active: newActiveSet(cfg.MaxInFlight),
		demand: newDemandMeter(),
		budget: retry.NewBudget(),
	}
	s.handler = s.routes()
	dir.SetDemand(s.demand.collect)
	dir.OnChange(s.directoryChanged)
	return s
}

// routes maps the callers' API.
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

// Status reports whether the entry takes new requests.
func (s *Server) Status() (ready bool, reason string) {
	switch {
	case s.draining.Load():
		return false, "shutting down"
	case !s.dir.Ready():
		return false, "no settings from the control group yet"
	case !s.dir.Fresh(clock.Now()):
		return false, "settings not confirmed by the control group lately"
	default:
		return true, ""
	}
}

// ServeHTTP serves one request of a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Serve answers callers on lis until ctx is done, then shuts down gracefully: not ready first, then no new
// connections, then it waits for all requests in progress.
func (s *Server) Serve(ctx context.Context, lis net.Listener) error {
	srv := &http.Server{
		Handler:           s,
		ReadHeaderTimeout: s.cfg.HeaderTimeout,
		IdleTimeout:       s.cfg.IdleTimeout,
		MaxHeaderBytes:    s.cfg.MaxHeaderBytes,
		TLSConfig:         s.cfg.TLS,
		ErrorLog:          errorLog(s.cfg.Logger),
	}
	lis = netutil.LimitListener(lis, s.cfg.MaxConnections)
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var helpers sync.WaitGroup
	helpers.Go(func() { s.watchFreshness(background) })
	helpers.Go(func() { s.usage.Run(background) })

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
	helpers.Wait()
	s.usage.Flush(context.WithoutCancel(ctx))
	return err
}

// drain ends accepting and waits for the requests in progress.
func (s *Server) drain(ctx context.Context, srv *http.Server) error {
	s.draining.Store(true)
	s.cfg.Logger.Info("entry is shutting down", "in_flight", s.active.count())
	time.Sleep(s.cfg.DrainDelay)
	err := srv.Shutdown(ctx)
	s.background.Wait()
	return errors.Annotate(err, "shutdown of the callers' listener")
}

// directoryChanged brings a change of settings, keys or the registry into force here.
func (s *Server) directoryChanged() {
	s.fleet.Update(time.Now(), s.dir.Backends())
	s.endWithdrawn(s.dir.Tree())
}

// endWithdrawn ends the requests whose key no longer holds.
func (s *Server) endWithdrawn(tree *settings.Tree) {
	now := time.Now()
	s.active.endIf(errKeyWithdrawn, func(x *exchange) bool {
		if x.open {
			return false
		}
		k, ok := tree.KeyByHash(x.keyHash)
		return !ok || !k.Usable(now)
	})
}

// freshnessCheckInterval is how often running requests are checked against the freshness of the view and the
// expiry of their keys.
const freshnessCheckInterval = 100 * time.Millisecond

// watchFreshness ends keyed requests when the view of keys is no longer confirmed, for a withdrawal could be missed.
func (s *Server) watchFreshness(ctx context.Context) {
	tick := time.NewTicker(freshnessCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if !s.dir.Fresh(clock.Now()) {
				s.active.endIf(errNotFresh, func(x *exchange) bool { return !x.open })
			}
			s.endWithdrawn(s.dir.Tree())
		}
	}
}

// succeeded pays into the retry budget.
func (s *Server) succeeded() {
	s.budgetMu.Lock()
	defer s.budgetMu.Unlock()
	s.budget.OnSuccess()
}
