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
	if in := s.activities["a"].take(); in.Longest != time.Second || in.Short < 95*time.Millisecond || in.Short > 110*time.Millisecond {
		t.Errorf("got intervals %+v after a renewal, want 1 s at the longest and 100 ms", in)
	}
	s.Update(now, server("2"))
	_, current := s.BeginWait("a")
	former.RecordInterval(time.Minute, 10)
	current.RecordInterval(5*time.Millisecond, 1)
	if in := s.activities["a"].take(); in.Longest != 5*time.Millisecond {
		t.Errorf("got intervals %+v, want those of the new incarnation", in)
	}
}

// TestShortInterval guards against a pace that depends on the prompts that are prefilled between the events, on the gateway that reads
// several events at once, or on a few events that the network delivers together.
func TestShortInterval(t *testing.T) {
	for name, record := range map[string]func(i *intervals){
		"steps": func(i *intervals) { repeat(20, func() { i.RecordInterval(5*time.Millisecond, 1) }) },
		"prompts": func(i *intervals) {
			repeat(5, func() { i.RecordInterval(5*time.Millisecond, 1) })
			repeat(15, func() { i.RecordInterval(200*time.Millisecond, 1) })
		},
		"several at once": func(i *intervals) { repeat(4, func() { i.RecordInterval(25*time.Millisecond, 5) }) },
		"few together": func(i *intervals) {
			repeat(18, func() { i.RecordInterval(5*time.Millisecond, 1) })
			repeat(2, func() { i.RecordInterval(0, 1) })
		},
		"few at a time": func(i *intervals) {
			i.RecordInterval(5*time.Millisecond, 5)
			i.RecordInterval(5*time.Millisecond, 1)
			if in := i.take(); in.Short != 0 || in.Longest != 5*time.Millisecond {
				t.Errorf("got intervals %+v after 6 events, want none but the longest", in)
			}
			repeat(30, func() { i.RecordInterval(5*time.Millisecond, 1) })
		},
	} {
		var i intervals
		record(&i)
		if in := i.take(); in.Short < 4500*time.Microsecond || in.Short > 5500*time.Microsecond {
			t.Errorf("%s: got intervals %+v, want short ones of 5 ms", name, in)
		}
		if in := i.take(); in != (route.Intervals{}) {
			t.Errorf("%s: got intervals %+v at once after the last call, want none", name, in)
		}
	}
	var i intervals
	i.RecordInterval(-time.Second, 10)
	i.RecordInterval(time.Hour, 10)
	i.take()
}

func repeat(n int, f func()) {
	for range n {
		f()
	}
}
