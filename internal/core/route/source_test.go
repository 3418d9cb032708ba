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

// TestNewHomeFetchesFromFormerHome covers a burst that shifts the lanes, and servers that join: a process that has not sent the
// session's requests itself still names the server that has its prefix.
func TestNewHomeFetchesFromFormerHome(t *testing.T) {
	const servers, sessions = 12, 200
	fewDrafts := &LanePlan{Lanes: []LanePart{{draftGap, 0.25}, {summaryGap, 0.75}}}
	manyDrafts := &LanePlan{Lanes: []LanePart{{draftGap, 0.5}, {summaryGap, 0.5}}}
	request := func(session uint64) Request {
		return Request{Kind: KindEngine, Model: "m", GapTarget: summaryGap, Session: session, Prefix: []uint64{5, session, 1000 + session}}
	}
	cases := []struct {
		name   string
		change func(table *Table)
	}{
		{"the lane shrinks", func(table *Table) { table.SetLanePlan(KindEngine, "m", manyDrafts) }},
		{"a server joins", func(table *Table) {
			table.Upsert(epoch, Backend{ID: "new", Kind: KindEngine, Model: "m", Lifecycle: LifecycleReady, Slots: 8})
			table.RecordLoad(epoch, "new", load(4, 0))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newLoadedTable(servers, 4)
			table.SetLanePlan(KindEngine, "m", fewDrafts)
			r := NewRouter(table, RouterConfig{Policy: PolicySessionLanes})
			choose := func(now time.Time, session uint64) string {
				b, err := r.Choose(now, request(session), session)
				if err != nil {
					t.Fatal(err)
				}
				return b.ID
			}
			before := make(map[uint64]string)
			for session := range uint64(sessions) {
				before[session+1] = choose(epoch, session+1)
			}
			changed := epoch.Add(2 * cacheMemory)
			c.change(table)
			moved := 0
			for session, former := range before {
				home := choose(changed, session)
				from, ok := r.FetchSource(changed, request(session), home)
				if home == former {
					if ok {
						t.Errorf("session %d stayed at its home, which fetches from %s; want no source", session, from.ID)
					}
					continue
				}
				moved++
				if !ok || from.ID != former {
					t.Errorf("session %d moved from %s to %s, which fetches from %q; want its former home", session, former, home, from.ID)
				}
				if from, ok := r.FetchSource(changed.Add(cacheMemory), request(session), home); ok {
					t.Errorf("%v later, the home fetches from %s; want no source", cacheMemory, from.ID)
				}
			}
			if moved == 0 || moved == sessions {
				t.Errorf("%d of %d sessions moved, want some of them", moved, sessions)
			}
		})
	}
}
