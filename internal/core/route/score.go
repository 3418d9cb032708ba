package route

import (
	"math"
	"time"

	"github.com/guavastack/guavastack/internal/core/decay"
)

// score implements the score stage: the expected time to the first token plus penalties for zone distance and past failures.
func (r *Router) score(now time.Time, s *server, req *Request, cachedShare float64) time.Duration {
	t := r.table
	busy, queued := t.occupancy(now, s, req.Tier)
	slots := float64(s.slots())
	prefill := float64(req.PromptTokens) * (1 - cachedShare) * float64(t.cfg.PrefillPerToken)
	wait := math.Max(0, queued-slots+1) * float64(s.slotInterval)
	utilisationPenalty := queued/slots*float64(tierUtilisationCost) + busy/slots*float64(utilisationCost)
	score := time.Duration(prefill + wait + utilisationPenalty + s.health.failures*float64(failureCost))
	if req.Zone != s.Zone {
		score += t.cfg.ZoneCost
	}
	if !s.canAdmit(req.Tier) {
		score += refusalCost
	}
	if capacity := s.capacity(now); capacity < 1 {
		score += time.Duration(utilisationPenalty*(1/capacity-1) + float64(coldCost)*(1-capacity))
	}
	return score
}

// occupancy estimates how many requests are at the server, and how many of them are served before one of the tier.
func (t *Table) occupancy(now time.Time, s *server, tier int) (all, ahead float64) {
	c := t.confidence(now, s)
	prior := (1 - c) * s.group.meanBusy()
	own := float64(s.sinceReport)
	all = c*s.reportedBusy() + prior + own
	ahead = c*float64(s.ahead[min(max(0, tier), MaxTiers-1)]) + math.Min(prior, float64(s.slots())) + own
	return all, ahead
}

// canAdmit reports whether the server would accept a request of the tier according to its last load report. It returns true if
// there is none.
func (s *server) canAdmit(tier int) bool {
	if !s.hasLoad || s.load.Running < s.slots() || s.load.Waiting+s.sinceReport < s.load.QueueLimit {
		return true
	}
	return s.load.HasDisplaceable && s.load.LowestTier > tier
}

// affinityServer returns the server that caches the longest prefix of the prompt, and the share of the prompt that is
// expected in its cache. It returns nil if that server is overloaded or not a candidate.
func (r *Router) affinityServer(now time.Time, g *group, req *Request) (*server, float64) {
	for i := len(req.Prefix) - 1; i >= 0; i-- {
		p, ok := g.placements.Peek(req.Prefix[i])
		if !ok {
			continue
		}
		s := r.table.servers[p.server]
		if s == nil || s.group != g || !s.isCandidate(now, req) || r.isOverloaded(now, s, req) {
			return nil, 0
		}
		share := float64(i+1) / float64(len(req.Prefix))
		return s, share * p.confidence(now, s)
	}
	return nil, 0
}

// confidence returns the probability that the server still caches the prefix.
func (p placement) confidence(now time.Time, s *server) float64 {
	c := decay.Weight(now.Sub(p.at), placementHalfLife)
	if p.at.Before(s.gapAt) {
		c /= 2
	}
	return c
}

// isOverloaded reports whether a server is too loaded to be chosen for its cache.
func (r *Router) isOverloaded(now time.Time, s *server, req *Request) bool {
	busy, queued := r.table.occupancy(now, s, req.Tier)
	if busy > affinityLoadFactor*s.group.meanBusy()+1 {
		return true
	}
	wait := time.Duration(math.Max(0, queued-float64(s.slots())+1) * float64(s.slotInterval))
	return req.FirstTokenTarget > 0 && wait > req.FirstTokenTarget
}
