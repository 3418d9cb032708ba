package watch_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/core/claim"
	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/internal/core/state"
	"github.com/guavastack/guavastack/internal/watch"
	"github.com/guavastack/guavastack/proto/controlpb"
)

func putShopN(i int) settings.Command {
	return settings.Command{Op: settings.PutNode, Path: fmt.Sprint("shop-", i), Node: `{"classes": {"chat": {"tier": 1}}}`}
}

// TestFreshnessCountsFromTheSendTime checks that the view becomes stale one freshness limit after the last confirmed
// query was sent, independent of when its reply arrived.
func TestFreshnessCountsFromTheSendTime(t *testing.T) {
	withGroup(t, 1, func(w *testGroup) {
		c := w.watcher("entry-1")
		synctest.Wait()
		time.Sleep(500 * time.Millisecond) // between two queries; the last one was sent at the start
		start := time.Now().Add(-500 * time.Millisecond)
		w.cluster.Isolate(0, true)
		for _, tt := range []struct {
			after time.Duration
			fresh bool
		}{{4900 * time.Millisecond, true}, {4999 * time.Millisecond, true}, {5 * time.Second, false}} {
			time.Sleep(time.Until(start.Add(tt.after)))
			if got := c.Fresh(time.Now()); got != tt.fresh {
				t.Errorf("%v after the query was sent: got fresh %v, want fresh before 5 s and stale from then on", tt.after, got)
			}
		}
		w.cluster.Isolate(0, false)
		time.Sleep(4 * time.Second)
		if !c.Fresh(time.Now()) {
			t.Error("not fresh after the quorum was restored")
		}
	})
}

func TestLateReplyDoesNotExtendFreshness(t *testing.T) {
	withGroup(t, 1, func(w *testGroup) {
		c := w.watcher("entry-1")
		synctest.Wait()
		replied := w.delayConfirm(0, 900*time.Millisecond)
		time.Sleep(3 * time.Second)
		<-replied
		w.cluster.Isolate(0, true) // the last confirmation is still in flight
		isolated := time.Now()
		var lost time.Time
		for lost.IsZero() {
			time.Sleep(10 * time.Millisecond)
			if !c.Fresh(time.Now()) {
				lost = time.Now()
			}
		}
		if age := lost.Sub(isolated); age > watch.DefaultFreshnessLimit {
			t.Errorf("the view was fresh for %v after the loss of the quorum, want at most the freshness limit", age)
		}
	})
}

// TestVersionsNeverDecrease moves a watcher back and forth to a lagging member while the settings change.
func TestVersionsNeverDecrease(t *testing.T) {
	withGroup(t, 3, func(w *testGroup) {
		c := w.watcher("entry-1")
		synctest.Wait()
		var highest settings.Version
		var decreased atomic.Bool
		c.OnChange(func() {
			v := c.Tree().Version()
			if v.Less(highest) {
				decreased.Store(true)
			}
			highest = v
		})
		for round := range 12 {
			lagging := 1 + round%2 // member 0 is the leader
			w.setDown(w.addresses[lagging], true)
			time.Sleep(2 * time.Second)
			w.cluster.SetPaused(lagging, true)
			w.propose(putShopN(round))
			synctest.Wait()
			if got := c.Tree().Version(); got.Version != uint64(round+1) {
				t.Fatalf("round %d: got version %v before the move, want the committed one", round, got)
			}
			for i, address := range w.addresses {
				w.setDown(address, i != lagging)
			}
			time.Sleep(2500 * time.Millisecond)
			w.cluster.SetPaused(lagging, false)
			for _, address := range w.addresses {
				w.setDown(address, false)
			}
			time.Sleep(3 * time.Second)
			if got := c.Tree().Version(); got.Version != uint64(round+1) || !c.Fresh(time.Now()) {
				t.Fatalf("round %d: got version %v, fresh %v, want the committed version, fresh", round, got, c.Fresh(time.Now()))
			}
		}
		if decreased.Load() {
			t.Error("the version decreased at the watcher")
		}
	})
}

