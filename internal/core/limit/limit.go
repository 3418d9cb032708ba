// Package limit admits requests by rates and concurrency.
//
// A Limiter belongs to one entry. The entries share each limit without a round trip: the control group hands every
// entry a share of it by recent demand. A Limiter reads no clock and is not safe for concurrent use.
package limit

import (
	"fmt"
	"time"
)

// ScopeKind is what a limit belongs to.
type ScopeKind uint8

const (
	// ScopeKey is a caller's key.
	ScopeKey ScopeKind = iota + 1
	// ScopeClass is one class of an organisation.
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

// Limits bound a scope over all entries. Zero means no limit.
type Limits struct {
	RequestsPerMinute int
	TokensPerMinute   int
	Concurrency       int
}

// Scope is one holder of limits.
type Scope struct {
	Kind   ScopeKind
	Name   string // unique within its kind, such as the path of an organisation
	Limits Limits
}

// Request is one arrival.
type Request struct {
	Organisation string  // whose share of the limits applies
	Scopes       []Scope // the key, the class, the organisation and its parents
	Tier         int     // 0 is the highest
	Tokens       int     // of the prompt
}

// Quantity is what a limit counts.
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

// Refusal says which limit refused a request and when to come back.
type Refusal struct {
	Scope      ScopeKind
	Name       string
	Quantity   Quantity
	Limit      int // over all entries
	RetryAfter time.Duration
}

// Error describes the refusal to the caller.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s %q is at its limit of %d (%s)", r.Scope, r.Name, r.Limit, r.Quantity)
}

// Lease is an admitted request. Its owner charges output tokens to it and releases it once.
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

// Limiter counts the requests of one entry.
type Limiter struct {
	counters map[scopeID]*counter
	shares   map[string]heldShare
	fallback heldShare
	demand   map[string]*window
}

// NewLimiter returns a limiter that holds every limit alone until SetShare is called.
func NewLimiter() *Limiter {
	return &Limiter{
		counters: make(map[scopeID]*counter),
		shares:   make(map[string]heldShare),
		fallback: heldShare{share: Whole, permanent: true},
		demand:   make(map[string]*window),
	}
}

// SetShare sets the entry's share of an organisation's limits, as of the time it was asked for. The empty name stands
// for organisations without a share of their own.
func (l *Limiter) SetShare(now time.Time, organisation string, s Share) {
	held := heldShare{share: s, at: now}
	if organisation == "" {
		l.fallback = held
		return
	}
	l.shares[organisation] = held
}

// Acquire admits a request or says which limit refuses it.
func (l *Limiter) Acquire(now time.Time, r Request) (*Lease, *Refusal) {
	l.organisationDemand(r.Organisation).add(now, 1)
	held, ok := l.shares[r.Organisation]
	if !ok {
		held = l.fallback
	}
	counters := make([]*counter, len(r.Scopes))
	for i, scope := range r.Scopes {
		counters[i] = l.counter(scope)
		counters[i].active(now, r.Tier)
	}
	for i, c := range counters {
		if refusal := c.check(now, &r, &r.Scopes[i], held); refusal != nil {
			return nil, refusal
		}
	}
	for _, c := range counters {
		c.take(now, r.Tokens)
	}
	return &Lease{counters: counters, tier: r.Tier, since: now, open: true}, nil
}

// Charge adds output tokens of an admitted request.
func (l *Limiter) Charge(now time.Time, lease *Lease, tokens int) {
	if !lease.open {
		return
	}
	for _, c := range lease.counters {
		c.tokens.add(now, float64(tokens))
	}
}

// Release ends an admitted request.
func (l *Limiter) Release(now time.Time, lease *Lease) {
	if !lease.open {
		return
	}
	lease.open = false
	for _, c := range lease.counters {
		c.release(now.Sub(lease.since))
	}
}

// Demand returns the organisation's arrivals in the last minute, refused ones included.
func (l *Limiter) Demand(now time.Time, organisation string) float64 {
	w := l.demand[organisation]
	if w == nil {
		return 0
	}
	return w.sum(now)
}

// Sweep forgets what has been idle for a whole window. It keeps shares.
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

func (l *Limiter) organisationDemand(organisation string) *window {
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
