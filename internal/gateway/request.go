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
	// bodyTimeout bounds how long a caller may take for the body of a request.
	bodyTimeout = 10 * time.Second
	// defaultMaxBodyBytes holds where the catalog gives no limit.
	defaultMaxBodyBytes = 8 << 20
	// retryAfterShare is the part of the time left after which a refused caller is asked to come back. Half of it is drawn
	// at random, so that callers refused together do not return together.
	retryAfterShare = 0.3
	// maxReadyWait and readyWaitShare bound how long a request is held until the gateway can serve it: a time, and a part of
	// the time that the caller waits.
	maxReadyWait   = 1500 * time.Millisecond
	readyWaitShare = 0.3
	// readyPollInterval is the time between looks at whether the gateway can serve.
	readyPollInterval = 20 * time.Millisecond
	// maxWaiting bounds the requests that are held.
	maxWaiting = 500
	// defaultRetryAfter is told where the deadline of the request is not known.
	defaultRetryAfter = 300 * time.Millisecond
)

// exchange is one caller's request after it was understood.
type exchange struct {
	call         Call
	route        *catalog.Route
	service      string
	organisation string
	priority     int
	rank         int // among all requests that the catalog allows
	ranks        int
	version      uint64 // of the catalog that decided
	arrived      time.Time
	deadline     time.Time
	prefix       []uint64
	session      uint64
	backsUp      bool // a copy of the run is kept at another server
	fetches      bool // a server may fetch the beginning of the prompt from another one
	lane         route.Lane
	tightServers int
	metered      bool // it was counted for billing

	steps      []step        // its story so far
	tries      int           // sends so far
	sentAfter  time.Duration // from its arrival to the first send; 0: none yet
	firstAfter time.Duration // from its arrival to the beginning of its answer; 0: none yet
	longestGap time.Duration // between two parts of its stream

	method string
	target string // path and query as they came
	host   string
	header http.Header
	body   []byte
}

