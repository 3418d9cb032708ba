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
	"github.com/guavastack/guavastack/internal/platformclient"
	"github.com/guavastack/guavastack/internal/replica"
	"github.com/guavastack/guavastack/internal/standin/platform"
	"github.com/guavastack/guavastack/proto/linkpb"
)

// onPuts returns a fault plan that applies f to all PUT calls.
func onPuts(f fault) func(method, path string) fault {
	return func(method, _ string) fault {
		if method != http.MethodPut {
			return deliver
		}
		return f
	}
}

// onFirstPuts returns a fault plan that applies f to the first n PUT calls with a path prefix.
func onFirstPuts(n int, prefix string, f fault) func(method, path string) fault {
	return func(method, path string) fault {
		if method != http.MethodPut || !strings.HasPrefix(path, prefix) || n == 0 {
			return deliver
		}
		n--
		return f
	}
}

// settleTime is long enough for a takeover, retries of open orders, and closing and reporting of windows.
const settleTime = 60 * time.Second

// TestFaults injects faults while three servers are wanted. It checks that exactly three servers are started, that the
// platform records no violation, and that the reported usage covers what was served.
func TestFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults func(b *fixture) // called with control-0 leading and three servers wanted
	}{
		{"no fault", func(*fixture) {}},
		{"leader isolated silently while its orders are in flight", func(b *fixture) {
			b.faults.setFaults(onPuts(arriveAtDeadline))
			b.waitForHangingCall()
			b.isolate(0)
			b.faults.setFaults(nil)
			b.elect(1)
			b.run(settleTime)
			b.heal(0)
		}},
		{"both sides of a partition reach the platform", func(b *fixture) {
			b.isolate(0)
			b.elect(1)
			b.run(settleTime)
			b.heal(0)
			b.isolate(1)
			b.elect(2)
			b.run(settleTime)
			b.heal(1)
		}},
		{"lease ends during a call", func(b *fixture) {
			b.faults.setFaults(onPuts(loseResponse))
			b.waitForHangingCall()
			b.isolate(0)
			b.elect(2)
			b.run(5 * time.Second)
			b.faults.setFaults(nil)
		}},
		{"process paused between check and send", func(b *fixture) {
			b.pauseAfterCheck(0, 30*time.Second)
			b.elect(1)
			b.run(settleTime)
			b.heal(0)
		}},
		{"process paused shorter than the lease, then elected again", func(b *fixture) {
			b.pauseAfterCheck(0, duty.DefaultLease/2)
			b.run(2 * time.Second)
			b.elect(0)
		}},
		{"responses to orders lost", func(b *fixture) { b.faults.setFaults(onFirstPuts(4, "/v1/orders/", loseResponse)) }},
		{"orders lost", func(b *fixture) { b.faults.setFaults(onFirstPuts(4, "/v1/orders/", loseCall)) }},
		{"orders and reports duplicated", func(b *fixture) { b.faults.setFaults(onPuts(duplicate)) }},
		{"responses to reports lost", func(b *fixture) {
			b.faults.setFaults(onFirstPuts(3, "/v1/usage/", loseResponse))
			b.run(settleTime)
		}},
		{"report in flight when the leader changes", func(b *fixture) {
			b.faults.setFaults(onFirstPuts(20, "/v1/usage/", loseResponse))
			b.run(30 * time.Second)
			b.isolate(0)
			b.elect(1)
			b.run(settleTime)
			b.heal(0)
		}},
		{"crash between commit and send", func(b *fixture) {
			b.faults.setFaults(onPuts(loseCall))
			b.run(4 * time.Second)
			b.crash(0)
			b.faults.setFaults(nil)
			b.elect(1)
		}},
		{"crash between send and record", func(b *fixture) {
			b.faults.setFaults(onPuts(loseResponse))
			b.run(4 * time.Second)
			b.crash(0)
			b.faults.setFaults(nil)
			b.elect(1)
		}},
		{"outcomes of proposals lost", func(b *fixture) {
			b.loseOutcomes(0, 3)
			b.run(20 * time.Second)
			b.loseOutcomes(0, 2)
		}},
		{"intents commit after their proposals timed out", func(b *fixture) {
			b.setWantedServers(0, 0)
			b.run(5 * time.Second)
			b.setWantedServers(0, 1)
			b.stall(14 * time.Second)
			b.run(30 * time.Second)
			b.setWantedServers(2, 1)
		}},
		{"two leaders in quick succession", func(b *fixture) {
			b.faults.setFaults(onPuts(arriveAtDeadline))
			b.waitForHangingCall()
			b.isolate(0)
			b.elect(1)
			b.run(time.Second)
			b.waitForHangingCall()
			b.isolate(1)
			b.faults.setFaults(nil)
			b.elect(2)
			b.run(settleTime)
			b.heal(0)
			b.heal(1)
		}},
		{"window closed while counters arrive late", func(b *fixture) {
			b.entry.reportsLost = true
			b.run(time.Minute)
			b.entry.reportsLost = false
			b.entry.report(b.reachable())
			b.crash(0) // with counters received but not committed
			b.elect(1)
		}},
		{"leader loses and regains leadership", func(b *fixture) {
			b.faults.setFaults(onPuts(loseResponse))
			b.run(4 * time.Second)
			b.isolate(0)
			b.elect(1)
			b.run(2 * time.Second)
			b.isolate(1)
			b.heal(0)
			b.elect(0)
			b.run(4 * time.Second)
			b.faults.setFaults(nil)
			b.heal(1)
		}},
	}
	platforms := []struct {
		name string
		cfg  platform.Config
	}{
		{"platform checks fencing", platform.Config{}},
		{"platform ignores fencing", platform.Config{IgnoreFencing: true}},
		{"platform executes repeated orders again", platform.Config{IgnoreFencing: true, ReexecuteOrders: true}},
	}
	for _, p := range platforms {
		for _, tt := range tests {
			if p.cfg.ReexecuteOrders && strings.Contains(tt.name, "duplicated") {
				continue // no sender can prevent a duplicate start if the network duplicates calls and the platform executes both
			}
			t.Run(p.name+"/"+tt.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newFixture(t, p.cfg)
					b.elect(0)
					b.setWantedServers(2, 1)
					b.run(time.Second) // control-0 is still taking over
					tt.faults(b)
					b.run(settleTime)
					if n := b.started(); n != 3 {
						t.Errorf("%d servers started, want 3", n)
					}
					b.check(2, 1)
				})
			})
		}
	}
}

