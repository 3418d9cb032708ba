package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// describeVotes says how many successors got a vote, and the longest wait.
func describeVotes(promotions []promotion) string {
	got, longest := 0, time.Duration(0)
	for _, p := range promotions {
		if !p.Never {
			got++
			longest = max(longest, p.After)
		}
	}
	return fmt.Sprintf("%d of %d (longest %.1f s)", got, len(promotions), longest.Seconds())
}

func (s *series) exitCode() int {
	code := exitOK
	for _, res := range s.results {
		if len(res.broken) > 0 {
			return exitBroken
		}
		if res.err != nil {
			code = exitCannot
		}
	}
	return code
}

// counts are sums over all runs.
type counts struct {
	ok, broken, notRun int
	outages            int // broken runs in which the service was lost
	undoneRuns         int // runs with a membership change that was undone
	kinds              map[breakKind]int
	ages               []time.Duration // of the leader when it undid a membership change
	waits              []time.Duration // of successors for their vote
	late, never        int             // successors whose vote came after the time to catch up with no pause meanwhile, or not at all
	neverAdmitted      int             // those of them that were not even admitted
}

func (c *counts) add(res result) {
	switch {
	case len(res.broken) > 0:
		c.broken++
	case res.err != nil:
		c.notRun++
	default:
		c.ok++
	}
	isOutage := false
	for _, b := range res.broken {
		c.kinds[b.Kind]++
		isOutage = isOutage || slices.Contains(outageKinds, b.Kind)
	}
	if isOutage {
		c.outages++
	}
	if len(res.undone) > 0 {
		c.undoneRuns++
	}
	for _, u := range res.undone {
		c.ages = append(c.ages, u.LeaderAge)
	}
	for _, p := range res.promotions {
		c.addPromotion(p, res.plan.catchUp())
	}
}

func (c *counts) addPromotion(p promotion, catchUp time.Duration) {
	switch {
	case !p.Never:
		c.waits = append(c.waits, p.After)
		if p.After > catchUp && !p.WasPaused {
			c.late++
		}
	case p.IsAdmitted:
		c.never++
	default:
		c.never++
		c.neverAdmitted++
	}
}

// summary returns the counts of all runs.
func (s *series) summary() string {
	c := counts{kinds: make(map[breakKind]int)}
	for _, res := range s.results {
		c.add(res)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "seeds %d: ok %d, broken %d (service lost in %d), not run %d; %.0f s\n",
		len(s.results), c.ok, c.broken, c.outages, c.notRun, time.Since(s.start).Seconds())
	for _, kind := range slices.Sorted(maps.Keys(c.kinds)) {
		fmt.Fprintf(&b, "  %s: %d\n", kind, c.kinds[kind])
	}
	fmt.Fprintf(&b, "membership changes undone: %d in %d runs; age of the leader: %s\n", len(c.ages), c.undoneRuns, quantiles(c.ages))
	fmt.Fprintf(&b, "successors with a vote: %d, after %s; later than the time to catch up, with no pause meanwhile: %d; never: %d, of which not admitted: %d\n",
		len(c.waits), quantiles(c.waits), c.late, c.never, c.neverAdmitted)
	if c.broken+c.notRun > 0 {
		fmt.Fprintf(&b, "records: %s\n", s.out)
	}
	return b.String()
}

// quantiles returns the least, the median, the 95th percentile and the most.
func quantiles(d []time.Duration) string {
	if len(d) == 0 {
		return "none"
	}
	d = slices.Sorted(slices.Values(d))
	at := func(q float64) float64 { return d[int(q*float64(len(d)-1))].Seconds() }
	return fmt.Sprintf("least %.1f s, median %.1f s, p95 %.1f s, most %.1f s", at(0), at(0.5), at(0.95), at(1))
}
