// Package process runs the roles that a settings file names in one process.
//
// It holds the providers that cmd/guavastack wires into a graph for each role; each role is started by Run and ends
// by a graceful shutdown when its context is done.
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

	"github.com/guavastack/guavastack/internal/certs"
	"github.com/guavastack/guavastack/internal/config"
	"github.com/guavastack/guavastack/internal/control"
	"github.com/guavastack/guavastack/internal/core/catalog"
	"github.com/guavastack/guavastack/internal/gateway"
	"github.com/guavastack/guavastack/internal/peernet"
	"github.com/guavastack/guavastack/internal/platform"
	"github.com/guavastack/guavastack/internal/telemetry"
)

// Base is what all roles of a process share.
type Base struct {
	Config      *config.Config
	Incarnation string // of this start of the process
	Started     time.Time
	Logger      *slog.Logger
	Metrics     *telemetry.Registry
	Network     *peernet.Network
	Adapter     Adapter // for the roles that need one; set by the caller of NewBase
}

// Adapter speaks to the platform that the process runs on, for the gateway and control roles.
type Adapter struct {
	Dialect      gateway.Dialect
	ParseCatalog func(document []byte) (*catalog.Catalog, error)
	// Operators returns the handler of the calls of operators and backend servers to a control member.
	Operators func(plane control.Plane, logger *slog.Logger) http.Handler
	// Platform returns the client of the platform at a URL.
	Platform func(url string) platform.Platform
}

// NewBase prepares a process.
func NewBase(cfg *config.Config, logger *slog.Logger) (*Base, error) {
	network, err := newNetwork(cfg)
	if err != nil {
		return nil, err
	}
	return &Base{
		Config:      cfg,
		Incarnation: uuid.NewString(),
		Started:     time.Now(),
		Logger:      logger.With("process", cfg.ID),
		Metrics:     telemetry.NewRegistry(telemetry.DefaultMaxSeries),
		Network:     network,
	}, nil
}

func newNetwork(cfg *config.Config) (*peernet.Network, error) {
	var net peernet.Config
	for _, a := range cfg.AllowedPeers {
		p, err := config.ParsePeer(a)
		if err != nil {
			return nil, errors.Trace(err)
		}
		net.Allowed = append(net.Allowed, p)
	}
	for _, a := range cfg.ControlMembers {
		net.Allowed = append(net.Allowed, hostPrefix(a))
	}
	if t := cfg.LinkTLS; t != nil {
		net.Certificate, net.Key, net.Authority = t.Certificate, t.Key, t.Authority
	}
	return peernet.New(net)
}

// hostPrefix returns the prefix of the one address in an address with a port, which was checked before.
func hostPrefix(addrPort string) netip.Prefix {
	a := netip.MustParseAddrPort(addrPort).Addr()
	return netip.PrefixFrom(a, a.BitLen())
}

// Role is one role of a process.
type Role interface {
	// Run serves until ctx is done and then shuts down gracefully.
	Run(ctx context.Context) error
	// Status reports whether the role is ready.
	Status() (ready bool, reason string)
}

// Reloader is a role that takes changed settings while it runs.
type Reloader interface {
	// Reload takes over what can change while the role runs; everything else waits for a restart.
	Reload(cfg *config.Config)
}

// Run runs the roles until ctx is done or one of them fails, and serves the process's status beside them. The roles
// shut down one after the other in the given order, so that an entry can finish while its agents still run.
func Run(ctx context.Context, base *Base, roles ...Role) error {
	failed, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	var running errgroup.Group
	var previous chan struct{}
	for _, role := range roles {
		done := make(chan struct{})
		stop := stopAfter(failed, previous)
		running.Go(func() error {
			defer close(done)
			err := role.Run(stop)
			if err != nil && failed.Err() == nil {
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

// stopAfter returns a context that is done once ctx is done and previous, if there is one, is closed.
func stopAfter(ctx context.Context, previous <-chan struct{}) context.Context {
	if previous == nil {
		return ctx
	}
	stop, cancel := context.WithCancel(context.WithoutCancel(ctx))
	go func() {
		<-ctx.Done()
		<-previous
		cancel()
	}()
	return stop
}

// serveStatus serves metrics, health and profiles on the address of the settings, if there is one.
func serveStatus(base *Base, roles []Role) (stop func(), err error) {
	mux := http.NewServeMux()
	telemetry.Mount(mux, base.Metrics, statusOf(roles))
	return listenBeside("status_listen", base.Config.StatusListen, mux)
}

// serveMetrics serves the metrics alone, as text, on an address that others may reach.
func serveMetrics(base *Base) (stop func(), err error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		_ = base.Metrics.WriteText(w) // the reader may be gone
	})
	return listenBeside("metrics_listen", base.Config.MetricsListen, mux)
}

// listenBeside serves h beside the roles on the address of a setting, if there is one.
func listenBeside(setting, address string, h http.Handler) (stop func(), err error) {
	if address == "" {
		return func() {}, nil
	}
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return func() {}, errors.Annotate(err, setting)
	}
	return serveBeside(lis, &http.Server{Handler: h, ReadHeaderTimeout: statusHeaderTimeout}), nil
}

const statusHeaderTimeout = 5 * time.Second

// statusOf is ready when every role is.
func statusOf(roles []Role) telemetry.Status {
	return func() (bool, string) {
		for _, r := range roles {
			if ready, reason := r.Status(); !ready {
				return false, reason
			}
		}
		return true, ""
	}
}

// listenerTLS returns the TLS settings of a listener, nil where the settings name no files.
func listenerTLS(t *config.TLS) (*certs.Reloader, error) {
	if t == nil {
		return nil, nil
	}
	return certs.NewReloader(t.Certificate, t.Key)
}
