package serverset

import (
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// TestIntervalsOfFormerIncarnation guards against intervals of a server that has restarted since counting for its new incarnation.
func TestIntervalsOfFormerIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	server := func(incarnation string) []*controlpb.BackendServer {
		return []*controlpb.BackendServer{{
			Id: "a", Incarnation: incarnation, Address: "10.0.0.1:80", Kind: route.KindService, Model: "m", Lifecycle: route.LifecycleReady, Slots: 4,
		}}
	}
	s := New("zone-a", route.PolicySessionLanes)
	s.Update(now, server("1"))
	_, former := s.BeginWait("a")
	former.RecordInterval(time.Second, 10)
	s.Update(now, server("1"))
	if in := s.activities["a"].take(); in != (route.Intervals{Events: 10, Total: time.Second, Longest: time.Second}) {
		t.Errorf("got intervals %+v after a renewal, want those of the stream", in)
	}
	s.Update(now, server("2"))
	_, current := s.BeginWait("a")
	former.RecordInterval(time.Minute, 10)
	current.RecordInterval(5*time.Millisecond, 1)
	current.RecordInterval(9*time.Millisecond, 2)
	if in := s.activities["a"].take(); in != (route.Intervals{Events: 3, Total: 14 * time.Millisecond, Longest: 9 * time.Millisecond}) {
		t.Errorf("got intervals %+v, want those of the new incarnation", in)
	}
	if in := s.activities["a"].take(); in != (route.Intervals{}) {
		t.Errorf("got intervals %+v at once after the last call, want none", in)
	}
}
