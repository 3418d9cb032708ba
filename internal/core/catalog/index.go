package catalog

import (
	"crypto/sha256"
	"strings"
)

// Index looks up routes and organisations in one catalog. It is immutable and so safe for concurrent use.
type Index struct {
	catalog       *Catalog
	hosts         map[string]map[string]*Route // by host in lower case, then by path prefix
	organisations map[[sha256.Size]byte]*Organisation
	services      map[string]*Service
	ranks         map[precedence]int
}

// NewIndex returns an index of c. c must not be changed afterwards.
func NewIndex(c *Catalog) *Index {
	x := &Index{
		catalog:       c,
		hosts:         make(map[string]map[string]*Route),
		organisations: make(map[[sha256.Size]byte]*Organisation),
		services:      make(map[string]*Service, len(c.Services)),
		ranks:         ranksOf(c),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		if x.hosts[host] == nil {
			x.hosts[host] = make(map[string]*Route)
		}
		x.hosts[host][r.PathPrefix] = r
	}
	for i := range c.Organisations {
		o := &c.Organisations[i]
		for _, key := range o.Keys {
			x.organisations[HashKey(key)] = o
		}
	}
	for i := range c.Services {
		x.services[c.Services[i].Name] = &c.Services[i]
	}
	return x
}

// HashKey returns the SHA-256 of a key, by which keys are looked up.
func HashKey(key string) [sha256.Size]byte { return sha256.Sum256([]byte(key)) }

// Version returns the version of the catalog, 0 for a nil index.
func (x *Index) Version() uint64 {
	if x == nil {
		return 0
	}
	return x.catalog.Version
}

// RequiresKeys reports whether requests need a key, except on public routes.
func (x *Index) RequiresKeys() bool { return x.catalog.RequireKeys }

// Limits returns the bounds on what callers send.
func (x *Index) Limits() Limits { return x.catalog.Limits }

// Match returns the route of a host that has the longest path prefix, nil if none matches. host may have a port.
func (x *Index) Match(host, path string) *Route {
	routes := x.hosts[hostName(host)]
	if len(routes) == 0 {
		return nil
	}
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if r, ok := routes[path[:slash+1]]; ok {
			return r
		}
		end = slash
	}
	return nil
}

// hostName returns a host in lower case without its port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Organisation returns the organisation that has a key with this hash, nil if there is none.
func (x *Index) Organisation(key [sha256.Size]byte) *Organisation { return x.organisations[key] }

// Service returns the service with a name, nil if there is none.
func (x *Index) Service(name string) *Service { return x.services[name] }

// Services returns all services. They must not be modified.
func (x *Index) Services() []Service { return x.catalog.Services }

// Target chooses a service of the route by weight; draw is a random number. It returns "" if the sum of the weights is 0.
func (r *Route) Target(draw uint64) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total == 0 {
		return ""
	}
	left := int(draw % uint64(total))
	for _, t := range r.Targets {
		if left < t.Weight {
			return t.Service
		}
		left -= t.Weight
	}
	return ""
}
