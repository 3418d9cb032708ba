// Package limit enforces rate and concurrency limits.
//
// Each entry has one Limiter. A limit applies to all of them together and is enforced without a round trip per request:
// the control group assigns every entry a share of it by recent demand. A Limiter reads no clock and is not safe for concurrent
// use.
package limit

import (
	"fmt"
	"time"
)

// ScopeKind is the kind of entity that a limit applies to.
type ScopeKind uint8

const (
	// ScopeKey is a caller's key.
	ScopeKey ScopeKind = iota + 1
	// ScopeClass is a class of an organisation.
	ScopeClass
	// ScopeOrganisation is an organisation or one of its parents.
	ScopeOrganisation
)

// String returns the name that callers see.
func (k ScopeKind) String() string {
	switch k {
	case ScopeKey:
		return "key"
	case ScopeClass:
		return "class"
	default:
		return "organisation"
	}
}

// Limits are the limits of a scope over all entries. Zero means no limit.
type Limits struct {
	RequestsPerMinute int
	TokensPerMinute   int
	Concurrency       int
}

// Scope is an entity with limits of its own.
type Scope struct {
	Kind   ScopeKind
	Name   string // unique within its kind, such as the path of an organisation
	Limits Limits
}

// Request is an arriving request.
type Request struct {
	Organisation string  // selects the share of the limits
	Scopes       []Scope // the key, the class, the organisation and its parents
	Tier         int     // 0 is the highest
	Tokens       int     // number of prompt tokens
}

// Quantity is the quantity that a limit bounds.
type Quantity uint8

const (
	// Requests counts requests per minute.
	Requests Quantity = iota + 1
	// Tokens counts prompt and output tokens per minute.
	Tokens
	// Concurrency counts requests in progress.
	Concurrency
)

// String returns the name that callers see.
func (q Quantity) String() string {
	switch q {
	case Requests:
		return "requests per minute"
	case Tokens:
		return "tokens per minute"
	default:
		return "concurrency"
	}
}

// Refusal is the error for a request that exceeds a limit.
type Refusal struct {
	Scope      ScopeKind
	Name       string
	Quantity   Quantity
	Limit      int // over all entries
	RetryAfter time.Duration
}

// Error returns the message for the caller.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s %q is at its limit of %d (%s)", r.Scope, r.Name, r.Limit, r.Quantity)
}

// Lease represents an admitted request. Output tokens are charged to it with Limiter.Charge, and Limiter.Release ends it.
type Lease struct {
	counters []*counter
	tier     int
	since    time.Time
	open     bool
}

type scopeID struct {
	kind ScopeKind
	name string
}

// Limiter counts the requests of one entry and enforces its shares of the limits.
type Limiter struct {
	counters     map[scopeID]*counter
	assigned     map[string]assignedShare
	defaultShare assignedShare
	demand       map[string]*window
}

// NewLimiter returns a limiter that uses the whole of every limit until SetShare is called.
func NewLimiter() *Limiter {
	return &Limiter{
		counters:     make(map[scopeID]*counter),
		assigned:     make(map[string]assignedShare),
		defaultShare: assignedShare{share: Whole, permanent: true},
		demand:       make(map[string]*window),
	}
}

// SetShare sets the entry's share of an organisation's limits. now is the time at which the share was requested. The empty name
// stands for all organisations without a share of their own.
func (l *Limiter) SetShare(now time.Time, organisation string, s Share) {
	assigned := assignedShare{share: s, at: now}
	if organisation == "" {
		l.defaultShare = assigned
		return
	}
	l.assigned[organisation] = assigned
}

// Acquire admits a request, or returns a Refusal with the first limit that it exceeds. A refused request uses up no limit, but
// counts for Demand and as activity of its tier.
func (l *Limiter) Acquire(now time.Time, r Request) (*Lease, *Refusal) {
	l.demandWindow(r.Organisation).add(now, 1)
	share, ok := l.assigned[r.Organisation]
	if !ok {
		share = l.defaultShare
	}
	counters := make([]*counter, len(r.Scopes))
	for i, scope := range r.Scopes {
		counters[i] = l.counter(scope)
		counters[i].recordArrival(now, r.Tier)
	}
	for i, c := range counters {
		if refusal := c.check(now, &r, &r.Scopes[i], share); refusal != nil {
			return nil, refusal
		}
	}
	for _, c := range counters {
		c.add(now, r.Tokens)
	}
	return &Lease{counters: counters, tier: r.Tier, since: now, open: true}, nil
}

// Charge counts output tokens of an admitted request. It has no effect after Release.
func (l *Limiter) Charge(now time.Time, lease *Lease, tokens int) {
	if !lease.open {
		return
	}
	for _, c := range lease.counters {
		c.tokens.add(now, float64(tokens))
	}
}

// Release ends an admitted request. Further calls have no effect.
func (l *Limiter) Release(now time.Time, lease *Lease) {
	if !lease.open {
		return
	}
	lease.open = false
	for _, c := range lease.counters {
		c.release(now.Sub(lease.since))
	}
}

// Demand returns the number of the organisation's requests in the last minute, including refused ones.
func (l *Limiter) Demand(now time.Time, organisation string) float64 {
	w := l.demand[organisation]
	if w == nil {
		return 0
	}
	return w.sum(now)
}

// Sweep removes counters of scopes without requests in progress or in the last minute. It keeps shares.
func (l *Limiter) Sweep(now time.Time) {
	for id, c := range l.counters {
		if c.isIdle(now) {
			delete(l.counters, id)
		}
	}
	for organisation, w := range l.demand {
		if w.sum(now) == 0 {
			delete(l.demand, organisation)
		}
	}
}

func (l *Limiter) demandWindow(organisation string) *window {
	w := l.demand[organisation]
	if w == nil {
		w = &window{}
		l.demand[organisation] = w
	}
	return w
}

func (l *Limiter) counter(s Scope) *counter {
	id := scopeID{s.Kind, s.Name}
	c := l.counters[id]
	if c == nil {
		c = &counter{}
		l.counters[id] = c
	}
	return c
}
