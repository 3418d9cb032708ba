package lanemsg

import (
	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// FromPaces converts the paces of services to messages.
func FromPaces(in []route.PaceReport) []*controlpb.ServicePace {
	var out []*controlpb.ServicePace
	for _, r := range in {
		out = append(out, &controlpb.ServicePace{Service: r.Service, Coverage: r.Coverage, Servers: fromSlow(r.Servers)})
	}
	return out
}

// ToPaces converts messages to the paces of services. Of each service, servers beyond route.MaxReportedServers are left out.
func ToPaces(in []*controlpb.ServicePace) []route.PaceReport {
	var out []route.PaceReport
	for _, message := range in {
		out = append(out, route.PaceReport{
			Service: message.Service, Coverage: message.Coverage,
			Servers: toSlow(message.Servers[:min(len(message.Servers), route.MaxReportedServers)]),
		})
	}
	return out
}

func fromSlow(in []route.SlowServer) []*controlpb.ServerPace {
	var out []*controlpb.ServerPace
	for _, s := range in {
		out = append(out, &controlpb.ServerPace{Id: s.ID, Incarnation: s.Incarnation, Slowdown: s.Slowdown})
	}
	return out
}

func toSlow(in []*controlpb.ServerPace) []route.SlowServer {
	var out []route.SlowServer
	for _, s := range in {
		out = append(out, route.SlowServer{ID: s.Id, Incarnation: s.Incarnation, Slowdown: s.Slowdown})
	}
	return out
}