// TestLaggingMemberConfirmsNothing watches a member that applies no commands: its stale view must not be confirmed.
func TestLaggingMemberConfirmsNothing(t *testing.T) {
	withGroup(t, 3, func(w *testGroup) {
		w.cluster.SetPaused(2, true)
		w.propose(putShop)
		c := w.watcher("entry-1", w.addresses[2])
		time.Sleep(10 * time.Second)
		if c.Ready() || c.Fresh(time.Now()) {
			t.Error("a lagging member confirmed its stale view")
		}
		w.cluster.SetPaused(2, false)
		time.Sleep(3 * time.Second)
		if _, err := c.Tree().Class("shop", "chat"); err != nil || !c.Fresh(time.Now()) {
			t.Errorf("after the member caught up: got error %v, want the class shop/chat in a fresh view", err)
		}
	})
}

func TestWatcherLeavesIsolatedMember(t *testing.T) {
	withGroup(t, 3, func(w *testGroup) {
		c := w.watcher("entry-1")
		synctest.Wait()
		watched := w.watchedMember(c)
		w.cluster.SetLeader((watched + 1) % 3)
		w.cluster.Isolate(watched, true)
		time.Sleep(8 * time.Second)
		if !c.Fresh(time.Now()) {
			t.Error("not fresh: the watcher stayed at a member without a quorum")
		}
	})
}

// TestWatcherLeavesIsolatedMemberInTime isolates a member immediately after a confirmation. Its watcher must switch to
// another member and receive a change committed there within the bound.
func TestWatcherLeavesIsolatedMemberInTime(t *testing.T) {
	const bound = 2500 * time.Millisecond
	withGroup(t, 3, func(w *testGroup) {
		c := w.watcher("gateway-1")
		synctest.Wait()
		watched := w.watchedMember(c)
		leader := (watched + 1) % 3
		w.cluster.SetLeader(leader)
		time.Sleep(3*watch.DefaultQueryInterval + 10*time.Millisecond) // immediately after a confirmation
		w.cluster.Isolate(watched, true)
		if _, err := w.cluster.Members[leader].Propose(w.ctx, command(t, putShopN(1))); err != nil {
			t.Fatal(err)
		}
		time.Sleep(bound)
		if len(c.Tree().Organisations()) == 0 {
			t.Errorf("the change is not in force %v after the member was isolated", bound)
		}
	})
}

// TestFirstConfirmationQueriesMembersInParallel covers the restart after a power loss: no requests are served before the
// first confirmation, and a member that has no quorum or has not restarted cannot give one.
func TestFirstConfirmationQueriesMembersInParallel(t *testing.T) {
	const bound = time.Second
	cases := []struct {
		name string
		lose func(w *testGroup, i int)
	}{
		{"a member without a quorum", func(w *testGroup, i int) { w.cluster.Isolate(i, true) }},
		{"a member that does not accept connections", func(w *testGroup, i int) { w.hang(w.addresses[i]) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withGroup(t, 3, func(w *testGroup) {
				first := w.watcher("entry-1")
				synctest.Wait()
				watched := w.watchedMember(first)
				w.cluster.SetLeader((watched + 1) % 3)
				c.lose(w, watched)
				second := w.watcher("entry-1")
				time.Sleep(bound)
				if !second.Fresh(time.Now()) {
					t.Errorf("the client got no confirmation within %v", bound)
				}
			})
		})
	}
}

func TestGapIsFilledBySnapshot(t *testing.T) {
	withGroup(t, 1, func(w *testGroup) {
		c := w.watcher("entry-1")
		synctest.Wait()
		w.setDown(w.addresses[0], true)
		for i := range settings.MaxRecentDeltas + 5 {
			w.propose(putShopN(i))
		}
		w.setDown(w.addresses[0], false)
		time.Sleep(3 * time.Second)
		if n := len(c.Tree().Organisations()); n != settings.MaxRecentDeltas+5 || !c.Fresh(time.Now()) {
			t.Errorf("got %d organisations after a gap, want all of them and a fresh view", n)
		}
	})
}

