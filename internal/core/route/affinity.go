package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// homeLoadFactor and homeLoadSlack bound the load of a home server that gets a session's request: a multiple of the mean
	// load of its lane plus a number of requests.
	homeLoadFactor = 1.5
	homeLoadSlack  = 4
	// maxHomes is the number of servers tried for a session's cache before the request goes to the least loaded server.
	maxHomes = 3
)

// orderHash returns a hash that gives servers the same pseudo-random order in every process.
func orderHash(id string) uint64 { return xxhash.Sum64String(id) }

// rank returns the rendezvous hash of a session and a server; the server with the highest rank is the session's home. Every
// process finds the same home, and adding or removing a server moves only the sessions of that server.
func rank(session uint64, s *server) uint64 {
	hash := nextRandom(session ^ s.order)
	if s.isPaceKnown && !s.isHomeShare(hash) {
		return hash >> 32 // below the others
	}
	return hash
}

// sessionLanes picks a server within the lane of the request: the session's home while its load is bounded, else the least
// loaded of a few random servers.
func (r *Router) sessionLanes(now time.Time, g *group, req *Request, rnd uint64) *server {
	g.refreshLanes(now)
	lane := g.laneOf(req.GapTarget)
	servers := r.candidates(now, g, req, lane)
	if len(servers) == 0 {
		return g.lastResort(now, req, rnd)
	}
	if req.Session != 0 {
		if s := r.home(now, servers, req, lane < len(g.lanes)-1); s != nil {
			return s
		}
	}
	best := r.leastLoaded(now, servers, req, rnd)
	if lane >= len(g.lanes)-1 {
		return best // requests with the loosest target queue in their lane
	}
	return r.spill(now, g, req, lane, best, nextRandom(rnd))
}

// spill returns the server for a request of a tight lane whose best server is best. A request leaves a lane whose slots are occupied, or
// whose best server is held up. It goes to the next lane if it can, since the long prompts of the bulk lane delay each of its events.
func (r *Router) spill(now time.Time, g *group, req *Request, lane int, best *server, rnd uint64) *server {
	isFull := r.utilisation(now, best) >= fullUtilisation
	if !isFull && !best.isHeldUp(now, req) {
		return best
	}
	next := r.leastLoaded(now, r.candidates(now, g, req, lane+1), req, rnd)
	if r.utilisation(now, next) < fullUtilisation && !next.isHeldUp(now, req) {
		return next
	}
	if !isFull {
		return best
	}
	other := r.leastLoaded(now, r.candidates(now, g, req, noLane), req, nextRandom(rnd))
	if r.utilisation(now, other) < r.utilisation(now, best) {
		return other
	}
	return best
}

// candidates returns the servers of a lane that may get a request, or of all lanes if it has none. The result is valid until the next
// call.
func (r *Router) candidates(now time.Time, g *group, req *Request, lane int) []*server {
	servers := g.ready
	if lane != noLane {
		servers = g.lanes[lane]
	}
	r.scratch = appendCandidates(r.scratch[:0], now, servers, req, false)
	if len(r.scratch) == 0 && lane != noLane {
		r.scratch = appendCandidates(r.scratch, now, g.ready, req, false)
	}
	if len(r.scratch) == 0 {
		r.scratch = appendCandidates(r.scratch, now, g.ready, req, true) // if every server is silent, the servers are probably not the cause
	}
	return r.scratch
}

// appendCandidates appends the servers that may get the request and are silent, or aren't.
func appendCandidates(list []*server, now time.Time, servers []*server, req *Request, silent bool) []*server {
	if len(servers) == 0 {
		return list
	}
	cutoff := servers[0].group.silenceCutoff(now)
	for _, s := range servers {
		if s.isCandidate(now, req) && (s.mayBeSilent(cutoff) && s.isSilent(now)) == silent {
			list = append(list, s)
		}
	}
	return list
}

func (s *server) isReadyFor(now time.Time, req *Request) bool {
	return s.takesWork(now) && s.serves(req)
}

// fullUtilisation is the utilisation from which a server is expected to queue requests.
const fullUtilisation = 0.9

// utilisation estimates the share of a server's slots that is occupied; above 1 requests queue. Of a server that warms up, only a part of
// the slots counts.
func (r *Router) utilisation(now time.Time, s *server) float64 {
	return r.load(now, s) / (float64(s.slots()) * s.capacity(now))
}

