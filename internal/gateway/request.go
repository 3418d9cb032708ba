package gateway

import (
	"context"
	"encoding/binary"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/core/catalog"
	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/telemetry"
	"github.com/guavastack/guavastack/internal/wait"
)

const (
	// bodyTimeout bounds the time in which the body of a request must arrive.
	bodyTimeout = 10 * time.Second
	// defaultMaxBodyBytes applies if the catalog sets no limit.
	defaultMaxBodyBytes = 8 << 20
	// retryAfterShare is the share of the remaining time that Retry-After states at most. Half of it is random, so that
	// callers refused together do not retry together.
	retryAfterShare = 0.3
	// maxReadyWait and readyWaitShare bound how long a request is held until the gateway is ready: an absolute time, and a
	// share of the caller's timeout.
	maxReadyWait   = 1500 * time.Millisecond
	readyWaitShare = 0.3
	// readyPollInterval is the time between checks whether the gateway is ready.
	readyPollInterval = 20 * time.Millisecond
	// maxHeldRequests bounds the number of requests that are held.
	maxHeldRequests = 500
	// defaultRetryAfter is used if the deadline of the request is unknown.
	defaultRetryAfter = 300 * time.Millisecond
)

// exchange is one caller's request and the state of serving it.
type exchange struct {
	call           Call
	route          *catalog.Route
	service        string
	organisation   string
	priority       int
	rank           int // among all ranks of the catalog; 0 is served first
	ranks          int
	catalog        *catalog.Index // that applies
	catalogVersion uint64
	arrived        time.Time
	deadline       time.Time
	prefix         []uint64 // hashes of the prefixes of the prompt, shortest first
	session        uint64   // requests of one session prefer the same server; 0: none
	keepsBackup    bool     // another server keeps a backup of the run
	fetchesPrefix  bool     // the server may fetch the prompt prefix from another one
	metered        bool     // counted for billing

	pendingSteps []step        // not logged yet
	attempts     int           // attempts so far
	sentAfter    time.Duration // from arrival to the first attempt; 0: none yet
	firstAfter   time.Duration // from arrival to the beginning of the answer to the caller; 0: none yet
	longestGap   time.Duration // between two parts of the stream

	method string
	target string // path and query as received
	host   string
	header http.Header
	body   []byte
}

// admit matches a request to its route, checks its key and reads its body, or refuses it.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) (*exchange, *refusal) {
	x := &exchange{arrived: time.Now(), method: r.Method, target: r.RequestURI, host: r.Host, header: r.Header}
	call, callErr := s.cfg.Dialect.ParseCall(r.Header)
	x.call = call
	s.await(r.Context(), call.Timeout, s.canServe)
	ref := s.matchAndAuthenticate(x, r, callErr)
	if ref.mayBeOutdated() && !s.isCatalogConfirmed() {
		ref = s.matchWhenConfirmed(x, r, callErr)
	}
	if ref != nil {
		return x, ref
	}
	index := x.catalog
	if ref := x.readBody(w, r, index.Limits()); ref != nil {
		return x, ref
	}
	if ref := s.refuseBeforeAbort(x); ref != nil {
		return x, ref
	}
	x.service = x.route.Target(rand.Uint64())
	x.keepsBackup = isWorthBackup(x.route, call.Prompt, index.Service(x.service))
	if x.route.CachesPrompts {
		x.prefix = prefixHashes(call.Prompt.Parts)
		x.session = sessionOf(call.Prompt, x.prefix)
		x.fetchesPrefix = s.isWorthFetching(call.Prompt, index.Service(x.service))
	}
	if x.isStream() {
		s.servers.SetLanePlan(route.KindService, x.service, s.lanes.observe(x))
	}
	s.logStep(x, eventAdmitted,
		slog.String("class", x.route.Name), slog.String("kind", x.route.Kind.String()), slog.String("service", x.service),
		slog.String(telemetry.KeyOrganisation, x.organisation), slog.Int("rank", x.rank),
		slog.Uint64("catalog_version", x.catalogVersion), slog.Int64("keys_fresh_ms", s.dir.FreshFor(clock.Now()).Milliseconds()),
		slog.Int64("deadline_ms", x.remaining().Milliseconds()), slog.Int("prompt_tokens", x.call.Prompt.Tokens),
		slog.Int64("gap_target_ms", x.route.GapTarget.Milliseconds()))
	return x, nil
}

