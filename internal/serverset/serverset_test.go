package serverset

import (
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/proto/controlpb"
	"github.com/guavastack/guavastack/proto/linkpb"
)

// TestLoadOfServerThatTookOverAnAddress replaces a server by one with another id at the same address: the agent's load reports
// count for the new one.
func TestLoadOfServerThatTookOverAnAddress(t *testing.T) {
	now := time.Unix(1000, 0)
	server := func(id string) []*controlpb.BackendServer {
		return []*controlpb.BackendServer{{
			Id: id, Incarnation: id, Address: "10.0.0.1:80", Kind: route.KindEngine, Model: "m", Lifecycle: route.LifecycleReady, Slots: 4,
		}}
	}
	s := New("zone-a", route.PolicyTwoChoices)
	s.Update(now, server("old"))
	s.Update(now, server("new"))
	if id := s.byAddr["10.0.0.1:80"]; id != "new" {
		t.Fatalf("the address belongs to %q, want the new server", id)
	}
	s.RecordAgentLoad("10.0.0.1:80", &linkpb.Load{Slots: 4, Running: 3})
	s.Update(now, nil)
	if len(s.byAddr) != 0 {
		t.Errorf("addresses %v are left, want none", s.byAddr)
	}
}
