package serverset

import (
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// TestReportCountsOnce guards against a cold time that begins again whenever anything in the registry changes: the list of servers then
// has the same report of a server again.
func TestReportCountsOnce(t *testing.T) {
	report := func(sequence uint64, remaining int64) []*controlpb.BackendServer {
		return []*controlpb.BackendServer{{
			Id: "a", Incarnation: "1", Address: "10.0.0.1:80", Kind: route.KindService, Model: "m", Lifecycle: route.LifecycleReady,
			Sequence: sequence, ColdRemainingMs: remaining,
		}}
	}
	s := New("zone-a", route.PolicySessionLanes)
	s.SetColdStart(route.KindService, "m", route.ColdStart{Length: time.Minute, PerSecond: 15})
	now := time.Now()
	cold := report(1, 5000)
	s.Update(now.Add(-20*time.Second), cold)
	s.Update(now, cold)
	if got := s.States()[0].Cold.Cause; got != route.NotCold {
		t.Errorf("cold by %q after the cold time of the only report", got)
	}
	s.Update(now, report(2, 60_000))
	if got := s.States()[0].Cold.Cause; got != route.ColdByReport {
		t.Errorf("cold by %q after another report, want by %q", got, route.ColdByReport)
	}
	s.Update(now, nil)
	s.Update(now, cold)
	if got := s.States()[0].Cold.Cause; got != route.ColdByReport {
		t.Errorf("cold by %q after the server has returned, want by %q", got, route.ColdByReport)
	}
}
