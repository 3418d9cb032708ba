package control

import (
	"maps"
	"slices"
	"sync"

	"github.com/guavastack/guavastack/internal/core/member"
	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// laneShares holds the share of each service's servers that forms its tight lane. The leader computes the shares from the
// work at all processes and the other members copy them, so that all processes split the servers in the same way.
type laneShares struct {
	mu        sync.Mutex
	splitters map[string]*route.Splitter // on the leader
	shares    map[string]float64
	changed   chan struct{}
}

func newLaneShares() *laneShares {
	return &laneShares{splitters: make(map[string]*route.Splitter), shares: make(map[string]float64), changed: make(chan struct{})}
}

// recompute recomputes the shares on the leader. The share of a service is kept if its work does not determine a new one,
// and removed if no process reports work for the service.
func (l *laneShares) recompute(processes []member.Process) {
	total := make(map[string]route.LaneWork)
	for _, p := range processes {
		for _, w := range p.Lanes {
			total[w.Service] = total[w.Service].Add(w.LaneWork)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	shares := maps.Clone(l.shares)
	for service, work := range total {
		s := l.splitters[service]
		if s == nil {
			s = &route.Splitter{}
			l.splitters[service] = s
		}
		if share, ok := s.Decide(work); ok {
			shares[service] = share
		}
	}
	for service := range shares {
		if _, ok := total[service]; !ok {
			delete(shares, service)
			delete(l.splitters, service)
		}
	}
	l.set(shares)
}

// copyFromLeader replaces the shares with those of the leader, on the other members.
func (l *laneShares) copyFromLeader(messages []*controlpb.LaneShare) {
	shares := make(map[string]float64, len(messages))
	for _, m := range messages {
		shares[m.Service] = m.Tight
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.set(shares)
}

// set replaces the shares and signals a change. It must be called with mu locked.
func (l *laneShares) set(shares map[string]float64) {
	if maps.Equal(shares, l.shares) {
		return
	}
	l.shares = shares
	close(l.changed)
	l.changed = make(chan struct{})
}

// newest returns the current shares, which must not be modified, and a channel that is closed at their next change.
func (l *laneShares) newest() (map[string]float64, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shares, l.changed
}

// recomputeLaneShares recomputes the lane shares if this member leads.
func (s *Service) recomputeLaneShares() {
	if s.leads() {
		s.lanes.recompute(s.soft.allProcesses())
	}
}

// leads reports whether this member is the leader known to it.
func (s *Service) leads() bool {
	leader, ok := s.cfg.Group.Leader()
	return ok && leader.ID == s.cfg.Group.Self().ID
}

// laneShareMessages converts shares to messages, sorted by service.
func laneShareMessages(shares map[string]float64) []*controlpb.LaneShare {
	var out []*controlpb.LaneShare
	for _, service := range slices.Sorted(maps.Keys(shares)) {
		out = append(out, &controlpb.LaneShare{Service: service, Tight: shares[service]})
	}
	return out
}

func serviceWorkOf(in []*controlpb.LaneWork) []member.ServiceWork {
	out := make([]member.ServiceWork, len(in))
	for i, w := range in {
		out[i] = member.ServiceWork{Service: w.Service, LaneWork: route.LaneWork{
			Tight: w.Tight, Bulk: w.Bulk, TightDelay: w.TightDelay, BulkDelay: w.BulkDelay,
		}}
	}
	return out
}

func laneWorkMessages(in []member.ServiceWork) []*controlpb.LaneWork {
	var out []*controlpb.LaneWork
	for _, w := range in {
		out = append(out, &controlpb.LaneWork{
			Service: w.Service, Tight: w.Tight, Bulk: w.Bulk, TightDelay: w.TightDelay, BulkDelay: w.BulkDelay,
		})
	}
	return out
}
