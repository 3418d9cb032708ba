package operate

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/core/billing"
	"github.com/guavastack/guavastack/internal/core/duty"
	"github.com/guavastack/guavastack/internal/core/fleet"
	"github.com/guavastack/guavastack/internal/platform"
	"github.com/guavastack/guavastack/internal/replica"
	standin "github.com/guavastack/guavastack/internal/standin/platform"
	"github.com/guavastack/guavastack/proto/linkpb"
)

// onPut makes a plan for calls that change something; others are delivered.
func onPut(f fault) func(method, path string) fault {
	return func(method, _ string) fault {
		if method != http.MethodPut {
			return deliver
		}
		return f
	}
}

// first makes a plan for the first n calls of a path prefix.
func first(n int, prefix string, f fault) func(method, path string) fault {
	return func(method, path string) fault {
		if method != http.MethodPut || !strings.HasPrefix(path, prefix) || n == 0 {
			return deliver
		}
		n--
		return f
	}
}

// settled is long enough for a takeover, the retries of open orders, and the closing and reporting of windows.
const settled = 60 * time.Second

func TestFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults func(b *bench) // begins with control-0 leading and three servers wanted
	}{
		{"no fault", func(*bench) {}},
		{"leader isolated silently while its orders are on their way", func(b *bench) {
			b.faults.set(onPut(arriveAtEnd))
			b.awaitCall()
			b.isolate(0)
			b.faults.set(nil)
			b.elect(1)
			b.run(settled)
			b.heal(0)
		}},
		{"both sides of a partition reach the platform", func(b *bench) {
			b.isolate(0)
			b.elect(1)
			b.run(settled)
			b.heal(0)
			b.isolate(1)
			b.elect(2)
			b.run(settled)
			b.heal(1)
		}},
		{"lease ends during a call", func(b *bench) {
			b.faults.set(onPut(loseAnswer))
			b.awaitCall()
			b.isolate(0)
			b.elect(2)
			b.run(5 * time.Second)
			b.faults.set(nil)
		}},
		{"process paused between check and send", func(b *bench) {
			b.pauseAfterCheck(0, 30*time.Second)
			b.elect(1)
			b.run(settled)
			b.heal(0)
		}},
		{"process paused shorter than the lease, then elected again", func(b *bench) {
			b.pauseAfterCheck(0, duty.DefaultLease/2)
			b.run(2 * time.Second)
			b.elect(0)
		}},
		{"answers to orders lost", func(b *bench) { b.faults.set(first(4, "/v1/orders/", loseAnswer)) }},
		{"orders lost", func(b *bench) { b.faults.set(first(4, "/v1/orders/", loseCall)) }},
		{"orders and reports duplicated", func(b *bench) { b.faults.set(onPut(twice)) }},
		{"answers to reports lost", func(b *bench) {
			b.faults.set(first(3, "/v1/usage/", loseAnswer))
			b.run(settled)
		}},
		{"report on its way when the leader changes", func(b *bench) {
			b.faults.set(first(20, "/v1/usage/", loseAnswer))
			b.run(30 * time.Second)
			b.isolate(0)
			b.elect(1)
			b.run(settled)
			b.heal(0)
		}},
		{"crash between commit and send", func(b *bench) {
			b.faults.set(onPut(loseCall))
			b.run(4 * time.Second)
			b.crash(0)
			b.faults.set(nil)
			b.elect(1)
		}},
		{"crash between send and record", func(b *bench) {
			b.faults.set(onPut(loseAnswer))
			b.run(4 * time.Second)
			b.crash(0)
			b.faults.set(nil)
			b.elect(1)
		}},
		{"outcomes of proposals lost", func(b *bench) {
			b.loseOutcomes(0, 3)
			b.run(20 * time.Second)
			b.loseOutcomes(0, 2)
		}},
		{"intents commit after their proposals gave up", func(b *bench) {
			b.want(0, 0)
			b.run(5 * time.Second)
			b.want(0, 1)
			b.stall(14 * time.Second)
			b.run(30 * time.Second)
			b.want(2, 1)
		}},
		{"two leaders in quick succession", func(b *bench) {
			b.faults.set(onPut(arriveAtEnd))
			b.awaitCall()
			b.isolate(0)
			b.elect(1)
			b.run(time.Second)
			b.awaitCall()
			b.isolate(1)
			b.faults.set(nil)
			b.elect(2)
			b.run(settled)
			b.heal(0)
			b.heal(1)
		}},
		{"window closed while counters arrive late", func(b *bench) {
			b.entry.muted = true
			b.run(time.Minute)
			b.entry.muted = false
			b.entry.report(b.reachable())
			b.crash(0) // with counters taken and not committed
			b.elect(1)
		}},
		{"leader loses and regains its office", func(b *bench) {
			b.faults.set(onPut(loseAnswer))
			b.run(4 * time.Second)
			b.isolate(0)
			b.elect(1)
			b.run(2 * time.Second)
			b.isolate(1)
			b.heal(0)
			b.elect(0)
			b.run(4 * time.Second)
			b.faults.set(nil)
			b.heal(1)
		}},
	}
	platforms := []struct {
		name string
		cfg  standin.Config
	}{
		{"platform checks fencing", standin.Config{}},
		{"platform ignores fencing", standin.Config{IgnoreFencing: true}},
		{"platform forgets order ids", standin.Config{IgnoreFencing: true, ForgetOrders: true}},
	}
	for _, p := range platforms {
		for _, tt := range tests {
			if p.cfg.ForgetOrders && strings.Contains(tt.name, "duplicated") {
				continue // no sender can help where the network duplicates and the receiver forgets
			}
			t.Run(p.name+"/"+tt.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newBench(t, p.cfg)
					b.elect(0)
					b.want(2, 1)
					b.run(time.Second) // still waiting out older leaders
					tt.faults(b)
					b.run(settled)
					if n := b.started(); n != 3 {
						t.Errorf("%d servers started for 3 intents", n)
					}
					b.check(2, 1)
				})
			})
		}
	}
}

