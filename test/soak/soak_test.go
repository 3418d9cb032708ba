package main

import (
	"testing"
	"time"
)

// neverBound is a time after which something counts as never happening.
const neverBound = time.Minute

// TestLearnerIsNotRemovedRightAfterItsAdmission guards against a successor that an older leader admits and removes again, over and over.
func TestLearnerIsNotRemovedRightAfterItsAdmission(t *testing.T) { playKept(t, 14) }

// TestEmptiedMemberFindsItsGroupWithoutSeeds guards against a member with an empty disk that announces itself to nobody, because the
// other machines that its settings name are gone.
func TestEmptiedMemberFindsItsGroupWithoutSeeds(t *testing.T) { playKept(t, 7) }

// playKept plays a seed of seeds.txt.
func playKept(t *testing.T, seed uint64) {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	t.Parallel()
	plans, err := keptPlans(seed)
	if err != nil || len(plans) != 1 {
		t.Fatalf("seed %d: %d plans, %v", seed, len(plans), err)
	}
	p, remove, err := findProgram(t.Context(), "", "../../deploy")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(remove)
	s := &series{program: p, bound: neverBound, out: t.ArtifactDir()}
	if res := s.play(t.Context(), plans[0]); res.err != nil || len(res.broken) > 0 {
		t.Error(res)
	}
}

func TestKeptSeedsHaveACause(t *testing.T) {
	for _, line := range []string{"7 3 1 first aged 1", "7 3 1 first  cause", "7 9 1 first aged 1  cause"} {
		if _, err := keptSeeds(line); err == nil {
			t.Errorf("%q taken", line)
		}
	}
	kept, err := keptSeeds("# comment\n7 3 0 - aged 1  a cause\n")
	if err != nil || len(kept) != 1 || kept[0].seed != 7 || kept[0].overrides.Leader != LeaderAged || kept[0].overrides.SeedList != "" {
		t.Errorf("%+v, %v", kept, err)
	}
}
