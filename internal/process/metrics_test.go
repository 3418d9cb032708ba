package process

import (
	"strings"
	"testing"

	"github.com/guavastack/guavastack/internal/core/raft"
	"github.com/guavastack/guavastack/internal/telemetry"
)

// TestReplicationMetrics checks the gauges of a leader with a member that lags.
func TestReplicationMetrics(t *testing.T) {
	m := telemetry.NewRegistry(telemetry.DefaultMaxSeries)
	registerReplicationMetrics(m, func() raft.Status {
		return raft.Status{
			Term: 4, Leader: 1, Role: raft.Leader, Commit: 90, Applied: 88, LastIndex: 100,
			Peers:         []raft.PeerStatus{{ID: 2, Match: 99}, {ID: 3, Match: 60}},
			Configuration: raft.Configuration{Members: []raft.Member{{ID: 1}, {ID: 2}, {ID: 3}}},
		}
	})
	var text strings.Builder
	if err := m.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{
		"guavastack_replication_term 4", "guavastack_replication_leads 1", "guavastack_replication_has_leader 1",
		"guavastack_replication_commit 90", "guavastack_replication_unapplied 2", "guavastack_replication_behind 40",
		"guavastack_replication_members 3",
	} {
		if !strings.Contains(text.String(), "\n"+line+"\n") {
			t.Errorf("metrics lack the line %q; got\n%s", line, text.String())
		}
	}
}
