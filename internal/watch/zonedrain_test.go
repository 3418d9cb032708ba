package watch_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/guavastack/guavastack/internal/control"
	"github.com/guavastack/guavastack/internal/control/controltest"
	"github.com/guavastack/guavastack/internal/core/state"
	"github.com/guavastack/guavastack/internal/core/zonedrain"
	"github.com/guavastack/guavastack/internal/watch"
)

// evacuateTime is the time after the acknowledgement of a drain in which every gateway must obey it.
const evacuateTime = 5 * time.Second

// orderTime bounds one call of an operator.
const orderTime = 900 * time.Millisecond

// order orders a drain at member i, as one call of an operator does.
func (w *testGroup) order(i int, zone string, drained bool) error {
	ctx, cancel := context.WithTimeout(w.ctx, orderTime)
	defer cancel()
	return w.services[i].OrderZoneDrain(ctx, zone, drained, "operator")
}

func (w *testGroup) mustOrder(i int, zone string, drained bool) {
	w.t.Helper()
	if err := w.order(i, zone, drained); err != nil {
		w.t.Fatalf("order at member %d, zone %s, drained %v: %v", i, zone, drained, err)
	}
}

// checkDrains checks the drained zones that a watcher knows.
func (w *testGroup) checkDrains(what string, c *watch.Client, want ...string) {
	w.t.Helper()
	if got := c.ZoneDrains().Zones(); !slices.Equal(got, want) {
		w.t.Errorf("%s: got drained zones %q, want %q", what, got, want)
	}
}

// TestDrainReachesEveryWatcher orders drains of two zones and their ends at different members while the group is disturbed. Every watcher
// must know each order in time, and one that starts later must know it when it is ready.
func TestDrainReachesEveryWatcher(t *testing.T) {
	cases := []struct {
		name    string
		disturb func(w *testGroup, step int) // after each order
	}{
		{"undisturbed", func(*testGroup, int) {}},
		{"the leader changes", func(w *testGroup, step int) { w.cluster.SetLeader(step % 3) }},
		{"all services restart", func(w *testGroup, step int) {
			for i := range w.services {
				w.start(i, fmt.Sprint("restarted-", step))
			}
		}},
		{"connections stall", func(w *testGroup, _ int) {
			for _, address := range w.addresses {
				w.dropTraffic(address)
			}
		}},
		{"a member lags", func(w *testGroup, step int) {
			for i := range w.services {
				w.cluster.SetPaused(i, i == step%3)
			}
			w.cluster.SetLeader((step + 1) % 3)
		}},
		{"a member is partitioned", func(w *testGroup, step int) {
			for i := range w.services {
				w.cluster.Isolate(i, i == (step+1)%3)
			}
			w.cluster.SetLeader(step % 3)
		}},
	}
	steps := []struct {
		zone    string
		drained bool
		want    []string
	}{
		{"a", true, []string{"a"}},
		{"a", true, []string{"a"}},
		{"b", true, []string{"a", "b"}},
		{"a", false, []string{"b"}},
		{"b", false, []string{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withGroup(t, 3, func(w *testGroup) {
				var watchers []*watch.Client
				for i := range 4 {
					watchers = append(watchers, w.watcher(fmt.Sprint("gateway-", i)))
				}
				time.Sleep(time.Second)
				for i, s := range steps {
					w.mustOrder((i+2)%3, s.zone, s.drained) // the one that lags, if one does; never the one that is partitioned
					acknowledged := time.Now()
					c.disturb(w, i)
					time.Sleep(evacuateTime - time.Since(acknowledged))
					for j, watcher := range watchers {
						w.checkDrains(fmt.Sprintf("step %d, watcher %d", i, j), watcher, s.want...)
					}
					late := w.watcher(fmt.Sprint("late-", i))
					for !late.Ready() {
						time.Sleep(time.Millisecond)
					}
					w.checkDrains(fmt.Sprintf("step %d, watcher that started later", i), late, s.want...)
					watchers = append(watchers, late)
				}
			})
		})
	}
}

// Guards against a watcher that takes over older drains from a member that lags behind, and against a confirmation from such a member.
func TestLaggingMemberDoesNotRevertDrains(t *testing.T) {
	withGroup(t, 3, func(w *testGroup) {
		c := w.watcher("gateway-1")
		time.Sleep(time.Second)
		lagging := (w.watchedMember(c) + 1) % 3
		leader := (lagging + 1) % 3
		w.cluster.SetLeader(leader)
		w.cluster.SetPaused(lagging, true)
		w.mustOrder(leader, "a", true)
		time.Sleep(time.Second)
		w.checkDrains("before the change of members", c, "a")
		for i, address := range w.addresses {
			w.setDown(address, i != lagging)
		}
		confirmed := c.Unconfirmed(time.Now())
		time.Sleep(4 * time.Second)
		w.checkDrains("at a member that lags", c, "a")
		if got := c.Unconfirmed(time.Now()); got < confirmed+3*time.Second {
			t.Errorf("a member that lags confirmed a view %v ago", got)
		}
		w.cluster.SetPaused(lagging, false)
		time.Sleep(2 * time.Second)
		w.checkDrains("at the member once it has caught up", c, "a")
	})
}

