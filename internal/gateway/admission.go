package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/core/catalog"
	"github.com/guavastack/guavastack/internal/wait"
)

const (
	// maxReadyWait and readyWaitShare bound how long a request is held until the gateway is ready: an absolute time, and a
	// share of the caller's timeout.
	maxReadyWait   = 1500 * time.Millisecond
	readyWaitShare = 0.3
	// readyPollInterval is the time between checks whether the gateway is ready.
	readyPollInterval = 20 * time.Millisecond
	// maxHeldRequests bounds the number of requests that are held.
	maxHeldRequests = 500
)

// matchAndAuthenticate matches x to its route and checks its key by the current catalog, or returns a refusal.
func (s *Server) matchAndAuthenticate(x *exchange, r *http.Request, callErr error) *refusal {
	index := s.dir.Catalog()
	if index == nil {
		return notRun(http.StatusServiceUnavailable, "not_ready", "the gateway has no catalog yet")
	}
	x.catalog = index
	if limit := index.Limits().MaxHeaderBytes; limit > 0 && headBytes(r) > limit {
		return notRun(http.StatusRequestHeaderFieldsTooLarge, "head_too_large", "the header of the request exceeds the size limit")
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	x.route = index.Match(r.Host, path)
	if x.route == nil {
		return notRun(http.StatusNotFound, "unknown_route", "no route for the host and path")
	}
	if callErr != nil {
		return notRun(http.StatusBadRequest, "invalid_request", callErr.Error())
	}
	x.setDeadline()
	return s.authenticate(x, index)
}

// isCatalogConfirmed reports whether every catalog that must be in force by now has arrived.
func (s *Server) isCatalogConfirmed() bool {
	return s.cfg.CatalogLimit <= 0 || s.dir.Unconfirmed(clock.Now()) < s.cfg.CatalogLimit
}

// matchWhenConfirmed matches x again once the catalog is confirmed. If that takes too long, it refuses x: the route or key may exist.
func (s *Server) matchWhenConfirmed(x *exchange, r *http.Request, callErr error) *refusal {
	s.await(r.Context(), x.call.Timeout, s.isCatalogConfirmed)
	if !s.isCatalogConfirmed() {
		return notRun(http.StatusServiceUnavailable, "catalog_not_confirmed", "the gateway has not confirmed its catalog recently")
	}
	return s.matchAndAuthenticate(x, r, callErr)
}

// await holds a request for a short time until the gateway is ready for it, as after a start or an election: most callers are
// served sooner this way than by a refusal and a retry. At most maxHeldRequests are held at a time.
func (s *Server) await(ctx context.Context, callerTimeout time.Duration, isReady func() bool) {
	if isReady() {
		return
	}
	limit := maxReadyWait
	if callerTimeout > 0 {
		limit = min(limit, time.Duration(float64(callerTimeout)*readyWaitShare))
	}
	if s.heldRequests.Add(1) > maxHeldRequests {
		limit = 0
	}
	defer s.heldRequests.Add(-1)
	for end := time.Now().Add(limit); !isReady() && time.Now().Before(end) && s.aborted.Err() == nil; {
		if !wait.For(ctx, readyPollInterval) {
			return
		}
	}
}

// canServe reports whether the gateway has a catalog with fresh keys.
func (s *Server) canServe() bool { return s.dir.Catalog() != nil && s.dir.Fresh(clock.Now()) }

// headBytes returns the size of a request's header as received, without optional white space.
func headBytes(r *http.Request) int {
	const lineOverhead = len(": \r\n")
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + lineOverhead
	n += len("Host") + len(r.Host) + lineOverhead
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + lineOverhead
		}
	}
	return n
}

// authenticate finds the organisation that holds the key of x, and sets the priority and rank of x.
func (s *Server) authenticate(x *exchange, index *catalog.Index) *refusal {
	x.priority = x.route.Priority
	x.rank, x.ranks = index.Rank(nil, x.route), index.Ranks()
	if x.route.Public || !index.RequiresKeys() {
		return nil
	}
	if !s.dir.Fresh(clock.Now()) {
		return notRun(http.StatusServiceUnavailable, "keys_not_confirmed", "the gateway has not confirmed its keys recently")
	}
	organisation := index.Organisation(catalog.HashKey(x.call.Key))
	if x.call.Key == "" || organisation == nil {
		return notRun(http.StatusUnauthorized, "invalid_key", "the key is missing, unknown or withdrawn")
	}
	x.organisation = organisation.Name
	x.rank = index.Rank(organisation, x.route)
	if organisation.HasPriority {
		x.priority = organisation.Priority
	}
	return nil
}
