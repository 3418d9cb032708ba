package route

import (
	"testing"
	"time"
)

// TestBroadcastOverflowsAHome sends many requests of one session: those that go elsewhere fetch the shared beginning of the
// prompt from a server that has it, in place of reading it once more.
func TestBroadcastOverflowsAHome(t *testing.T) {
	const session = 77
	req := Request{Kind: KindEngine, Model: "m", Session: session, Prefix: []uint64{5, session, 1000}}
	table := ready(6, 4)
	r := NewRouter(table, RouterConfig{Policy: PolicySessionLanes})
	home, err := r.Choose(epoch, req, 1)
	if err != nil {
		t.Fatal(err)
	}
	if from, ok := r.Source(epoch, req, home.ID); ok {
		t.Errorf("the home fetches from %s", from.ID)
	}
	other := ""
	for id := range table.servers {
		if id != home.ID && (other == "" || id < other) {
			other = id
		}
	}
	if from, ok := r.Source(epoch, req, other); !ok || from.ID != home.ID {
		t.Errorf("another server fetches from %q, %v; want the home %s", from.ID, ok, home.ID)
	}
	table.Began(epoch, other, 0, []uint64{5, session, 2000})
	if from, ok := r.Source(epoch, req, home.ID); !ok || from.ID != other {
		t.Errorf("the home fetches from %q, %v; want %s, which got the beginning last", from.ID, ok, other)
	}
	if from, ok := r.Source(epoch, req, other); ok {
		t.Errorf("the server that got the beginning last fetches from %s", from.ID)
	}
	table.Await(epoch, other, noActivity)
	if from, ok := r.Source(epoch.Add(time.Minute), req, home.ID); ok {
		t.Errorf("fetches from %s, which is silent", from.ID)
	}
	if from, ok := r.Source(epoch, Request{Kind: KindEngine, Model: "m"}, other); ok {
		t.Errorf("a request without parts fetches from %s", from.ID)
	}
}
