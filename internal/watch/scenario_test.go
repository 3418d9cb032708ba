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
	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/internal/core/state"
	"github.com/guavastack/guavastack/internal/watch"
	"github.com/guavastack/guavastack/proto/controlpb"
)

func shop(i int) settings.Command {
	return settings.Command{Op: settings.PutNode, Path: fmt.Sprint("shop-", i), Node: `{"classes": {"chat": {"tier": 1}}}`}
}

// TestFreshnessCountsFromTheSendTime holds back the answers to questions: the view must be stale at the limit after the
// last confirmed question was sent, however late its answer came.
func TestFreshnessCountsFromTheSendTime(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		c := w.watcher("entry-1")
		synctest.Wait()
		time.Sleep(500 * time.Millisecond) // between questions, the last of which was sent at the start
		start := time.Now().Add(-500 * time.Millisecond)
		w.cluster.Isolate(0, true)
		for _, tt := range []struct {
			after time.Duration
			fresh bool
		}{{4900 * time.Millisecond, true}, {4999 * time.Millisecond, true}, {5 * time.Second, false}} {
			time.Sleep(time.Until(start.Add(tt.after)))
			if got := c.Fresh(time.Now()); got != tt.fresh {
				t.Errorf("%v after the question was sent: fresh %v", tt.after, got)
			}
		}
		w.cluster.Isolate(0, false)
		time.Sleep(4 * time.Second)
		if !c.Fresh(time.Now()) {
			t.Error("not fresh after the quorum came back")
		}
	})
}

func TestLateAnswerDoesNotProlongTheView(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		c := w.watcher("entry-1")
		synctest.Wait()
		asked := w.delayConfirm(0, 900*time.Millisecond)
		time.Sleep(3 * time.Second)
		<-asked
		w.cluster.Isolate(0, true) // the quorum's last answer is still on its way
		isolated := time.Now()
		var lost time.Time
		for lost.IsZero() {
			time.Sleep(10 * time.Millisecond)
			if !c.Fresh(time.Now()) {
				lost = time.Now()
			}
		}
		if age := lost.Sub(isolated); age > watch.DefaultFreshnessLimit {
			t.Errorf("the view lived %v after the quorum was gone", age)
		}
	})
}

// TestVersionsNeverFall moves a watcher between members that lag, are isolated or restart, while the tree changes.
func TestVersionsNeverFall(t *testing.T) {
	inWorld(t, 3, func(w *world) {
		c := w.watcher("entry-1")
		synctest.Wait()
		var highest settings.Version
		var fell atomic.Bool
		c.OnChange(func() {
			v := c.Tree().Version()
			if v.Less(highest) {
				fell.Store(true)
			}
			highest = v
		})
		for round := range 12 {
			lagging := 1 + round%2 // the first member leads
			w.setDown(w.addresses[lagging], true)
			time.Sleep(2 * time.Second)
			w.cluster.Hold(lagging, true)
			w.propose(shop(round))
			synctest.Wait()
			if got := c.Tree().Version(); got.Version != uint64(round+1) {
				t.Fatalf("round %d: version %v before the move", round, got)
			}
			for i, address := range w.addresses {
				w.setDown(address, i != lagging)
			}
			time.Sleep(2500 * time.Millisecond)
			w.cluster.Hold(lagging, false)
			for _, address := range w.addresses {
				w.setDown(address, false)
			}
			time.Sleep(3 * time.Second)
			if got := c.Tree().Version(); got.Version != uint64(round+1) || !c.Fresh(time.Now()) {
				t.Fatalf("round %d: version %v, fresh %v", round, got, c.Fresh(time.Now()))
			}
		}
		if fell.Load() {
			t.Error("the version fell at the watcher")
		}
	})
}

// TestLaggingMemberConfirmsNothing watches a member that applies nothing: its old view must not count as fresh.
func TestLaggingMemberConfirmsNothing(t *testing.T) {
	inWorld(t, 3, func(w *world) {
		w.cluster.Hold(2, true)
		w.propose(putShop)
		c := w.watcher("entry-1", w.addresses[2])
		time.Sleep(10 * time.Second)
		if c.Ready() || c.Fresh(time.Now()) {
			t.Error("a member that lags confirmed its old view")
		}
		w.cluster.Hold(2, false)
		time.Sleep(3 * time.Second)
		if _, err := c.Tree().Class("shop", "chat"); err != nil || !c.Fresh(time.Now()) {
			t.Errorf("after the member caught up: %v", err)
		}
	})
}

