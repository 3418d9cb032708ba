package member_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/guavastack/guavastack/internal/core/member"
	"github.com/guavastack/guavastack/internal/core/settings"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "5", "rapid.checks": "200", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const ttl = 4 * time.Second

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func report(incarnation string, startedMS int64, sequence uint64, l member.Lifecycle) member.Report[string] {
	return member.Report[string]{ID: "b", Incarnation: incarnation, StartedMS: startedMS, Sequence: sequence, Lifecycle: l}
}

// TestRegisteredLifecycle applies a sequence of reports and checks the registered state of the backend server.
func TestRegisteredLifecycle(t *testing.T) {
	type step struct {
		ms     int
		report member.Report[string]
	}
	tests := []struct {
		name        string
		steps       []step
		now         int
		want        member.Lifecycle // empty: deleted
		incarnation string
	}{
		{"ready", []step{{0, report("1", 1, 1, member.Ready)}}, 0, member.Ready, "1"},
		{"older report arrives late", []step{{0, report("1", 1, 2, member.Leaving)}, {1, report("1", 1, 1, member.Ready)}}, 1, member.Leaving, "1"},
		{"leaving isn't reverted", []step{{0, report("1", 1, 1, member.Leaving)}, {1, report("1", 1, 2, member.Ready)}}, 1, member.Leaving, "1"},
		{"gone isn't reverted", []step{{0, report("1", 1, 1, member.Gone)}, {1, report("1", 1, 2, member.Leaving)}}, 1, member.Gone, "1"},
		{"joining again while a model loads", []step{{0, report("1", 1, 1, member.Ready)}, {1, report("1", 1, 2, member.Joining)}}, 1, member.Joining, "1"},
		{"new incarnation", []step{{0, report("1", 1, 9, member.Leaving)}, {1, report("2", 2, 1, member.Ready)}}, 1, member.Ready, "2"},
		{"old incarnation arrives late", []step{{0, report("2", 2, 1, member.Ready)}, {1, report("1", 1, 9, member.Leaving)}}, 1, member.Ready, "2"},
		{"just before the time to live", []step{{0, report("1", 1, 1, member.Ready)}}, 3999, member.Ready, "1"},
		{"silent", []step{{0, report("1", 1, 1, member.Ready)}}, 4000, member.Gone, "1"},
		{"reports again after a silence", []step{{0, report("1", 1, 1, member.Ready)}, {5000, report("1", 1, 2, member.Ready)}}, 5000, member.Ready, "1"},
		{"leaving, silent, reports again", []step{{0, report("1", 1, 1, member.Leaving)}, {5000, report("1", 1, 2, member.Ready)}}, 5000, member.Leaving, "1"},
		{"deleted", []step{{0, report("1", 1, 1, member.Ready)}}, 16000, "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := member.NewRegistry[string](ttl, start)
			for _, s := range tt.steps {
				r.Expire(at(s.ms))
				r.Put(s.report, at(s.ms), true, false)
			}
			r.Expire(at(tt.now))
			reg, ok := r.Get("b")
			if ok != (tt.want != "") || reg.Report.Lifecycle != tt.want || reg.Report.Incarnation != tt.incarnation {
				t.Errorf("got %+v, want the lifecycle and incarnation of the case", reg.Report)
			}
		})
	}
}

func TestRenewalRequiresKnownIncarnation(t *testing.T) {
	r := member.NewRegistry[string](ttl, start)
	if r.Renew(member.Renewal{ID: "b", Incarnation: "1", Sequence: 2, Lifecycle: member.Ready}, at(0)) {
		t.Error("renewed a server that isn't registered")
	}
	r.Put(report("1", 1, 1, member.Ready), at(0), false, false)
	if r.Renew(member.Renewal{ID: "b", Incarnation: "2", Sequence: 2, Lifecycle: member.Ready}, at(3000)) {
		t.Error("renewed another incarnation")
	}
	if !r.Renew(member.Renewal{ID: "b", Incarnation: "1", Sequence: 2, Lifecycle: member.Ready}, at(3000)) {
		t.Error("did not renew a registered incarnation")
	}
	r.Expire(at(6999))
	if reg, _ := r.Get("b"); reg.Report.Lifecycle != member.Ready {
		t.Errorf("got %+v within the time to live, want ready", reg)
	}
	r.Expire(at(7000))
	if r.Renew(member.Renewal{ID: "b", Incarnation: "1", Sequence: 3, Lifecycle: member.Ready}, at(7001)) {
		t.Error("renewed a server that counts as gone, want a report to be required")
	}
}

