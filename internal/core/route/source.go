package route

import (
	"slices"
	"time"
)

// maxPlacementAge is the age up to which this process's own knowledge of a prefix is preferred to the session's home: other
// processes may have moved the session since.
const maxPlacementAge = 10 * time.Second

// FetchSource returns a backend server from which the chosen one can fetch the cached prefix of the prompt instead of
// computing it again: the server that this process last sent the longest shared prefix to, or else the session's home before the
// last change of lanes or servers, or its home, or the one that it last sent a shorter prefix to. It returns false if the chosen
// server is expected to have the prefix itself, or if no usable server that is warm is expected to have it.
func (r *Router) FetchSource(now time.Time, req Request, chosen string) (Backend, bool) {
	s := r.table.servers[chosen]
	if s == nil || len(req.Prefix) == 0 {
		return Backend{}, false
	}
	g := s.group
	g.refreshLanes(now)
	shared := req.Prefix[:len(req.Prefix)-1]
	source := r.lastPrefixServer(now, g, shared[max(0, len(shared)-1):])
	if source == nil && req.Session != 0 {
		source = g.sessionSource(now, &req, s)
	}
	if source == nil {
		source = r.lastPrefixServer(now, g, shared) // a server that is new to the session may lack a part that others share
	}
	if source == nil || source == s || !source.isUsable(now, &req) || source.isSilent(now) || source.isCold(now) {
		return Backend{}, false
	}
	return source.Backend, true
}

// sessionSource returns the server other than chosen that is expected to cache the prefix of the session, or nil if there is none.
func (g *group) sessionSource(now time.Time, req *Request, chosen *server) *server {
	lane := g.laneOf(req.GapTarget)
	former := g.home(req.Session, func(s *server) bool { return s.wasIn(now, lane) && s.serves(req) })
	if former != nil && former != chosen {
		return former
	}
	home := g.home(req.Session, func(s *server) bool { return s.isIn(lane) && s.serves(req) })
	if home == chosen {
		return nil
	}
	return home
}

// BackupServer returns a backend server that can store the backup of a run on the chosen server, or false if there is none that is warm.
func (r *Router) BackupServer(now time.Time, req Request, chosen string, rnd uint64) (Backend, bool) {
	s := r.table.servers[chosen]
	if s == nil {
		return Backend{}, false
	}
	g := s.group
	g.refreshLanes(now)
	for _, lane := range []int{g.laneOf(req.GapTarget), noLane} {
		others := slices.DeleteFunc(r.candidates(now, g, &req, lane), func(other *server) bool { return other == s || other.isCold(now) })
		if len(others) > 0 {
			return r.leastLoaded(now, others, &req, rnd).Backend, true
		}
	}
	return Backend{}, false
}

// lastPrefixServer returns the server that was recently sent the longest of the prefixes, or nil if there is none.
func (r *Router) lastPrefixServer(now time.Time, g *group, prefixes []uint64) *server {
	for i := len(prefixes) - 1; i >= 0; i-- {
		p, ok := g.placements.Peek(prefixes[i])
		if !ok || now.Sub(p.at) > maxPlacementAge {
			continue
		}
		if s := r.table.servers[p.server]; s != nil && s.group == g {
			return s
		}
	}
	return nil
}
