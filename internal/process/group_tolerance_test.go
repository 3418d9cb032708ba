package process

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/config"
	"github.com/guavastack/guavastack/internal/core/raft"
	"github.com/guavastack/guavastack/internal/core/roster"
	"github.com/guavastack/guavastack/internal/replica"
	"github.com/guavastack/guavastack/internal/rpcpool"
	"github.com/guavastack/guavastack/internal/telemetry"
)

// monitoredGroup is a group of three voters in virtual time, which member 1 observes. Members that are not lost are heard at each check
// and answer member 1 if it leads.
type monitoredGroup struct {
	*groupMonitor
	t    *testing.T
	now  time.Time
	st   replica.Status
	lost []uint64
	log  bytes.Buffer
}

func newMonitoredGroup(t *testing.T) *monitoredGroup {
	m := &monitoredGroup{t: t, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	m.st = replica.Status{Status: raft.Status{ID: 1, Leader: 1, Role: raft.Leader}, Incarnation: 11, LeaderSince: m.now}
	for id := uint64(1); id <= 3; id++ {
		m.addMember(id, false)
	}
	m.groupMonitor = &groupMonitor{
		logger:        slog.New(slog.NewJSONHandler(&m.log, nil)),
		replicaStatus: func() replica.Status { return m.st },
		heardAt:       m.heard,
		announcements: func() []roster.Announcement { return nil },
		required:      1,
		contacts:      roster.NewContacts(1, m.now),
	}
	return m
}

func (m *monitoredGroup) addMember(id uint64, isLearner bool) {
	m.st.Configuration.Members = append(m.st.Configuration.Members,
		raft.Member{ID: id, Address: fmt.Sprintf("10.0.0.%d:1", id), Incarnation: 10 + id, Learner: isLearner})
	if id != m.st.ID {
		m.st.Peers = append(m.st.Peers, raft.PeerStatus{ID: id, AnsweredAt: m.now})
	}
}

func (m *monitoredGroup) heard(member raft.Member) time.Time {
	if slices.Contains(m.lost, member.ID) {
		return time.Time{}
	}
	return m.now
}

// pass lets time pass, with a check in each interval.
func (m *monitoredGroup) pass(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.now = m.now.Add(membershipInterval)
		for i, p := range m.st.Peers {
			if !slices.Contains(m.lost, p.ID) {
				m.st.Peers[i].AnsweredAt = m.now
			}
		}
		m.check(m.now)
	}
}

// lines returns the log lines written since the last call.
func (m *monitoredGroup) lines() []map[string]any { return logLines(m.t, &m.log) }

func logLines(t *testing.T, log *bytes.Buffer) []map[string]any {
	t.Helper()
	var out []map[string]any
	for {
		line, err := log.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return out
		}
		var fields map[string]any
		if err := json.Unmarshal(line, &fields); err != nil {
			t.Fatalf("line %q: %v", line, err)
		}
		out = append(out, fields)
	}
}

// checkLine checks the values of fields as they are printed.
func checkLine(t *testing.T, line map[string]any, want map[string]string) {
	t.Helper()
	for name, value := range want {
		if got := fmt.Sprint(line[name]); got != value {
			t.Errorf("field %s: got %q, want %q in %v", name, got, value, line)
		}
	}
}

// Guards against a group that is below its fault tolerance while no log says so, or why (issue 40).
func TestLostVoterIsReported(t *testing.T) {
	for _, role := range []raft.Role{raft.Leader, raft.Follower} {
		t.Run(role.String(), func(t *testing.T) {
			m := newMonitoredGroup(t)
			m.st.Role = role
			m.pass(time.Minute)
			if lines := m.lines(); len(lines) > 0 {
				t.Fatalf("a whole group is reported: %v", lines)
			}
			m.lost = []uint64{3}
			m.pass(3 * time.Second)
			lines := m.lines()
			if len(lines) != 1 {
				t.Fatalf("got %d lines within 3 s of a loss, want one: %v", len(lines), lines)
			}
			checkLine(t, lines[0], map[string]string{
				"level": "WARN", "msg": "control group below its fault tolerance", "voters": "3", "reachable": "2", "quorum": "2", "losses_tolerated": "0",
				"fault_tolerance": "1", "unreachable": "[10.0.0.3:1]", "waits_for": roster.WaitSuccessor.String(),
			})
			m.lost = nil
			m.pass(time.Second)
			lines = m.lines()
			if len(lines) != 1 {
				t.Fatalf("got %d lines after the return, want one: %v", len(lines), lines)
			}
			checkLine(t, lines[0], map[string]string{"level": "INFO", "msg": "control group has its fault tolerance again", "losses_tolerated": "1"})
			if duration := lines[0]["for_ms"].(float64); duration <= 0 {
				t.Errorf("the group was below its tolerance for %v ms, want more than 0", duration)
			}
		})
	}
}

