package route

import (
	"slices"
	"time"
)

// Policy selects how a Router picks among the candidates.
type Policy uint8

const (
	// PolicyTwoChoices picks the best of a few random candidates and the server that caches the prompt's prefix. It is the
	// power-of-two-choices method with more than two candidates.
	PolicyTwoChoices Policy = iota
	// PolicySessionLanes sends requests that share a long prompt prefix to the same server, and separates long prompts from
	// streams with tight targets.
	PolicySessionLanes
	// PolicyRoundRobin picks the candidates in turn; a baseline for measurements.
	PolicyRoundRobin
	// PolicyLeastOutstanding picks the candidate with the fewest requests of this process in flight; a baseline for measurements.
	PolicyLeastOutstanding
)

const (
	// choices is the number of random candidates that a pick compares.
	choices = 4
	// maxDraws bounds the random draws of a pick.
	maxDraws = 8
	// affinityLoadFactor bounds the load of a server that is chosen for its cache, as a multiple of the group's mean.
	affinityLoadFactor = 1.25
	// tierUtilisationCost is the penalty for a server whose slots are all occupied by requests of the request's tier or above.
	tierUtilisationCost = 50 * time.Millisecond
	// utilisationCost is the penalty for a server whose slots are all occupied, whatever the tiers.
	utilisationCost = 10 * time.Millisecond
	// failureCost is the penalty for a server that always fails.
	failureCost = 2 * time.Second
	// refusalCost is the penalty for a server that would refuse the request according to its last load report.
	refusalCost = 10 * time.Second
	// placementHalfLife is the half-life of the confidence in a recorded prefix placement.
	placementHalfLife = 5 * time.Minute
)

// RouterConfig is the fixed part of a Router.
type RouterConfig struct {
	Policy Policy
}

// Router chooses backend servers from a Table.
type Router struct {
	table   *Table
	cfg     RouterConfig
	scratch []*server // reused by candidates

	homesLeft int64 // number of choices that left a home because of the gap target
}

// NewRouter returns a router over the table.
func NewRouter(table *Table, cfg RouterConfig) *Router { return &Router{table: table, cfg: cfg} }

// Choose returns the backend server for the request. rnd is a random number that seeds the draws. The error is ErrUnknownModel
// if no known server can serve the request, and ErrNoCandidate if none of those is available; it is a *PausedError if one will be at
// the end of a pause, a *DrainedError if all are in drained zones, and a *ColdError if one will be at the next turn of this process at a
// cold server.
func (r *Router) Choose(now time.Time, req Request, rnd uint64) (Backend, error) {
	g := r.table.groups[groupKey{req.Kind, req.Model}]
	if g == nil || len(g.servers) == 0 {
		return Backend{}, ErrUnknownModel
	}
	var s *server
	switch r.cfg.Policy {
	case PolicySessionLanes:
		s = r.sessionLanes(now, g, &req, rnd)
	case PolicyRoundRobin:
		s = g.nextInTurn(now, &req)
	case PolicyLeastOutstanding:
		s = g.leastOutstanding(now, &req, rnd)
	default:
		s = r.twoChoices(now, g, &req, rnd)
	}
	if s != nil {
		s.limit.chosenAt = now // before the dispatch is recorded, so that no other request uses the same turn
		return s.Backend, nil
	}
	if !slices.ContainsFunc(g.servers, func(s *server) bool { return s.serves(&req) }) {
		return Backend{}, ErrUnknownModel
	}
	if left := g.firstPauseLeft(now, &req); left > 0 {
		return Backend{}, &PausedError{Left: left}
	}
	if g.isDrainedFor(&req) {
		return Backend{}, &DrainedError{}
	}
	if left := g.coldWait(now, &req); left > 0 {
		return Backend{}, &ColdError{Left: left}
	}
	return Backend{}, ErrNoCandidate
}

// serves reports whether the server has the version, role and adapter that the request needs, and is in one of its regions.
func (s *server) serves(req *Request) bool {
	if req.Version != "" && req.Version != s.Version {
		return false
	}
	if req.Role != "" && req.Role != s.Role {
		return false
	}
	if req.Regions.IsLimited && !req.Regions.allow(s) {
		return false
	}
	return req.Adapter == "" || slices.Contains(s.Adapters, req.Adapter)
}

// isCandidate implements the filter stage.
func (s *server) isCandidate(now time.Time, req *Request) bool {
	return s.isUsable(now, req) && s.isWithinLimit(now)
}

// isUsable reports whether the server takes new work, is healthy and not excluded, whatever its rate limit.
func (s *server) isUsable(now time.Time, req *Request) bool {
	return s.isReadyFor(now, req) && s.isAvailable(now) && !slices.Contains(req.Exclude, s.ID)
}

func (g *group) nextInTurn(now time.Time, req *Request) *server {
	for range g.servers {
		g.roundRobin = (g.roundRobin + 1) % len(g.servers)
		if s := g.servers[g.roundRobin]; s.isCandidate(now, req) {
			return s
		}
	}
	return nil
}

func (g *group) leastOutstanding(now time.Time, req *Request, rnd uint64) *server {
	var least *server
	offset := int(rnd % uint64(len(g.servers)))
	for i := range g.servers {
		s := g.servers[(i+offset)%len(g.servers)]
		if s.isCandidate(now, req) && (least == nil || s.inFlight < least.inFlight) {
			least = s
		}
	}
	return least
}

// twoChoices implements the pick stage for PolicyTwoChoices. Comparing only a few random candidates keeps the processes from all picking the server
// that looks best at the moment.
func (r *Router) twoChoices(now time.Time, g *group, req *Request, rnd uint64) *server {
	home, cached := r.affinityServer(now, g, req)
	best, bestScore := home, time.Duration(0)
	if home != nil {
		bestScore = r.score(now, home, req, cached)
	}
	drawn := 0
	for i := 0; i < maxDraws && drawn < choices; i++ {
		rnd = nextRandom(rnd)
		s := g.servers[(rnd>>32)%uint64(len(g.servers))]
		if s == best || !s.isCandidate(now, req) {
			continue
		}
		drawn++
		if score := r.score(now, s, req, 0); best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	if best == nil || bestScore >= refusalCost {
		return r.bestOfAll(now, g, req, rnd)
	}
	return best
}

// bestOfAll scores every candidate, starting at a random one.
func (r *Router) bestOfAll(now time.Time, g *group, req *Request, rnd uint64) *server {
	var best *server
	var bestScore time.Duration
	offset := int((rnd >> 32) % uint64(len(g.servers)))
	for i := range g.servers {
		s := g.servers[(i+offset)%len(g.servers)]
		if !s.isCandidate(now, req) {
			continue
		}
		if score := r.score(now, s, req, 0); best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// nextRandom is one step of the splitmix64 generator.
func nextRandom(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	z := x
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}
