// Package lanemsg converts the work of streams and the lane plans made from it to and from the messages of the control group.
package lanemsg

import (
	"maps"
	"slices"
	"time"

	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// FromWork converts the work of services to messages.
func FromWork(in []route.ServiceWork) []*controlpb.ServiceWork {
	var out []*controlpb.ServiceWork
	for _, service := range in {
		message := &controlpb.ServiceWork{Service: service.Service}
		for _, w := range service.Streams {
			message.Streams = append(message.Streams, &controlpb.StreamWork{
				GapUs: w.Gap.Microseconds(), Prefill: w.Prefill, Output: w.Output, Delay: w.Delay,
			})
		}
		out = append(out, message)
	}
	return out
}

// ToWork converts messages to the work of services.
func ToWork(in []*controlpb.ServiceWork) []route.ServiceWork {
	out := make([]route.ServiceWork, len(in))
	for i, message := range in {
		out[i].Service = message.Service
		for _, w := range message.Streams {
			out[i].Streams = append(out[i].Streams, route.StreamWork{
				Gap: duration(w.GapUs), Prefill: w.Prefill, Output: w.Output, Delay: w.Delay,
			})
		}
	}
	return out
}

// FromPlans converts the plans of services to messages, sorted by service.
func FromPlans(in route.LanePlans) []*controlpb.LanePlan {
	var out []*controlpb.LanePlan
	for _, service := range slices.Sorted(maps.Keys(in)) {
		message := &controlpb.LanePlan{Service: service}
		if plan := in[service]; plan != nil {
			for _, lane := range plan.Lanes {
				message.Lanes = append(message.Lanes, &controlpb.Lane{GapUs: lane.Gap.Microseconds(), Share: lane.Share})
			}
			message.Slow = fromSlow(plan.Slow)
		}
		out = append(out, message)
	}
	return out
}

// ToPlans converts messages to the plans of services.
func ToPlans(in []*controlpb.LanePlan) route.LanePlans {
	out := make(route.LanePlans, len(in))
	for _, message := range in {
		var plan *route.LanePlan
		if len(message.Lanes) > 0 {
			plan = &route.LanePlan{}
		}
		for _, lane := range message.Lanes {
			plan.Lanes = append(plan.Lanes, route.LanePart{Gap: duration(lane.GapUs), Share: lane.Share})
		}
		if plan != nil {
			plan.Slow = toSlow(message.Slow)
		}
		out[message.Service] = plan
	}
	return out
}

func duration(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