// Guards against an order that is acknowledged without a quorum, and against drains that end with the quorum: gateways keep the last ones.
func TestDrainsStayWithoutQuorum(t *testing.T) {
	withGroup(t, 3, func(w *testGroup) {
		c := w.watcher("gateway-1")
		time.Sleep(time.Second)
		w.mustOrder(0, "a", true)
		time.Sleep(time.Second)
		w.cluster.SetLeader(-1)
		start := time.Now()
		if err := w.order(1, "b", true); !errors.Is(err, control.ErrOrderNotCommitted) {
			t.Errorf("got error %v for an order without a quorum, want %v", err, control.ErrOrderNotCommitted)
		}
		if took := time.Since(start); took > orderTime+proposeSlack {
			t.Errorf("the order failed after %v, want %v at most", took, orderTime+proposeSlack)
		}
		time.Sleep(time.Minute)
		w.checkDrains("without a quorum", c, "a")
		for i := range w.services {
			w.setDown(w.addresses[i], true)
		}
		time.Sleep(time.Minute)
		w.checkDrains("without any member", c, "a")
		if c.Fresh(time.Now()) {
			t.Error("the view is fresh without a quorum")
		}
		for i := range w.services {
			w.setDown(w.addresses[i], false)
		}
		w.cluster.SetLeader(2)
		time.Sleep(2 * time.Second)
		w.mustOrder(1, "b", true)
		time.Sleep(2 * time.Second)
		w.checkDrains("with a quorum again", c, "a", "b")
	})
}

// proposeSlack is the pause between two proposals, by which an order may end after its timeout.
const proposeSlack = 100 * time.Millisecond

// heldGroup holds back the first proposal for a module until release is closed, and lets its caller wait for it in vain.
type heldGroup struct {
	*controltest.Member
	module  string
	once    *sync.Once
	release chan struct{}
	done    chan struct{} // closed when the proposal has been committed
}

func (g heldGroup) Propose(ctx context.Context, data []byte) (control.Outcome, error) {
	var cmd state.Command
	if err := json.Unmarshal(data, &cmd); err != nil {
		return control.Outcome{}, err
	}
	held := false
	if cmd.Module == g.module {
		g.once.Do(func() { held = true })
	}
	if !held {
		return g.Member.Propose(ctx, data)
	}
	go func() {
		defer close(g.done)
		<-g.release
		_, _ = g.Member.Propose(context.Background(), data)
	}()
	<-ctx.Done()
	return control.Outcome{}, ctx.Err()
}

// Guards against an order that is held up on its way, was repeated by the operator and withdrawn by a newer order, and takes effect when it
// arrives at last.
func TestDelayedOrderHasNoEffect(t *testing.T) {
	for _, c := range []struct {
		name   string
		before []bool // orders that are acknowledged before
		held   bool   // the order that is delayed
		after  []bool // orders that are acknowledged while it is under way
		want   []string
	}{
		{"start, repeated and withdrawn", nil, true, []bool{true, false}, []string{}},
		{"start, given up and withdrawn", nil, true, []bool{false}, []string{}},
		{"end, repeated and drained again", []bool{true}, false, []bool{false, true}, []string{"a"}},
		{"end, given up and drained again", []bool{true}, false, []bool{true}, []string{"a"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			withGroup(t, 3, func(w *testGroup) {
				g := heldGroup{module: zonedrain.ModuleName, once: new(sync.Once), release: make(chan struct{}), done: make(chan struct{})}
				for _, drained := range c.before {
					w.mustOrder(1, "a", drained)
				}
				w.group = func(m *controltest.Member) control.Group {
					g := g
					g.Member = m
					return g
				}
				w.start(0, "2") // the leader
				watcher := w.watcher("gateway-1")
				time.Sleep(time.Second)
				if err := w.order(0, "a", c.held); !errors.Is(err, control.ErrOrderNotCommitted) {
					t.Fatalf("got error %v for the order that is held up, want %v", err, control.ErrOrderNotCommitted)
				}
				for i, drained := range c.after {
					w.mustOrder(i%3, "a", drained)
				}
				close(g.release)
				<-g.done
				time.Sleep(2 * time.Second)
				w.checkDrains("after the delayed order", watcher, c.want...)
			})
		})
	}
}

// Guards against an order that is refused, or that ends a drain that began later, when its reply is lost and the operator repeats it.
func TestRetriedOrderIsAcknowledged(t *testing.T) {
	withGroup(t, 3, func(w *testGroup) {
		c := w.watcher("gateway-1")
		time.Sleep(time.Second)
		w.dropFirstReply()
		w.mustOrder(0, "a", true) // its first proposal is committed without a reply
		time.Sleep(time.Second)
		w.checkDrains("after a lost reply", c, "a")
		since := c.ZoneDrains().Find("a").SinceMS
		w.cluster.DropReplies(0, true)
		if err := w.order(1, "a", true); err == nil {
			t.Error("an order is acknowledged though no reply of the leader arrived")
		}
		w.cluster.DropReplies(0, false)
		for i := range w.services {
			w.mustOrder(i, "a", true)
		}
		time.Sleep(time.Second)
		if d := c.ZoneDrains().Find("a"); d == nil || d.SinceMS != since || d.By != "operator" {
			t.Errorf("got drain %+v after repeated orders, want that of the first order, since %d", d, since)
		}
	})
}

// Guards against a lost order if several operators give orders on one zone at the same time.
func TestConcurrentOrdersAreAcknowledged(t *testing.T) {
	withGroup(t, 3, func(w *testGroup) {
		c := w.watcher("gateway-1")
		time.Sleep(time.Second)
		errs := make(chan error, 20)
		for i := range cap(errs) {
			go func() { errs <- w.order(i%3, "a", true) }()
		}
		for range cap(errs) {
			if err := <-errs; err != nil {
				t.Errorf("got error %v, want none", err)
			}
		}
		synctest.Wait()
		time.Sleep(time.Second)
		w.checkDrains("after all orders", c, "a")
	})
}
