package watch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/watch"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// TestProcessesGetSameSlowServers lets processes report the pace of servers, of which one contradicts the others. All must get the same list, because
// the lanes follow it, and keep it when another member leads.
func TestProcessesGetSameSlowServers(t *testing.T) {
	withGroup(t, 3, func(w *testGroup) {
		const servers = 12
		sequence := uint64(0)
		// pass lets time pass while the servers report.
		pass := func(seconds int) {
			for range seconds {
				sequence++
				digest := &controlpb.Digest{Member: "b", Incarnation: "1"}
				for i := range servers {
					digest.Backends = append(digest.Backends, &controlpb.BackendServer{
						Id: fmt.Sprintf("s%d", i), Incarnation: "1", Kind: route.KindService, Model: "app", Lifecycle: route.LifecycleReady, Sequence: sequence,
					})
				}
				for _, service := range w.services {
					if _, err := service.Exchange(w.ctx, digest); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(time.Second)
			}
		}
		var clients []*watch.Client
		slow := []route.SlowServer{{ID: "s3", Incarnation: "1", Slowdown: 2.1}}
		for i := range 6 {
			c := watch.New(watch.Config{
				ProcessID: fmt.Sprintf("gateway-%d", i), Incarnation: "1", Role: "gateway", Control: w.addresses, Dial: w.dial,
			})
			c.SetLaneWork(func() []route.ServiceWork {
				return []route.ServiceWork{{Service: "app", Streams: []route.StreamWork{{Gap: 200 * time.Millisecond, Prefill: 100}, {Gap: 800 * time.Millisecond, Prefill: 100}}}}
			})
			seen := slow
			if i == 5 {
				seen = []route.SlowServer{{ID: "s4", Incarnation: "1", Slowdown: 90}}
			}
			c.SetPaces(func() []route.PaceReport {
				return []route.PaceReport{{Service: "app", Coverage: 1, Servers: seen}}
			})
			go func() { _ = c.Run(w.ctx) }()
			clients = append(clients, c)
		}
		check := func(when string) {
			t.Helper()
			for i, c := range clients {
				plan, ok := c.LanePlan("app")
				if !ok || plan == nil || len(plan.Slow) != 1 || plan.Slow[0] != (route.SlowServer{ID: "s3", Incarnation: "1", Slowdown: 2}) {
					t.Errorf("%s: process %d got plan %+v, want s3 as the slow server", when, i, plan)
				}
			}
		}
		pass(12)
		check("at first")
		w.cluster.SetLeader(1)
		for range 8 {
			pass(1)
			check("under another leader")
		}
		w.cluster.SetLeader(0)
		pass(5)
		check("under the first leader again")
	})
}
