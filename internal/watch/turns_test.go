package watch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/core/limit"
	"github.com/guavastack/guavastack/internal/watch"
)

// TestTurnsOfOneRole checks that the watchers of a role, on any members, get different turns among all of that role, and those of another
// role don't count. They follow when one is added.
func TestTurnsOfOneRole(t *testing.T) {
	withGroup(t, 3, func(w *testGroup) {
		var gateways []*watch.Client
		add := func(role string, i int) *watch.Client {
			c := watch.New(watch.Config{ProcessID: fmt.Sprint(role, "-", i), Incarnation: "1", Role: role, Control: w.addresses, Dial: w.dial})
			go func() { _ = c.Run(w.ctx) }()
			return c
		}
		for i := range 4 {
			gateways = append(gateways, add("gateway", i))
			add("entry", i)
		}
		if got := gateways[0].Turns(); got.Count != limit.AssumedProcesses {
			t.Errorf("turns %+v before the first confirmation, want %d assumed processes", got, limit.AssumedProcesses)
		}
		check := func() {
			t.Helper()
			taken := make(map[int]bool)
			for _, g := range gateways {
				turns := g.Turns()
				if turns.Count != len(gateways) || taken[turns.Position] {
					t.Errorf("turns %+v, want another position for each of %d gateways", turns, len(gateways))
				}
				taken[turns.Position] = true
			}
		}
		time.Sleep(10 * time.Second) // the members know all watchers
		check()
		gateways = append(gateways, add("gateway", 9))
		time.Sleep(5 * time.Second)
		check()
	})
}
