package route

import (
	"testing"
	"time"

	"github.com/juju/errors"
)

// TestRequestStaysInItsRegions guards against work that leaves its home regions by any way on which a server is chosen, also while no
// server there takes it.
func TestRequestStaysInItsRegions(t *testing.T) {
	zones := map[string]string{"a": "z1", "b": "z1", "c": "z2", "d": "z3"} // by server
	cases := []struct {
		name    string
		regions Regions
		allowed map[string]bool
	}{
		{"any", Regions{}, map[string]bool{"a": true, "b": true, "c": true, "d": true}},
		{"one", Regions{IsLimited: true, Names: []string{"north"}}, map[string]bool{"a": true, "b": true}},
		{"two", Regions{IsLimited: true, Names: []string{"south", "north"}}, map[string]bool{"a": true, "b": true, "c": true}},
		{"none", Regions{IsLimited: true}, nil},
		{"an unknown one", Regions{IsLimited: true, Names: []string{""}}, nil},
	}
	for _, c := range cases {
		table, routers := noticeTable()
		table.SetRegions(map[string]string{"z1": "north", "z2": "south"})
		for id, zone := range zones {
			server := noticeServer(id, "1")
			server.Zone = zone
			table.Upsert(noticeStart, server)
		}
		for name, r := range routers {
			chosen := make(map[string]bool)
			for i := range uint64(200) {
				req := Request{Kind: KindService, Model: "app", Session: i % 2 * i, Prefix: []uint64{7 * (i % 2), i}, Regions: c.regions}
				table.RecordCached(noticeStart, "d", []uint64{7})
				b, err := r.Choose(noticeStart, req, i*0x9e3779b97f4a7c15)
				if err != nil {
					if len(c.allowed) > 0 || !errors.Is(err, ErrUnknownModel) {
						t.Errorf("%s, %s: %v", c.name, name, err)
					}
					continue
				}
				chosen[b.ID] = true
				source, hasSource := r.FetchSource(noticeStart, req, b.ID)
				backup, hasBackup := r.BackupServer(noticeStart, req, b.ID, i)
				if (hasSource && !c.allowed[source.ID]) || (hasBackup && !c.allowed[backup.ID]) {
					t.Errorf("%s, %s: prefix fetched from %q, backup at %q; want only %v", c.name, name, source.ID, backup.ID, c.allowed)
				}
			}
			for id := range chosen {
				if !c.allowed[id] {
					t.Errorf("%s, %s: %s was chosen, want only %v", c.name, name, id, c.allowed)
				}
			}
			if len(chosen) != len(c.allowed) {
				t.Errorf("%s, %s: chosen %v, want %v", c.name, name, chosen, c.allowed)
			}
		}
		if len(c.allowed) != 2 {
			continue
		}
		for _, id := range []string{"a", "b"} {
			table.RecordPause(noticeStart, id, "1", time.Minute)
		}
		var paused *PausedError
		if b, err := routers["session lanes"].Choose(noticeStart, Request{Kind: KindService, Model: "app", Regions: c.regions}, 1); !errors.As(err, &paused) {
			t.Errorf("%s: server %q, error %v while the servers of the region are paused, want a PausedError", c.name, b.ID, err)
		}
	}
}
