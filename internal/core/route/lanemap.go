package route

import "time"

// cacheMemory is how long a server is expected to keep the cache of a lane's sessions after it has left the lane.
const cacheMemory = 10 * time.Second

// noLane is the lane of servers that are not split into lanes.
const noLane = -1

// laneMembership is the lane of a server and the one that it was in before.
type laneMembership struct {
	lane   int
	former int       // before since; noLane: none
	since  time.Time // when it joined lane
}

// laneMap assigns the ready servers of a group to the lanes of a plan, by their position in the common order. Servers that only
// this process has quarantined are assigned too, so that all processes agree on the lanes. Servers of drained zones are not,
// since the drains are common to all processes.
type laneMap struct {
	plan    *LanePlan // nil: not split
	ready   []*server // in the common order, without those of drained zones
	lanes   [][]*server
	changed bool // the plan or the ready servers have changed since the last refresh
}

// SetLanePlan sets the plan by which the servers of a model or service are split into lanes; nil: not at all.
func (t *Table) SetLanePlan(kind, model string, plan *LanePlan) {
	g := t.group(groupKey{kind, model})
	if g.plan.Equal(plan) {
		return
	}
	g.plan = plan
	g.changed = true
}

// refreshLanes updates the assignment after a change.
func (g *group) refreshLanes(now time.Time) {
	if !g.changed {
		return
	}
	g.changed = false
	g.ready, g.lanes = g.ready[:0], g.lanes[:0]
	for _, s := range g.ordered {
		if s.Lifecycle == LifecycleReady && !s.drained {
			g.ready = append(g.ready, s)
		}
	}
	g.markSlow()
	slowLast(g.ready)
	sizes := g.plan.sizes(len(g.ready), capacity(g.ready))
	if sizes == nil {
		assignLane(now, g.ready, noLane)
		return
	}
	from := 0
	for lane, size := range sizes {
		servers := g.ready[from : from+size]
		assignLane(now, servers, lane)
		g.lanes = append(g.lanes, servers)
		from += size
	}
}

func assignLane(now time.Time, servers []*server, lane int) {
	for _, s := range servers {
		switch {
		case s.membership.since.IsZero():
			s.membership = laneMembership{lane: lane, former: noLane, since: now}
		case s.membership.lane != lane:
			s.membership = laneMembership{lane: lane, former: s.membership.lane, since: now}
		}
	}
}

// laneOf returns the lane of streams with a gap target, or noLane if they may use all servers.
func (g *group) laneOf(gap time.Duration) int {
	if len(g.lanes) == 0 {
		return noLane
	}
	lane := g.plan.laneFor(gap)
	for lane > 0 && len(g.lanes[lane]) == 0 {
		lane-- // the lanes share servers
	}
	return lane
}

// isIn reports whether the server belongs to a lane. Every server belongs to noLane.
func (s *server) isIn(lane int) bool { return lane == noLane || s.membership.lane == lane }

// wasIn reports whether the server belonged to a lane cacheMemory ago. A server that joined the group since did not.
func (s *server) wasIn(now time.Time, lane int) bool {
	m := s.membership
	if now.Sub(m.since) >= cacheMemory {
		return s.isIn(lane)
	}
	return m.former != noLane && m.former == lane
}

// home returns the ready server that ranks highest for a session among those for which f returns true, or nil if there is none.
func (g *group) home(session uint64, f func(*server) bool) *server {
	var best *server
	bestRank := uint64(0)
	for _, s := range g.ready {
		if !f(s) {
			continue
		}
		if rk := rank(session, s); best == nil || rk > bestRank {
			best, bestRank = s, rk
		}
	}
	return best
}
