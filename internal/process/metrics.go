package process

import (
	"github.com/guavastack/guavastack/internal/core/raft"
	"github.com/guavastack/guavastack/internal/telemetry"
)

// Names of a control member's metrics of replication and of its registry.
const (
	metricTerm          = "replication_term"
	metricLeads         = "replication_leads"      // 1 on the leader
	metricHasLeader     = "replication_has_leader" // 1 if a leader is known
	metricCommit        = "replication_commit"     // index of the newest committed entry
	metricUnapplied     = "replication_unapplied"  // committed entries that are not yet applied
	metricBehind        = "replication_behind"     // on the leader: entries by which the slowest member lags
	metricMembers       = "replication_members"    // voting members
	metricReachable     = "replication_reachable_voters"
	metricSpare         = "replication_losses_tolerated"  // by those reachable; below 0: voters missing to a quorum
	metricBelow         = "replication_below_tolerance_s" // for how long the group has tolerated fewer losses than it must; 0: it does not
	metricChanges       = "membership_changes"            // committed, by action and reason
	metricChangesFailed = "membership_changes_failed"     // by action and reason
	metricBackends      = "registry_servers"              // registered backend servers
	metricZoneDrains    = "zone_drains"                   // drained availability zones
	metricWatchers      = "registry_processes"            // processes that watch a control member
)

// registerReplicationMetrics registers gauges that read status.
func registerReplicationMetrics(m *telemetry.Registry, status func() raft.Status) {
	m.GaugeFunc(metricTerm, func() int64 { return int64(status().Term) })
	m.GaugeFunc(metricLeads, func() int64 { return boolToInt(status().Role == raft.Leader) })
	m.GaugeFunc(metricHasLeader, func() int64 { return boolToInt(status().Leader != 0) })
	m.GaugeFunc(metricCommit, func() int64 { return int64(status().Commit) })
	m.GaugeFunc(metricUnapplied, func() int64 { s := status(); return int64(s.Commit) - int64(s.Applied) })
	m.GaugeFunc(metricBehind, func() int64 { return maxPeerLag(status()) })
	m.GaugeFunc(metricMembers, func() int64 { return int64(len(status().Configuration.Voters())) })
}

// maxPeerLag returns the number of log entries that the slowest peer has not yet acknowledged.
func maxPeerLag(s raft.Status) int64 {
	most := int64(0)
	for _, p := range s.Peers {
		most = max(most, int64(s.LastIndex)-int64(p.Match))
	}
	return most
}

func boolToInt(condition bool) int64 {
	if condition {
		return 1
	}
	return 0
}
