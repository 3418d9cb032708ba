package gateway

import (
	"sync"
	"time"

	"github.com/guavastack/guavastack/internal/core/pace"
)

// paces estimate how long the answers of each route take, and how fast the engines of each service prefill prompts. They are safe
// for concurrent use.
type paces struct {
	mu       sync.Mutex
	answers  *pace.Estimator
	prefills map[string]*pace.Prefill // by service
}

func newPaces() *paces {
	return &paces{answers: pace.NewEstimator(), prefills: make(map[string]*pace.Prefill)}
}

// record records that x was answered completely after the given time.
func (p *paces) record(x *exchange, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answers.Record(time.Now(), x.route.Name, pace.Answer{First: x.firstAfter, Total: took, OutputTokens: x.call.Prompt.MaxOutputTokens})
}

// longest returns how long the answer to x takes at most, or false if no answer of its route was observed.
func (p *paces) longest(x *exchange) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answers.Longest(time.Now(), x.route.Name, x.call.Prompt.MaxOutputTokens)
}

// recordStart records when the answer to x began.
func (p *paces) recordStart(x *exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	prefill := p.prefills[x.service]
	if prefill == nil {
		prefill = &pace.Prefill{}
		p.prefills[x.service] = prefill
	}
	prefill.Record(time.Now(), x.firstAfter-x.sentAfter, unsharedTokens(x.call.Prompt))
}

// prefillPerToken returns how long the engines of a service take to prefill one token of a prompt.
func (p *paces) prefillPerToken(service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if prefill := p.prefills[service]; prefill != nil {
		if perToken, ok := prefill.PerToken(time.Now()); ok {
			return perToken
		}
	}
	return assumedPrefillPerToken
}
