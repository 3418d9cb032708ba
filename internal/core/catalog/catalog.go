// Package catalog defines the versioned routing configuration: routes by host and path prefix, the services that they
// lead to, organisations with their keys, and limits on callers' requests.
//
// A catalog is replaced as a whole. The highest version is in force.
package catalog

import (
	"time"

	"github.com/juju/errors"
)

// Kind classifies a route by whether its requests may be repeated.
type Kind uint8

const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests are idempotent.
	Safe
	// Streaming requests are answered by an event stream. They are idempotent only if the route is resumable.
	Streaming
)

// String returns the name of the kind.
func (k Kind) String() string { return [...]string{"unsafe", "safe", "streaming"}[k] }

// Catalog is one version of the routing configuration.
type Catalog struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
	RequireKeys   bool // requests need a key, except on public routes
}

// Route maps the requests of a host and path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string // begins and ends with a slash
	Kind       Kind
	Targets    []Target // Validate requires a sum of weights above 0

	Timeout       time.Duration // maximum time that a caller waits
	LatencyTarget time.Duration // until the answer, for a stream until its first event
	GapTarget     time.Duration // between two events of a stream
	Priority      int           // 0 is the highest
	MaxAttempts   int           // servers to which one request may be sent
	Public        bool          // requests need no key
	Resumable     bool          // a broken stream may be resumed at another server
	CachesPrompts bool          // requests carry prompt parts that servers cache
	HomeRegions   []string      // whose servers may get requests of the route; empty: all
}

// IsIdempotent reports whether a request of the route may run more than once.
func (r *Route) IsIdempotent() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// Target is one service of a route with its share of the requests.
type Target struct {
	Service string
	Weight  int
}

// Service is a set of backend servers that do the same work.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // maximum that one server accepts from all callers together
	Engine         *Engine
	ColdStart      time.Duration // duration of a cold start; 0: not stated
	ColdPerSecond  float64       // requests per second that one cold server takes from all gateways together; 0: not limited
}

// Engine describes the model servers of a service.
type Engine struct {
	Slots                 int           // requests in one batch
	CacheTokens           int           // capacity of one server's KV cache
	CacheTransferPerToken time.Duration // time to copy one token's KV cache between servers; 0: servers don't copy it
	Backups               bool          // a server replicates the growing KV cache of a request to another server, which can resume the request
}

// Organisation is a customer with its keys.
type Organisation struct {
	Name        string
	Keys        []string
	Priority    int
	HasPriority bool     // Priority ranks before the route's
	HomeRegions []string // whose servers may get requests of the organisation; empty: all
}

// Limits bound the size of a caller's request and the time to receive it.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Validate returns an error for the first inconsistency found in c.
func (c *Catalog) Validate() error {
	services := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		if s.Name == "" {
			return errors.NotValidf("service without a name")
		}
		services[s.Name] = true
	}
	type routeKey struct{ host, prefix string }
	routeNames := make(map[routeKey]string, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := r.validate(services); err != nil {
			return errors.Annotatef(err, "route %q", r.Name)
		}
		key := routeKey{r.Host, r.PathPrefix}
		if other, ok := routeNames[key]; ok {
			return errors.NotValidf("routes %q and %q with the same host and path prefix", other, r.Name)
		}
		routeNames[key] = r.Name
	}
	return c.validateKeys()
}

func (c *Catalog) validateKeys() error {
	owners := make(map[string]string)
	for _, o := range c.Organisations {
		if o.Name == "" {
			return errors.NotValidf("organisation without a name")
		}
		for _, key := range o.Keys {
			if other, ok := owners[key]; ok && other != o.Name {
				return errors.NotValidf("organisations %q and %q with the same key", other, o.Name)
			}
			owners[key] = o.Name
		}
	}
	return nil
}

func (r *Route) validate(services map[string]bool) error {
	if len(r.PathPrefix) == 0 || r.PathPrefix[0] != '/' || r.PathPrefix[len(r.PathPrefix)-1] != '/' {
		return errors.NotValidf("path prefix %q; expected one that begins and ends with a slash", r.PathPrefix)
	}
	if r.Timeout <= 0 {
		return errors.NotValidf("timeout %v", r.Timeout)
	}
	total := 0
	for _, t := range r.Targets {
		if !services[t.Service] {
			return errors.NotFoundf("service %q", t.Service)
		}
		if t.Weight < 0 {
			return errors.NotValidf("weight %d of service %q", t.Weight, t.Service)
		}
		total += t.Weight
	}
	if total == 0 {
		return errors.NotValidf("sum of weights 0")
	}
	return nil
}
