package pace

import (
	"time"

	"github.com/guavastack/guavastack/internal/core/decay"
)

const (
	// minPrefillTokens is the smallest prompt from which the time per token is derived: in shorter ones the fixed costs of a
	// request count for more than its prompt.
	minPrefillTokens = 2000
	// prefillHalfLife is the time in which an observed minimum doubles if it is not confirmed.
	prefillHalfLife = time.Minute
)

// Prefill estimates how long an engine takes to prefill one token of a prompt, from the fastest starts of answers. The estimate
// is an upper bound, since a start includes queueing and the network. It is not safe for concurrent use.
type Prefill struct {
	perToken float64 // seconds; 0: unknown
	at       time.Time
}

// Record records that an answer began after the given time, of which at least the given number of tokens were prefilled.
func (p *Prefill) Record(now time.Time, took time.Duration, tokens int) {
	if tokens < minPrefillTokens || took <= 0 {
		return
	}
	perToken := took.Seconds() / float64(tokens)
	if p.perToken == 0 || perToken <= p.seconds(now) {
		p.perToken, p.at = perToken, now
	}
}

// PerToken returns the time for one token, or false if it is unknown.
func (p *Prefill) PerToken(now time.Time) (time.Duration, bool) {
	if p.perToken == 0 {
		return 0, false
	}
	return time.Duration(p.seconds(now) * float64(time.Second)), true
}

func (p *Prefill) seconds(now time.Time) float64 {
	return p.perToken / decay.Weight(now.Sub(p.at), prefillHalfLife)
}
