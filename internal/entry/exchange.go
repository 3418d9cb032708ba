package entry

import (
	"crypto/sha256"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/core/limit"
	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/internal/meter"
	"github.com/guavastack/guavastack/internal/requestmemory"
	"github.com/guavastack/guavastack/proto/linkpb"
)

// exchange is one caller's request and the state of serving it.
type exchange struct {
	id       requestID
	received time.Time

	organisation string
	keyHash      [32]byte
	open         bool // the route requires no key
	class        settings.Class
	repeatable   bool

	kind         string // of backend server: route.KindEngine or route.KindService
	model        string // model or service name
	stream       bool
	method       string
	pathAndQuery string
	headers      []*linkpb.Header
	body         []byte
	promptTokens int
	prefix       []uint64

	idempotencyKey string
	claimedAs      string // request id under which the idempotency key is claimed; empty: not claimed

	lease           *limit.Lease // of the limits; nil before it is admitted
	deliveredTokens uint64       // output tokens metered so far
}

// detached reports whether the request continues when its caller disconnects.
func (x *exchange) detached() bool { return x.class.KeepAnswer || x.idempotencyKey != "" }

// meterKey returns the key of the usage counter of x in the open billing window.
func (x *exchange) meterKey() meter.Key {
	return meter.Key{Organisation: x.organisation, Class: x.class.Name, Model: x.model}
}

// routeRequest returns the criteria by which the router selects a server for x, other than those in exclude.
func (x *exchange) routeRequest(exclude []string) route.Request {
	return route.Request{
		Kind:             x.kind,
		Model:            x.model,
		Tier:             x.class.Tier,
		PromptTokens:     x.promptTokens,
		Prefix:           x.prefix,
		Exclude:          exclude,
		FirstTokenTarget: x.class.FirstTokenTarget,
	}
}

// caller is the sender of a request. Its organisation is empty if the route requires no key.
type caller struct {
	organisation string
	keyHash      [32]byte
	presented    string // the credential as received; must not leave the entry
}

// presentedKey returns the credential of a request, empty if there is none.
func presentedKey(h http.Header) string {
	if v, ok := strings.CutPrefix(h.Get("Authorization"), "Bearer "); ok {
		return strings.TrimSpace(v)
	}
	return strings.TrimSpace(h.Get("X-Api-Key"))
}

// authenticate finds the organisation of a request by its key.
func (s *Server) authenticate(tree *settings.Tree, r *http.Request) (caller, *refusal) {
	presented := presentedKey(r.Header)
	if presented == "" {
		return caller{}, refuse(http.StatusUnauthorized, "missing_key",
			"no key: send one in the header \"Authorization: Bearer KEY\"")
	}
	hash := sha256.Sum256([]byte(presented))
	key, ok := tree.KeyByHash(hash)
	if !ok || !key.IsUsable(time.Now()) {
		return caller{}, refuse(http.StatusUnauthorized, "invalid_key", "the key is unknown, withdrawn or expired")
	}
	return caller{organisation: key.Organisation, keyHash: hash, presented: presented}, nil
}

// checkReady refuses requests while the entry has no settings, and keyed requests while the keys are not fresh.
func (s *Server) checkReady(open bool) *refusal {
	if !s.dir.Ready() {
		return refuse(http.StatusServiceUnavailable, "not_ready", "the entry has no settings yet")
	}
	if !open && !s.dir.Fresh(clock.Now()) {
		return refuse(http.StatusServiceUnavailable, "settings_not_fresh",
			"the entry has not confirmed its keys with the control group recently")
	}
	return nil
}

// readBody reads the body of a request within the limits on its size, time and memory. The memory is accounted to the
// organisation or, if that is empty, to the caller's address.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, organisation string) ([]byte, *refusal) {
	if e := r.Header.Get("Content-Encoding"); e != "" && e != "identity" {
		return nil, refuse(http.StatusUnsupportedMediaType, "unsupported_encoding",
			"Content-Encoding %q is not supported; send the body unencoded", e)
	}
	body, err := requestmemory.ReadOwned(w, r, organisation, s.cfg.MaxBodyBytes, s.cfg.BodyTimeout)
	var refused *requestmemory.Refusal
	switch {
	case errors.As(err, &refused) && refused.Code == requestmemory.CodeTooLarge:
		return nil, refuse(refused.Status, refused.Code, "the body is larger than %d bytes", s.cfg.MaxBodyBytes)
	case errors.As(err, &refused):
		ref := refuse(refused.Status, refused.Code, "%s", refused.Message)
		ref.retryAfter = refused.RetryAfter
		return nil, ref
	case err != nil:
		return nil, refuse(http.StatusBadRequest, "body_incomplete", "the body was not received completely")
	}
	return body, nil
}