// TestRenewalWithAdvancedLifecycleRequiresReport covers a member that is partitioned while a backend server reports that it
// is leaving. Afterwards the server's heartbeats arrive only as renewals, so the member must request the report.
func TestRenewalWithAdvancedLifecycleRequiresReport(t *testing.T) {
	renewal := func(sequence uint64, l member.Lifecycle) member.Renewal {
		return member.Renewal{ID: "b", Incarnation: "1", Sequence: sequence, Lifecycle: l}
	}
	r := member.NewRegistry[string](ttl, start)
	r.Put(report("1", 1, 4, member.Joining), at(0), false, false)
	if r.Renew(renewal(5, member.Ready), at(100)) {
		t.Error("renewed as ready a server that is registered as joining")
	}
	r.Put(report("1", 1, 5, member.Ready), at(100), false, false)
	if r.Renew(renewal(7, member.Leaving), at(1000)) {
		t.Error("renewed as leaving a server that is registered as ready")
	}
	if !r.Put(report("1", 1, 6, member.Leaving), at(1100), false, false) {
		t.Error("the report was ignored after a renewal that was refused")
	}
	if !r.Renew(renewal(8, member.Leaving), at(2000)) {
		t.Error("did not renew the registered lifecycle")
	}
	if !r.Renew(renewal(9, member.Ready), at(3000)) {
		t.Error("requested a report with a lifecycle behind the registered one")
	}
	if reg, _ := r.Get("b"); reg.Report.Lifecycle != member.Leaving {
		t.Errorf("lifecycle %s, want leaving", reg.Report.Lifecycle)
	}
}

// TestLifecycleNeverGoesBack gives two members different reports of one incarnation, as after a network partition.
func TestLifecycleNeverGoesBack(t *testing.T) {
	partitioned, other := member.NewRegistry[string](ttl, start), member.NewRegistry[string](ttl, start)
	other.Put(report("1", 1, 14, member.Ready), at(0), true, false)
	other.Put(report("1", 1, 14, member.Leaving), at(100), true, true) // leaving, under the same sequence
	partitioned.Put(report("1", 1, 17, member.Ready), at(200), true, false)

	// After the partition the members exchange their reports.
	other.Put(report("1", 1, 17, member.Ready), at(200), false, false)
	reg, _ := other.Get("b")
	if reg.Report.Lifecycle != member.Leaving || !reg.Direct {
		t.Errorf("got %+v; want leaving, with Direct set, since the other member hasn't seen it", reg)
	}
	before := partitioned.Version()
	if !partitioned.Put(reg.Report, at(100), false, true) || partitioned.Version() == before {
		t.Error("the change to leaving was ignored")
	}
	if reg, _ := partitioned.Get("b"); reg.Report.Lifecycle != member.Leaving {
		t.Errorf("lifecycle %s, want leaving", reg.Report.Lifecycle)
	}
	if partitioned.Put(report("1", 1, 3, member.Leaving), at(100), false, true) {
		t.Error("an old report was counted again")
	}
	if partitioned.Put(report("0", 0, 99, member.Gone), at(100), false, true) {
		t.Error("the end of an older incarnation was applied to the newer one")
	}
}

