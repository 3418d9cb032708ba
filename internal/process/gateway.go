package process

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/config"
	"github.com/guavastack/guavastack/internal/gateway"
	"github.com/guavastack/guavastack/internal/watch"
)

const roleGateway = "gateway"

// readinessTimeout bounds one readiness check.
const readinessTimeout = time.Second

// Gateway is the gateway role.
type Gateway struct {
	base      *Base
	watch     *watch.Client
	server    *gateway.Server
	listener  net.Listener
	readiness net.Listener // nil: none
}

// NewGateway returns the gateway role, which listens already.
func NewGateway(base *Base) (*Gateway, error) {
	c := base.Config.Gateway
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
		GracePeriod: time.Duration(c.GracePeriod),
		Dialect:     base.Adapter.Dialect,
		Logger:      base.Logger,
		Metrics:     base.Metrics,
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

// Addr returns the address that callers use.
func (g *Gateway) Addr() net.Addr { return g.listener.Addr() }

// Status implements Role.
func (g *Gateway) Status() (ready bool, reason string) { return g.server.Status() }

// Reload implements Reloader: other control members may be named.
func (g *Gateway) Reload(cfg *config.Config) { g.watch.SetSeeds(cfg.ControlMembers) }

// Run implements Role. The watch outlives the requests in progress.
func (g *Gateway) Run(ctx context.Context) error {
	watching, stop := context.WithCancel(context.WithoutCancel(ctx))
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		_ = g.watch.Run(watching) // ends with its context
	}()
	if g.readiness != nil {
		srv := &http.Server{Handler: g.server.ReadinessHandler(), ReadHeaderTimeout: readinessTimeout}
		defer serveBeside(g.readiness, srv)()
	}
	err := g.server.Serve(ctx, g.listener)
	stop()
	<-watched
	return err
}
