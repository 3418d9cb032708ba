// Package catalog is a whole routing configuration under one version: routes by host and path prefix, the services that
// they lead to, organisations with their keys, and limits on what callers send.
//
// A catalog is replaced as a whole. The highest version is in force.
package catalog

import (
	"time"

	"github.com/juju/errors"
)

// Kind says what may be repeated of a route's requests.
type Kind uint8

const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests are idempotent.
	Safe
	// Streaming requests are answered by an event stream. They are idempotent only where the route is resumable.
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
	Keyed         bool // requests carry a key, except on public routes
}

// Route leads the requests of a host and path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string // begins and ends with a slash
	Kind       Kind
	Targets    []Target

	Timeout       time.Duration // longest time that a caller is kept waiting
	LatencyTarget time.Duration // to the answer, of a stream to its first event
	GapTarget     time.Duration // of a stream: between two events
	Priority      int           // 0 is the highest
	MaxAttempts   int           // servers to which one request may be sent
	Public        bool          // needs no key
	Resumable     bool          // a broken stream may go on at another server
	CachesPrompts bool          // requests carry prompt parts that servers keep
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
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
	MaxConnections int // that one server takes from all callers together
	Engine         *Engine
}

// Engine describes the model servers of a service.
type Engine struct {
	Slots         int           // requests in one batch
	CacheTokens   int           // memory of one server, in tokens
	CacheTransfer time.Duration // to bring one token of memory from server to server; 0: they don't
	Backups       bool          // a server sends a run's memory to another one as it grows, which can go on with it
}

// Organisation is a customer with its keys.
type Organisation struct {
	Name        string
	Keys        []string
	Priority    int
	HasPriority bool // Priority goes before the route's
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Validate returns the first contradiction in c.
func (c *Catalog) Validate() error {
	services := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		if s.Name == "" {
			return errors.NotValidf("service without a name")
		}
		services[s.Name] = true
	}
	type place struct{ host, prefix string }
	places := make(map[place]string, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := r.validate(services); err != nil {
			return errors.Annotatef(err, "route %q", r.Name)
		}
		at := place{r.Host, r.PathPrefix}
		if other, ok := places[at]; ok {
			return errors.NotValidf("routes %q and %q with the same host and path prefix", other, r.Name)
		}
		places[at] = r.Name
	}
	return c.validateKeys()
}

func (c *Catalog) validateKeys() error {
	holders := make(map[string]string)
	for _, o := range c.Organisations {
		if o.Name == "" {
			return errors.NotValidf("organisation without a name")
		}
		for _, key := range o.Keys {
			if other, ok := holders[key]; ok && other != o.Name {
				return errors.NotValidf("organisations %q and %q with the same key", other, o.Name)
			}
			holders[key] = o.Name
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
