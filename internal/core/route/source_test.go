package route

import (
	"testing"
	"time"
)

// TestFetchSourceReturnsPrefixServer checks that a server other than the session's home fetches the shared prompt prefix from a server
// that has it instead of computing it again.
func TestFetchSourceReturnsPrefixServer(t *testing.T) {
	const session = 77
	req := Request{Kind: KindEngine, Model: "m", Session: session, Prefix: []uint64{5, session, 1000}}
	table := newLoadedTable(6, 4)
	r := NewRouter(table, RouterConfig{Policy: PolicySessionLanes})
	home, err := r.Choose(epoch, req, 1)
	if err != nil {
		t.Fatal(err)
	}
	if from, ok := r.FetchSource(epoch, req, home.ID); ok {
		t.Errorf("the home fetches from %s, want no source", from.ID)
	}
	other := ""
	for id := range table.servers {
		if id != home.ID && (other == "" || id < other) {
			other = id
		}
	}
	if from, ok := r.FetchSource(epoch, req, other); !ok || from.ID != home.ID {
		t.Errorf("another server: got source %q, %v, want the home %s", from.ID, ok, home.ID)
	}
	table.RecordDispatch(epoch, other, 0, []uint64{5, session, 2000})
	if from, ok := r.FetchSource(epoch, req, home.ID); !ok || from.ID != other {
		t.Errorf("the home: got source %q, %v, want %s, which was sent the prefix last", from.ID, ok, other)
	}
	if from, ok := r.FetchSource(epoch, req, other); ok {
		t.Errorf("the server that was sent the prefix last fetches from %s, want no source", from.ID)
	}
	table.BeginWait(epoch, other, noActivity)
	if from, ok := r.FetchSource(epoch.Add(time.Minute), req, home.ID); ok {
		t.Errorf("got silent server %s as source, want none", from.ID)
	}
	if from, ok := r.FetchSource(epoch, Request{Kind: KindEngine, Model: "m"}, other); ok {
		t.Errorf("a request without prefixes fetches from %s, want no source", from.ID)
	}
}
