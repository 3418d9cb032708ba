package gateway

import (
	"sync"
	"time"

	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/core/hedge"
	"github.com/guavastack/guavastack/internal/core/route"
)

// hedges hold what was observed of the requests that may be hedged, by service. They are safe for concurrent use. The methods of a nil value
// do nothing.
type hedges struct {
	ratio float64

	mu        sync.Mutex
	byService map[string]*hedge.Service
}

// newHedges returns nil if the ratio is 0.
func newHedges(ratio float64) *hedges {
	if ratio <= 0 {
		return nil
	}
	return &hedges{ratio: ratio, byService: make(map[string]*hedge.Service)}
}

// forService returns the observations of a service, which it creates if necessary. mu must be held.
func (h *hedges) forService(name string) *hedge.Service {
	service := h.byService[name]
	if service == nil {
		service = hedge.NewService(h.ratio)
		h.byService[name] = service
	}
	return service
}

// recordRequest counts a request for a service.
func (h *hedges) recordRequest(service string) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.forService(service).OnRequest(clock.Now())
}

// recordFirst records the time to the first byte of an attempt that succeeded.
func (h *hedges) recordFirst(x *exchange, a *attempt) {
	if h == nil || !x.route.IsIdempotent() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.forService(x.service).RecordFirst(clock.Now(), classOf(x), hedgeServer(a.server), a.firstAt.Sub(a.sentAt))
}

// recordCancelled records an attempt that was cancelled because another server was faster.
func (h *hedges) recordCancelled(x *exchange, a *attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	service := h.forService(x.service)
	if a.firstAt.IsZero() {
		service.RecordCancelled(clock.Now(), classOf(x), hedgeServer(a.server), time.Since(a.sentAt))
		return
	}
	service.RecordFirst(clock.Now(), classOf(x), hedgeServer(a.server), a.firstAt.Sub(a.sentAt))
}

// recordLate records whether x was late.
func (h *hedges) recordLate(x *exchange, late bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.forService(x.service).RecordLate(late)
}

// wait returns the time after which x is late at a server, or false if it is not known.
func (h *hedges) wait(x *exchange, server route.Backend) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.forService(x.service).Wait(clock.Now(), classOf(x), hedgeServer(server))
}

// decide returns whether a late request may be hedged, and if not, why.
func (h *hedges) decide(service string, c hedge.Conditions) hedge.Reason {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.forService(service).Decide(clock.Now(), c)
}

// take uses one hedge of the share and one send of the retry budget, or none of both.
func (h *hedges) take(service string, retries *budgets) hedge.Reason {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, observed := clock.Now(), h.forService(service)
	switch {
	case !observed.MayTake(now):
		return hedge.HedgeRatio
	case !retries.take(service):
		return hedge.RetryBudget
	default:
		observed.Take(now)
		return hedge.Allowed
	}
}

func classOf(x *exchange) hedge.Class { return hedge.ClassOf(x.route.Name, x.call.Prompt.Tokens) }

func hedgeServer(b route.Backend) hedge.Server {
	return hedge.Server{ID: b.ID, Incarnation: b.Incarnation}
}
