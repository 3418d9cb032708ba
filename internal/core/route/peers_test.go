package route

import (
	"fmt"
	"testing"
	"time"
)

// TestLoadedServersAreNotStragglers checks that servers aren't quarantined for slow answers during a burst of long prompts,
// when the bulk lane is slow only because many requests are queued there.
func TestLoadedServersAreNotStragglers(t *testing.T) {
	const servers, tight = 9, 4
	cases := []struct {
		name            string
		first           func(place int) time.Duration // time to the first token by position in the common order
		busy            func(place int) int
		fails           func(place int) float64 // share of the outcomes
		wantQuarantined int                     // expected number of quarantined servers
	}{
		{name: "the bulk lane answers later than the tight one", first: func(place int) time.Duration {
			if place < tight {
				return 30 * time.Millisecond
			}
			return time.Second
		}},
		{name: "a busier home answers later than its peers", first: func(place int) time.Duration {
			if place == tight {
				return 4 * time.Second
			}
			return time.Second
		}, busy: func(place int) int {
			if place == tight {
				return 20
			}
			return 4
		}},
		{name: "a server answers later than its equally busy peers", wantQuarantined: 1, first: func(place int) time.Duration {
			if place == tight {
				return 4 * time.Second
			}
			return time.Second
		}},
		{name: "all servers fail alike", fails: func(int) float64 { return 0.7 }},
		{name: "one server fails", wantQuarantined: 1, fails: func(place int) float64 {
			if place == 0 {
				return 0.9
			}
			return 0.1
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newTable(servers, nil)
			table.SetLanePlan(KindEngine, "m", &LanePlan{Lanes: []LanePart{{draftGap, float64(tight) / servers}, {summaryGap, 1 - float64(tight)/servers}}})
			now := epoch
			for place, s := range table.groups[groupKey{KindEngine, "m"}].ordered {
				busy, first, fails := 4, 50*time.Millisecond, 0.0
				if c.busy != nil {
					busy = c.busy(place)
				}
				if c.first != nil {
					first = c.first(place)
				}
				if c.fails != nil {
					fails = c.fails(place)
				}
				table.RecordLoad(now, s.ID, load(busy, 0))
				s.health = health{outcomes: 50, answered: 50, firstToken: first.Seconds(), failures: fails}
			}
			now = now.Add(2 * reviewInterval)
			table.groups[groupKey{KindEngine, "m"}].review(now)
			var gotQuarantined []string
			for place, s := range table.groups[groupKey{KindEngine, "m"}].ordered {
				if s.health.state != healthy {
					gotQuarantined = append(gotQuarantined, fmt.Sprint(place))
				}
			}
			if len(gotQuarantined) != c.wantQuarantined {
				t.Errorf("got quarantined servers %v, want %d", gotQuarantined, c.wantQuarantined)
			}
		})
	}
}

// TestProcessesAgreeOnHomes checks that a quarantine in one process doesn't move the sessions of other servers.
func TestProcessesAgreeOnHomes(t *testing.T) {
	const servers = 12
	healthyTable, quarantinedTable := newLoadedTable(servers, 4), newLoadedTable(servers, 4)
	healthyTable.SetLanePlan(KindEngine, "m", twoLanes)
	quarantinedTable.SetLanePlan(KindEngine, "m", twoLanes)
	quarantinedID := quarantinedTable.groups[groupKey{KindEngine, "m"}].ordered[0].ID // of the drafts' lane
	quarantinedTable.servers[quarantinedID].health.quarantine(epoch)
	moved := 0
	for session := range uint64(200) {
		req := Request{Kind: KindEngine, Model: "m", GapTarget: summaryGap, Session: session + 1}
		a, errA := NewRouter(healthyTable, RouterConfig{Policy: PolicySessionLanes}).Choose(epoch, req, 1)
		b, errB := NewRouter(quarantinedTable, RouterConfig{Policy: PolicySessionLanes}).Choose(epoch, req, 1)
		if errA != nil || errB != nil {
			t.Fatal(errA, errB)
		}
		if a.ID != b.ID && a.ID != quarantinedID {
			moved++
		}
	}
	if moved > 0 {
		t.Errorf("%d of 200 sessions moved though their home isn't quarantined, want 0", moved)
	}
}
