package route

import (
	"slices"
	"time"
)

// pendingPrefill is the number of prompt tokens of this process's requests that a server has yet to prefill.
type pendingPrefill struct {
	dispatched int   // tokens of the request that is being sent
	tokens     []int // of the requests in pendingAt
	sum        int
}

// begin adds the request that is being sent.
func (p *pendingPrefill) begin() {
	p.tokens = append(p.tokens, p.dispatched)
	p.sum += p.dispatched
	p.dispatched = 0
}

// end removes the request at a position.
func (p *pendingPrefill) end(i int) {
	p.sum -= p.tokens[i]
	p.tokens = slices.Delete(p.tokens, i, i+1)
}

// endPending removes the request that was sent at since from those whose answer has not begun.
func (s *server) endPending(since time.Time) {
	i := slices.IndexFunc(s.pendingAt, since.Equal)
	if i < 0 {
		return
	}
	s.pendingAt = slices.Delete(s.pendingAt, i, i+1)
	s.prefill.end(i)
}

// waitShare returns how long the first event of a request is expected to wait for the prompts of this process before it, as a multiple of its
// target; 0 if that is not known.
func (s *server) waitShare(now time.Time, req *Request) float64 {
	if s.prefill.sum == 0 || req.PrefillPerToken <= 0 || req.FirstTokenTarget <= 0 {
		return 0
	}
	return float64(s.prefill.sum) * float64(req.PrefillPerToken) * s.loadWeight(now) / float64(req.FirstTokenTarget)
}