// understand matches a request to its route and checks its key, or refuses it.
func (s *Server) understand(w http.ResponseWriter, r *http.Request) (*exchange, *refusal) {
	x := &exchange{arrived: time.Now(), method: r.Method, target: r.RequestURI, host: r.Host, header: r.Header}
	call, callErr := s.cfg.Dialect.Call(r.Header)
	x.call = call
	s.awaitReady(r.Context(), call.Wait)
	index := s.dir.Catalog()
	if index == nil {
		return x, notRun(http.StatusServiceUnavailable, "not_ready", "the gateway has no catalog yet")
	}
	x.version = index.Version()
	if limit := index.Limits().MaxHeaderBytes; limit > 0 && headBytes(r) > limit {
		return x, notRun(http.StatusRequestHeaderFieldsTooLarge, "head_too_large", "the head of the request is larger than the limit")
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	x.route = index.Match(r.Host, path)
	if x.route == nil {
		return x, notRun(http.StatusNotFound, "unknown_route", "no route for the host and path")
	}
	if callErr != nil {
		return x, notRun(http.StatusBadRequest, "invalid_request", callErr.Error())
	}
	x.setDeadline()
	if ref := s.identify(x, index); ref != nil {
		return x, ref
	}
	if ref := x.readBody(w, r, index.Limits()); ref != nil {
		return x, ref
	}
	x.service = x.route.Target(rand.Uint64())
	x.backsUp = isWorthBackup(x.route, call.Prompt, index.Service(x.service))
	if x.route.CachesPrompts {
		x.prefix = prefixHashes(call.Prompt.Parts)
		x.session = sessionOf(call.Prompt, x.prefix)
		x.fetches = isWorthFetching(call.Prompt, index.Service(x.service))
	}
	if x.isStream() {
		x.lane, x.tightServers = s.lanes.choose(x, s.servers.Count(route.KindService, x.service))
	}
	s.tell(x, eventAdmitted,
		slog.String("class", x.route.Name), slog.String("kind", x.route.Kind.String()), slog.String("service", x.service),
		slog.String(telemetry.KeyOrganisation, x.organisation), slog.Int("rank", x.rank),
		slog.Uint64("catalog_version", x.version), slog.Int64("keys_fresh_ms", s.dir.FreshFor(clock.Now()).Milliseconds()),
		slog.Int64("deadline_ms", x.remaining().Milliseconds()), slog.Int("prompt_tokens", x.call.Prompt.Tokens),
		slog.String("lane", x.lane.String()), slog.Int("tight_servers", x.tightServers))
	return x, nil
}

// minSharedShare is the part of a prompt that must be shared for its server to matter.
const minSharedShare = 0.4

// sessionOf returns what identifies the shared beginning of a prompt, 0 where it is too short to matter. The last part is
// the request's own.
func sessionOf(p Prompt, prefix []uint64) uint64 {
	shared := sharedTokens(p)
	if shared == 0 || float64(shared) < minSharedShare*float64(p.Tokens) {
		return 0
	}
	return prefix[len(prefix)-2]
}

const (
	// minFetchTokens is the length from which the beginning of a prompt is fetched from another server.
	minFetchTokens = 256
	// maxFetchPerToken is the time for one token from which a fetch takes longer than to read the prompt.
	maxFetchPerToken = 5 * time.Microsecond
)

// isWorthFetching reports whether servers of a service bring the shared beginning of the prompt from one to the other sooner
// than they read it.
func isWorthFetching(p Prompt, service *catalog.Service) bool {
	if service == nil || service.Engine == nil {
		return false
	}
	perToken := service.Engine.CacheTransfer
	return perToken > 0 && perToken <= maxFetchPerToken && sharedTokens(p) >= minFetchTokens
}

// sharedTokens returns the tokens of a prompt that other requests share.
func sharedTokens(p Prompt) int {
	shared := 0
	for _, part := range p.Parts[:max(len(p.Parts)-1, 0)] {
		shared += part.Tokens
	}
	return shared
}

// ownTokens returns the tokens of a prompt that no other request shares.
func ownTokens(p Prompt) int {
	if len(p.Parts) == 0 {
		return p.Tokens
	}
	return p.Parts[len(p.Parts)-1].Tokens
}

// awaitReady holds a request for a short time while the gateway can't serve it yet, as after a start or an election: most
// callers are served sooner by this than by a refusal and their return.
func (s *Server) awaitReady(ctx context.Context, callerWaits time.Duration) {
	if s.knows() {
		return
	}
	limit := maxReadyWait
	if callerWaits > 0 {
		limit = min(limit, time.Duration(float64(callerWaits)*readyWaitShare))
	}
	if s.waiting.Add(1) > maxWaiting {
		limit = 0
	}
	defer s.waiting.Add(-1)
	for end := time.Now().Add(limit); !s.knows() && time.Now().Before(end); {
		if !wait.For(ctx, readyPollInterval) {
			return
		}
	}
}

// knows reports whether the gateway has a catalog and may act on its keys.
func (s *Server) knows() bool { return s.dir.Catalog() != nil && s.dir.Fresh(clock.Now()) }

// headBytes returns the size of a request's head as it came, but for space that carries nothing.
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

// identify finds the organisation that holds the key of x.
func (s *Server) identify(x *exchange, index *catalog.Index) *refusal {
	x.priority = x.route.Priority
	x.rank, x.ranks = index.Rank(nil, x.route), index.Ranks()
	if x.route.Public || !index.Keyed() {
		return nil
	}
	if !s.dir.Fresh(clock.Now()) {
		return notRun(http.StatusServiceUnavailable, "keys_not_confirmed", "the gateway could not confirm its keys lately")
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

// setDeadline takes the earlier of the route's timeout and the time that the caller waits.
func (x *exchange) setDeadline() {
	limit := x.route.Timeout
	if x.call.Wait > 0 {
		limit = min(limit, x.call.Wait)
	}
	x.deadline = x.arrived.Add(limit)
}

// readBody reads the whole body within the bounds on its size and time.
func (x *exchange) readBody(w http.ResponseWriter, r *http.Request, limits catalog.Limits) *refusal {
	maxBytes := int64(defaultMaxBodyBytes)
	if limits.MaxBodyBytes > 0 {
		maxBytes = int64(limits.MaxBodyBytes)
	}
	if r.ContentLength == 0 {
		return nil
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout)) // not every writer of a test has deadlines
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
		return notRun(http.StatusRequestEntityTooLarge, "body_too_large", "the body is larger than the limit")
	case err != nil:
		return notRun(http.StatusBadRequest, "body_incomplete", "the body did not arrive whole")
	}
	return nil
}

// withDeadline returns a context that ends at the deadline of x or when the caller goes away.
func (x *exchange) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithDeadlineCause(ctx, x.deadline, errDeadline)
}

// remaining returns the time until the deadline.
func (x *exchange) remaining() time.Duration { return time.Until(x.deadline) }

// retryAfter returns when a refused caller should come back.
func (x *exchange) retryAfter() time.Duration {
	if x.deadline.IsZero() {
		return defaultRetryAfter
	}
	spread := 0.5 + rand.Float64()/2
	return max(0, time.Duration(float64(x.remaining())*retryAfterShare*spread))
}

// routeRequest is what the router must know of x.
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
		Lane:             x.lane,
		TightServers:     x.tightServers,
	}
}

// prefixHashes returns a hash of each beginning of a prompt, shortest first: a part is cached only behind all parts
// before it.
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
