package lanemsg

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// TestSlowServersInMessages guards against slow servers that are lost on the way, and against reports without bound.
func TestSlowServersInMessages(t *testing.T) {
	slow := []route.SlowServer{{ID: "a", Incarnation: "1", Slowdown: 2}, {ID: "b", Incarnation: "7", Slowdown: 1.5}}
	plans := route.LanePlans{
		"x": {Lanes: []route.LanePart{{Gap: time.Millisecond, Share: 0.5}, {Gap: time.Second, Share: 0.5}}, Slow: slow},
		"y": {Lanes: []route.LanePart{{Gap: time.Millisecond, Share: 0.5}, {Gap: time.Second, Share: 0.5}}},
		"z": nil,
	}
	if got := ToPlans(FromPlans(plans)); !reflect.DeepEqual(got, plans) {
		t.Errorf("got plans %v, want %v", got, plans)
	}
	paces := []route.PaceReport{{Service: "x", Coverage: 0.5, Servers: slow}, {Service: "y", Coverage: 1}}
	if got := ToPaces(FromPaces(paces)); !reflect.DeepEqual(got, paces) {
		t.Errorf("got paces %v, want %v", got, paces)
	}

	many := &controlpb.ServicePace{Service: "x"}
	for i := range 1000 {
		many.Servers = append(many.Servers, &controlpb.ServerPace{Id: fmt.Sprint(i), Slowdown: 2})
	}
	if n := len(ToPaces([]*controlpb.ServicePace{many})[0].Servers); n != route.MaxReportedServers {
		t.Errorf("got %d servers of a report of 1000, want %d", n, route.MaxReportedServers)
	}
}
