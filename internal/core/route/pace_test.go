package route

import (
	"cmp"
	"fmt"
	"math"
	"testing"
	"time"
)

const testSlice = 250 * time.Millisecond

// newPaceTable returns a table of n ready services without lanes.
func newPaceTable(n int) *Table {
	return newTable(n, func(_ int, b *Backend) { b.Kind, b.Incarnation, b.Slots = KindService, "1", 64 })
}

// observePaces records intervals between events for some time, of the mean length that f returns for each server; 0: no stream. The longest
// interval is four times as long.
func observePaces(table *Table, from time.Time, d time.Duration, f func(i int, now time.Time) time.Duration) time.Time {
	now := from
	for ; now.Sub(from) < d; now = now.Add(testSlice) {
		var observed []ServerIntervals
		for i := range len(table.servers) {
			if mean := f(i, now); mean > 0 {
				observed = append(observed, ServerIntervals{
					ID: fmt.Sprintf("s%03d", i), Incarnation: "1", Intervals: Intervals{Short: mean, Longest: 4 * mean},
				})
			}
		}
		table.RecordIntervals(now, observed)
	}
	return now
}

// halfSpeed returns the mean intervals of servers of which the given ones work at half speed.
func halfSpeed(slow ...int) func(int, time.Time) time.Duration {
	return func(i int, _ time.Time) time.Duration {
		for _, s := range slow {
			if s == i {
				return 10 * time.Millisecond
			}
		}
		return 5 * time.Millisecond
	}
}

func weights(table *Table, now time.Time) []float64 {
	out := make([]float64, len(table.servers))
	for i := range out {
		out[i] = table.servers[fmt.Sprintf("s%03d", i)].loadWeight(now)
	}
	return out
}

func isAbout(got, want float64) bool { return math.Abs(got-want) <= 0.1*want }

// TestStatedPaceExpires guards against a statement that counts although the neighbours of the server have changed since, and one that
// outlives a newer answer without it.
func TestStatedPaceExpires(t *testing.T) {
	table := newPaceTable(6)
	state := func(slowdown float64) {
		table.RecordLoad(epoch, "s000", Load{Slots: 64, Running: 1, Slowdown: slowdown})
	}
	s := table.servers["s000"]
	for _, tt := range []struct {
		stated float64
		after  time.Duration
		want   float64
	}{
		{0, 0, 1},
		{2, 0, 2},
		{2, 500 * time.Millisecond, 1.5},
		{2, time.Second, 1},
		{2, time.Hour, 1},
		{1, 0, 1},
		{0.1, 0, 1},
		{100, 0, maxWeight},
		{1e300, 0, maxWeight},
		{math.Inf(1), 0, maxWeight},
		{math.NaN(), 0, 1},
		{-3, 0, 1},
	} {
		state(tt.stated)
		if got := s.loadWeight(epoch.Add(tt.after)); !isAbout(got, tt.want) {
			t.Errorf("stated %v, %v later: got weight %v, want %v", tt.stated, tt.after, got, tt.want)
		}
	}
	state(3)
	state(0)
	if got := s.loadWeight(epoch); got != 1 {
		t.Errorf("got weight %v after an answer without a statement, want 1", got)
	}
	state(3)
	if got := s.loadWeight(epoch.Add(-time.Minute)); !isAbout(got, 3) {
		t.Errorf("got weight %v by a clock that went back, want 3", got)
	}
}

// TestEquallySlowServersCountAsUsual guards against changes of the placement while all servers are slow alike.
func TestEquallySlowServersCountAsUsual(t *testing.T) {
	table := newPaceTable(6)
	now := observePaces(table, epoch, 30*time.Second, func(int, time.Time) time.Duration { return 50 * time.Millisecond })
	for i := range 6 {
		table.RecordLoad(now, fmt.Sprintf("s%03d", i), Load{Slots: 64, Slowdown: 3})
	}
	table.RecordIntervals(now, nil)
	for i, w := range weights(table, now) {
		if w != 1 {
			t.Errorf("server %d has weight %v, want 1", i, w)
		}
	}
}

