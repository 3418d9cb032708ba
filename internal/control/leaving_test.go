package control

import (
	"testing"
	"time"

	"github.com/guavastack/guavastack/proto/controlpb"
)

// Guards against a late deregistration that takes a server out of use which has started again under its id.
func TestLateDeregistrationSparesNewIncarnation(t *testing.T) {
	cases := []struct {
		name      string
		startedMS int64 // of the incarnation that leaves; 0: not stated
		lifecycle string
	}{
		{"the registered incarnation", 2000, "leaving"},
		{"not stated", 0, "leaving"},
		{"a later one", 3000, "leaving"},
		{"a former one", 1000, "ready"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := New(Config{Group: soloGroup{}})
			s.soft.putBackend(&controlpb.BackendServer{Id: "i", Incarnation: "2", StartedMs: 2000, Sequence: 1, Lifecycle: "ready"}, time.Now(), true)
			if !s.MarkBackendLeaving("i", tc.startedMS) {
				t.Error("the registered server counts as unknown")
			}
			if reg, _ := s.soft.registry.Get("i"); string(reg.Report.Lifecycle) != tc.lifecycle {
				t.Errorf("lifecycle %s, want %s", reg.Report.Lifecycle, tc.lifecycle)
			}
			if s.MarkBackendLeaving("other", tc.startedMS) {
				t.Error("a server that isn't registered counts as known")
			}
		})
	}
}