func TestIsolatedMemberIsLeft(t *testing.T) {
	inWorld(t, 3, func(w *world) {
		c := w.watcher("entry-1")
		synctest.Wait()
		home := w.home(c)
		w.cluster.Lead((home + 1) % 3)
		w.cluster.Isolate(home, true)
		time.Sleep(8 * time.Second)
		if !c.Fresh(time.Now()) {
			t.Error("held by a member that reaches no quorum")
		}
	})
}

// TestIsolatedMemberIsLeftInTime cuts a member off right after it confirmed: its watchers have what is committed elsewhere
// before anybody counts on them again.
func TestIsolatedMemberIsLeftInTime(t *testing.T) {
	const bound = 2500 * time.Millisecond
	inWorld(t, 3, func(w *world) {
		c := w.watcher("gateway-1")
		synctest.Wait()
		home := w.home(c)
		leader := (home + 1) % 3
		w.cluster.Lead(leader)
		time.Sleep(3*watch.DefaultQueryInterval + 10*time.Millisecond) // right behind a confirmation
		w.cluster.Isolate(home, true)
		if _, err := w.cluster.Members[leader].Propose(w.ctx, command(t, shop(1))); err != nil {
			t.Fatal(err)
		}
		time.Sleep(bound)
		if len(c.Tree().Organisations()) == 0 {
			t.Errorf("a change is not in force %v after the member was cut off", bound)
		}
	})
}

// TestFirstConfirmationIsSoughtAtOnce is the return after a power loss: nothing is served before the first confirmation, and
// members that came back without their disks, or not at all, can't give it.
func TestFirstConfirmationIsSoughtAtOnce(t *testing.T) {
	const bound = time.Second
	cases := []struct {
		name string
		lose func(w *world, i int)
	}{
		{"a member that reaches no quorum", func(w *world, i int) { w.cluster.Isolate(i, true) }},
		{"a member that takes no connection", func(w *world, i int) { w.hang(w.addresses[i]) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inWorld(t, 3, func(w *world) {
				scout := w.watcher("entry-1")
				synctest.Wait()
				home := w.home(scout)
				w.cluster.Lead((home + 1) % 3)
				c.lose(w, home)
				again := w.watcher("entry-1")
				time.Sleep(bound)
				if !again.Fresh(time.Now()) {
					t.Errorf("no confirmation within %v", bound)
				}
			})
		})
	}
}

func TestGapBringsASnapshot(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		c := w.watcher("entry-1")
		synctest.Wait()
		w.setDown(w.addresses[0], true)
		for i := range settings.MaxRecentDeltas + 5 {
			w.propose(shop(i))
		}
		w.setDown(w.addresses[0], false)
		time.Sleep(3 * time.Second)
		if n := len(c.Tree().Organisations()); n != settings.MaxRecentDeltas+5 || !c.Fresh(time.Now()) {
			t.Errorf("%d organisations after a gap", n)
		}
	})
}

func TestWithdrawnKeyReachesTheWatcher(t *testing.T) {
	inWorld(t, 3, func(w *world) {
		hash := strings.Repeat("ab", 32)
		w.propose(putShop)
		w.propose(settings.Command{Op: settings.CreateKey, Path: "shop", KeyID: "k", KeyHash: hash})
		c := w.watcher("entry-1")
		synctest.Wait()
		key, ok := c.Tree().Key("k")
		if !ok || !key.Usable(time.Now()) {
			t.Fatalf("key %+v", key)
		}
		changed := c.Changed()
		w.propose(settings.Command{Op: settings.WithdrawKey, KeyID: "k"})
		synctest.Wait()
		select {
		case <-changed:
		default:
			t.Error("no push")
		}
		if key, _ := c.Tree().KeyByHash(key.Hash); key.Usable(time.Now()) {
			t.Error("the withdrawn key still works")
		}
	})
}

