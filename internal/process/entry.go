package process

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/config"
	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/entry"
	"github.com/guavastack/guavastack/internal/link"
	"github.com/guavastack/guavastack/internal/watch"
)

const roleEntry = "entry"

// Entry is the entry role.
type Entry struct {
	base     *Base
	watch    *watch.Client
	links    *link.Pool
	server   *entry.Server
	listener net.Listener
}

// NewWatch returns the client by which the entry watches the control group.
func NewWatch(base *Base) *watch.Client {
	cfg := watch.Config{
		ProcessID:   base.Config.ID,
		Incarnation: base.Incarnation,
		Role:        roleEntry,
		Zone:        base.Config.Zone,
		Control:     base.Config.ControlMembers,
		Dial:        base.Network.Dial,
		Logger:      base.Logger,
	}
	if e := base.Config.Entry; e != nil {
		cfg.FreshnessLimit = time.Duration(e.FreshnessLimit)
	}
	return watch.New(cfg)
}

// NewLinks returns the pool of the entry's links to agents.
func NewLinks(base *Base) *link.Pool {
	return link.NewPool(link.Config{
		EntryID:     base.Config.ID,
		Incarnation: base.Incarnation,
		Dial:        base.Network.DialNetwork,
		Logger:      base.Logger,
	})
}

// routings maps the names of routing policies in settings files to the policies.
var routings = map[string]route.Policy{
	config.DefaultRouting:        route.PolicyTwoChoices,
	config.DefaultGatewayRouting: route.PolicySessionLanes,
	"round_robin":                route.PolicyRoundRobin,
	"least_outstanding":          route.PolicyLeastOutstanding,
}

// NewEntry returns the entry role with its listener open.
func NewEntry(base *Base, client *watch.Client, links *link.Pool) (*Entry, error) {
	c := base.Config.Entry
	base.Memory.RegisterGauges()
	cert, err := listenerTLS(c.TLS)
	if err != nil {
		return nil, errors.Annotate(err, "entry.tls")
	}
	cfg := entry.Config{
		ID:             base.Config.ID,
		Incarnation:    base.Incarnation,
		Zone:           base.Config.Zone,
		Routing:        routings[c.Routing],
		MaxBodyBytes:   int64(c.MaxBodyBytes),
		MaxConnections: c.MaxConnections,
		MaxInFlight:    c.MaxInFlight,
		DrainDelay:     time.Duration(c.DrainDelay),
		Memory:         base.Memory,
		Connections:    connLimits(base, roleEntry),
		Logger:         base.Logger,
		Metrics:        base.Metrics,
	}
	if cert != nil {
		cfg.TLS = cert.ServerConfig()
	}
	lis, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, errors.Annotate(err, "entry.listen")
	}
	return &Entry{base: base, watch: client, links: links, server: entry.New(cfg, client, links), listener: lis}, nil
}

// Addr returns the address on which the entry accepts requests.
func (e *Entry) Addr() net.Addr { return e.listener.Addr() }

// Status implements Role.
func (e *Entry) Status() (ready bool, reason string) { return e.server.Status() }

// Run implements Role. At shutdown the watch and the links stay up until the requests in flight have ended.
func (e *Entry) Run(ctx context.Context) error {
	watchCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	watchDone := make(chan struct{})
	go func() {
		defer close(watchDone)
		_ = e.watch.Run(watchCtx)
	}()
	err := e.server.Serve(ctx, e.listener)
	stop()
	<-watchDone
	e.links.Close()
	return err
}