// check compares the platform's record with the rules, the servers with the wanted counts, and the figures with what
// the entry served.
func (b *bench) check(a, z int) {
	b.t.Helper()
	for _, violation := range b.standin.Record().Violations {
		b.t.Error(violation)
	}
	if b.servers("a") != a || b.servers("b") != z {
		b.t.Errorf("servers: a %d, b %d; want %d, %d", b.servers("a"), b.servers("b"), a, z)
	}
	served := b.entry.total
	b.run(settled)
	tokens, windows := b.reported()
	if tokens < served || tokens > b.entry.total || windows < 2 {
		b.t.Errorf("reported %d tokens in %d windows; served %d before, %d now", tokens, windows, served, b.entry.total)
	}
}

func TestStopDrainsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, standin.Config{})
		b.elect(0)
		b.want(2, 1)
		b.run(20 * time.Second)
		for _, s := range b.standin.Servers() {
			b.agents.running[s.ID] = 5
		}
		b.want(0, 1)
		b.run(6 * time.Second)
		if b.servers("a") != 2 {
			t.Errorf("stopped before the agents were idle: %d left", b.servers("a"))
		}
		b.run(20 * time.Second)
		b.check(0, 1)
	})
}

func TestStopWaitsForANewIncarnationOfTheAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, standin.Config{})
		b.elect(0)
		b.want(1, 0)
		b.run(10 * time.Second)
		b.want(0, 0)
		for i := range 10 { // an agent that restarts before each round may have taken work in between
			b.incarnation = string(rune('a' + i))
			b.run(2 * time.Second)
		}
		if n := b.servers("a"); n != 1 {
			t.Errorf("%d servers left while the agent restarts", n)
		}
		b.run(10 * time.Second)
		b.check(0, 0)
	})
}

func TestEngineOrders(t *testing.T) {
	unknown := func(n int) (*linkpb.EngineOrderResult, error) {
		if n < 3 {
			return nil, context.DeadlineExceeded
		}
		return nil, nil
	}
	tests := []struct {
		name   string
		answer func(n int) (*linkpb.EngineOrderResult, error)
		status duty.Status
		sent   int
	}{
		{"accepted", nil, duty.Done, 1},
		{"answers lost", unknown, duty.Done, 3},
		{"outcome unknown at the agent", func(n int) (*linkpb.EngineOrderResult, error) {
			if n < 3 {
				return &linkpb.EngineOrderResult{Error: "engine did not answer"}, nil
			}
			return nil, nil
		}, duty.Done, 3},
		{"agent knows no fencing number yet", func(n int) (*linkpb.EngineOrderResult, error) {
			if n < 3 {
				return &linkpb.EngineOrderResult{Stale: true, Error: "none known"}, nil
			}
			return nil, nil
		}, duty.Done, 3},
		{"refused", func(int) (*linkpb.EngineOrderResult, error) {
			return &linkpb.EngineOrderResult{Refused: true, Error: "no such model"}, nil
		}, duty.Refused, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, standin.Config{})
				b.agents.answer = tt.answer
				b.elect(0)
				b.want(1, 0)
				b.run(10 * time.Second)
				leader := b.group.members[0]
				server := b.standin.Servers()[0].ID
				fencing, _ := leader.duty.Fencing()
				data, err := duty.Encode(duty.Command{Intend: &duty.Intend{Fencing: fencing, Order: duty.Order{
					ID: "load-1", Kind: duty.LoadModel, Model: "m", Version: "2", Server: server,
				}}}, "test", 0)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := leader.Propose(b.ctx, data); err != nil {
					t.Fatal(err)
				}
				b.run(20 * time.Second)
				orders := leader.operator.Orders()
				if orders[0].ID != "load-1" || orders[0].Status != tt.status || len(b.agents.orders) != tt.sent {
					t.Errorf("order %+v, sent %d times", orders[0], len(b.agents.orders))
				}
				for _, o := range b.agents.orders {
					if o.OrderId != "load-1" || o.Fencing != fencing {
						t.Errorf("sent %+v", o)
					}
				}
			})
		})
	}
}

func TestPausedFleetSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, standin.Config{})
		b.elect(0)
		leader := b.group.members[0]
		data, err := duty.Encode(duty.Command{Change: &duty.Change{ID: "p", Settings: pausedSettings()}}, "test", 0)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := leader.Propose(b.ctx, data); err != nil {
			t.Fatal(err)
		}
		b.run(time.Minute)
		if n := len(b.standin.Servers()); n != 0 {
			t.Errorf("%d servers ordered while paused", n)
		}
		if status := leader.operator.FleetStatus(); len(status.Plans) != 1 || status.Plans[0].Total() != 2 {
			t.Errorf("plans while paused: %+v", status.Plans)
		}
	})
}

// TestSlowServersGetHelp lets every server expect its first token after the target.
func TestSlowServersGetHelp(t *testing.T) {
	for _, tt := range []struct {
		firstToken time.Duration
		more       bool
	}{{400 * time.Millisecond, false}, {800 * time.Millisecond, true}} {
		synctest.Test(t, func(t *testing.T) {
			b := newBench(t, standin.Config{})
			b.firstToken, b.runningEach = tt.firstToken, 5
			b.elect(0)
			data, err := duty.Encode(duty.Command{Change: &duty.Change{ID: "p", Settings: fleet.Settings{Pools: []fleet.Pool{{
				Model: "m", Zones: []string{"a", "b"}, MinPerZone: 1, FirstTokenTargetMS: 500, StartTimeS: 10,
			}}}}}, "test", 0)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := b.group.members[0].Propose(b.ctx, data); err != nil {
				t.Fatal(err)
			}
			b.run(time.Minute)
			if n := len(b.standin.Servers()); (n > 2) != tt.more {
				t.Errorf("%d servers where the first token takes %v", n, tt.firstToken)
			}
		})
	}
}

// TestZoneIsAvoided needs four servers where one of two zones cannot be used.
func TestZoneIsAvoided(t *testing.T) {
	tests := []struct {
		name  string
		avoid func(*bench)
	}{
		{"without supply", func(b *bench) { b.standin.SetSupply("a", false) }},
		{"dearer than its ceiling", func(b *bench) {
			for _, m := range b.group.members {
				m.operator.cfg.ZoneCeiling = func(zone string) (float64, bool) { return 1, zone == "a" }
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, standin.Config{})
				tt.avoid(b)
				b.elect(0)
				settings := pausedSettings()
				settings.Paused = false
				settings.Pools[0].Manual = nil
				settings.Broadcasts = burst(4)
				data, err := duty.Encode(duty.Command{Change: &duty.Change{ID: "p", Settings: settings}}, "test", 0)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := b.group.members[0].Propose(b.ctx, data); err != nil {
					t.Fatal(err)
				}
				b.run(30 * time.Second)
				b.check(0, 4)
			})
		})
	}
}

func TestWindowsShorterThanTheGraceAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, standin.Config{})
		for _, m := range b.group.members {
			m.operator.cfg.Window, m.operator.cfg.Grace = 2*time.Second, 4*time.Second
		}
		b.elect(0)
		b.run(30 * time.Second)
		if _, windows := b.reported(); windows < 10 {
			t.Errorf("%d windows reported in 30 s", windows)
		}
	})
}

// TestUsageIsCommittedDuringATakeOver loses a leader while it waits for its predecessor's calls to end, and the entry with it:
// what was reported to that leader is billed all the same.
func TestUsageIsCommittedDuringATakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, standin.Config{})
		const record = 500 * time.Millisecond
		for _, m := range b.group.members {
			m.operator.cfg.Timing.Spacing, m.operator.cfg.Record = 10*time.Second, record
		}
		b.elect(0)
		b.run(15 * time.Second)
		b.crash(0)
		b.elect(1)
		b.run(5 * time.Second) // within the take-over
		b.entry.muted = true
		served := b.entry.total
		time.Sleep(2 * record)
		b.crash(1)
		b.elect(2)
		b.run(90 * time.Second)
		if tokens, _ := b.reported(); tokens < served {
			t.Errorf("%d tokens reported to the platform, want the %d that were reported to the leaders", tokens, served)
		}
	})
}