func TestWarningsAboutToleranceAreBounded(t *testing.T) {
	m := newMonitoredGroup(t)
	m.lost = []uint64{3}
	m.pass(time.Hour)
	const pausesUntilMax = 5 // 2, 4, 8, 16 and 32 s
	want := int(time.Hour/roster.MaxAlarmPause) + pausesUntilMax
	if got := len(m.lines()); got > want || got < want/2 {
		t.Errorf("got %d warnings in an hour, want at most %d and no fewer than half of that", got, want)
	}
}

// TestSecondLossIsReportedAtOnce checks that a loss more is reported although the warnings about the first one have become rare, also by a
// member that hears no quorum itself.
func TestSecondLossIsReportedAtOnce(t *testing.T) {
	for _, role := range []raft.Role{raft.Leader, raft.Follower, raft.PreCandidate} {
		t.Run(role.String(), func(t *testing.T) {
			m := newMonitoredGroup(t)
			m.st.Role = role
			m.lost = []uint64{3}
			m.pass(time.Hour)
			m.lines()
			m.lost = []uint64{2, 3}
			m.pass(3 * time.Second)
			lines := m.lines()
			if len(lines) != 1 {
				t.Fatalf("got %d lines within 3 s of a second loss, want one: %v", len(lines), lines)
			}
			checkLine(t, lines[0], map[string]string{
				"losses_tolerated": "-1", "waits_for": roster.WaitQuorum.String(), "unreachable": "[10.0.0.2:1 10.0.0.3:1]",
			})
		})
	}
}

// TestUnansweringVoterIsUnreachable checks that a leader doesn't count a voter that it hears and that doesn't answer, nor one whose disk
// is another, nor its own vote if its own disk is.
func TestUnansweringVoterIsUnreachable(t *testing.T) {
	for name, change := range map[string]func(m *monitoredGroup){
		"does not answer": func(m *monitoredGroup) {
			m.heardAt = func(raft.Member) time.Time { return m.now }
			m.lost = []uint64{3}
		},
		"has another disk":     func(m *monitoredGroup) { m.st.IncarnationMismatches = []uint64{3} },
		"has itself lost disk": func(m *monitoredGroup) { m.st.Role, m.st.Incarnation = raft.Follower, 99 },
	} {
		t.Run(name, func(t *testing.T) {
			m := newMonitoredGroup(t)
			change(m)
			m.pass(time.Minute)
			if got := m.status(); got.Reachable != 2 || got.LossesTolerated != 0 || len(got.Unreachable) != 1 {
				t.Errorf("got %+v, want 2 reachable voters and no loss tolerated", got)
			}
		})
	}
}

// TestMemberWithoutGroupIsNotBelow checks that a member that was not admitted yet does not report a group.
func TestMemberWithoutGroupIsNotBelow(t *testing.T) {
	m := newMonitoredGroup(t)
	m.st = replica.Status{Status: raft.Status{ID: 9}}
	m.pass(time.Minute)
	if lines := m.lines(); len(lines) > 0 {
		t.Errorf("got %v, want no lines", lines)
	}
	if got := m.status(); got.WaitsFor != roster.WaitGroup.String() || got.BelowMS != 0 {
		t.Errorf("got %+v, want a member that waits for a group and is not below a tolerance", got)
	}
}

func TestRequiredTolerance(t *testing.T) {
	for _, tc := range []struct {
		settings config.Control
		want     int
	}{
		{config.Control{Discover: true}, 1},
		{config.Control{Discover: true, FaultTolerance: 2}, 2},
		{config.Control{}, 0},
		{config.Control{Peers: make([]config.Peer, 1)}, 0},
		{config.Control{Peers: make([]config.Peer, 4)}, 1},
		{config.Control{Peers: make([]config.Peer, 5)}, 2},
	} {
		if got := requiredTolerance(&tc.settings); got != tc.want {
			t.Errorf("%d peers, settings %d: got %d, want %d", len(tc.settings.Peers), tc.settings.FaultTolerance, got, tc.want)
		}
	}
}

func TestGroupMetrics(t *testing.T) {
	m := newMonitoredGroup(t)
	registry := telemetry.NewRegistry(telemetry.DefaultMaxSeries)
	m.registerMetrics(registry)
	m.now = clock.Now().Add(-time.Hour)
	m.lost = []uint64{2, 3}
	m.pass(time.Minute)
	countMembershipChange(registry, metricChanges, roster.Step{Action: roster.Remove, Reason: "silent"})
	countMembershipChange(nil, metricChanges, roster.Step{})
	var text strings.Builder
	if err := registry.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{
		"guavastack_replication_reachable_voters 1", "guavastack_replication_losses_tolerated -1",
		`guavastack_membership_changes{action="remove",reason="silent"} 1`,
	} {
		if !strings.Contains(text.String(), line+"\n") {
			t.Errorf("metrics lack the line %q; got\n%s", line, text.String())
		}
	}
	if got := m.status().BelowMS; got < (58 * time.Minute).Milliseconds() {
		t.Errorf("below its tolerance for %d ms, want most of an hour", got)
	}
}

