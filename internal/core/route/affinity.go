package route

import (
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
func rank(session uint64, s *server) uint64 { return nextRandom(session ^ s.order) }

// sessionLanes picks within the lane of the request: the session's home while its load is bounded, and else the least loaded
// of a few random servers.
func (r *Router) sessionLanes(now time.Time, g *group, req *Request, rnd uint64) *server {
	if req.Lane != AnyLane {
		g.tight = req.TightServers
	}
	c := r.scratch.of(now, g, req)
	if len(c.all) == 0 {
		return g.lastResort(req, rnd)
	}
	if req.Session != 0 {
		if s := r.home(now, c.lane, req); s != nil {
			return s
		}
	}
	best := r.leastLoaded(now, c.lane, req, rnd)
	if req.Lane == TightLane && r.use(now, best) >= fullUse {
		// Tight work doesn't wait while bulk work runs elsewhere.
		if other := r.leastLoaded(now, c.all, req, nextRandom(rnd)); r.use(now, other) < r.use(now, best) {
			return other
		}
	}
	return best
}

// candidates are the servers that may get a request.
type candidates struct {
	all  []*server
	lane []*server // of the request's lane, all where it has none
}

// of fills in the candidates, in the room of earlier ones. Lanes are counted over all ready servers: what this process has set
// aside must not move the lanes and homes of the others.
func (c *candidates) of(now time.Time, g *group, req *Request) candidates {
	from, to := laneBounds(req.Lane, req.TightServers, g.countReady(req))
	c.all, c.lane = c.all[:0], c.lane[:0]
	c.add(now, g, req, from, to, false)
	if len(c.all) == 0 {
		c.add(now, g, req, from, to, true) // where every server is silent, the fault may well be elsewhere
	}
	if len(c.lane) == 0 {
		c.lane = append(c.lane, c.all...)
	}
	return *c
}

// add adds the candidates that are silent or not, those at the places from..to-1 of the common order to the lane too.
func (c *candidates) add(now time.Time, g *group, req *Request, from, to int, silent bool) {
	place := 0
	for _, s := range g.ordered {
		if !s.isReadyFor(req) {
			continue
		}
		place++
		if !s.isCandidate(now, req) || s.isSilent(now) != silent {
			continue
		}
		c.all = append(c.all, s)
		if place > from && place <= to {
			c.lane = append(c.lane, s)
		}
	}
}

// countReady returns the number of servers that have what the request asks for, also those that this process has set aside.
func (g *group) countReady(req *Request) int {
	n := 0
	for _, s := range g.ordered {
		if s.isReadyFor(req) {
			n++
		}
	}
	return n
}

func (s *server) isReadyFor(req *Request) bool { return s.Lifecycle == LifecycleReady && s.serves(req) }

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
		if s.isReadyFor(req) && !slices.Contains(req.Exclude, s.ID) {
			return s
		}
	}
	return nil
}

// home returns the best of the session's homes whose load is bounded, nil where all are loaded.
func (r *Router) home(now time.Time, lane []*server, req *Request) *server {
	bound := homeLoadFactor*r.meanLoad(now, lane) + homeLoadSlack
	for _, s := range homesOf(req.Session, lane) {
		if s != nil && r.load(now, s) <= bound {
			return s
		}
	}
	return nil
}

// homesOf returns the servers of a lane that rank highest for a session, the first one first; nil for those that are missing.
func homesOf(session uint64, lane []*server) [maxHomes]*server {
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
