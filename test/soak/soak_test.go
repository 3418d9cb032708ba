package main

import (
	"fmt"
	"testing"
	"time"
)

// neverBound is a time after which something counts as never happening.
const neverBound = time.Minute

// TestKeptSeeds guards against the failures that seeds.txt names: each of its seeds broke on real processes once.
func TestKeptSeeds(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	kept, err := keptSeeds(keptText)
	if err != nil {
		t.Fatal(err)
	}
	p, remove, err := findProgram(t.Context(), "", "../../deploy")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(remove)
	for _, k := range kept {
		t.Run(fmt.Sprintf("seed_%d", k.seed), func(t *testing.T) {
			t.Parallel()
			s := &series{program: p, bound: neverBound, out: t.ArtifactDir()}
			if res := s.play(t.Context(), NewPlan(k.seed, k.overrides)); res.err != nil || len(res.broken) > 0 {
				t.Errorf("%v\nkept for: %s", res, k.cause)
			}
		})
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
