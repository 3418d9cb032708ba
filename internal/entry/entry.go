// Package entry serves callers: it checks their keys, resolves organisation and class, applies limits, chooses a
// backend server, relays the answer and meters what was delivered.
//
// An entry has no durable state. Settings, keys and the registry of backend servers come from its Directory; requests go
// to agents over its Links.
package entry

import (
	"cmp"
	"context"
	"crypto/tls"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/guavastack/guavastack/internal/callerconn"
	"github.com/guavastack/guavastack/internal/core/limit"
	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/internal/core/state"
	"github.com/guavastack/guavastack/internal/core/verdict"
	"github.com/guavastack/guavastack/internal/core/zonedrain"
	"github.com/guavastack/guavastack/internal/link"
	"github.com/guavastack/guavastack/internal/requestmemory"
	"github.com/guavastack/guavastack/internal/telemetry"
	"github.com/guavastack/guavastack/proto/controlpb"
	"github.com/guavastack/guavastack/proto/linkpb"
)

// Directory is the entry's view of the control group. watch.Client implements it.
type Directory interface {
	// Tree returns the newest settings and keys received.
	Tree() *settings.Tree
	// Ready reports whether the first snapshot has been received.
	Ready() bool
	// Fresh reports whether settings and keys were confirmed as current within the freshness limit.
	Fresh(now time.Time) bool
	// Backends returns the registered backend servers.
	Backends() []*controlpb.BackendServer
	// ZoneDrains returns the drains of availability zones that are in force.
	ZoneDrains() *zonedrain.List
	// OnChange registers a function that runs after each change of the tree, the registry or the drains of zones.
	OnChange(func())
	// OpenWindow returns the number of the open billing window.
	OpenWindow() uint64
	// Share returns the share of the organisation's limits that this entry may grant.
	Share(organisation string) limit.Share
	// Propose commits a command and returns its outcome.
	Propose(ctx context.Context, cmd state.Command) (json.RawMessage, error)
	// ReportUsage sends cumulative usage counters.
	ReportUsage(ctx context.Context, r *controlpb.UsageReport) (*controlpb.UsageAck, error)
	// SetDemand registers the function that returns the demand to send with freshness queries.
	SetDemand(func() []*controlpb.Demand)
}

// Links carries requests to agents. link.Pool implements it.
type Links interface {
	Submit(ctx context.Context, addr string, s *linkpb.Submit, h link.Handler) (*link.Call, error)
	Resume(ctx context.Context, addr string, r *linkpb.Resume, h link.Handler) (*link.Call, error)
	Fence(ctx context.Context, addr, requestID, incarnation string) (verdict.Verdict, error)
}

// Defaults of Config.
const (
	DefaultMaxBodyBytes   = 8 << 20
	DefaultMaxHeaderBytes = 64 << 10
	DefaultMaxConnections = 20_000
	DefaultMaxInFlight    = 4_096
	DefaultHeaderTimeout  = 5 * time.Second
	DefaultBodyTimeout    = 30 * time.Second
	DefaultIdleTimeout    = 90 * time.Second
	DefaultWriteTimeout   = 30 * time.Second
	DefaultDrainDelay     = 2 * time.Second
	DefaultUsageInterval  = time.Second
)

// Config configures an entry. Zero values are replaced by the defaults above.
type Config struct {
	ID          string // of the process
	Incarnation string // of this start of the process
	Zone        string // availability zone
	Routing     route.Policy

	MaxBodyBytes   int64
	MaxHeaderBytes int
	MaxConnections int           // open connections of callers
	MaxInFlight    int           // requests in progress
	HeaderTimeout  time.Duration // for the header of a request
	BodyTimeout    time.Duration // for the body of a request
	IdleTimeout    time.Duration // of a kept-alive connection
	WriteTimeout   time.Duration // for one write to a caller
	DrainDelay     time.Duration // from reporting not ready until connections are refused, for the balancer
	UsageInterval  time.Duration // between usage reports

	Memory      *requestmemory.Memory // of the bodies of requests; nil: one with default limits
	Connections callerconn.Config     // limits of the callers' connections; its MaxConns is at most MaxConnections

	TLS     *tls.Config // nil: plain HTTP
	Logger  *slog.Logger
	Metrics *telemetry.Registry
}

// withDefaults returns c with its zero values replaced.
func (c Config) withDefaults() Config {
	c.MaxBodyBytes = cmp.Or(c.MaxBodyBytes, DefaultMaxBodyBytes)
	c.MaxHeaderBytes = cmp.Or(c.MaxHeaderBytes, DefaultMaxHeaderBytes)
	c.MaxConnections = cmp.Or(c.MaxConnections, DefaultMaxConnections)
	c.MaxInFlight = cmp.Or(c.MaxInFlight, DefaultMaxInFlight)
	c.HeaderTimeout = cmp.Or(c.HeaderTimeout, DefaultHeaderTimeout)
	c.BodyTimeout = cmp.Or(c.BodyTimeout, DefaultBodyTimeout)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, DefaultIdleTimeout)
	c.WriteTimeout = cmp.Or(c.WriteTimeout, DefaultWriteTimeout)
	c.DrainDelay = cmp.Or(c.DrainDelay, DefaultDrainDelay)
	c.UsageInterval = cmp.Or(c.UsageInterval, DefaultUsageInterval)
	if c.Connections.MaxConns <= 0 || c.Connections.MaxConns > c.MaxConnections {
		c.Connections.MaxConns = c.MaxConnections
	}
	if c.Memory == nil {
		c.Memory = requestmemory.New(requestmemory.DefaultConfig())
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.Metrics == nil {
		c.Metrics = telemetry.NewRegistry(telemetry.DefaultMaxSeries)
	}
	return c
}
