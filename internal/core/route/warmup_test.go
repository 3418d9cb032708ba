package route

import (
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/limit"
)

// coldTable returns a table with ready servers of one service whose cold servers take 15 requests in a second from this process alone.
func coldTable(ids ...string) (*Table, map[string]*Router) {
	t, routers := noticeTable(ids...)
	t.SetColdStart(KindService, "app", ColdStart{Length: 20 * time.Second, PerSecond: 15})
	t.SetTurns(limit.Turns{Count: 1}, 0)
	return t, routers
}

// TestStatementsOfOneServerAboutItself guards against a server that counts as warm by a statement that is older than the one that it is
// cold: reports and answers may arrive late and in any order.
func TestStatementsOfOneServerAboutItself(t *testing.T) {
	at := func(ms int) time.Time { return noticeStart.Add(time.Duration(ms) * time.Millisecond) }
	table, _ := coldTable("s")
	report := func(sequence uint64, ms int) func(now time.Time) {
		return func(now time.Time) { table.RecordReport(now, "s", sequence, time.Duration(ms)*time.Millisecond) }
	}
	answer := func(sentAt, ms int) func(now time.Time) {
		return func(now time.Time) {
			table.RecordColdAnswer(now, "s", "1", at(sentAt), time.Duration(ms)*time.Millisecond)
		}
	}
	const margin = 250
	steps := []struct {
		name  string
		at    int
		do    func(now time.Time)
		cause ColdCause
		left  int
	}{
		{"states nothing", 0, report(1, 0), NotCold, 0},
		{"a report that it is cold", 1000, report(2, 8000), ColdByReport, 8000 + margin},
		{"an older report that it is warm", 1100, report(1, 0), ColdByReport, 7900 + margin},
		{"an older report that it is cold for longer", 1200, report(1, 9000), ColdByReport, 9000 + margin},
		{"a newer report that it is cold for less", 2000, report(3, 5000), ColdByReport, 5000 + margin},
		{"a newer report that it is warm", 3000, report(4, 0), NotCold, 0},
		{"an answer that it is cold again", 4000, answer(3900, 10_000), ColdByAnswer, 10_000},
		{"a report that was probably sent before the answer", 5000, report(5, 0), ColdByAnswer, 9000},
		{"an answer that overtook the one before", 5100, answer(3950, 0), ColdByAnswer, 8900},
		{"a later answer that it is warm", 5200, answer(4050, 0), NotCold, 0},
		{"a report that it is cold", 6000, report(6, 10_000), ColdByReport, 10_000 + margin},
		{"an answer sent before that report arrived", 6100, answer(5990, 0), ColdByReport, 9900 + margin},
		{"an answer sent after", 6200, answer(6010, 0), NotCold, 0},
		{"more than an hour", 7000, report(7, 7_200_000), ColdByReport, 3_600_000},
		{"an answer of another incarnation", 8000, func(now time.Time) { table.RecordColdAnswer(now, "s", "0", now, 0) }, ColdByReport, 3_599_000},
		{"another incarnation", 9000, func(now time.Time) { table.Upsert(now, noticeServer("s", "2")) }, NotCold, 0},
	}
	for _, s := range steps {
		s.do(at(s.at))
		got := table.States(at(s.at))[0].Cold
		if got.Cause != s.cause || got.Left != time.Duration(s.left)*time.Millisecond {
			t.Errorf("%s: cold by %q for %v, want by %q for %d ms", s.name, got.Cause, got.Left, s.cause, s.left)
		}
		if limited := got.PerSecond > 0; limited != (s.cause != NotCold) {
			t.Errorf("%s: limit %v", s.name, got.PerSecond)
		}
	}
}