// TestWatcherFollowsRegistry checks, for random reports, that a watcher that applies the changes since its registry version
// has the same lifecycles as the registry.
func TestWatcherFollowsRegistry(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := member.NewRegistry[string](ttl, start)
		known := make(map[string]member.Lifecycle)
		var seen uint64
		now := 0
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			now += rapid.IntRange(0, 2000).Draw(rt, "pause")
			id := fmt.Sprint("b", rapid.IntRange(1, 3).Draw(rt, "id"))
			r.Put(member.Report[string]{
				ID: id, Incarnation: "1", StartedMS: 1, Sequence: uint64(rapid.IntRange(1, 60).Draw(rt, "sequence")),
				Lifecycle: rapid.SampledFrom([]member.Lifecycle{member.Joining, member.Ready, member.Ready, member.Leaving}).Draw(rt, "lifecycle"),
			}, at(now), true, false)
			r.Expire(at(now))
			if rapid.Bool().Draw(rt, "follow") {
				for _, reg := range r.Since(seen) {
					known[reg.Report.ID] = reg.Report.Lifecycle
				}
				seen = r.Version()
				for _, reg := range r.Since(0) {
					if known[reg.Report.ID] != reg.Report.Lifecycle {
						rt.Fatalf("%s: watcher has %s, registry %s", reg.Report.ID, known[reg.Report.ID], reg.Report.Lifecycle)
					}
				}
			}
		}
	})
}

func TestFreshnessCountsFromSendTime(t *testing.T) {
	tracker := member.NewFreshnessTracker(5 * time.Second)
	first := tracker.StartQuery(at(0))
	second := tracker.StartQuery(at(1000))
	if until := tracker.Confirm(99); !until.IsZero() {
		t.Error("an unknown query was confirmed")
	}
	if until := tracker.Confirm(second); !until.Equal(at(6000)) {
		t.Errorf("got fresh until %v, want 6s", until.Sub(start))
	}
	if until := tracker.Confirm(first); !until.Equal(at(6000)) {
		t.Errorf("an older confirmation changed the end to %v", until.Sub(start))
	}
	late := tracker.StartQuery(at(2000))
	tracker.StartQuery(at(8000))
	if until := tracker.Confirm(late); !until.Equal(at(6000)) {
		t.Errorf("a query older than the limit extended the freshness to %v", until.Sub(start))
	}
}

func TestProcessesBehind(t *testing.T) {
	p := member.NewProcesses(10*time.Second, 30*time.Second)
	v := func(n uint64) settings.Version { return settings.Version{Version: n} }
	p.Put(member.Process{ID: "a", Incarnation: "1", Version: v(5), Heard: at(0)})
	p.Put(member.Process{ID: "b", Incarnation: "1", Version: v(4), Heard: at(0)})
	p.Put(member.Process{ID: "a", Incarnation: "1", Version: v(3), Heard: at(1)}) // sent through a member that lags
	ids := func(now int) (out []string) {
		for _, proc := range p.Behind(v(5), at(now)) {
			out = append(out, proc.ID)
		}
		return out
	}
	if got := ids(9999); len(got) != 1 || got[0] != "b" {
		t.Errorf("got processes %v behind, want b", got)
	}
	if got := ids(10001); len(got) != 0 {
		t.Errorf("a process that no longer serves keyed routes counts as behind: %v", got)
	}
	p.Put(member.Process{ID: "long-freshness", Incarnation: "1", Version: v(4), Heard: at(0), Freshness: 20 * time.Second})
	if got := ids(39999); len(got) != 1 || got[0] != "long-freshness" {
		t.Errorf("behind, with a process of a longer freshness limit: %v", got)
	}
	p.Put(member.Process{ID: "long-freshness", Incarnation: "1", Version: v(5), Heard: at(1)})
	p.Put(member.Process{ID: "a", Incarnation: "2", Version: v(0), Heard: at(2)})
	if got := ids(3); len(got) != 2 {
		t.Errorf("behind, with a restarted process without settings: %v", got)
	}
	p.Expire(at(31000))
	if n := len(p.All()); n != 0 {
		t.Errorf("got %d processes after the retention, want 0", n)
	}
}
