package process

import (
	"github.com/guavastack/guavastack/internal/core/raft"
	"github.com/guavastack/guavastack/internal/telemetry"
)

// Names of a control member's metrics of replication and of what it knows.
const (
	metricTerm      = "replication_term"
	metricLeads     = "replication_leads"      // 1 on the leader
	metricHasLeader = "replication_has_leader" // 0: no leader is known
	metricCommit    = "replication_commit"     // index of the newest committed entry
	metricUnapplied = "replication_unapplied"  // committed entries that are not applied yet
	metricBehind    = "replication_behind"     // on the leader: entries that the slowest member lacks
	metricMembers   = "replication_members"    // with a vote
	metricBackends  = "registry_servers"       // registered backend servers
	metricWatchers  = "registry_processes"     // processes that watch any member
)

// showReplication shows what status returns.
func showReplication(m *telemetry.Registry, status func() raft.Status) {
	m.GaugeFunc(metricTerm, func() int64 { return int64(status().Term) })
	m.GaugeFunc(metricLeads, func() int64 { return oneIf(status().Role == raft.Leader) })
	m.GaugeFunc(metricHasLeader, func() int64 { return oneIf(status().Leader != 0) })
	m.GaugeFunc(metricCommit, func() int64 { return int64(status().Commit) })
	m.GaugeFunc(metricUnapplied, func() int64 { s := status(); return int64(s.Commit) - int64(s.Applied) })
	m.GaugeFunc(metricBehind, func() int64 { return behind(status()) })
	m.GaugeFunc(metricMembers, func() int64 { return int64(len(status().Configuration.Voters())) })
}

// behind returns how many entries the slowest member lacks, as far as the leader knows.
func behind(s raft.Status) int64 {
	most := int64(0)
	for _, p := range s.Peers {
		most = max(most, int64(s.LastIndex)-int64(p.Match))
	}
	return most
}

func oneIf(condition bool) int64 {
	if condition {
		return 1
	}
	return 0
}
