package entry

import (
	"net/http"
	"sync"
	"time"

	"github.com/guavastack/guavastack/internal/core/limit"
	"github.com/guavastack/guavastack/internal/core/settings"
)

// sweepInterval is the time between removals of idle counters.
const sweepInterval = time.Minute

// limits applies the limits of classes, organisations and their parents. It is safe for concurrent use.
type limits struct {
	mu        sync.Mutex
	limiter   *limit.Limiter
	nextSweep time.Time
}

func newLimits() *limits {
	return &limits{limiter: limit.NewLimiter()}
}

// acquire admits x, or refuses it with the limit that it exceeds.
func (l *limits) acquire(x *exchange, caps []settings.Cap, share limit.Share) (*limit.Lease, *refusal) {
	scopes := scopesOf(x, caps)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.sweepIfDue(now)
	l.limiter.SetShare(now, x.organisation, share) // on each request, since a share that is not renewed expires
	lease, refused := l.limiter.Acquire(now, limit.Request{
		Organisation: x.organisation,
		Scopes:       scopes,
		Tier:         x.class.Tier,
		Tokens:       x.promptTokens,
	})
	if refused == nil {
		return lease, nil
	}
	ref := refuse(http.StatusTooManyRequests, "limit_exceeded", "%v", refused)
	ref.retryAfter = refused.RetryAfter
	return nil, ref
}

// scopesOf returns the scopes whose limits apply to x: its class, its organisation and that organisation's parents.
func scopesOf(x *exchange, caps []settings.Cap) []limit.Scope {
	scopes := make([]limit.Scope, 0, len(caps)+1)
	scopes = append(scopes, limit.Scope{
		Kind:   limit.ScopeClass,
		Name:   x.organisation + " " + x.class.Name,
		Limits: limitsOf(x.class.Limits),
	})
	for _, c := range caps {
		scopes = append(scopes, limit.Scope{Kind: limit.ScopeOrganisation, Name: c.Node, Limits: limitsOf(c.Limits)})
	}
	return scopes
}

func limitsOf(l settings.Limits) limit.Limits {
	return limit.Limits{
		RequestsPerMinute: l.RequestsPerMinute,
		TokensPerMinute:   l.TokensPerMinute,
		Concurrency:       l.Concurrency,
	}
}

func (l *limits) sweepIfDue(now time.Time) {
	if now.Before(l.nextSweep) {
		return
	}
	l.nextSweep = now.Add(sweepInterval)
	l.limiter.Sweep(now)
}

// charge counts output tokens of an admitted exchange against its limits.
func (l *limits) charge(lease *limit.Lease, tokens int) {
	if lease == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Charge(time.Now(), lease, tokens)
}

// release releases the lease of an admitted exchange.
func (l *limits) release(lease *limit.Lease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Release(time.Now(), lease)
}
