package process

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/guavastack/guavastack/internal/adminapi"
	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/config"
	"github.com/guavastack/guavastack/internal/control"
	"github.com/guavastack/guavastack/internal/core/raft"
	"github.com/guavastack/guavastack/internal/core/roster"
	"github.com/guavastack/guavastack/internal/replica"
	"github.com/guavastack/guavastack/internal/telemetry"
)

// groupMonitor observes how many losses the group tolerates, as this member sees it, and reports when they are too few. It has contacts
// and a goroutine of its own, since the one that changes the membership may wait for a change. It decides nothing.
type groupMonitor struct {
	logger        *slog.Logger
	replicaStatus func() replica.Status
	heardAt       func(m raft.Member) time.Time
	announcements func() []roster.Announcement
	required      int // losses that the group must tolerate

	mu       sync.Mutex
	contacts *roster.Contacts
	latest   roster.Tolerance
	conf     raft.Configuration // of latest
	alarm    roster.Alarm
}

func newGroupMonitor(base *Base, r *replica.Replica) *groupMonitor {
	return &groupMonitor{
		logger: base.Logger, replicaStatus: r.Status, heardAt: r.HeardAt,
		announcements: func() []roster.Announcement { return nil },
		required:      requiredTolerance(base.Config.Control),
		contacts:      roster.NewContacts(r.Status().ID, clock.Now()),
	}
}

// requiredTolerance returns how many losses the group must tolerate. Members that the settings list and that don't state it must tolerate
// the loss of a minority.
func requiredTolerance(c *config.Control) int {
	if c.Discover {
		return cmp.Or(c.FaultTolerance, defaultFaultTolerance)
	}
	return cmp.Or(c.FaultTolerance, max(len(c.Peers)-1, 0)/2)
}

// run observes the group until ctx is done.
func (g *groupMonitor) run(ctx context.Context) error {
	tick := time.NewTicker(membershipInterval)
	defer tick.Stop()
	for {
		g.check(clock.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// peerHeard records that a digest of another member arrived.
func (g *groupMonitor) peerHeard(c control.Contact) {
	id, ok := contactID(c)
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.contacts.Record(id, clock.Now())
}

// check evaluates the group and reports what is due.
func (g *groupMonitor) check(now time.Time) {
	st := g.replicaStatus()
	announcements := g.announcements()
	g.mu.Lock()
	defer g.mu.Unlock()
	observeContacts(g.contacts, now, st.Configuration, g.heardAt)
	g.conf = st.Configuration
	g.latest = g.observation(now, st, announcements).Tolerance(now)
	g.report(now, st)
}

// observation returns this member's view. A leader counts a member as reachable if it answers, other members if they hear it.
func (g *groupMonitor) observation(now time.Time, st replica.Status, announcements []roster.Announcement) roster.Observation {
	return roster.Observation{
		Configuration: st.Configuration, Leader: st.Leader, Announcements: announcements, FaultTolerance: g.required,
		IsReachable: func(id uint64) bool {
			return g.contacts.IsHeard(now, id) && (st.Role != raft.Leader || answersLeader(now, st, id))
		},
		HasOtherDisk: func(id uint64) bool { return hasOtherDisk(st, id) },
		HasCaughtUp:  func(id uint64) bool { return hasCaughtUp(st, id) },
	}
}

// answersLeader reports whether a member has answered this leader within the time after which a silent one counts as lost, or could not
// yet have: the leader has led for less than that.
func answersLeader(now time.Time, st replica.Status, id uint64) bool {
	if id == st.ID || now.Sub(st.LeaderSince) < roster.SilenceLimit {
		return true
	}
	return now.Sub(answeredAt(st, id)) < roster.SilenceLimit
}

// hasOtherDisk reports whether a member's disk is not the one that the configuration names. This member knows its own.
func hasOtherDisk(st replica.Status, id uint64) bool {
	if id != st.ID {
		return slices.Contains(st.IncarnationMismatches, id)
	}
	m, ok := st.Configuration.Member(id)
	return ok && m.Incarnation != 0 && m.Incarnation != st.Incarnation
}

// report logs a group that tolerates too few losses, and the end of that state. g.mu is held.
func (g *groupMonitor) report(now time.Time, st replica.Status) {
	level := 0
	if g.latest.IsBelow() {
		level = g.latest.Required - g.latest.Spare
	}
	notice, lasted := g.alarm.Observe(now, level)
	args := []any{
		"voters", g.latest.Voters, "reachable", g.latest.Reachable, "quorum", g.latest.Quorum, "losses_tolerated", g.latest.Spare,
		"fault_tolerance", g.latest.Required, "for_ms", lasted.Milliseconds(), "role", st.Role.String(), "leader", st.Leader,
	}
	switch notice {
	case roster.Warn:
		g.logger.Warn("control group below its fault tolerance", append(args, "waits_for", g.latest.WaitsFor.String(), "unreachable", g.unreachable())...)
	case roster.Over:
		g.logger.Info("control group has its fault tolerance again", args...)
	}
}

// unreachable returns the addresses of the voters that are not reachable. g.mu is held.
func (g *groupMonitor) unreachable() []string {
	var out []string
	for _, id := range g.latest.Unreachable {
		m, _ := g.conf.Member(id)
		out = append(out, cmp.Or(m.Address, strconv.FormatUint(id, 10)))
	}
	return out
}

// status returns the latest evaluation for operators.
func (g *groupMonitor) status() adminapi.Group {
	g.mu.Lock()
	defer g.mu.Unlock()
	return adminapi.Group{
		Voters: g.latest.Voters, Reachable: g.latest.Reachable, Unreachable: g.unreachable(), Quorum: g.latest.Quorum,
		LossesTolerated: g.latest.Spare, FaultTolerance: g.required,
		BelowMS: g.alarm.Lasted(clock.Now()).Milliseconds(), WaitsFor: g.latest.WaitsFor.String(),
	}
}

// registerMetrics registers gauges of the latest evaluation.
func (g *groupMonitor) registerMetrics(m *telemetry.Registry) {
	m.GaugeFunc(metricReachable, func() int64 { return int64(g.status().Reachable) })
	m.GaugeFunc(metricSpare, func() int64 { return int64(g.status().LossesTolerated) })
	m.GaugeFunc(metricBelow, func() int64 { return g.status().BelowMS / time.Second.Milliseconds() })
}

// countMembershipChange adds a change of the membership to a counter.
func countMembershipChange(m *telemetry.Registry, counter string, s roster.Step) {
	if m != nil {
		m.Counter(counter, telemetry.Label{Name: "action", Value: s.Action.String()}, telemetry.Label{Name: "reason", Value: s.Reason}).Inc(1)
	}
}

// announcementAlarm reports that no member accepts the announcements of this one.
type announcementAlarm struct {
	alarm roster.Alarm
}

// warn records that an announcement failed at every address.
func (a *announcementAlarm) warn(logger *slog.Logger, now time.Time, addresses []string, lastErr error) {
	a.alarm.Grace = roster.AnnouncementLifetime
	if notice, lasted := a.alarm.Observe(now, 1); notice == roster.Warn {
		logger.Warn("announcements of this control member are not accepted", "addresses", addresses, "for_ms", lasted.Milliseconds(),
			telemetry.KeyError, lastErr.Error())
	}
}

// end records that an announcement was accepted, or is not needed.
func (a *announcementAlarm) end(logger *slog.Logger, now time.Time) {
	if notice, lasted := a.alarm.Observe(now, 0); notice == roster.Over {
		logger.Info("announcements of this control member are accepted, or not needed", "for_ms", lasted.Milliseconds())
	}
}
