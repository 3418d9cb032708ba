package route

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Slow servers belong to the bulk lane, so that streams with tight targets run on the others. Each process reports the servers that it sees as
// outliers, and one process decides for all, so that all split the servers alike.

const (
	// MaxReportedServers bounds the servers of one service that a process reports.
	MaxReportedServers = 16
	// badFactor is how much slower a server must be in its bad moments alone than at all times to count as slow.
	badFactor = 1.5
	// slowFrom is the pace from which a server becomes slow, and slowUntil the one below which it is no longer slow. They differ because each
	// change moves sessions.
	slowFrom  = 1.5
	slowUntil = 1.25
	// slowAfter and normalAfter are how long a server must be above slowFrom or below slowUntil.
	slowAfter   = 5 * time.Second
	normalAfter = 15 * time.Second
	// slowMemory is how long a server stays slow of which nothing is reported.
	slowMemory = time.Minute
	// listedTolerance is the difference from the listed pace above which another one is listed. It exceeds half of a step of roundPace, so that
	// a pace between two steps doesn't change the list again and again.
	listedTolerance = 0.4
)

// SlowServer is an incarnation of a server with its lasting pace relative to its peers.
type SlowServer struct {
	ID, Incarnation string
	Slowdown        float64
}

// PaceReport is what one process knows of the pace of a service's servers.
type PaceReport struct {
	Service  string
	Coverage float64 // share of the ready servers of which the process knows the pace
	// Servers are the outliers, and those listed as slow of which the process knows the pace, slowest first. The others are as usual.
	Servers []SlowServer
}

// PaceReports returns the reports of all services of which the pace of a server is known.
func (t *Table) PaceReports(now time.Time) []PaceReport {
	var reports []PaceReport
	for key, g := range t.groups {
		if key.kind != KindService {
			continue
		}
		g.refreshLanes(now)
		report := PaceReport{Service: key.model}
		known := 0
		for s, pace := range g.slowdowns(now) {
			if s.Lifecycle != LifecycleReady || s.drained || pace == 0 {
				continue
			}
			known++
			if pace >= slowUntil || s.pace.listed > 0 {
				report.Servers = append(report.Servers, SlowServer{ID: s.ID, Incarnation: s.Incarnation, Slowdown: pace})
			}
		}
		if known == 0 {
			continue
		}
		report.Coverage = float64(known) / float64(len(g.ready))
		slices.SortFunc(report.Servers, slowestFirst)
		report.Servers = report.Servers[:min(len(report.Servers), MaxReportedServers)]
		reports = append(reports, report)
	}
	slices.SortFunc(reports, func(a, b PaceReport) int { return cmp.Compare(a.Service, b.Service) })
	return reports
}

func slowestFirst(a, b SlowServer) int {
	if c := cmp.Compare(b.Slowdown, a.Slowdown); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}

// slowdowns returns the lasting pace by which a server counts as slow; 0: unknown. It is the median of its pace, or that in bad moments, if the
// server states it too: what is observed alone shows bad moments also of a server that prefills prompts in all its steps.
func (g *group) slowdowns(now time.Time) map[*server]float64 {
	out := make(map[*server]float64, len(g.servers))
	g.lastingPaces(now, typicalQuantile, func(s *server, pace float64) { out[s] = pace })
	g.lastingPaces(now, badQuantile, func(s *server, pace float64) {
		if out[s] > 0 && s.pace.statedHistory.total > 0 {
			out[s] = max(out[s], pace/badFactor)
		}
	})
	return out
}

// SlowServers decides which servers count as slow, from the reports of all processes. The zero value has no history; what another process
// decided before is taken over from its list. It is not safe for concurrent use.
type SlowServers struct {
	byServer map[slowKey]*slowState
}

type slowKey struct{ service, id, incarnation string }

// slowState is the state of a server that is or may become slow.
type slowState struct {
	slow     bool
	slowdown float64   // median of the processes, as last reported
	listed   float64   // pace on the list; 0: not listed yet
	since    time.Time // since when the reports contradict slow; zero: they don't
	heardAt  time.Time
}

// ServicePaces are the reports of all processes about one service.
type ServicePaces struct {
	Service string
	Reports []PaceReport
	Listed  []SlowServer // as decided last
	Limit   int          // on the number of slow servers
}

// SlowChange is a server that became slow or is no longer slow.
type SlowChange struct {
	Service string
	Server  SlowServer
	Slow    bool
	Reports int // number of processes that reported its pace
}

// Decide returns the servers of a service that count as slow, slowest first, and the changes since the last call.
func (d *SlowServers) Decide(now time.Time, in ServicePaces) (list []SlowServer, changes []SlowChange) {
	d.takeOver(now, in)
	reported, observers := collectPaces(in.Reports)
	for server, paces := range reported {
		key := slowKey{in.Service, server.id, server.incarnation}
		state := d.byServer[key]
		if state == nil {
			state = &slowState{}
			d.byServer[key] = state
		}
		state.heardAt = now
		state.slowdown = state.median(paces, observers)
		if state.update(now) {
			changes = append(changes, SlowChange{
				Service: in.Service, Server: SlowServer{server.id, server.incarnation, state.slowdown}, Slow: state.slow, Reports: len(paces),
			})
		}
	}
	for key, state := range d.byServer {
		if key.service != in.Service {
			continue
		}
		switch age := now.Sub(state.heardAt); {
		case state.slow && age >= slowMemory:
			changes = append(changes, SlowChange{Service: in.Service, Server: SlowServer{key.id, key.incarnation, state.slowdown}})
			delete(d.byServer, key)
		case !state.slow && age > 0:
			delete(d.byServer, key) // the processes no longer see it as an outlier
		case state.slow:
			if math.Abs(state.slowdown-state.listed) > listedTolerance {
				state.listed = roundPace(state.slowdown)
			}
			list = append(list, SlowServer{key.id, key.incarnation, state.listed})
		}
	}
	return limitSlow(list, in), changes
}