// TestServerThatWasUnreachableCountsAsCold guards against gateways that send their full work to a server that returns cold from an outage
// before the report of it reaches them.
func TestServerThatWasUnreachableCountsAsCold(t *testing.T) {
	after := func(d time.Duration) time.Time { return noticeStart.Add(d) }
	const second = time.Second
	fail := func(table *Table, id string) {
		table.RecordEnd(noticeStart, id, "1", Outcome{Result: Unreachable})
	}
	answered := func(table *Table, d time.Duration) {
		table.RecordFirstData(after(d), "a", after(d-10*time.Millisecond))
	}
	cases := []struct {
		name string
		do   func(table *Table)
		cold map[time.Duration]bool // whether a is, by time after the failure
	}{
		{"not reached since", func(table *Table) { fail(table, "a") }, map[time.Duration]bool{10 * time.Minute: true}},
		{"answers, and the gateway is cut off: a cold start", func(table *Table) {
			fail(table, "a")
			answered(table, 5*second)
		}, map[time.Duration]bool{24 * second: true, 25 * second: false}},
		{"answers, and no report came", func(table *Table) {
			fail(table, "a")
			answered(table, 5*second)
			table.RecordConfirmed(after(6900*time.Millisecond), after(6900*time.Millisecond))
		}, map[time.Duration]bool{7 * second: true}},
		{"answers, and no report came for long enough", func(table *Table) {
			fail(table, "a")
			answered(table, 5*second)
			table.RecordConfirmed(after(7*second), after(7*second))
		}, map[time.Duration]bool{7 * second: false}},
		{"an answer says that it is warm", func(table *Table) {
			fail(table, "a")
			table.RecordColdAnswer(after(second), "a", "1", after(second), 0)
		}, map[time.Duration]bool{second: false}},
		{"an answer to a request sent before", func(table *Table) {
			fail(table, "a")
			table.RecordColdAnswer(after(second), "a", "1", after(-second), 0)
		}, map[time.Duration]bool{second: true}},
		{"a report that may be older", func(table *Table) {
			fail(table, "a")
			table.RecordReport(after(second), "a", 2, 0)
		}, map[time.Duration]bool{second: true}},
		{"a report that is newer", func(table *Table) {
			fail(table, "a")
			table.RecordReport(after(3*second), "a", 2, 0)
		}, map[time.Duration]bool{3 * second: false}},
		{"one other server of the zone", func(table *Table) { fail(table, "b") }, map[time.Duration]bool{0: false}},
		{"two other servers of the zone", func(table *Table) {
			fail(table, "b")
			fail(table, "c")
		}, map[time.Duration]bool{0: true}},
		{"two servers of which one is in another zone", func(table *Table) {
			fail(table, "b")
			fail(table, "d")
		}, map[time.Duration]bool{0: false}},
		{"a service without a cold rate", func(table *Table) {
			table.SetColdStart(KindService, "app", ColdStart{Length: 20 * second})
			fail(table, "a")
		}, map[time.Duration]bool{0: false}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table, _ := coldTable()
			for id, zone := range map[string]string{"a": "z", "b": "z", "c": "z", "d": "y"} {
				server := noticeServer(id, "1")
				server.Zone = zone
				table.Upsert(noticeStart, server)
				table.RecordReport(noticeStart.Add(-time.Minute), id, 1, 0)
			}
			c.do(table)
			for d, want := range c.cold {
				if got := table.servers["a"].isCold(after(d)); got != want {
					t.Errorf("after %v: cold %v, want %v", d, got, want)
				}
			}
		})
	}
}

// TestLowerLimitOfColdServerApplies checks that a limit that the server states and that of a cold server are one mechanism.
func TestLowerLimitOfColdServerApplies(t *testing.T) {
	for _, c := range []struct{ stated, cold, want float64 }{
		{0, 15, 15}, {4, 15, 4}, {40, 15, 15}, {4, 0, 4}, {0, 0, 0},
	} {
		table, _ := coldTable("s")
		table.SetColdStart(KindService, "app", ColdStart{PerSecond: c.cold})
		table.RecordReport(noticeStart, "s", 1, 10*time.Second)
		table.RecordRateLimit(noticeStart, "s", noticeStart, c.stated)
		if got := table.servers["s"].rateLimit(noticeStart); got != c.want {
			t.Errorf("stated %v, cold %v: limit %v, want %v", c.stated, c.cold, got, c.want)
		}
	}
}

// TestColdBoundHoldsForEveryRate checks that the turns of a cold server stay within its bound for any configured values.
func TestColdBoundHoldsForEveryRate(t *testing.T) {
	for _, perSecond := range []float64{0.1, 1, 15, 100, 2000} {
		for _, overrun := range []float64{0, 1, 1.2, 1.5, 3} {
			for _, slack := range []float64{0, 5, 20} {
				c := ColdStart{PerSecond: perSecond, Overrun: overrun, Slack: slack}
				r := c.rule()
				if overrun == 0 {
					overrun = DefaultColdOverrun
				}
				if slack == 0 {
					slack = DefaultColdSlack
				}
				most := r.rate*(1+r.turnTime.Seconds()) + turnExcess + coldReserve
				if most > perSecond*overrun+slack || r.rate > perSecond || r.rate <= 0 {
					t.Errorf("%+v: rate %v, turns usable for %v: up to %.1f requests in one second", c, r.rate, r.turnTime, most)
				}
			}
		}
	}
}

// TestRefusalWhileAllServersAreCold checks that a request without a turn is refused with the time until one, that callers who are refused
// together are offered different turns, and that nobody is told to wait beyond the end of the cold time.
func TestRefusalWhileAllServersAreCold(t *testing.T) {
	for _, policy := range []string{"two choices", "session lanes", "round robin", "least outstanding"} {
		table, routers := coldTable("a", "b")
		table.SetTurns(limit.Turns{Position: 1, Count: 8}, 0)
		for _, id := range []string{"a", "b"} {
			table.RecordReport(noticeStart, id, 1, 10*time.Second)
		}
		router, req := routers[policy], Request{Kind: KindService, Model: "app"}
		served := 0
		var lefts []time.Duration
		for i := range uint64(6) {
			_, err := router.Choose(noticeStart, req, i)
			var cold *ColdError
			switch {
			case err == nil:
				served++
			case errors.As(err, &cold) && errors.Is(err, ErrNoCandidate):
				lefts = append(lefts, cold.Left)
			default:
				t.Fatalf("%s: error %v, want a ColdError", policy, err)
			}
		}
		if served > 2 || len(lefts) < 4 {
			t.Fatalf("%s: %d requests were sent at once to two servers, want one each at most", policy, served)
		}
		if !isAscending(lefts) || lefts[0] <= 0 || lefts[len(lefts)-1] > maxColdWait {
			t.Errorf("%s: times until a turn %v, want ascending ones up to %v", policy, lefts, maxColdWait)
		}
		if _, err := router.Choose(noticeStart.Add(lefts[0]), req, 1); err != nil {
			t.Errorf("%s: no turn after %v: %v", policy, lefts[0], err)
		}
		nearEnd := noticeStart.Add(10*time.Second + coldMargin - 100*time.Millisecond)
		for i := range uint64(20) {
			var cold *ColdError
			if _, err := router.Choose(nearEnd, req, i); errors.As(err, &cold) && cold.Left > time.Second {
				t.Errorf("%s: %v to wait although a server is warm in 100 ms", policy, cold.Left)
			}
		}
	}
}

