package route

import (
	"slices"
	"time"
)

// FetchSource returns a backend server from which the chosen one can fetch the cached prefix of the prompt instead of
// computing it again: the server that this process last sent the longest shared prefix to, or else the session's home. It
// returns false if the chosen server is expected to have the prefix itself, or if no usable server is expected to have it.
func (r *Router) FetchSource(now time.Time, req Request, chosen string) (Backend, bool) {
	s := r.table.servers[chosen]
	if s == nil || len(req.Prefix) == 0 {
		return Backend{}, false
	}
	source := r.lastPrefixServer(s.group, req.Prefix[:len(req.Prefix)-1])
	if source == nil && req.Session != 0 {
		source = sessionHome(s.group, &req)
	}
	if source == nil || source == s || !source.isCandidate(now, &req) || source.isSilent(now) {
		return Backend{}, false
	}
	return source.Backend, true
}

// BackupServer returns a backend server that can store the backup of a run on the chosen server, or false if there is none.
func (r *Router) BackupServer(now time.Time, req Request, chosen string, rnd uint64) (Backend, bool) {
	s := r.table.servers[chosen]
	if s == nil {
		return Backend{}, false
	}
	c := r.scratch.collect(now, s.group, &req)
	for _, servers := range [][]*server{c.lane, c.all} {
		others := slices.DeleteFunc(servers, func(other *server) bool { return other == s })
		if len(others) > 0 {
			return r.leastLoaded(now, others, &req, rnd).Backend, true
		}
	}
	return Backend{}, false
}

// lastPrefixServer returns the server that was last sent the longest of the prefixes, or nil if there is none.
func (r *Router) lastPrefixServer(g *group, prefixes []uint64) *server {
	for i := len(prefixes) - 1; i >= 0; i-- {
		p, ok := g.placements.Peek(prefixes[i])
		if !ok {
			continue
		}
		if s := r.table.servers[p.server]; s != nil && s.group == g {
			return s
		}
	}
	return nil
}

// sessionHome returns the server of the request's lane that ranks highest for the session, or nil if the lane is empty.
func sessionHome(g *group, req *Request) *server {
	from, to := laneBounds(req.Lane, req.TightServers, g.countReady(req))
	place := 0
	var best *server
	bestRank := uint64(0)
	for _, s := range g.ordered {
		if !s.isReadyFor(req) {
			continue
		}
		place++
		if rk := rank(req.Session, s); place > from && place <= to && (best == nil || rk > bestRank) {
			best, bestRank = s, rk
		}
	}
	return best
}
