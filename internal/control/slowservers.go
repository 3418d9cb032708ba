package control

import (
	"slices"
	"time"

	"github.com/guavastack/guavastack/internal/core/member"
	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/telemetry"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// maxPaceAge is the age up to which the reports of a process count. Processes report once a second.
const maxPaceAge = 5 * time.Second

// withSlowServers returns the plan of a service with the servers that count as slow by the reports of the processes. ready is the number of
// ready servers. It must be called with mu locked.
func (l *lanePlans) withSlowServers(now time.Time, service string, plan *route.LanePlan, processes []member.Process, ready int) *route.LanePlan {
	in := route.ServicePaces{Service: service, Limit: plan.MaxSlow(ready)}
	if plan != nil {
		in.Listed = plan.Slow
	}
	for _, p := range processes {
		if now.Sub(p.Heard) > maxPaceAge {
			continue
		}
		i := slices.IndexFunc(p.Paces, func(r route.PaceReport) bool { return r.Service == service })
		if i >= 0 {
			in.Reports = append(in.Reports, p.Paces[i])
		}
	}
	slow, changes := l.slow.Decide(now, in)
	for _, c := range changes {
		l.logger.Info("slow backend server changed", "service", service, telemetry.KeyBackendServer, c.Server.ID, "incarnation", c.Server.Incarnation,
			"slow", c.Slow, "slowdown", c.Server.Slowdown, "reports", c.Reports, "processes", len(in.Reports))
	}
	return plan.WithSlow(slow)
}

// readyServers returns the number of ready backend servers of each service.
func (s *softState) readyServers() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int)
	s.registry.Each(func(reg *member.Registration[*controlpb.BackendServer]) {
		if reg.Report.Lifecycle == member.Ready && reg.Report.Detail.Kind == route.KindService {
			out[reg.Report.Detail.Model]++
		}
	})
	return out
}