// check verifies that the platform recorded no violation, that the zones have a and z servers, and that the reported
// usage covers what the entry served.
func (b *fixture) check(a, z int) {
	b.t.Helper()
	for _, violation := range b.standin.Record().Violations {
		b.t.Error(violation)
	}
	if b.servers("a") != a || b.servers("b") != z {
		b.t.Errorf("servers: got a %d, b %d; want %d, %d", b.servers("a"), b.servers("b"), a, z)
	}
	served := b.entry.total
	b.run(settleTime)
	tokens, windows := b.reported()
	if tokens < served || tokens > b.entry.total || windows < 2 {
		b.t.Errorf("reported %d tokens in %d windows, want at least %d and at most %d served tokens in 2 or more windows", tokens, windows, served, b.entry.total)
	}
}

func TestStopDrainsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t, platform.Config{})
		b.elect(0)
		b.setWantedServers(2, 1)
		b.run(20 * time.Second)
		for _, s := range b.standin.Servers() {
			b.agents.running[s.ID] = 5
		}
		b.setWantedServers(0, 1)
		b.run(6 * time.Second)
		if b.servers("a") != 2 {
			t.Errorf("servers stopped before their agents were idle: got %d, want 2", b.servers("a"))
		}
		b.run(20 * time.Second)
		b.check(0, 1)
	})
}