func TestWithdrawnKeyReachesTheWatcher(t *testing.T) {
	withGroup(t, 3, func(w *testGroup) {
		hash := strings.Repeat("ab", 32)
		w.propose(putShop)
		w.propose(settings.Command{Op: settings.CreateKey, Path: "shop", KeyID: "k", KeyHash: hash})
		c := w.watcher("entry-1")
		synctest.Wait()
		key, ok := c.Tree().Key("k")
		if !ok || !key.IsUsable(time.Now()) {
			t.Fatalf("got key %+v, want a usable key", key)
		}
		changed := c.Changed()
		w.propose(settings.Command{Op: settings.WithdrawKey, KeyID: "k"})
		synctest.Wait()
		select {
		case <-changed:
		default:
			t.Error("the watcher did not signal the withdrawal")
		}
		if key, _ := c.Tree().KeyByHash(key.Hash); key.IsUsable(time.Now()) {
			t.Error("the withdrawn key is still usable")
		}
	})
}

func TestProcessesBehindAreReported(t *testing.T) {
	withGroup(t, 3, func(w *testGroup) {
		w.watcher("entry-1", w.addresses[0])
		w.watcher("entry-2", w.addresses[1])
		time.Sleep(2 * time.Second)
		w.cluster.SetPaused(1, true)
		v := w.propose(putShop).Version
		time.Sleep(time.Second)
		behind := w.services[2].Behind(v) // at a member that neither process watches
		if len(behind) != 1 || behind[0].ID != "entry-2" {
			t.Errorf("got processes behind %+v, want entry-2", behind)
		}
		w.cluster.SetPaused(1, false)
		ctx, cancel := context.WithTimeout(w.ctx, 3*time.Second)
		defer cancel()
		if behind := w.services[2].WaitInForce(ctx, v); len(behind) != 0 {
			t.Errorf("got processes behind %+v after the member caught up, want none", behind)
		}
	})
}

// agent registers a backend server with the given lifecycle, which the test may change.
func (w *testGroup) agent(id string, lifecycle *atomic.Value) *watch.Registrar {
	r := watch.NewRegistrar(watch.Config{ProcessID: id, Control: w.addresses, Dial: w.dialAgent}, func() *controlpb.BackendServer {
		return &controlpb.BackendServer{Id: id, Incarnation: "1", Kind: "engine", Model: "m", Lifecycle: lifecycle.Load().(string)}
	})
	go func() { _ = r.Run(w.ctx) }()
	return r
}

func lifecycles(c *watch.Client) string {
	var out []string
	for _, b := range c.Backends() {
		out = append(out, b.Id+" "+b.Lifecycle)
	}
	return strings.Join(out, ", ")
}

func TestLeavingIsPushedFromAnyMember(t *testing.T) {
	withGroup(t, 3, func(w *testGroup) {
		c := w.watcher("entry-1")
		var state atomic.Value
		state.Store("ready")
		r := w.agent("backend-a", &state)
		w.agent("backend-b", &state)
		time.Sleep(time.Second)
		if got := lifecycles(c); got != "backend-a ready, backend-b ready" {
			t.Fatalf("got backend servers %s, want both ready", got)
		}
		state.Store("leaving")
		r.Notify()
		synctest.Wait()
		if got := lifecycles(c); !strings.HasPrefix(got, "backend-a leaving") {
			t.Errorf("got backend servers %s immediately after the report, want backend-a leaving", got)
		}
		state.Store("ready")
		time.Sleep(2 * time.Second)
		if got := lifecycles(c); !strings.HasPrefix(got, "backend-a leaving") {
			t.Errorf("got backend servers %s, want backend-a to remain leaving", got)
		}
	})
}