// takeOver starts from the servers that another process listed.
func (d *SlowServers) takeOver(now time.Time, in ServicePaces) {
	if d.byServer == nil {
		d.byServer = make(map[slowKey]*slowState)
	}
	for _, s := range in.Listed {
		key := slowKey{in.Service, s.ID, s.Incarnation}
		if d.byServer[key] == nil {
			d.byServer[key] = &slowState{slow: true, slowdown: s.Slowdown, listed: s.Slowdown, heardAt: now}
		}
	}
}

type incarnationKey struct{ id, incarnation string }

// collectPaces returns the reported paces by server, sorted, and the expected number of processes that know the pace of any one server.
func collectPaces(reports []PaceReport) (paces map[incarnationKey][]float64, observers float64) {
	paces = make(map[incarnationKey][]float64)
	for _, r := range reports {
		if r.Coverage > 0 { // false for a number that isn't one
			observers += min(r.Coverage, 1)
		}
		servers := r.Servers[:min(len(r.Servers), MaxReportedServers)]
		for i, s := range servers {
			isRepeated := slices.ContainsFunc(servers[:i], func(o SlowServer) bool { return o.ID == s.ID && o.Incarnation == s.Incarnation })
			if s.Slowdown > 0 && !isRepeated { // each process counts once
				key := incarnationKey{s.ID, s.Incarnation}
				paces[key] = append(paces[key], min(s.Slowdown, MaxSlowdown))
			}
		}
	}
	for _, p := range paces {
		slices.Sort(p)
	}
	return paces, observers
}

// median returns the lower median of the reported paces. A process that knows a server and doesn't report it sees it as usual, unless it is
// listed, so the missing reports count as that.
func (s *slowState) median(paces []float64, observers float64) float64 {
	usual := 0
	if !s.slow {
		usual = max(int(math.Round(observers))-len(paces), 0)
	}
	if i := (len(paces)+usual-1)/2 - usual; i >= 0 {
		return paces[i]
	}
	return 1
}

// update applies the hysteresis and reports whether the server became slow or is no longer slow.
func (s *slowState) update(now time.Time) bool {
	contradicts, after := s.slowdown >= slowFrom, slowAfter
	if s.slow {
		contradicts, after = s.slowdown < slowUntil, normalAfter
	}
	switch {
	case !contradicts:
		s.since = time.Time{}
		return false
	case s.since.IsZero():
		s.since = now
	}
	if now.Sub(s.since) < after {
		return false
	}
	s.slow, s.since = !s.slow, time.Time{}
	return true
}

// roundPace rounds a pace to halves.
func roundPace(pace float64) float64 { return math.Round(2*pace) / 2 }

// limitSlow returns at most the allowed number of servers: those that are listed already before others, and slower ones before faster ones.
func limitSlow(list []SlowServer, in ServicePaces) []SlowServer {
	isListed := func(s SlowServer) bool {
		return slices.ContainsFunc(in.Listed, func(l SlowServer) bool { return l.ID == s.ID && l.Incarnation == s.Incarnation })
	}
	slices.SortFunc(list, func(a, b SlowServer) int {
		if la, lb := isListed(a), isListed(b); la != lb {
			if la {
				return -1
			}
			return 1
		}
		return slowestFirst(a, b)
	})
	list = list[:min(len(list), max(in.Limit, 0))]
	slices.SortFunc(list, slowestFirst)
	return list
}

// WithSlow returns the plan with other slow servers; nil for a plan that doesn't split.
func (p *LanePlan) WithSlow(slow []SlowServer) *LanePlan {
	if p == nil || slices.Equal(p.Slow, slow) {
		return p
	}
	return &LanePlan{Lanes: p.Lanes, Slow: slow}
}

// MaxSlow returns the largest number of slow servers among n: as many as the bulk lane has.
func (p *LanePlan) MaxSlow(n int) int {
	sizes := p.sizes(n, float64(n))
	if sizes == nil {
		return 0
	}
	return sizes[len(sizes)-1]
}

// markSlow marks the servers that the plan lists as slow.
func (g *group) markSlow() {
	for _, s := range g.servers {
		s.pace.listed = 0
	}
	if g.plan == nil {
		return
	}
	for _, slow := range g.plan.Slow {
		if s := g.table.servers[slow.ID]; s != nil && s.group == g && s.Incarnation == slow.Incarnation {
			s.pace.listed = 1
			if slow.Slowdown > 1 { // false for a number that isn't one
				s.pace.listed = min(slow.Slowdown, maxWeight)
			}
			s.isPaceKnown = true
		}
	}
}

// slowLast moves the slow servers to the end and keeps the order otherwise, so that they belong to the last lane.
func slowLast(servers []*server) {
	slices.SortStableFunc(servers, func(a, b *server) int {
		switch {
		case (a.pace.listed > 0) == (b.pace.listed > 0):
			return 0
		case a.pace.listed > 0:
			return 1
		default:
			return -1
		}
	})
}

// capacity returns the capacity of servers as a number of servers that are not slow.
func capacity(servers []*server) float64 {
	sum := 0.0
	for _, s := range servers {
		sum += 1 / max(s.pace.listed, 1)
	}
	return sum
}

// isHomeShare reports whether a server is a home for the session, as far as its pace goes: a slow one is for a part of the sessions only, by a
// hash of both, so that all processes agree.
func (s *server) isHomeShare(hash uint64) bool {
	return s.pace.listed <= 1 || float64(nextRandom(hash)>>11)/(1<<53) < 1/s.pace.listed
}