func TestStopNeedsTwoIdleRoundsOfOneIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t, platform.Config{})
		b.elect(0)
		b.setWantedServers(1, 0)
		b.run(10 * time.Second)
		b.setWantedServers(0, 0)
		for i := range 10 { // an agent that restarts before each round may have accepted requests in between
			b.incarnation = string(rune('a' + i))
			b.run(2 * time.Second)
		}
		if n := b.servers("a"); n != 1 {
			t.Errorf("%d servers left while the agent keeps restarting, want 1", n)
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
		name    string
		respond func(n int) (*linkpb.EngineOrderResult, error)
		status  duty.Status
		sent    int
	}{
		{"accepted", nil, duty.Done, 1},
		{"responses lost", unknown, duty.Done, 3},
		{"outcome unknown at the agent", func(n int) (*linkpb.EngineOrderResult, error) {
			if n < 3 {
				return &linkpb.EngineOrderResult{Error: "engine did not answer"}, nil
			}
			return nil, nil
		}, duty.Done, 3},
		{"agent has no fencing token yet", func(n int) (*linkpb.EngineOrderResult, error) {
			if n < 3 {
				return &linkpb.EngineOrderResult{Stale: true, Error: "no fencing token yet"}, nil
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
				b := newFixture(t, platform.Config{})
				b.agents.respond = tt.respond
				b.elect(0)
				b.setWantedServers(1, 0)
				b.run(10 * time.Second)
				leader := b.group.members[0]
				server := b.standin.Servers()[0].ID
				fencing, _ := leader.duty.FencingToken()
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
					t.Errorf("got order %+v after %d sends, want order load-1 with the status and the number of sends of the case", orders[0], len(b.agents.orders))
				}
				for _, o := range b.agents.orders {
					if o.OrderId != "load-1" || o.Fencing != fencing {
						t.Errorf("got engine order %+v, want order id load-1 and the fencing token of the leader", o)
					}
				}
			})
		})
	}
}

func TestPausedFleetSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t, platform.Config{})
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
			t.Errorf("%d servers ordered while paused, want none", n)
		}
		if status := leader.operator.FleetStatus(); len(status.Plans) != 1 || status.Plans[0].Total() != 2 {
			t.Errorf("plans while paused: got %+v, want one plan for 2 servers", status.Plans)
		}
	})
}

// TestScaleUpOnSlowFirstToken checks that servers are added if the agents expect a time to first token above the target.
func TestScaleUpOnSlowFirstToken(t *testing.T) {
	for _, tt := range []struct {
		firstToken time.Duration
		more       bool
	}{{400 * time.Millisecond, false}, {800 * time.Millisecond, true}} {
		synctest.Test(t, func(t *testing.T) {
			b := newFixture(t, platform.Config{})
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
				t.Errorf("got %d servers for a time to first token of %v, want more than 2 only if it exceeds the target of 500 ms", n, tt.firstToken)
			}
		})
	}
}

// TestUnusableZoneIsAvoided checks that all four wanted servers start in the other zone if one of two zones is unusable.
func TestUnusableZoneIsAvoided(t *testing.T) {
	tests := []struct {
		name  string
		avoid func(*fixture)
	}{
		{"without supply", func(b *fixture) { b.standin.SetSupply("a", false) }},
		{"price above the ceiling", func(b *fixture) {
			for _, m := range b.group.members {
				m.operator.cfg.ZoneCeiling = func(zone string) (float64, bool) { return 1, zone == "a" }
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(t, platform.Config{})
				tt.avoid(b)
				b.elect(0)
				settings := pausedSettings()
				settings.Paused = false
				settings.Pools[0].Manual = nil
				settings.Broadcasts = broadcastNow(4)
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
		b := newFixture(t, platform.Config{})
		for _, m := range b.group.members {
			m.operator.cfg.WindowLength, m.operator.cfg.WindowGrace = 2*time.Second, 4*time.Second
		}
		b.elect(0)
		b.run(30 * time.Second)
		if _, windows := b.reported(); windows < 10 {
			t.Errorf("%d windows reported in 30 s, want at least 10", windows)
		}
	})
}

// TestUsageIsCommittedDuringTakeover crashes a leader during its takeover, together with the entry. Usage that was
// reported to that leader must still be billed.
func TestUsageIsCommittedDuringTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t, platform.Config{})
		const record = 500 * time.Millisecond
		for _, m := range b.group.members {
			m.operator.cfg.Timing.HolderSpacing, m.operator.cfg.RecordInterval = 10*time.Second, record
		}
		b.elect(0)
		b.run(15 * time.Second)
		b.crash(0)
		b.elect(1)
		b.run(5 * time.Second) // within the takeover
		b.entry.reportsLost = true
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

// TestWindowsOpenDuringTakeover checks that windows that follow the time of day open during a takeover, because
// processes can't report usage for a window that isn't open.
func TestWindowsOpenDuringTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const window = 2 * time.Second
		b := newFixture(t, platform.Config{})
		for _, m := range b.group.members {
			c := &m.operator.cfg
			c.ClockWindows, c.WindowLength, c.WindowGrace, c.RecordInterval, c.Timing.HolderSpacing = true, window, window, window/4, 10*window
		}
		b.elect(0)
		b.run(11 * window)
		b.crash(0)
		b.elect(1)
		b.run(4 * window)
		current := uint64(clock.Wall().UnixNano()) / uint64(window)
		if open := b.group.members[1].operator.Usage().OpenWindow(); open+1 < current {
			t.Errorf("window %d is open during the takeover, want at most one behind the current window %d", open, current)
		}
	})
}