func TestInForceNamesWhoIsBehind(t *testing.T) {
	inWorld(t, 3, func(w *world) {
		w.watcher("entry-1", w.addresses[0])
		w.watcher("entry-2", w.addresses[1])
		time.Sleep(2 * time.Second)
		w.cluster.Hold(1, true)
		v := w.propose(putShop).Version
		time.Sleep(time.Second)
		behind := w.services[2].Behind(v) // a member that neither of them watches
		if len(behind) != 1 || behind[0].ID != "entry-2" {
			t.Errorf("behind: %+v", behind)
		}
		w.cluster.Hold(1, false)
		ctx, cancel := context.WithTimeout(w.ctx, 3*time.Second)
		defer cancel()
		if behind := w.services[2].WaitInForce(ctx, v); len(behind) != 0 {
			t.Errorf("still behind: %+v", behind)
		}
	})
}

// agent registers a backend server whose lifecycle a test sets.
func (w *world) agent(id string, lifecycle *atomic.Value) *watch.Registrar {
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
	inWorld(t, 3, func(w *world) {
		c := w.watcher("entry-1")
		var state atomic.Value
		state.Store("ready")
		r := w.agent("backend-a", &state)
		w.agent("backend-b", &state)
		time.Sleep(time.Second)
		if got := lifecycles(c); got != "backend-a ready, backend-b ready" {
			t.Fatalf("got %s", got)
		}
		state.Store("leaving")
		r.Notify()
		synctest.Wait()
		if got := lifecycles(c); !strings.HasPrefix(got, "backend-a leaving") {
			t.Errorf("at once after it said so: %s", got)
		}
		state.Store("ready")
		time.Sleep(2 * time.Second)
		if got := lifecycles(c); !strings.HasPrefix(got, "backend-a leaving") {
			t.Errorf("leaving was taken back: %s", got)
		}
	})
}

func TestSilentBackendServerIsGone(t *testing.T) {
	inWorld(t, 3, func(w *world) {
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
			t.Fatalf("got %q", got)
		}
		cancel()
		time.Sleep(6 * time.Second)
		if got := lifecycles(c); got != "" {
			t.Errorf("after its agent fell silent: %s", got)
		}
	})
}

// TestRegistryRecoversAfterAllMembersRestart checks that no watcher loses a backend server that is there.
func TestRegistryRecoversAfterAllMembersRestart(t *testing.T) {
	inWorld(t, 3, func(w *world) {
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
		time.Sleep(3 * time.Second) // the watcher is back before the agents
		w.setAgentsDown(false)
		time.Sleep(20 * time.Second)
		if lost.Load() || lifecycles(c) != want {
			t.Errorf("lost backend servers; now %s", lifecycles(c))
		}
		for i, s := range w.services {
			if n := len(s.Backends()); n != 2 {
				t.Errorf("member %d knows %d backend servers", i, n)
			}
		}
	})
}

func TestProposeIsForwardedAndRepeatedOnlyWhereHarmless(t *testing.T) {
	claimBody := `{"op": "claim", "key": {"organisation": "o", "key": "k"}, "request_id": "r"}`
	plain := `{"op": "put_node", "path": "a", "node": "{}"}`
	withID := `{"op": "put_node", "path": "a", "node": "{}", "change_id": "c"}`
	tests := []struct {
		name, module, body string
		arrange            func(w *world)
		want               error
	}{
		{"leader elsewhere", "settings", plain, func(w *world) { w.cluster.Lead(2) }, nil},
		{"first member down", "settings", plain, func(w *world) { w.setDown(w.addresses[0], true); w.cluster.Lead(1) }, nil},
		{"no leader", "settings", plain, func(w *world) { w.cluster.Lead(-1) }, watch.ErrUnavailable},
		{"lost answer", "settings", plain, func(w *world) { w.cluster.LoseAnswers(0, true) }, watch.ErrUnknownOutcome},
		{"lost answer with change id", "settings", withID, func(w *world) { w.loseFirstAnswer() }, nil},
		{"lost answer of a claim", "claim", claimBody, func(w *world) { w.loseFirstAnswer() }, nil},
		{"all down", "settings", plain, func(w *world) {
			for _, a := range w.addresses {
				w.setDown(a, true)
			}
		}, watch.ErrUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inWorld(t, 3, func(w *world) {
				c := w.watcher("entry-1")
				synctest.Wait()
				tt.arrange(w)
				ctx, cancel := context.WithTimeout(w.ctx, 5*time.Second)
				defer cancel()
				result, err := c.Propose(ctx, state.Command{Module: tt.module, Body: json.RawMessage(tt.body)})
				if tt.want != nil {
					if !errors.Is(err, tt.want) {
						t.Errorf("error %v, want %v", err, tt.want)
					}
					if n := len(w.cluster.Members[0].Settings.History(10)); n > 1 {
						t.Errorf("committed %d times", n)
					}
					return
				}
				if err != nil {
					t.Fatal(err)
				}
				if tt.module == claim.ModuleName && !strings.Contains(string(result), `"claimed"`) {
					t.Errorf("got %s", result)
				}
				if tt.module == settings.ModuleName && !strings.Contains(string(result), `"accepted":true`) {
					t.Errorf("got %s", result)
				}
			})
		})
	}
}