// TestWindowsOpenDuringATakeOver lets windows by the time of day begin while a new leader waits for its predecessor's calls to
// end: processes can't report what belongs to a window that isn't open.
func TestWindowsOpenDuringATakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const window = 2 * time.Second
		b := newBench(t, standin.Config{})
		for _, m := range b.group.members {
			c := &m.operator.cfg
			c.ClockWindows, c.Window, c.Grace, c.Record, c.Timing.Spacing = true, window, window, window/4, 10*window
		}
		b.elect(0)
		b.run(11 * window)
		b.crash(0)
		b.elect(1)
		b.run(4 * window)
		current := uint64(clock.Wall().UnixNano()) / uint64(window)
		if open := b.group.members[1].operator.Usage().OpenWindow(); open+1 < current {
			t.Errorf("window %d is open during the take-over, the current one is %d", open, current)
		}
	})
}

// TestRestoredGroupSkipsWindowsOfTheOldOne starts from an empty log, as a restore from an old backup does, while the
// platform holds figures of the first windows.
func TestRestoredGroupSkipsWindowsOfTheOldOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, standin.Config{})
		client, err := platform.NewClient(platform.Config{URL: "http://platform.test", Transport: b.faults})
		if err != nil {
			t.Fatal(err)
		}
		for window := range uint64(2) {
			r := platform.UsageReport{Sender: platform.Sender{Holder: "old", Fencing: 40}, Window: window + 1, Body: []byte(`{"window":0}`)}
			if err := client.ReportUsage(t.Context(), r); err != nil {
				t.Fatal(err)
			}
		}
		b.elect(0)
		b.want(1, 0)
		b.run(settled)
		b.check(1, 0)
		windows, err := b.group.members[0].operator.Windows(100)
		if err != nil {
			t.Fatal(err)
		}
		for i, w := range windows[len(windows)-3:] {
			want := []string{"reported", "skipped", "skipped"}[i]
			if w.Status != want || w.Status != "reported" && w.Difference != (billing.Figures{}) {
				t.Errorf("window %d is %s, difference %+v; want %s", w.Window, w.Status, w.Difference, want)
			}
		}
	})
}

func TestRateLimitKeepsTheOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, standin.Config{})
		b.standin.SetRateLimited(true)
		b.elect(0)
		b.want(1, 0)
		b.run(30 * time.Second)
		b.standin.SetRateLimited(false)
		b.run(10 * time.Second)
		ids := make(map[string]bool)
		for _, e := range b.standin.Record().Events {
			if e.Kind == standin.EventOrder {
				ids[e.OrderID] = true
			}
		}
		if len(ids) != 1 {
			t.Errorf("%d order ids for one server", len(ids))
		}
		b.check(1, 0)
	})
}

// pausingGroup stands still for a time after each look at the lease.
type pausingGroup struct {
	Group
	lease duty.Lease
	pause time.Duration
}

func (g *pausingGroup) Lease() (duty.Lease, bool) {
	time.Sleep(g.pause)
	return g.lease, true
}

// TestTimingFitsTheGroup compares the bounds of the wait with the lease that the control group grants.
func TestTimingFitsTheGroup(t *testing.T) {
	timing := duty.DefaultTiming()
	if timing.Lease < replica.DefaultLeaseDuration || timing.Drift < replica.DefaultMaxClockDrift {
		t.Errorf("timing %+v for a lease of %v and a drift of %v", timing, replica.DefaultLeaseDuration, replica.DefaultMaxClockDrift)
	}
}

func TestCallEndsBeforeLease(t *testing.T) {
	timing := duty.DefaultTiming()
	tests := []struct {
		name      string
		remaining time.Duration
		pause     time.Duration
		term      uint64
		called    bool
	}{
		{"whole lease left", timing.Lease, 0, 1, true},
		{"less left than the longest call", timing.LongestCall / 2, 0, 1, true},
		{"less left than the shortest call", timing.ShortestCall - 1, 0, 1, false},
		{"over", -time.Second, 0, 1, false},
		{"paused beyond the lease after the look at it", timing.Lease, time.Minute, 1, false},
		{"paused within the lease", timing.Lease, timing.Lease / 2, 1, true},
		{"lease of another term", timing.Lease, 0, 2, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				expires := time.Now().Add(tt.remaining)
				group := &pausingGroup{lease: duty.Lease{Term: tt.term, Expires: expires}, pause: tt.pause}
				c := &tenure{op: &Operator{cfg: Config{Group: group, Timing: timing}}, term: 1}
				called := false
				err := c.call(t.Context(), func(ctx context.Context) error {
					called = true
					deadline, ok := ctx.Deadline()
					if !ok || deadline.After(expires) || time.Until(deadline) > timing.LongestCall {
						t.Errorf("call may last %v, lease %v", time.Until(deadline), time.Until(expires))
					}
					return nil
				})
				if called != tt.called || (err == nil) != tt.called {
					t.Errorf("called %v, error %v; want called %v", called, err, tt.called)
				}
			})
		})
	}
}
