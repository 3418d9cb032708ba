package route

import "time"

// Occupancy returns the requests at the ready servers of a model or service and their slots, by the load reports that are recent enough to
// count. Both are 0 if there is none.
func (t *Table) Occupancy(now time.Time, kind, model string) (busy, slots int) {
	g := t.groups[groupKey{kind, model}]
	if g == nil {
		return 0, 0
	}
	for _, s := range g.servers {
		if s.isStaying() && t.confidence(now, s) >= minLoadConfidence {
			busy += s.load.Running + s.load.Waiting
			slots += s.slots()
		}
	}
	return busy, slots
}

// minLoadConfidence is the weight below which a load report is ignored: after two half-lives.
const minLoadConfidence = 0.25

// AppendUnfitForExtra appends the ids of the servers that must not get an optional request such as a hedge: those that take no new work, are
// not healthy, state a rate limit, are cold or silent, report no free slot or belong to another lane.
func (t *Table) AppendUnfitForExtra(ids []string, now time.Time, req *Request) []string {
	g := t.groups[groupKey{req.Kind, req.Model}]
	if g == nil {
		return ids
	}
	g.refreshLanes(now)
	lane := g.laneOf(req.GapTarget)
	for _, s := range g.servers {
		if !s.isIn(lane) || !s.isFitForExtra(now) {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// isFitForExtra reports whether the server may get an optional request.
func (s *server) isFitForExtra(now time.Time) bool {
	if !s.takesWork(now) || s.health.state != healthy || s.limit.perSecond > 0 || s.isCold(now) || s.isSilent(now) {
		return false
	}
	return s.group.table.confidence(now, s) < minLoadConfidence || s.load.Running+s.load.Waiting < s.slots()
}
