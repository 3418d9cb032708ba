package process

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/callerconn"
	"github.com/guavastack/guavastack/internal/config"
	"github.com/guavastack/guavastack/internal/gateway"
	"github.com/guavastack/guavastack/internal/watch"
)

const roleGateway = "gateway"

// readinessHeaderTimeout bounds the time to read the headers of a readiness check.
const readinessHeaderTimeout = time.Second

// Gateway is the gateway role.
type Gateway struct {
	base      *Base
	watch     *watch.Client
	server    *gateway.Server
	listener  net.Listener
	readiness net.Listener // nil if gateway.readiness_listen is empty
}

// NewGateway returns the gateway role with its listeners open.
func NewGateway(base *Base) (*Gateway, error) {
	c := base.Config.Gateway
	base.Memory.RegisterGauges()
	client := watch.New(watch.Config{
		ProcessID:      base.Config.ID,
		Incarnation:    base.Incarnation,
		Role:           roleGateway,
		Zone:           base.Config.Zone,
		Control:        base.Config.ControlMembers,
		ParseCatalog:   base.Adapter.ParseCatalog,
		FreshnessLimit: time.Duration(c.FreshnessLimit),
		Dial:           base.Network.Dial,
		Logger:         base.Logger,
	})
	g := &Gateway{base: base, watch: client}
	g.server = gateway.New(gateway.Config{
		ID:          base.Config.ID,
		Incarnation: base.Incarnation,
		Zone:        base.Config.Zone,
		UsageWindow: time.Duration(c.UsageWindow),
		Routing:     routings[c.Routing],
		RetryRatio:  c.RetryRatio,
		ColdOverrun: c.ColdOverrun,
		ColdSlack:   c.ColdSlack,
		HedgeRatio:  c.HedgeRatio,
		FairShares:  c.FairShares,
		GracePeriod: time.Duration(c.GracePeriod),

		CatalogLimit: time.Duration(c.CatalogLimit),
		Dialect:      base.Adapter.Dialect,
		Logger:       base.Logger,
		Metrics:      base.Metrics,
		Memory:       base.Memory,
		Connections:  connLimits(base, roleGateway),
	}, client)
	var err error
	if g.listener, err = net.Listen("tcp", c.Listen); err != nil {
		return nil, errors.Annotate(err, "gateway.listen")
	}
	if c.ReadinessListen == "" {
		return g, nil
	}
	g.readiness, err = net.Listen("tcp", c.ReadinessListen)
	return g, errors.Annotate(err, "gateway.readiness_listen")
}

// Addr returns the address on which the gateway accepts requests.
func (g *Gateway) Addr() net.Addr { return g.listener.Addr() }

// Status implements Role.
func (g *Gateway) Status() (ready bool, reason string) { return g.server.Status() }

// Reload implements Reloader. It applies changes of control_members.
func (g *Gateway) Reload(cfg *config.Config) { g.watch.AddControlMembers(cfg.ControlMembers) }

// Run implements Role. At shutdown the watch stays up until the requests in flight have ended.
func (g *Gateway) Run(ctx context.Context) error {
	watchCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	watchDone := make(chan struct{})
	go func() {
		defer close(watchDone)
		_ = g.watch.Run(watchCtx) // returns only the error of its context
	}()
	if g.readiness != nil {
		srv := &http.Server{
			Handler: g.server.ReadinessHandler(), ReadHeaderTimeout: readinessHeaderTimeout, ReadTimeout: sideTimeout, WriteTimeout: sideTimeout,
			MaxHeaderBytes: maxSideHeaderBytes,
		}
		defer serveInBackground(callerconn.Protect(srv, g.readiness, sideLimits(g.base, "readiness")), srv)()
	}
	err := g.server.Serve(ctx, g.listener)
	stop()
	<-watchDone
	return err
}