func TestBackendServerWithoutReportsIsRemoved(t *testing.T) {
	withGroup(t, 3, func(w *testGroup) {
		c := w.watcher("entry-1")
		var state atomic.Value
		state.Store("ready")
		ctx, cancel := context.WithCancel(w.ctx)
		r := watch.NewRegistrar(watch.Config{ProcessID: "a", Control: w.addresses, Dial: w.dial}, func() *controlpb.BackendServer {
			return &controlpb.BackendServer{Id: "a", Incarnation: "1", Lifecycle: "ready"}
		})
		go func() { _ = r.Run(ctx) }()
		time.Sleep(time.Second)
		if got := lifecycles(c); got != "a ready" {
			t.Fatalf("got backend servers %q, want a ready", got)
		}
		cancel()
		time.Sleep(6 * time.Second)
		if got := lifecycles(c); got != "" {
			t.Errorf("got backend servers %s after the agent stopped reporting, want none", got)
		}
	})
}

// TestRegistryRecoversAfterAllMembersRestart checks that a watcher loses no running backend server when all members restart.
func TestRegistryRecoversAfterAllMembersRestart(t *testing.T) {
	withGroup(t, 3, func(w *testGroup) {
		c := w.watcher("entry-1")
		var state atomic.Value
		state.Store("ready")
		w.agent("backend-a", &state)
		w.agent("backend-b", &state)
		time.Sleep(10 * time.Second)
		want := "backend-a ready, backend-b ready"
		var lost atomic.Bool
		c.OnChange(func() {
			if lifecycles(c) != want {
				lost.Store(true)
			}
		})
		w.setAgentsDown(true)
		for i := range 3 {
			w.start(i, "2")
		}
		time.Sleep(3 * time.Second) // the watcher reconnects before the agents
		w.setAgentsDown(false)
		time.Sleep(20 * time.Second)
		if lost.Load() || lifecycles(c) != want {
			t.Errorf("got backend servers %s at the end, want both ready then and after each change until then", lifecycles(c))
		}
		for i, s := range w.services {
			if n := len(s.Backends()); n != 2 {
				t.Errorf("member %d: got %d backend servers, want 2", i, n)
			}
		}
	})
}

func TestProposeIsForwardedAndRetriedOnlyIfIdempotent(t *testing.T) {
	claimBody := `{"op": "claim", "key": {"organisation": "o", "key": "k"}, "request_id": "r"}`
	plain := `{"op": "put_node", "path": "a", "node": "{}"}`
	withID := `{"op": "put_node", "path": "a", "node": "{}", "change_id": "c"}`
	tests := []struct {
		name, module, body string
		arrange            func(w *testGroup)
		want               error
	}{
		{"leader elsewhere", "settings", plain, func(w *testGroup) { w.cluster.SetLeader(2) }, nil},
		{"first member down", "settings", plain, func(w *testGroup) { w.setDown(w.addresses[0], true); w.cluster.SetLeader(1) }, nil},
		{"no leader", "settings", plain, func(w *testGroup) { w.cluster.SetLeader(-1) }, watch.ErrUnavailable},
		{"lost reply", "settings", plain, func(w *testGroup) { w.cluster.DropReplies(0, true) }, watch.ErrUnknownOutcome},
		{"lost reply with change id", "settings", withID, func(w *testGroup) { w.dropFirstReply() }, nil},
		{"lost reply to a claim", "claim", claimBody, func(w *testGroup) { w.dropFirstReply() }, nil},
		{"all down", "settings", plain, func(w *testGroup) {
			for _, a := range w.addresses {
				w.setDown(a, true)
			}
		}, watch.ErrUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withGroup(t, 3, func(w *testGroup) {
				c := w.watcher("entry-1")
				synctest.Wait()
				tt.arrange(w)
				ctx, cancel := context.WithTimeout(w.ctx, 5*time.Second)
				defer cancel()
				result, err := c.Propose(ctx, state.Command{Module: tt.module, Body: json.RawMessage(tt.body)})
				if tt.want != nil {
					if !errors.Is(err, tt.want) {
						t.Errorf("got error %v, want %v", err, tt.want)
					}
					if n := len(w.cluster.Members[0].Settings.History(10)); n > 1 {
						t.Errorf("the command was committed %d times, want at most 1", n)
					}
					return
				}
				if err != nil {
					t.Fatal(err)
				}
				if tt.module == claim.ModuleName && !strings.Contains(string(result), `"claimed"`) {
					t.Errorf("got result %s, want claimed", result)
				}
				if tt.module == settings.ModuleName && !strings.Contains(string(result), `"accepted":true`) {
					t.Errorf("got result %s, want accepted", result)
				}
			})
		})
	}
}