// TestObservedHalfSpeedDoublesTheLoad covers a server that states nothing and works at half the speed of its peers: while it is observed,
// and for a while longer by its lasting pace.
func TestObservedHalfSpeedDoublesTheLoad(t *testing.T) {
	table := newPaceTable(6)
	now := observePaces(table, epoch, 4*time.Second, halfSpeed(2))
	if w := weights(table, now); !isAbout(w[2], 2) || w[0] != 1 {
		t.Errorf("got weights %v after 4 s, want 2 of server 2 and 1 of the others", w)
	}
	now = observePaces(table, now, 20*time.Second, halfSpeed(2))
	now = now.Add(3 * time.Second)
	if w := weights(table, now); !isAbout(w[2], 2) || w[0] != 1 {
		t.Errorf("got weights %v by the lasting pace, want 2 of server 2 and 1 of the others", w)
	}
	table.RecordLoad(now, "s002", Load{Slots: 64, Slowdown: 1})
	if w := weights(table, now); w[2] != 1 {
		t.Errorf("got weights %v after server 2 stated its usual pace, want 1", w)
	}
}

// TestNewIncarnationStartsWithoutPace guards against a restarted server that is judged by what was seen before, also by observations that
// arrive late.
func TestNewIncarnationStartsWithoutPace(t *testing.T) {
	table := newPaceTable(6)
	now := observePaces(table, epoch, 20*time.Second, halfSpeed(2))
	b := table.servers["s002"].Backend
	b.Incarnation = "2"
	table.Upsert(now, b)
	observePaces(table, now, 10*time.Second, halfSpeed(2)) // of the former incarnation
	if w := weights(table, now); w[2] != 1 {
		t.Errorf("got weights %v, want 1 of the restarted server", w)
	}
}

// TestPaceNeedsPeers checks that servers without enough known peers are not compared, since there is no telling which one is slow.
func TestPaceNeedsPeers(t *testing.T) {
	table := newPaceTable(6)
	now := observePaces(table, epoch, 20*time.Second, func(i int, now time.Time) time.Duration {
		if i > 1 {
			return 0
		}
		return halfSpeed(1)(i, now)
	})
	if w := weights(table, now); w[0] != 1 || w[1] != 1 {
		t.Errorf("got weights %v of two known servers, want 1", w)
	}
}

// TestGapTargets checks at which servers a target for the gap is not expected to hold.
func TestGapTargets(t *testing.T) {
	const target = 30 * time.Millisecond
	for _, tt := range []struct {
		name   string
		length time.Duration                            // of the observation; 0: 4 s
		means  func(i int, now time.Time) time.Duration // the longest interval is four times as long
		state  float64                                  // by server 2 at the end; 0: nothing
		want   bool                                     // server 2 misses the target
	}{
		{name: "half speed", means: halfSpeed(2), want: true},
		{name: "usual speed", means: halfSpeed()},
		{name: "all at half speed", means: halfSpeed(0, 1, 2, 3, 4, 5)},
		{name: "most at half speed", means: halfSpeed(1, 2, 3, 4, 5)},
		{name: "states half speed", means: halfSpeed(), state: 2, want: true},
		{name: "states a little less speed", means: halfSpeed(), state: 1.2},
		{name: "one pause", means: func(i int, now time.Time) time.Duration {
			if i == 2 && now.Equal(epoch.Add(3*time.Second)) {
				return time.Second
			}
			return 5 * time.Millisecond
		}},
		{name: "neighbours since half a second", means: func(i int, now time.Time) time.Duration {
			if i == 2 && now.Sub(epoch) >= 3500*time.Millisecond {
				return 20 * time.Millisecond
			}
			return 5 * time.Millisecond
		}, want: true},
		{name: "neighbours until a minute ago", length: time.Minute, means: func(i int, now time.Time) time.Duration {
			if i == 2 && now.Sub(epoch) < time.Second {
				return 20 * time.Millisecond
			}
			return 5 * time.Millisecond
		}},
		{name: "neighbours in a second of every ten", length: time.Minute, means: func(i int, now time.Time) time.Duration {
			if i == 2 && now.Sub(epoch)%(10*time.Second) < time.Second {
				return 20 * time.Millisecond
			}
			return 5 * time.Millisecond
		}, want: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			table := newPaceTable(6)
			now := observePaces(table, epoch, cmp.Or(tt.length, 4*time.Second), tt.means)
			if tt.state > 0 {
				table.RecordLoad(now, "s002", Load{Slots: 64, Slowdown: tt.state})
			}
			if got := table.servers["s002"].missesGap(now, target); got != tt.want {
				t.Errorf("misses the target: %v, want %v", got, tt.want)
			}
			if table.servers["s000"].missesGap(now, target) && !tt.want {
				t.Error("server 0 misses the target, want it to hold")
			}
			if table.servers["s002"].missesGap(now, 0) {
				t.Error("a stream without a target misses it")
			}
		})
	}
}