// resolveClass returns the effective settings of the named class, or of the organisation's first class if name is empty.
func resolveClass(tree *settings.Tree, organisation, name string) (settings.Class, *refusal) {
	if name == "" {
		classes := tree.Classes(organisation)
		if len(classes) == 0 {
			return settings.Class{}, refuse(http.StatusForbidden, "no_class", "the organisation has no class")
		}
		name = classes[0]
	}
	class, err := tree.Class(organisation, name)
	if err != nil {
		return settings.Class{}, refuse(http.StatusBadRequest, "unknown_class", "the organisation has no class %q", name)
	}
	return class, nil
}

// parseEngineRequest authenticates and parses a request of the OpenAI API.
func (s *Server) parseEngineRequest(w http.ResponseWriter, r *http.Request) (*exchange, *refusal) {
	if ref := s.checkReady(false); ref != nil {
		return nil, ref
	}
	tree := s.dir.Tree()
	sender, ref := s.authenticate(tree, r)
	if ref != nil {
		return nil, ref
	}
	class, ref := resolveClass(tree, sender.organisation, r.Header.Get(headerClass))
	if ref != nil {
		return nil, ref
	}
	body, ref := s.readBody(w, r, sender.organisation)
	if ref != nil {
		return nil, ref
	}
	c, ref := parseCompletion(body)
	if ref != nil {
		return nil, ref
	}
	prompt := c.prompt()
	x := &exchange{
		organisation: sender.organisation,
		keyHash:      sender.keyHash,
		class:        class,
		repeatable:   class.Repeatable,
		kind:         route.KindEngine,
		model:        c.Model,
		stream:       c.Stream,
		promptTokens: promptTokens(len(prompt)),
		prefix:       prefixHashes(sender.organisation, c.Model, prompt),
	}
	return x, s.completeExchange(x, tree, sender, r, body)
}

// parseServiceRequest authenticates and parses a request of a plain service.
func (s *Server) parseServiceRequest(w http.ResponseWriter, r *http.Request) (*exchange, *refusal) {
	tree := s.dir.Tree()
	rt, ok := tree.Route(r.URL.Path)
	if ref := s.checkReady(ok && rt.Open); ref != nil {
		return nil, ref
	}
	if !ok {
		return nil, refuse(http.StatusNotFound, "unknown_route", "no route for the path %q", r.URL.Path)
	}
	var sender caller
	if rt.Open {
		sender.presented = presentedKey(r.Header)
	} else {
		var ref *refusal
		if sender, ref = s.authenticate(tree, r); ref != nil {
			return nil, ref
		}
	}
	name := r.Header.Get(headerClass)
	if name == "" || rt.Open {
		name = rt.Class
	}
	class, ref := resolveClass(tree, sender.organisation, name)
	if ref != nil {
		return nil, ref
	}
	body, ref := s.readBody(w, r, sender.organisation)
	if ref != nil {
		return nil, ref
	}
	x := &exchange{
		organisation: sender.organisation,
		keyHash:      sender.keyHash,
		open:         rt.Open,
		class:        class,
		repeatable:   rt.Repeatable,
		kind:         route.KindService,
		model:        rt.Service,
		promptTokens: promptTokens(len(body)),
	}
	if !rt.Repeatable && !rt.Open {
		x.idempotencyKey = r.Header.Get(headerIdempotencyKey)
	}
	if len(x.idempotencyKey) > maxIdempotencyKeyBytes {
		return nil, refuse(http.StatusBadRequest, "idempotency_key_too_long",
			"the idempotency key is longer than %d bytes", maxIdempotencyKeyBytes)
	}
	return x, s.completeExchange(x, tree, sender, r, body)
}

// completeExchange sets the fields common to both kinds of requests, and refuses a request that would carry a key to a
// backend server.
func (s *Server) completeExchange(x *exchange, tree *settings.Tree, sender caller, r *http.Request, body []byte) *refusal {
	x.method = r.Method
	x.pathAndQuery = r.URL.RequestURI()
	x.headers = forwardedFrom(r.Header)
	x.body = body
	return keyFinder{tree: tree, presented: sender.presented}.check(x.pathAndQuery, x.headers, body)
}