// announcingMember is a member without a vote. All its calls end with err.
func announcingMember(t *testing.T, log io.Writer, seeds []string, err error) *membershipManager {
	t.Helper()
	const own = "10.0.0.9:1"
	state, stateErr := NewState()
	if stateErr != nil {
		t.Fatal(stateErr)
	}
	r, openErr := replica.Open(replica.Config{GroupID: 1, ID: 9, Address: own, Join: true, DataDir: t.TempDir(), MinFreeBytes: 1}, state.Machine)
	if openErr != nil {
		t.Fatal(openErr)
	}
	t.Cleanup(func() { _ = r.Close() })
	base := &Base{
		Config: &config.Config{Control: &config.Control{Listen: own}, ControlMembers: seeds}, Logger: slog.New(slog.NewJSONHandler(log, nil)),
	}
	m := newMembershipManager(base, r)
	m.pool = rpcpool.New(func(context.Context, string) (net.Conn, error) { return nil, err })
	return m
}

// Guards against a member that announces itself to nobody, of which no log at the usual level tells (issue 40).
func TestFailedAnnouncementsAreReported(t *testing.T) {
	for name, tc := range map[string]struct {
		seeds            []string
		addresses, cause string
	}{
		"no seed answers": {[]string{"10.0.0.1:1", "10.0.0.9:1", "10.0.0.2:1"}, "[10.0.0.1:1 10.0.0.2:1]", "connect to 10.0.0.2:1: host is down"},
		"no seeds":        {nil, "<nil>", "no other control member is known"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var log bytes.Buffer
				m := announcingMember(t, &log, tc.seeds, errors.New("host is down"))
				for start := time.Now(); time.Since(start) < time.Minute; time.Sleep(membershipInterval) {
					m.announce(t.Context(), replica.Status{})
				}
				lines := logLines(t, &log)
				const most = 6 // after 3 s, and pauses of 2, 4, 8, 16 and 32 s
				if len(lines) == 0 || len(lines) > most {
					t.Fatalf("got %d lines in a minute, want one to %d: %v", len(lines), most, lines)
				}
				checkLine(t, lines[0], map[string]string{
					"level": "WARN", "msg": "announcements of this control member are not accepted", "addresses": tc.addresses, "error": tc.cause,
				})
				m.unaccepted.end(m.base.Logger, clock.Now())
				if lines := logLines(t, &log); len(lines) != 1 || lines[0]["level"] != "INFO" {
					t.Errorf("at the end: got %v, want one line of level INFO", lines)
				}
			})
		})
	}
}

// TestVoterWithoutLeaderDoesNotReportAnnouncements checks that a voter that waits for a leader, and repeats its announcement meanwhile, is
// not reported as one that is not accepted.
func TestVoterWithoutLeaderDoesNotReportAnnouncements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		m := announcingMember(t, &log, []string{"10.0.0.1:1"}, errors.New("no leader is known"))
		st := replica.Status{Status: raft.Status{ID: 9}, Incarnation: 5}
		st.Configuration.Members = []raft.Member{{ID: 9, Address: "10.0.0.9:1", Incarnation: 5}}
		for start := time.Now(); time.Since(start) < time.Minute; time.Sleep(membershipInterval) {
			m.announce(t.Context(), st)
		}
		if log.Len() > 0 {
			t.Errorf("got %s, want no lines", log.String())
		}
	})
}

// TestGroupReportsLossAndReplacement checks the tolerance as real members report it.
func TestGroupReportsLossAndReplacement(t *testing.T) {
	d := newDiscoveryGroup(t)
	members := make(map[int]*runningMember)
	for host := 1; host <= 3; host++ {
		members[host] = d.start(host, true)
	}
	all := func(tolerated int, waitsFor ...roster.Wait) func() bool {
		return func() bool {
			for _, m := range members {
				st := m.monitor.status()
				if st.LossesTolerated != tolerated || (st.BelowMS == 0) != (tolerated == 1) || !slices.ContainsFunc(waitsFor, func(w roster.Wait) bool { return w.String() == st.WaitsFor }) {
					return false
				}
			}
			return true
		}
	}
	d.waitUntil("one loss is tolerated", all(1, roster.WaitNone))
	d.lose(members[2])
	delete(members, 2)
	d.waitUntil("no loss is tolerated and a successor is awaited", all(0, roster.WaitSuccessor))
	members[4] = d.start(4, false)
	d.waitUntil("one loss is tolerated again", all(1, roster.WaitNone))
}