func isAscending(times []time.Duration) bool {
	for i := range times[1:] {
		if times[i+1] <= times[i] {
			return false
		}
	}
	return true
}

// TestColdServersAreNoSourcesAndKeepNoBackups checks that requests beside the sends of this process go to no cold server either.
func TestColdServersAreNoSourcesAndKeepNoBackups(t *testing.T) {
	table, routers := coldTable("a", "b")
	router, req := routers["session lanes"], Request{Kind: KindService, Model: "app", Prefix: []uint64{1, 2}, Session: 1}
	table.RecordCached(noticeStart, "b", req.Prefix)
	check := func(want bool) {
		t.Helper()
		if _, ok := router.FetchSource(noticeStart, req, "a"); ok != want {
			t.Errorf("prefixes are fetched from b: %v, want %v", ok, want)
		}
		if _, ok := router.BackupServer(noticeStart, req, "a", 1); ok != want {
			t.Errorf("b keeps backups: %v, want %v", ok, want)
		}
	}
	check(true)
	table.RecordReport(noticeStart, "b", 1, time.Second)
	check(false)
	now := noticeStart.Add(time.Millisecond)
	if !table.TakeColdTurn(noticeStart, "b") || table.TakeColdTurn(now, "b") || !table.TakeColdTurn(now, "a") || table.TakeColdTurn(now, "c") {
		t.Error("a run may go on at a warm server, and at a cold one in a turn")
	}
}

// TestDoubtAfterDrain checks the rule for servers whose zone's drain ended.
func TestDoubtAfterDrain(t *testing.T) {
	ended := noticeStart
	const length = 20 * time.Second
	cases := []struct {
		name            string
		ended, reportAt time.Time
		want            time.Time
	}{
		{"no drain", time.Time{}, ended, time.Time{}},
		{"no report", ended, time.Time{}, ended.Add(length)},
		{"a report before the end", ended, ended, ended.Add(length)},
		{"a report after the end", ended, ended.Add(1), time.Time{}},
	}
	for _, c := range cases {
		if got := coldAfterDrainUntil(c.ended, c.reportAt, length); !got.Equal(c.want) {
			t.Errorf("%s: cold until %v, want %v", c.name, got, c.want)
		}
	}
}

// TestIsColdChange checks which reports are passed on at once.
func TestIsColdChange(t *testing.T) {
	now := noticeStart
	in := func(s float64) time.Time { return now.Add(time.Duration(s * float64(time.Second))) }
	cases := []struct {
		name         string
		known, until time.Time
		want         bool
	}{
		{"warm", time.Time{}, time.Time{}, false},
		{"turns cold", time.Time{}, in(10), true},
		{"turns warm", in(10), time.Time{}, true},
		{"is still cold", in(10), in(10.1), false},
		{"has elapsed", in(-1), time.Time{}, false},
		{"cold for longer", in(10), in(20), true},
		{"cold for less", in(10), in(5), true},
		{"cold again", in(-1), in(5), true},
	}
	for _, c := range cases {
		if got := IsColdChange(now, c.known, c.until); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// BenchmarkSessionLanes256Warming is BenchmarkSessionLanes256 with a third of the servers warming up, in a service with a cold rate.
func BenchmarkSessionLanes256Warming(b *testing.B) {
	table := newLoadedTable(256, 4)
	table.SetColdStart(KindEngine, "m", ColdStart{Length: 20 * time.Second, PerSecond: 15})
	i := uint64(0)
	for id := range table.servers {
		table.BeginWait(epoch, id, activity(epoch))
		table.RecordReport(epoch, id, 1, time.Duration(i%3/2)*10*time.Second)
		i++
	}
	r := NewRouter(table, RouterConfig{Policy: PolicySessionLanes})
	table.SetLanePlan(KindEngine, "m", twoLanes)
	req := Request{Kind: KindEngine, Model: "m", GapTarget: summaryGap, FirstTokenTarget: time.Second}
	b.ReportAllocs()
	for i := range b.N {
		req.Session = uint64(i%2) * uint64(i)
		if _, err := r.Choose(epoch, req, uint64(i)); err != nil {
			b.Fatal(err)
		}
	}
}