func TestSharesFollowDemandAndSumToOne(t *testing.T) {
	inWorld(t, 3, func(w *world) {
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
					t.Errorf("%s: share %+v doesn't begin at %v", organisation, s, at)
				}
				at = s.To
			}
			if math.Abs(at-1) > 1e-9 {
				t.Errorf("%s: shares end at %v", organisation, at)
			}
		}
		if busy, idle := clients[0].Share("camurca").Size(), clients[1].Share("camurca").Size(); busy <= idle {
			t.Errorf("share of the busy entry %v, of an idle one %v", busy, idle)
		}
	})
}

// TestLeaderForgetsOldClaims lets a claim grow older than its retention.
// TestWatchersFollowTheAgreedTime shows a member whose clock is slow what the clocks of the two others show: its watchers go by
// what most agree on.
func TestWatchersFollowTheAgreedTime(t *testing.T) {
	inWorld(t, 1, func(w *world) {
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
			t.Errorf("the watcher's time of day is %v ahead of the slow clock, want %v", ahead, off)
		}
	})
}

// TestProcessesSplitAlike gives each process another part of the work for two lanes: what a process sees alone must not decide
// where the sessions of all have their homes.
func TestProcessesSplitAlike(t *testing.T) {
	inWorld(t, 3, func(w *world) {
		var clients []*watch.Client
		for i := range 6 {
			c := watch.New(watch.Config{
				ProcessID: fmt.Sprintf("gateway-%d", i), Incarnation: "1", Role: "gateway", Control: w.addresses, Dial: w.dial,
			})
			part := float64(i + 1)
			c.SetLaneWork(func() []*controlpb.LaneWork {
				return []*controlpb.LaneWork{{Service: "app", Tight: 100 * part, Bulk: 800 - 100*part}}
			})
			go func() { _ = c.Run(w.ctx) }()
			clients = append(clients, c)
		}
		shared := func() map[float64]int {
			shares := make(map[float64]int)
			for _, c := range clients {
				share, ok := c.LaneShare("app")
				if !ok {
					share = -1
				}
				shares[share]++
			}
			return shares
		}
		time.Sleep(5 * time.Second)
		const want = 2100.0 / (6 * 800)
		if got := shared(); len(got) != 1 || got[want] != len(clients) {
			t.Errorf("shares %v, want %v everywhere", got, want)
		}
		w.cluster.Lead(1)
		time.Sleep(5 * time.Second)
		if got := shared(); len(got) != 1 || got[want] != len(clients) {
			t.Errorf("shares %v under another leader, want %v everywhere", got, want)
		}
	})
}

func TestLeaderForgetsOldClaims(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		body := json.RawMessage(`{"op": "claim", "key": {"organisation": "o", "key": "k"}, "request_id": "r"}`)
		data, err := json.Marshal(state.Command{Module: claim.ModuleName, AtMS: 1 << 50, Body: body}) // a clock that is far ahead
		if err != nil {
			t.Fatal(err)
		}
		if reply, err := w.services[0].Propose(w.ctx, &controlpb.ProposeRequest{Command: data}); err != nil || reply.Error != "" {
			t.Fatalf("%+v, %v", reply, err)
		}
		claims := w.cluster.Members[0].Claims
		for _, tt := range []struct {
			after time.Duration
			want  int
		}{{claim.DefaultBounds().Retention - time.Minute, 1}, {2 * time.Minute, 0}} {
			time.Sleep(tt.after)
			w.cluster.Members[0].View(func() {
				if claims.Len() != tt.want {
					t.Errorf("%v later: %d claims", tt.after, claims.Len())
				}
			})
		}
	})
}
