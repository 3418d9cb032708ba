package route

import (
	"fmt"
	"testing"
	"time"
)

// activity was heard at a time.
type activity time.Time

func (e activity) LastAt() time.Time { return time.Time(e) }

// noActivity is the activity of a server that said nothing yet.
var noActivity = activity{}

// picks returns how often each server is chosen in 400 picks at now.
func picks(t *testing.T, table *Table, now time.Time) map[string]int {
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

func anyServer(table *Table) string {
	least := ""
	for id := range table.servers {
		if least == "" || id < least {
			least = id
		}
	}
	return least
}

// TestServerGoesDark is a server that says nothing any more while its peers do. Its heartbeats are missed only seconds later.
func TestServerGoesDark(t *testing.T) {
	const usualWait = 40 * time.Millisecond
	cases := []struct {
		name   string
		play   func(table *Table, id string)
		after  time.Duration // since the request was sent
		isDark bool
	}{
		{name: "nothing is awaited", play: func(*Table, string) {}, after: time.Minute},
		{name: "a moment without a word", after: silentAfter, play: func(table *Table, id string) {
			table.Await(epoch, id, noActivity)
		}},
		{name: "no word since the request", after: silentAfter + time.Millisecond, isDark: true, play: func(table *Table, id string) {
			table.Await(epoch, id, noActivity)
		}},
		{name: "a word for another request", after: silentAfter + time.Millisecond, play: func(table *Table, id string) {
			table.Await(epoch, id, activity(epoch.Add(100*time.Millisecond)))
		}},
		{name: "a stream that stopped", after: 100*time.Millisecond + silentAfter + time.Millisecond, isDark: true, play: func(table *Table, id string) {
			table.Await(epoch, id, activity(epoch.Add(100*time.Millisecond)))
		}},
		{name: "the request is over", after: time.Minute, play: func(table *Table, id string) {
			table.Await(epoch, id, noActivity)
			table.AwaitOver(id, epoch)
		}},
		{name: "all servers wait that long", after: silentAfter + time.Millisecond, play: func(table *Table, id string) {
			for range 200 {
				table.AnswerBegan(id, silentAfter)
			}
			table.Await(epoch, id, noActivity)
		}},
		{name: "no server says a word", after: time.Minute, play: func(table *Table, _ string) {
			for id := range table.servers {
				table.Await(epoch, id, noActivity)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := ready(6, 4)
			id := anyServer(table)
			table.AnswerBegan(id, usualWait)
			c.play(table, id)
			got := picks(t, table, epoch.Add(c.after))
			if isDark := got[id] == 0; isDark != c.isDark {
				t.Errorf("%d of 400 requests went to the server: %v", got[id], fmt.Sprint(got))
			}
		})
	}
}
