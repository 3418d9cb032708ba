// Package process runs the roles that a settings file names in one process.
//
// It holds the providers that Wire combines into an injector for each role. Run starts the roles and shuts them down
// gracefully when its context is done.
package process

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/guavastack/guavastack/internal/callerconn"
	"github.com/guavastack/guavastack/internal/certs"
	"github.com/guavastack/guavastack/internal/config"
	"github.com/guavastack/guavastack/internal/control"
	"github.com/guavastack/guavastack/internal/core/catalog"
	"github.com/guavastack/guavastack/internal/gateway"
	"github.com/guavastack/guavastack/internal/peernet"
	"github.com/guavastack/guavastack/internal/platformclient"
	"github.com/guavastack/guavastack/internal/requestmemory"
	"github.com/guavastack/guavastack/internal/telemetry"
)

// Base holds the configuration and the components that all roles of a process share.
type Base struct {
	Config      *config.Config
	Incarnation string // unique to this run of the process
	Started     time.Time
	Logger      *slog.Logger
	Metrics     *telemetry.Registry
	Network     *peernet.Network
	Memory      *requestmemory.Memory // of the bodies of requests
	Adapter     Adapter               // set by the caller of NewBase; required by the gateway and by some settings of control
}

// Adapter supplies the protocols of the platform that the process runs on to the gateway and control roles.
type Adapter struct {
	Dialect      gateway.Dialect
	ParseCatalog func(document []byte) (*catalog.Catalog, error)
	// ControlHandler returns the handler for requests from operators and backend servers to a control member.
	ControlHandler func(plane control.Plane, logger *slog.Logger) http.Handler
	// Platform returns a client of the platform at url.
	Platform func(url string) platformclient.Platform
}

// NewBase creates the logger, metrics and network of a process, with a new incarnation.
func NewBase(cfg *config.Config, logger *slog.Logger) (*Base, error) {
	network, err := newNetwork(cfg)
	if err != nil {
		return nil, err
	}
	logger = logger.With("process", cfg.ID)
	metrics := telemetry.NewRegistry(telemetry.DefaultMaxSeries)
	return &Base{
		Config:      cfg,
		Incarnation: uuid.NewString(),
		Started:     time.Now(),
		Logger:      logger,
		Metrics:     metrics,
		Network:     network,
		Memory:      newRequestMemory(cfg, logger, metrics),
	}, nil
}

func newNetwork(cfg *config.Config) (*peernet.Network, error) {
	var peerCfg peernet.Config
	for _, a := range cfg.AllowedPeers {
		p, err := config.ParsePeer(a)
		if err != nil {
			return nil, errors.Trace(err)
		}
		peerCfg.Allowed = append(peerCfg.Allowed, p)
	}
	for _, a := range cfg.ControlMembers {
		peerCfg.Allowed = append(peerCfg.Allowed, hostPrefix(a))
	}
	if t := cfg.LinkTLS; t != nil {
		peerCfg.Certificate, peerCfg.Key, peerCfg.Authority = t.Certificate, t.Key, t.Authority
	}
	return peernet.New(peerCfg)
}

// hostPrefix returns the prefix that contains only the address of addrPort. It panics if addrPort is invalid.
func hostPrefix(addrPort string) netip.Prefix {
	a := netip.MustParseAddrPort(addrPort).Addr()
	return netip.PrefixFrom(a, a.BitLen())
}

// Role is one role of a process.
type Role interface {
	// Run serves until ctx is done and then shuts down gracefully.
	Run(ctx context.Context) error
	// Status reports whether the role is ready. If it is not, reason says why.
	Status() (ready bool, reason string)
}

// Reloader is implemented by roles that can apply changed settings without a restart.
type Reloader interface {
	// Reload applies the settings that can change while the role runs; all others take effect at the next start.
	Reload(cfg *config.Config)
}

// Run runs the roles until ctx is done or one of them fails, and serves the process's status and metrics meanwhile.
// The roles shut down one after another in the given order, so that an entry can finish its requests while the agents
// in the same process still run.
func Run(ctx context.Context, base *Base, roles ...Role) error {
	runCtx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	var running errgroup.Group
	var previous chan struct{}
	for _, role := range roles {
		done := make(chan struct{})
		roleCtx := stopAfter(runCtx, previous)
		running.Go(func() error {
			defer close(done)
			err := role.Run(roleCtx)
			if err != nil && runCtx.Err() == nil {
				fail(err)
			}
			return err
		})
		previous = done
	}
	stopStatus, err := serveStatus(base, roles)
	if err != nil {
		fail(err)
	}
	defer stopStatus()
	stopMetrics, metricsErr := serveMetrics(base)
	if metricsErr != nil {
		fail(metricsErr)
	}
	defer stopMetrics()
	if rolesErr := running.Wait(); rolesErr != nil {
		return rolesErr
	}
	return firstError(err, metricsErr)
}

// stopAfter returns a context that is done once ctx is done and previous, unless nil, is closed.
func stopAfter(ctx context.Context, previous <-chan struct{}) context.Context {
	if previous == nil {
		return ctx
	}
	stopCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	go func() {
		<-ctx.Done()
		<-previous
		cancel()
	}()
	return stopCtx
}

// serveStatus serves metrics, health and profiles on status_listen, if that is set.
func serveStatus(base *Base, roles []Role) (stop func(), err error) {
	mux := http.NewServeMux()
	telemetry.Mount(mux, base.Metrics, combinedStatus(roles))
	return listenInBackground(base, "status_listen", base.Config.StatusListen, mux)
}

// serveMetrics serves only the metrics, in the Prometheus text format, on metrics_listen, if that is set. Unlike
// status_listen, the address may be reachable from other instances.
func serveMetrics(base *Base) (stop func(), err error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		_ = base.Metrics.WriteText(w) // fails only if the client disconnected
	})
	return listenInBackground(base, "metrics_listen", base.Config.MetricsListen, mux)
}

// listenInBackground serves h in the background on address, unless that is empty, until stop is called. Errors are annotated
// with setting, the name of the setting that holds the address.
func listenInBackground(base *Base, setting, address string, h http.Handler) (stop func(), err error) {
	if address == "" {
		return func() {}, nil
	}
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return func() {}, errors.Annotate(err, setting)
	}
	srv := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: sideTimeout, WriteTimeout: sideAnswerTimeout, MaxHeaderBytes: maxSideHeaderBytes,
	}
	return serveInBackground(callerconn.Protect(srv, lis, sideLimits(base, setting)), srv), nil
}

const headerTimeout = 5 * time.Second

// combinedStatus returns the status of the process: ready if every role is, otherwise the reason of the first role that
// is not.
func combinedStatus(roles []Role) telemetry.Status {
	return func() (bool, string) {
		for _, r := range roles {
			if ready, reason := r.Status(); !ready {
				return false, reason
			}
		}
		return true, ""
	}
}

// listenerTLS loads the certificate of a listener. It returns nil if t is nil.
func listenerTLS(t *config.TLS) (*certs.Reloader, error) {
	if t == nil {
		return nil, nil
	}
	return certs.NewReloader(t.Certificate, t.Key)
}
