package gateway

import (
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/core/catalog"
	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/requestmemory"
	"github.com/guavastack/guavastack/internal/telemetry"
)

const (
	// retryAfterShare is the share of the remaining time that Retry-After states at most. Half of it is random, so that
	// callers refused together do not retry together.
	retryAfterShare = 0.3
	// defaultRetryAfter is used if the deadline of the request is unknown.
	defaultRetryAfter = 300 * time.Millisecond
	// pauseSpread is the shortest time over which callers return after a pause of all backend servers.
	pauseSpread = 500 * time.Millisecond
)

// exchange is one caller's request and the state of serving it.
type exchange struct {
	call            Call
	route           *catalog.Route
	service         string
	organisation    string
	priority        int
	rank            int // among all ranks of the catalog; 0 is served first
	ranks           int
	catalog         *catalog.Index // that applies
	arrived         time.Time
	deadline        time.Time
	sharedParts     []uint64      // ids of the parts of the prompt that other requests may share
	prefix          []uint64      // hashes of the prefixes of the prompt, shortest first
	session         uint64        // requests of one session prefer the same server; 0: none
	keepsBackup     bool          // another server keeps a backup of the run
	fetchesPrefix   bool          // the server may fetch the prompt prefix from another one
	prefillPerToken time.Duration // of the service's servers; 0: the answers don't follow from prompts
	metered         bool          // counted for billing

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

	bodyRest [][]byte            // parts of the body that follow body
	received *requestmemory.Body // holds the memory of the body; nil: none
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
	if ref := s.readBody(x, w, r, index.Limits()); ref != nil {
		return x, ref
	}
	if ref := s.refuseBeforeAbort(x); ref != nil {
		return x, ref
	}
	x.service = x.route.Target(rand.Uint64())
	x.sharedParts = sharedParts(call.Prompt)
	x.keepsBackup = isWorthBackup(x.route, call.Prompt, index.Service(x.service))
	if x.route.CachesPrompts {
		x.prefix = prefixHashes(call.Prompt.Parts)
		x.session = sessionOf(call.Prompt, x.prefix)
		x.fetchesPrefix = s.isWorthFetching(call.Prompt, index.Service(x.service))
	}
	if x.isStream() {
		x.prefillPerToken = s.paces.prefillPerToken(x.service)
		s.servers.SetLanePlan(route.KindService, x.service, s.lanes.observe(x))
	}
	s.logStep(x, eventAdmitted,
		slog.String("class", x.route.Name), slog.String("kind", x.route.Kind.String()), slog.String("service", x.service),
		slog.String(telemetry.KeyOrganisation, x.organisation), slog.Int("rank", x.rank),
		slog.Uint64("catalog_version", x.catalog.Version()), slog.Int64("keys_fresh_ms", s.dir.FreshFor(clock.Now()).Milliseconds()),
		slog.Int64("deadline_ms", x.remaining().Milliseconds()), slog.Int("prompt_tokens", x.call.Prompt.Tokens),
		slog.Any("prompt_parts", partIDs(x.sharedParts)),
		slog.Int64("gap_target_ms", x.route.GapTarget.Milliseconds()))
	return x, nil
}

// setDeadline sets the deadline to the earlier of the route's timeout and the caller's.
func (x *exchange) setDeadline() {
	limit := x.route.Timeout
	if x.call.Timeout > 0 {
		limit = min(limit, x.call.Timeout)
	}
	x.deadline = x.arrived.Add(limit)
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

// afterPause returns when a refused caller should retry whose backend servers take work again after the given time. The callers return
// spread over pauseSpread or a quarter of the pause, if that is longer, so that they don't cause the next pause at once.
func afterPause(left time.Duration) time.Duration {
	spread := max(pauseSpread, left/4)
	return left + time.Duration(rand.Int64N(int64(spread)))
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
		PrefillPerToken:  x.prefillPerToken,
		Session:          x.session,
		GapTarget:        x.route.GapTarget,
	}
}
