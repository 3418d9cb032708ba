package main

import (
	"reflect"
	"slices"
	"testing"
	"time"
)

const plansChecked = 300

func TestPlanFollowsFromSeed(t *testing.T) {
	for seed := range uint64(plansChecked) {
		if !reflect.DeepEqual(NewPlan(seed, Overrides{}), NewPlan(seed, Overrides{})) {
			t.Fatalf("seed %d: two plans", seed)
		}
	}
	if reflect.DeepEqual(NewPlan(1, Overrides{}).Rounds, NewPlan(2, Overrides{}).Rounds) {
		t.Error("seeds 1 and 2 have the same rounds")
	}
}

// TestPlansKeepToTheSpacing guards against a plan that loses more than the tolerance allows: such a run would prove nothing.
func TestPlansKeepToTheSpacing(t *testing.T) {
	for seed := range uint64(plansChecked) {
		for _, o := range []Overrides{{}, {Members: 2}, {Tolerance: 2}, {Members: 7, SeedList: SeedsFirst}, {Leader: LeaderAged, Rounds: 6}} {
			checkPlan(t, NewPlan(seed, o))
		}
	}
}

func checkPlan(t *testing.T, p Plan) {
	t.Helper()
	fail := func(what string) { t.Fatalf("seed %d: %s: %+v", p.Seed, what, p) }
	if p.Members < minMembers || p.Members > maxMembers || p.Members <= 2*p.Tolerance || p.Tolerance == 0 && p.Members > 2 {
		fail("size")
	}
	catchUp := 4 * time.Second
	if p.Tolerance == 2 {
		catchUp = 6 * time.Second
	}
	if p.Tolerance == 2 && p.Calm < catchUp {
		fail("two losses before the group has grown")
	}
	var alive []int
	for i := range p.Members {
		alive = append(alive, i+1)
	}
	newest := p.Members
	for _, r := range p.Rounds {
		if len(r.Losses) == 0 || len(r.Losses) > max(p.Tolerance, 1) || r.Calm < catchUp {
			fail("losses at a time, or their distance")
		}
		lost := make(map[int]bool)
		for _, l := range r.Losses {
			at := slices.Index(alive, l.Member)
			if at < 0 || lost[l.Member] {
				fail("a member is lost that doesn't run")
			}
			lost[l.Member] = true
			switch l.Kind {
			case Replaced, Planned:
				newest++
				if l.Successor != newest || l.Member == p.Kept {
					fail("successor")
				}
				alive[at] = l.Successor
				lost[l.Successor] = true
			case Emptied, Restarted:
				if l.Successor != l.Member || l.Kind == Emptied && p.Tolerance == 0 {
					fail("successor")
				}
			default:
				fail("kind")
			}
			if l.Kind == Planned && l.Delay < catchUp || p.Leader == LeaderAged && l.Kind != Planned && l.Delay < leaderAge {
				fail("delay")
			}
		}
		if q := r.Pause; q != nil && (lost[q.Member] || !slices.Contains(alive, q.Member) || q.Length < 500*time.Millisecond || q.Length > 3500*time.Millisecond) {
			fail("pause")
		}
		if p.Leader == LeaderAged && (r.Pause != nil || r.Calm < leaderAge || p.Calm < leaderAge) {
			fail("age of the leader")
		}
	}
	if len(p.Final.Emptied) > p.Tolerance || len(p.Final.Delays) != p.Members+p.Instances {
		fail("final fault")
	}
	for _, number := range p.Final.Emptied {
		if !slices.Contains(alive, number) {
			fail("disk of a member that doesn't run")
		}
	}
	for _, d := range p.Final.Delays {
		if d < time.Second || d > 2*time.Second {
			fail("start after the final fault")
		}
	}
}

func TestPlansCoverAllCases(t *testing.T) {
	seen := make(map[any]bool)
	for seed := range uint64(200) {
		p := NewPlan(seed, Overrides{})
		seen[p.SeedList], seen[p.Leader], seen[p.Members] = true, true, true
		seen[len(p.Final.Emptied) == 2] = true
		for _, r := range p.Rounds {
			if len(r.Losses) == 2 {
				seen["two at a time"] = true
			}
			if r.Pause != nil {
				seen["pause"] = true
			}
			for _, l := range r.Losses {
				seen[l.Kind] = true
			}
		}
	}
	for _, want := range []any{SeedsListed, SeedsFirst, LeaderAny, LeaderAged, 2, 3, 4, 5, 6, 7, true, "two at a time", "pause", Replaced, Planned, Emptied, Restarted} {
		if !seen[want] {
			t.Errorf("no plan with %v", want)
		}
	}
}

func TestOverridesAreChecked(t *testing.T) {
	for _, o := range []Overrides{{Members: 1}, {Members: 8}, {Tolerance: 3}, {Members: 3, Tolerance: 2}, {SeedList: "none"}, {Leader: "old"}} {
		if o.check() == nil {
			t.Errorf("%+v taken", o)
		}
	}
}