// TestRestoredGroupSkipsReportedWindows starts from an empty log, like a restore from an old backup, while the platform
// already holds figures of the first windows.
func TestRestoredGroupSkipsReportedWindows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t, platform.Config{})
		client, err := platformclient.NewClient(platformclient.Config{URL: "http://platform.test", Transport: b.faults})
		if err != nil {
			t.Fatal(err)
		}
		for window := range uint64(2) {
			r := platformclient.UsageReport{Sender: platformclient.Sender{Holder: "old", Fencing: 40}, Window: window + 1, Body: []byte(`{"window":0}`)}
			if err := client.ReportUsage(t.Context(), r); err != nil {
				t.Fatal(err)
			}
		}
		b.elect(0)
		b.setWantedServers(1, 0)
		b.run(settleTime)
		b.check(1, 0)
		windows, err := b.group.members[0].operator.Windows(100)
		if err != nil {
			t.Fatal(err)
		}
		for i, w := range windows[len(windows)-3:] {
			want := []string{"reported", "skipped", "skipped"}[i]
			if w.Status != want || w.Status != "reported" && w.Difference != (billing.Figures{}) {
				t.Errorf("window %d is %s with difference %+v, want %s", w.Window, w.Status, w.Difference, want)
			}
		}
	})
}

func TestRateLimitKeepsOrderID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t, platform.Config{})
		b.standin.SetRateLimited(true)
		b.elect(0)
		b.setWantedServers(1, 0)
		b.run(30 * time.Second)
		b.standin.SetRateLimited(false)
		b.run(10 * time.Second)
		ids := make(map[string]bool)
		for _, e := range b.standin.Record().Events {
			if e.Kind == platform.EventOrder {
				ids[e.OrderID] = true
			}
		}
		if len(ids) != 1 {
			t.Errorf("%d order ids for one server, want 1", len(ids))
		}
		b.check(1, 0)
	})
}

// pausingGroup suspends the caller for a time during each check of the lease.
type pausingGroup struct {
	Group
	lease duty.Lease
	pause time.Duration
}

func (g *pausingGroup) Lease() (duty.Lease, bool) {
	time.Sleep(g.pause)
	return g.lease, true
}

// TestTimingCoversReplicaLease checks that the default timing assumes at least the lease duration and the clock drift of
// the control group.
func TestTimingCoversReplicaLease(t *testing.T) {
	timing := duty.DefaultTiming()
	if timing.Lease < replica.DefaultLeaseDuration || timing.Drift < replica.DefaultMaxClockDrift {
		t.Errorf("got timing %+v, want a lease of at least %v and a drift of at least %v", timing, replica.DefaultLeaseDuration, replica.DefaultMaxClockDrift)
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
		{"full lease remaining", timing.Lease, 0, 1, true},
		{"less remaining than the longest call", timing.MaxCallDuration / 2, 0, 1, true},
		{"less remaining than the shortest call", timing.MinCallDuration - 1, 0, 1, false},
		{"expired", -time.Second, 0, 1, false},
		{"paused beyond the lease after its check", timing.Lease, time.Minute, 1, false},
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
					if !ok || deadline.After(expires) || time.Until(deadline) > timing.MaxCallDuration {
						t.Errorf("deadline in %v, want within the longest call and the lease of %v", time.Until(deadline), time.Until(expires))
					}
					return nil
				})
				if called != tt.called || (err == nil) != tt.called {
					t.Errorf("got called %v, error %v; want called %v", called, err, tt.called)
				}
			})
		})
	}
}
