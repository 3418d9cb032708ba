package route

import (
	"fmt"
	"testing"
	"time"
)

// activity is an Activity with a fixed time.
type activity time.Time

func (e activity) LastAt() time.Time { return time.Time(e) }

// noActivity is the activity of a server that has sent no data yet.
var noActivity = activity{}

// chosenBySession returns how often each server is chosen in 400 decisions at now.
func chosenBySession(t *testing.T, table *Table, now time.Time) map[string]int {
	t.Helper()
	r := NewRouter(table, RouterConfig{Policy: PolicySessionLanes})
	got := make(map[string]int)
	for rnd := range uint64(400) {
		b, err := r.Choose(now, Request{Kind: KindEngine, Model: "m", Session: rnd%40 + 1}, rnd)
		if err != nil {
			t.Fatal(err)
		}
		got[b.ID]++
	}
	return got
}

func firstServerID(table *Table) string {
	least := ""
	for id := range table.servers {
		if least == "" || id < least {
			least = id
		}
	}
	return least
}

// TestSilentServerGetsNoRequests checks that a server that stops sending data while its peers still do is avoided, seconds before
// its heartbeats are missed.
func TestSilentServerGetsNoRequests(t *testing.T) {
	const answerWait = 40 * time.Millisecond
	cases := []struct {
		name     string
		setUp    func(table *Table, id string)
		after    time.Duration // since the request was sent
		isSilent bool
	}{
		{name: "no request in flight", setUp: func(*Table, string) {}, after: time.Minute},
		{name: "short silence", after: silentAfter, setUp: func(table *Table, id string) {
			table.BeginWait(epoch, id, noActivity)
		}},
		{name: "no data since the request", after: silentAfter + time.Millisecond, isSilent: true, setUp: func(table *Table, id string) {
			table.BeginWait(epoch, id, noActivity)
		}},
		{name: "data for another request", after: silentAfter + time.Millisecond, setUp: func(table *Table, id string) {
			table.BeginWait(epoch, id, activity(epoch.Add(100*time.Millisecond)))
		}},
		{name: "a stream that stopped", after: 100*time.Millisecond + silentAfter + time.Millisecond, isSilent: true, setUp: func(table *Table, id string) {
			table.BeginWait(epoch, id, activity(epoch.Add(100*time.Millisecond)))
		}},
		{name: "the request ended", after: time.Minute, setUp: func(table *Table, id string) {
			table.BeginWait(epoch, id, noActivity)
			table.EndWait(id, epoch)
		}},
		{name: "answers usually take that long", after: silentAfter + time.Millisecond, setUp: func(table *Table, id string) {
			for range 200 {
				table.RecordFirstData(epoch.Add(silentAfter), id, epoch)
			}
			table.BeginWait(epoch, id, noActivity)
		}},
		{name: "all servers silent", after: time.Minute, setUp: func(table *Table, _ string) {
			for id := range table.servers {
				table.BeginWait(epoch, id, noActivity)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newLoadedTable(6, 4)
			id := firstServerID(table)
			table.RecordFirstData(epoch.Add(answerWait), id, epoch)
			c.setUp(table, id)
			got := chosenBySession(t, table, epoch.Add(c.after))
			if gotSilent := got[id] == 0; gotSilent != c.isSilent {
				t.Errorf("%d of 400 requests went to the server, want none only if it is silent: %v", got[id], fmt.Sprint(got))
			}
		})
	}
}