// lastingOf returns the lasting paces of the bad moments by server.
func lastingOf(table *Table, now time.Time) []float64 {
	out := make([]float64, len(table.servers))
	for _, g := range table.groups {
		g.lastingPaces(now, badQuantile, func(s *server, pace float64) {
			var i int
			_, _ = fmt.Sscanf(s.ID, "s%03d", &i)
			out[i] = withoutNoise(pace)
		})
	}
	return out
}

// TestNeighboursNowAndThenShowInTheLastingPace guards against judging a server by its mean pace: neighbours that slow it for a second in every
// five spoil the streams of that second, but the mean hardly shows them.
func TestNeighboursNowAndThenShowInTheLastingPace(t *testing.T) {
	for _, tt := range []struct {
		period time.Duration
		isSlow bool
	}{{5 * time.Second, true}, {40 * time.Second, false}} {
		table := newPaceTable(6)
		now := observePaces(table, epoch, time.Minute, func(i int, now time.Time) time.Duration {
			if i == 2 && now.Sub(epoch)%tt.period < time.Second {
				return 15 * time.Millisecond
			}
			return 5 * time.Millisecond
		})
		got := lastingOf(table, now)
		if (got[2] > 2) != tt.isSlow || got[0] != 1 {
			t.Errorf("a second in every %v: got paces %v, want above 2 of server 2: %v", tt.period, got, tt.isSlow)
		}
	}
}

// TestContradictoryPaces covers servers whose statements don't fit what is observed.
func TestContradictoryPaces(t *testing.T) {
	for _, tt := range []struct {
		name             string
		stated, observed float64
		isSlow           bool
	}{
		{"both slow", 2, 2, true},
		{"states an absurd pace", 1e9, 1, false},
		{"states the usual pace", 1, 3, false},
		{"only observed", 0, 2, true},
		{"only stated", 2, 0, true},
		{"states to be faster than usual", 0.001, 2, false},
	} {
		table := newPaceTable(6)
		now := epoch
		for range 60 {
			for i := range 6 {
				if tt.stated > 0 {
					stated := 1.0
					if i == 2 {
						stated = tt.stated
					}
					table.RecordLoad(now, fmt.Sprintf("s%03d", i), Load{Slots: 64, Slowdown: stated})
				}
			}
			now = observePaces(table, now, time.Second, func(i int, _ time.Time) time.Duration {
				if i == 2 {
					return time.Duration(tt.observed * float64(5*time.Millisecond))
				}
				return 5 * time.Millisecond
			})
		}
		got := lastingOf(table, now)
		if (got[2] > 1.5) != tt.isSlow || got[0] != 1 {
			t.Errorf("%s: got paces %v, want above 1.5 of server 2: %v", tt.name, got, tt.isSlow)
		}
	}
}

// TestPlainServicesUseTheStatedPace guards against requests without a gap target that go to a slow server as often as to the others, also
// while all are idle.
func TestPlainServicesUseTheStatedPace(t *testing.T) {
	for _, running := range []int{0, 3} {
		table := newPaceTable(4)
		for i := range 4 {
			l := Load{Slots: 6, Running: running, Slowdown: 1}
			if i == 2 {
				l.Slowdown = 2
			}
			table.RecordLoad(epoch, fmt.Sprintf("s%03d", i), l)
		}
		got := chosenServers(t, NewRouter(table, RouterConfig{Policy: PolicySessionLanes}), Request{Kind: KindService, Model: "m"}, 400)
		if got["s002"] > 20 {
			t.Errorf("%d running: got choices %v, want the slow server at most 20 times", running, got)
		}
		got = chosenServers(t, NewRouter(table, RouterConfig{Policy: PolicySessionLanes}), Request{Kind: KindService, Model: "m", Exclude: []string{"s000", "s001", "s003"}}, 10)
		if got["s002"] != 10 {
			t.Errorf("got choices %v, want the slow server if it is the only one", got)
		}
	}
}
