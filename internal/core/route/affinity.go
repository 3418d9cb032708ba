package route

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// homeLoadFactor and homeLoadSlack bound the load of the server that a session is sent to for its cache: a multiple of
	// the mean of its lane, and a number of requests on top.
	homeLoadFactor = 1.5
	homeLoadSlack  = 4
	// maxHomes is the number of servers that a session is spread over before its cache counts no more.
	maxHomes = 3
)

// orderOf returns a number that orders servers by chance, but in the same way in every process.
func orderOf(id string) uint64 { return xxhash.Sum64String(id) }

// rank returns a server's place for a session: the highest is its home. Every process finds the same home, and when a server
// comes or goes only its own sessions move.
func rank(session uint64, s *server) uint64 { return mix(session ^ s.order) }

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 { return nextRandom(x) }

// sessionLanes picks within the lane of the request: the session's home while its load is bounded, and else the least loaded
// of a few random servers.
func (r *Router) sessionLanes(now time.Time, g *group, req *Request, rnd uint64) *server {
	candidates := withoutSilent(now, g.candidates(now, req))
	if len(candidates) == 0 {
		return g.lastResort(req, rnd)
	}
	if req.Lane != AnyLane {
		g.tight = req.TightServers
	}
	lane := amongst(candidates, g.lane(req))
	if len(lane) == 0 {
		lane = candidates
	}
	if req.Session != 0 {
		if s := r.home(now, lane, req); s != nil {
			return s
		}
	}
	best := r.leastLoaded(now, lane, req, rnd)
	if req.Lane == TightLane && r.use(now, best) >= fullUse {
		// Tight work doesn't wait while bulk work runs elsewhere.
		if other := r.leastLoaded(now, candidates, req, nextRandom(rnd)); r.use(now, other) < r.use(now, best) {
			return other
		}
	}
	return best
}

// candidates returns the servers that may get the request.
func (g *group) candidates(now time.Time, req *Request) []*server {
	out := make([]*server, 0, len(g.servers))
	for _, s := range g.servers {
		if s.isCandidate(now, req) {
			out = append(out, s)
		}
	}
	return out
}

// lane returns the servers of the request's lane. Those that this process has set aside are among them: what one process
// sees of a server must not move the lanes and homes of the others.
func (g *group) lane(req *Request) []*server {
	ready := make([]*server, 0, len(g.servers))
	for _, s := range g.servers {
		if s.Lifecycle == LifecycleReady && s.serves(req) {
			ready = append(ready, s)
		}
	}
	return inLane(ready, req.Lane, req.TightServers)
}

// amongst returns the servers of a lane that are candidates, in the order of the lane.
func amongst(candidates, lane []*server) []*server {
	out := make([]*server, 0, len(lane))
	for _, s := range lane {
		if slices.Contains(candidates, s) {
			out = append(out, s)
		}
	}
	return out
}

// fullUse is the use of a server from which requests wait there.
const fullUse = 0.9

// use estimates the part of a server's slots that is taken; above 1 requests wait.
func (r *Router) use(now time.Time, s *server) float64 { return r.load(now, s) / float64(s.slots()) }

// lastResort returns a server that was set aside, by chance: all that are known look bad, so that the fault may well be
// elsewhere.
func (g *group) lastResort(req *Request, rnd uint64) *server {
	offset := int((rnd >> 32) % uint64(len(g.servers)))
	for i := range g.servers {
		s := g.servers[(i+offset)%len(g.servers)]
		if s.Lifecycle == LifecycleReady && s.serves(req) && !slices.Contains(req.Exclude, s.ID) {
			return s
		}
	}
	return nil
}

// home returns the best of the session's homes whose load is bounded, nil where all are loaded.
func (r *Router) home(now time.Time, lane []*server, req *Request) *server {
	bound := homeLoadFactor*r.meanLoad(now, lane) + homeLoadSlack
	below := uint64(math.MaxUint64)
	for range min(maxHomes, len(lane)) {
		var best *server
		bestRank := uint64(0)
		for _, s := range lane {
			if rk := rank(req.Session, s); rk < below && rk >= bestRank {
				best, bestRank = s, rk
			}
		}
		if best == nil {
			return nil
		}
		if r.load(now, best) <= bound {
			return best
		}
		below = bestRank
	}
	return nil
}

// leastLoaded returns the least loaded of a few random servers of a lane.
func (r *Router) leastLoaded(now time.Time, lane []*server, req *Request, rnd uint64) *server {
	var best *server
	bestScore := 0.0
	for range choices {
		rnd = nextRandom(rnd)
		s := lane[(rnd>>32)%uint64(len(lane))]
		if s == best {
			continue
		}
		score := r.use(now, s) + s.health.failures
		if s.Zone != req.Zone {
			score += zoneLoad
		}
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// zoneLoad is what a dispatch to another availability zone counts, as a share of a server's slots.
const zoneLoad = 0.01

// load estimates the number of requests at a server.
func (r *Router) load(now time.Time, s *server) float64 {
	c := r.table.confidence(now, s)
	return c*s.reportedBusy() + (1-c)*s.group.meanBusy() + float64(s.sinceReport)
}

func (r *Router) meanLoad(now time.Time, lane []*server) float64 {
	sum := 0.0
	for _, s := range lane {
		sum += r.load(now, s)
	}
	return sum / float64(len(lane))
}