// lastResort returns a random ready server whatever its health, but within its rate limit. It is used if no server is available: if all
// appear unhealthy, the servers are probably not the cause.
func (g *group) lastResort(now time.Time, req *Request, rnd uint64) *server {
	offset := int((rnd >> 32) % uint64(len(g.servers)))
	for i := range g.servers {
		s := g.servers[(i+offset)%len(g.servers)]
		if s.isReadyFor(now, req) && s.isWithinLimit(now) && !slices.Contains(req.Exclude, s.ID) {
			return s
		}
	}
	return nil
}

// home returns the highest-ranked home of the session whose load is within bounds and at which the gap target is expected to hold, or nil
// if there is none. Streams with a tight target also leave a home that is held up. Others stay, unless the home is slow: their shared parts are
// long, and reading them again elsewhere holds up more.
func (r *Router) home(now time.Time, lane []*server, req *Request, isTight bool) *server {
	bound := float64(homeLoadSlack)
	isBoundKnown := false // the mean load of the lane is needed only for a home with more than homeLoadSlack
	for _, s := range homeServers(req.Session, lane) {
		if s == nil || !s.isHomeWhileWarming(now, req.Session) {
			continue
		}
		load := r.load(now, s) / s.capacity(now)
		if load > bound && !isBoundKnown {
			bound += homeLoadFactor * r.meanLoad(now, lane)
			isBoundKnown = true
		}
		if load > bound || (isTight && s.isHeldUp(now, req)) {
			continue
		}
		if (isTight || s.loadWeight(now) > 1) && s.missesGap(now, req.GapTarget) {
			r.homesLeft++
			continue
		}
		return s
	}
	return nil
}

// homeServers returns the servers of a lane that rank highest for a session, in descending order; unused elements are nil.
func homeServers(session uint64, lane []*server) [maxHomes]*server {
	var homes [maxHomes]*server
	var ranks [maxHomes]uint64
	for _, s := range lane {
		rk := rank(session, s)
		for i := range homes {
			if homes[i] == nil || rk > ranks[i] {
				homes[i], s = s, homes[i]
				ranks[i], rk = rk, ranks[i]
			}
			if s == nil {
				break
			}
		}
	}
	return homes
}

// leastLoaded returns the least loaded of a few randomly drawn servers of a lane.
func (r *Router) leastLoaded(now time.Time, lane []*server, req *Request, rnd uint64) *server {
	var best *server
	bestScore := 0.0
	for range choices {
		rnd = nextRandom(rnd)
		s := lane[(rnd>>32)%uint64(len(lane))]
		if s == best {
			continue
		}
		score := r.utilisation(now, s) + s.health.failures + coldPenalty*(1-s.capacity(now))
		if s.Zone != req.Zone {
			score += zonePenalty
		}
		if s.isHeldUp(now, req) {
			score += heldUpPenalty
		} else {
			score += heldUpPenalty * s.waitShare(now, req)
		}
		if s.missesGap(now, req.GapTarget) {
			score += gapPenalty
		}
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// heldUpShare is the share of the target for the first event after which a waiting request shows that its server is held up. Each of
// many gateways has few requests at a server, so it must not wait for one of them to be late.
const heldUpShare = 0.25

// heldUpLimit returns how long a request may wait at a server before the server counts as held up for req.
func heldUpLimit(req *Request) time.Duration {
	return time.Duration(heldUpShare * float64(req.FirstTokenTarget))
}

// heldUpPenalty is the penalty for a server that is held up, as a share of a server's slots.
const heldUpPenalty = 0.5

// gapPenalty is the penalty for a server at which the gap target is not expected to hold, as a share of a server's slots. It is bounded, so
// that the other servers aren't overloaded when many servers are slow.
const gapPenalty = 0.5

// zonePenalty is the penalty for a dispatch to another availability zone, as a share of a server's slots.
const zonePenalty = 0.01

// load estimates the number of requests at a server, weighted by its pace. The older its load report, the more the group's mean counts
// instead. At a slow server the request that is being placed takes longer, even if there is no other.
func (r *Router) load(now time.Time, s *server) float64 {
	c := r.table.confidence(now, s)
	requests := c*s.reportedBusy() + (1-c)*s.group.meanBusy() + float64(s.sinceReport)
	return (requests+1)*s.loadWeight(now) - 1
}

// meanLoad returns the mean load of servers, of which those that warm up count in part.
func (r *Router) meanLoad(now time.Time, lane []*server) float64 {
	sum, capacity := 0.0, float64(len(lane))
	for _, s := range lane {
		sum += r.load(now, s)
		if s.warmth.isTracked {
			capacity -= 1 - s.capacity(now)
		}
	}
	return sum / capacity
}