// matchAndAuthenticate matches x to its route and checks its key by the current catalog, or returns a refusal.
func (s *Server) matchAndAuthenticate(x *exchange, r *http.Request, callErr error) *refusal {
	index := s.dir.Catalog()
	if index == nil {
		return notRun(http.StatusServiceUnavailable, "not_ready", "the gateway has no catalog yet")
	}
	x.catalog, x.catalogVersion = index, index.Version()
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

// minSharedShare is the smallest shared part of a prompt, as a share of its tokens, with which the request gets a session.
const minSharedShare = 0.4

// sessionOf returns the session id of a prompt, a hash of its shared prefix, or 0 if the prefix is too short. The last part of a
// prompt is not shared.
func sessionOf(p Prompt, prefix []uint64) uint64 {
	shared := sharedTokens(p)
	if shared == 0 || float64(shared) < minSharedShare*float64(p.Tokens) {
		return 0
	}
	return prefix[len(prefix)-2]
}

const (
	// minFetchTokens is the smallest shared prefix that is fetched from another server.
	minFetchTokens = 256
	// maxFetchShare is the largest share of the time to prefill a prefix that fetching it may take.
	maxFetchShare = 0.6
	// assumedPrefillPerToken is the time to prefill one token until a service's answers show it.
	assumedPrefillPerToken = 10 * time.Microsecond
)

// isWorthFetching reports whether a server of the service fetches the shared prefix of the prompt from another one faster than it
// computes it.
func (s *Server) isWorthFetching(p Prompt, service *catalog.Service) bool {
	if service == nil || service.Engine == nil {
		return false
	}
	fetch := service.Engine.CacheTransferPerToken
	limit := maxFetchShare * float64(s.paces.prefillPerToken(service.Name))
	return fetch > 0 && float64(fetch) <= limit && sharedTokens(p) >= minFetchTokens
}

// sharedTokens returns the number of tokens in the shared prefix of a prompt.
func sharedTokens(p Prompt) int {
	shared := 0
	for _, part := range p.Parts[:max(len(p.Parts)-1, 0)] {
		shared += part.Tokens
	}
	return shared
}

// unsharedTokens returns the number of tokens after the shared prefix of a prompt.
func unsharedTokens(p Prompt) int {
	if len(p.Parts) == 0 {
		return p.Tokens
	}
	return p.Parts[len(p.Parts)-1].Tokens
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
	for end := time.Now().Add(limit); !isReady() && time.Now().Before(end); {
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

// setDeadline sets the deadline to the earlier of the route's timeout and the caller's.
func (x *exchange) setDeadline() {
	limit := x.route.Timeout
	if x.call.Timeout > 0 {
		limit = min(limit, x.call.Timeout)
	}
	x.deadline = x.arrived.Add(limit)
}

// readBody reads the body within the limits on its size and time.
func (x *exchange) readBody(w http.ResponseWriter, r *http.Request, limits catalog.Limits) *refusal {
	maxBytes := int64(defaultMaxBodyBytes)
	if limits.MaxBodyBytes > 0 {
		maxBytes = int64(limits.MaxBodyBytes)
	}
	if r.ContentLength == 0 {
		return nil
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout)) // a test's ResponseWriter may not support deadlines
	var err error
	if r.ContentLength > 0 && r.ContentLength <= maxBytes {
		x.body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, x.body)
	} else {
		x.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	}
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return notRun(http.StatusRequestEntityTooLarge, "body_too_large", "the body exceeds the size limit")
	case err != nil:
		return notRun(http.StatusBadRequest, "body_incomplete", "the body was not received completely")
	}
	return nil
}

// withDeadline returns a context that ends at the deadline of x or when the caller disconnects.
func (x *exchange) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithDeadlineCause(ctx, x.deadline, errDeadline)
}

// remaining returns the time until the deadline.
func (x *exchange) remaining() time.Duration { return time.Until(x.deadline) }

// retryAfter returns the time after which a refused caller should retry.
func (x *exchange) retryAfter() time.Duration {
	if x.deadline.IsZero() {
		return defaultRetryAfter
	}
	spread := 0.5 + rand.Float64()/2
	return max(0, time.Duration(float64(x.remaining())*retryAfterShare*spread))
}

// routeRequest returns the criteria by which the router selects a server for x, other than those in exclude.
func (x *exchange) routeRequest(exclude []string) route.Request {
	return route.Request{
		Kind:             route.KindService,
		Model:            x.service,
		Tier:             x.priority,
		PromptTokens:     x.call.Prompt.Tokens,
		Prefix:           x.prefix,
		Exclude:          exclude,
		FirstTokenTarget: x.route.LatencyTarget,
		Session:          x.session,
		GapTarget:        x.route.GapTarget,
	}
}

// prefixHashes returns a hash of each prefix of a prompt's parts, shortest first, since a cached part is usable only after all
// parts before it.
func prefixHashes(parts []PromptPart) []uint64 {
	hashes := make([]uint64, len(parts))
	var h xxhash.Digest
	h.Reset()
	var id [8]byte
	for i, p := range parts {
		binary.BigEndian.PutUint64(id[:], p.ID)
		_, _ = h.Write(id[:]) // never fails
		hashes[i] = h.Sum64()
	}
	return hashes
}
