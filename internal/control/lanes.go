package control

import (
	"maps"
	"slices"
	"sync"

	"github.com/guavastack/guavastack/internal/core/member"
	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// laneBoard holds the share of each service's servers that makes its tight lane. The leader decides by the work at all
// processes, the other members pass its shares on, so that all processes split the servers alike.
type laneBoard struct {
	mu        sync.Mutex
	splitters map[string]*route.Splitter // on the leader
	shares    map[string]float64
	changed   chan struct{}
}

func newLaneBoard() *laneBoard {
	return &laneBoard{splitters: make(map[string]*route.Splitter), shares: make(map[string]float64), changed: make(chan struct{})}
}

// decide is the leader's part. A service without work for two lanes keeps its share.
func (b *laneBoard) decide(processes []member.Process) {
	total := make(map[string]route.LaneWork)
	for _, p := range processes {
		for _, w := range p.Lanes {
			total[w.Service] = total[w.Service].Add(w.LaneWork)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	shares := maps.Clone(b.shares)
	for service, work := range total {
		s := b.splitters[service]
		if s == nil {
			s = &route.Splitter{}
			b.splitters[service] = s
		}
		if share, ok := s.Decide(work); ok {
			shares[service] = share
		}
	}
	for service := range shares {
		if _, ok := total[service]; !ok {
			delete(shares, service)
			delete(b.splitters, service)
		}
	}
	b.set(shares)
}

// take is the part of the other members.
func (b *laneBoard) take(messages []*controlpb.LaneShare) {
	shares := make(map[string]float64, len(messages))
	for _, m := range messages {
		shares[m.Service] = m.Tight
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.set(shares)
}

// set is called with mu locked.
func (b *laneBoard) set(shares map[string]float64) {
	if maps.Equal(shares, b.shares) {
		return
	}
	b.shares = shares
	close(b.changed)
	b.changed = make(chan struct{})
}

// newest returns the shares, which nobody changes, and a channel that is closed at their next change.
func (b *laneBoard) newest() (map[string]float64, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.shares, b.changed
}

// decideLanes lets the leader decide on the lanes.
func (s *Service) decideLanes() {
	if s.leads() {
		s.lanes.decide(s.soft.allProcesses())
	}
}

// leads reports whether this member leads as far as it knows.
func (s *Service) leads() bool {
	leader, ok := s.cfg.Group.Leader()
	return ok && leader.ID == s.cfg.Group.Self().ID
}

// laneShareMessages returns the sent form of shares, in order of their names.
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
