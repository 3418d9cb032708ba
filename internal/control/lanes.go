package control

import (
	"fmt"
	"log/slog"
	"maps"
	"sync"
	"time"

	"github.com/guavastack/guavastack/internal/core/member"
	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/lanemsg"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// lanePlans holds the plan by which the servers of each service are split into lanes. The leader decides by the work at all
// processes and the other members copy its plans, so that all processes split the servers in the same way.
type lanePlans struct {
	logger *slog.Logger

	mu        sync.Mutex
	byService route.LanePlans
	slow      route.SlowServers // decides while this member leads
	changed   chan struct{}
}

func newLanePlans(logger *slog.Logger) *lanePlans {
	return &lanePlans{logger: logger, byService: make(route.LanePlans), changed: make(chan struct{})}
}

// recompute decides on the plans, on the leader. ready is the number of ready servers of each service.
func (l *lanePlans) recompute(now time.Time, processes []member.Process, ready map[string]int) {
	total := make(map[string][]route.StreamWork)
	for _, p := range processes {
		for _, w := range p.Work {
			total[w.Service] = route.AddStreamWork(total[w.Service], w.Streams)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	plans := make(route.LanePlans, len(total))
	for service, work := range total {
		plans[service] = l.withSlowServers(now, service, route.SplitLanes(l.byService[service], work), processes, ready[service])
		if !plans[service].Equal(l.byService[service]) {
			l.logger.Info("lane plan changed", "service", service, "plan", plans[service].String(), "work", fmt.Sprint(work))
		}
	}
	l.set(plans)
}

// copyFromLeader replaces the plans with those of the leader, on the other members.
func (l *lanePlans) copyFromLeader(messages []*controlpb.LanePlan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slow = route.SlowServers{} // another member decides
	l.set(lanemsg.ToPlans(messages))
}

// set replaces the plans and signals a change. It must be called with mu locked.
func (l *lanePlans) set(plans route.LanePlans) {
	if maps.EqualFunc(plans, l.byService, (*route.LanePlan).Equal) {
		return
	}
	l.byService = plans
	close(l.changed)
	l.changed = make(chan struct{})
}

// newest returns the current plans, which must not be modified, and a channel that is closed at their next change.
func (l *lanePlans) newest() (route.LanePlans, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byService, l.changed
}

// recomputeLanePlans recomputes the lane plans if this member leads.
func (s *Service) recomputeLanePlans() {
	if s.leads() {
		s.lanes.recompute(time.Now(), s.soft.allProcesses(), s.soft.readyServers())
	}
}

// leads reports whether this member is the leader known to it.
func (s *Service) leads() bool {
	leader, ok := s.cfg.Group.Leader()
	return ok && leader.ID == s.cfg.Group.Self().ID
}
