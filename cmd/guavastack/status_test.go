package main

import (
	"strings"
	"testing"

	"github.com/guavastack/guavastack/internal/adminapi"
)

// TestStatusPrintsTolerance checks what the status says of a group below its tolerance, of a whole one, and of a member that tells nothing
// about it.
func TestStatusPrintsTolerance(t *testing.T) {
	below := adminapi.Group{
		Voters: 3, Reachable: 1, Unreachable: []string{"10.0.0.2:1", "10.0.0.3:1"}, Quorum: 2, LossesTolerated: -1, FaultTolerance: 1, BelowMS: 2500,
		WaitsFor: "a quorum of reachable voters",
	}
	whole := adminapi.Group{Voters: 3, Reachable: 3, Quorum: 2, LossesTolerated: 1, FaultTolerance: 1, WaitsFor: "nothing"}
	for _, tc := range []struct {
		name  string
		group *adminapi.Group
		want  string
	}{
		{"below", &below, "voters\t3, 1 reachable, quorum 2\nlosses tolerated\t-1, must be 1\nwaits for\ta quorum of reachable voters\n" +
			"below tolerance\tfor 2500 ms; unreachable: 10.0.0.2:1, 10.0.0.3:1\n\n"},
		{"whole", &whole, "voters\t3, 3 reachable, quorum 2\nlosses tolerated\t1, must be 1\nwaits for\tnothing\n\n"},
		{"not told", nil, "\n"},
	} {
		var out strings.Builder
		writeGroup(&out, tc.group)
		if out.String() != tc.want {
			t.Errorf("%s: got %q, want %q", tc.name, out.String(), tc.want)
		}
	}
}

// TestStatusPrintsDrains checks the lines about drained availability zones.
func TestStatusPrintsDrains(t *testing.T) {
	var out strings.Builder
	writeDrains(&out, nil)
	if out.String() != "" {
		t.Errorf("got %q without drains, want nothing", out.String())
	}
	writeDrains(&out, []adminapi.ZoneDrain{{Zone: "trd-a", SinceMS: 1790000000000, OrderedBy: "10.0.0.9"}})
	if want := "drained zone\ttrd-a since 2026-09-21T14:13:20Z, ordered by 10.0.0.9\n"; out.String() != want {
		t.Errorf("got %q, want %q", out.String(), want)
	}
}
