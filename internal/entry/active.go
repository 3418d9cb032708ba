package entry

import (
	"context"
	"sync"

	"github.com/juju/errors"
)

// Causes for which an entry ends a request by itself.
const (
	errKeyWithdrawn = errors.ConstError("the key was withdrawn")
	errNotFresh     = errors.ConstError("the keys could not be confirmed with the control group")
	errDisplaced    = errors.ConstError("a request of a higher tier took the place at the entry")
	errCallerGone   = errors.ConstError("the caller went away")
	errDeadline     = errors.ConstError("the deadline of the class passed")
)

// activeSet holds the requests in progress and bounds their number by tier: when it is full, an arriving request
// takes the place of one of the lowest tier that has not started, if that tier is lower than its own.
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

// add takes x in, or reports false when there is no place for its tier.
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

// displace ends one request that has not started and is of the lowest such tier below the given one.
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

// started says that x runs at a backend server.
func (a *activeSet) started(x *exchange) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting[x.class.Tier], x)
}

// remove takes x out.
func (a *activeSet) remove(x *exchange) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.exchanges, x)
	delete(a.waiting[x.class.Tier], x)
}

// endIf ends the requests that match, for the given cause.
func (a *activeSet) endIf(cause error, match func(*exchange) bool) {
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
