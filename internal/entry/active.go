package entry

import (
	"context"
	"sync"

	"github.com/juju/errors"
)

// Causes with which an entry cancels the context of a request.
const (
	errKeyWithdrawn = errors.ConstError("key withdrawn")
	errNotFresh     = errors.ConstError("keys not confirmed by the control group within the freshness limit")
	errDisplaced    = errors.ConstError("displaced at the entry by a request of a higher tier")
	errCallerGone   = errors.ConstError("caller disconnected")
	errDeadline     = errors.ConstError("deadline of the class exceeded")
)

// activeSet holds the requests in progress and bounds their number: when it is full, an arriving request displaces one
// of the lowest tier that has not started, if that tier is lower than its own. Tier 0 is the highest.
type activeSet struct {
	max int

	mu        sync.Mutex
	exchanges map[*exchange]context.CancelCauseFunc
	waiting   map[int]map[*exchange]struct{} // not started, by tier
}

func newActiveSet(max int) *activeSet {
	return &activeSet{
		max:       max,
		exchanges: make(map[*exchange]context.CancelCauseFunc),
		waiting:   make(map[int]map[*exchange]struct{}),
	}
}

// add adds x, or returns false if the set is full and no request can be displaced for its tier.
func (a *activeSet) add(x *exchange, cancel context.CancelCauseFunc) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.exchanges) >= a.max && !a.displace(x.class.Tier) {
		return false
	}
	a.exchanges[x] = cancel
	tier := a.waiting[x.class.Tier]
	if tier == nil {
		tier = make(map[*exchange]struct{})
		a.waiting[x.class.Tier] = tier
	}
	tier[x] = struct{}{}
	return true
}

// displace cancels one request that has not started, of the lowest tier that has any, if that tier is below the given
// one, and reports whether it did. mu must be held.
func (a *activeSet) displace(tier int) bool {
	lowest := -1
	for t, set := range a.waiting {
		if len(set) > 0 && t > lowest {
			lowest = t
		}
	}
	if lowest <= tier {
		return false
	}
	for x := range a.waiting[lowest] {
		delete(a.waiting[lowest], x)
		a.exchanges[x](errDisplaced)
		delete(a.exchanges, x)
		return true
	}
	return false
}

// markStarted records that x runs at a backend server, so that it can't be displaced any more.
func (a *activeSet) markStarted(x *exchange) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting[x.class.Tier], x)
}

// remove removes x.
func (a *activeSet) remove(x *exchange) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.exchanges, x)
	delete(a.waiting[x.class.Tier], x)
}

// cancelIf cancels the requests that match, with the given cause.
func (a *activeSet) cancelIf(cause error, match func(*exchange) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for x, cancel := range a.exchanges {
		if match(x) {
			cancel(cause)
		}
	}
}

func (a *activeSet) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.exchanges)
}