func TestSharesFollowDemandAndSumToOne(t *testing.T) {
	withGroup(t, 3, func(w *testGroup) {
		clients := []*watch.Client{w.watcher("entry-1"), w.watcher("entry-2"), w.watcher("entry-3")}
		clients[0].SetDemand(func() []*controlpb.Demand {
			return []*controlpb.Demand{{Organisation: "camurca", Requests: 100}}
		})
		time.Sleep(15 * time.Second)
		for _, organisation := range []string{"camurca", "idle"} {
			at := 0.0
			for _, c := range clients {
				s := c.Share(organisation)
				if s.From != at {
					t.Errorf("%s: got share %+v, want it to begin at %v", organisation, s, at)
				}
				at = s.To
			}
			if math.Abs(at-1) > 1e-9 {
				t.Errorf("%s: the shares end at %v, want 1", organisation, at)
			}
		}
		if busy, idle := clients[0].Share("camurca").Size(), clients[1].Share("camurca").Size(); busy <= idle {
			t.Errorf("got share %v for the busy entry and %v for an idle one, want the first to be larger", busy, idle)
		}
	})
}

// TestWatchersFollowTheAgreedTime runs a member whose clock is slower than those of the two others. Its watchers must follow the
// majority.
func TestWatchersFollowTheAgreedTime(t *testing.T) {
	withGroup(t, 1, func(w *testGroup) {
		const off = 5 * time.Second
		c := w.watcher("gateway-1")
		for range 4 {
			for _, other := range []string{"b", "c"} {
				digest := &controlpb.Digest{Member: other, Incarnation: "1", WallUs: clock.Wall().Add(off).UnixMicro()}
				if _, err := w.services[0].Exchange(w.ctx, digest); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(time.Second)
		}
		if ahead := c.Wall().Sub(clock.Wall()); (ahead - off).Abs() > 100*time.Millisecond {
			t.Errorf("the watcher's wall clock is %v ahead of the slow clock, want %v", ahead, off)
		}
	})
}

// TestProcessesGetSameLanePlan gives each process a different mix of work. All processes must get the same plan, computed from
// the total, because sessions are placed by it.
func TestProcessesGetSameLanePlan(t *testing.T) {
	const tightGap, bulkGap = 200 * time.Millisecond, 800 * time.Millisecond
	withGroup(t, 3, func(w *testGroup) {
		var clients []*watch.Client
		for i := range 6 {
			c := watch.New(watch.Config{
				ProcessID: fmt.Sprintf("gateway-%d", i), Incarnation: "1", Role: "gateway", Control: w.addresses, Dial: w.dial,
			})
			part := float64(i + 1)
			c.SetLaneWork(func() []route.ServiceWork {
				streams := []route.StreamWork{{Gap: tightGap, Prefill: 100 * part}, {Gap: bulkGap, Prefill: 800 - 100*part}}
				return []route.ServiceWork{{Service: "app", Streams: streams}, {Service: "alike", Streams: streams[:1]}}
			})
			go func() { _ = c.Run(w.ctx) }()
			clients = append(clients, c)
		}
		const tight, rounding = 2100, 1e-12
		want := route.SplitLanes(nil, []route.StreamWork{{Gap: tightGap, Prefill: tight}, {Gap: bulkGap, Prefill: 6*800 - tight}})
		checkPlans := func(when string) {
			t.Helper()
			for i, c := range clients {
				if plan, ok := c.LanePlan("app"); !ok || plan.DiffersFrom(want, rounding) {
					t.Errorf("%s: process %d got plan %+v (known: %v), want %+v", when, i, plan, ok, want)
				}
				if plan, ok := c.LanePlan("alike"); !ok || plan != nil {
					t.Errorf("%s: process %d got plan %+v (known: %v) for streams alike, want no split", when, i, plan, ok)
				}
			}
		}
		time.Sleep(5 * time.Second)
		checkPlans("at first")
		w.cluster.SetLeader(1)
		time.Sleep(5 * time.Second)
		checkPlans("under another leader")
	})
}

// TestLeaderRemovesExpiredClaims checks that a claim is removed after its retention, which is counted by the member's
// clock rather than the client's.
func TestLeaderRemovesExpiredClaims(t *testing.T) {
	withGroup(t, 1, func(w *testGroup) {
		body := json.RawMessage(`{"op": "claim", "key": {"organisation": "o", "key": "k"}, "request_id": "r"}`)
		data, err := json.Marshal(state.Command{Module: claim.ModuleName, AtMS: 1 << 50, Body: body}) // from a client whose clock is far ahead
		if err != nil {
			t.Fatal(err)
		}
		if reply, err := w.services[0].Propose(w.ctx, &controlpb.ProposeRequest{Command: data}); err != nil || reply.Error != "" {
			t.Fatalf("got reply %+v, error %v, want no error and none in the reply", reply, err)
		}
		claims := w.cluster.Members[0].Claims
		for _, tt := range []struct {
			after time.Duration
			want  int
		}{{claim.DefaultBounds().Retention - time.Minute, 1}, {2 * time.Minute, 0}} {
			time.Sleep(tt.after)
			w.cluster.Members[0].View(func() {
				if claims.Len() != tt.want {
					t.Errorf("after another %v: got %d claims, want one until its retention ends, then none", tt.after, claims.Len())
				}
			})
		}
	})
}

// TestWatcherAsksOtherMembersInTime covers a member that freezes while another one has been replaced and a third confirms nothing:
// the watcher must receive a change committed meanwhile within the bound.
func TestWatcherAsksOtherMembersInTime(t *testing.T) {
	const bound = 1800 * time.Millisecond
	withGroup(t, 5, func(w *testGroup) {
		c := w.watcher("gateway-1")
		synctest.Wait()
		watched := w.watchedMember(c)
		replaced, lagging, leader := (watched+1)%5, (watched+2)%5, (watched+3)%5
		w.cluster.SetLeader(leader)
		time.Sleep(3*watch.DefaultQueryInterval + 10*time.Millisecond) // immediately after a confirmation
		w.hang(w.addresses[replaced])
		w.dropTraffic(w.addresses[replaced]) // a connection from the first round of queries may have been kept
		w.cluster.Isolate(lagging, true)
		w.hang(w.addresses[watched])
		w.dropTraffic(w.addresses[watched])
		if _, err := w.cluster.Members[leader].Propose(w.ctx, command(t, putShopN(1))); err != nil {
			t.Fatal(err)
		}
		time.Sleep(bound)
		if len(c.Tree().Organisations()) == 0 {
			t.Errorf("the change is not in force %v after the member froze", bound)
		}
		time.Sleep(5 * time.Second)
		if member := w.watchedMember(c); member == watched || member == replaced || member == lagging {
			t.Errorf("the client watches member %d, want one that confirms", member)
		}
	})
}
