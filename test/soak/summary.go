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

// summary returns the counts of all runs.
func (s *series) summary() string {
	var ok, isBroken, notRun int
	kinds := make(map[breakKind]int)
	var waits []time.Duration
	var ages []time.Duration
	never, late := 0, 0
	for _, res := range s.results {
		switch {
		case len(res.broken) > 0:
			isBroken++
		case res.err != nil:
			notRun++
		default:
			ok++
		}
		for _, b := range res.broken {
			kinds[b.Kind]++
		}
		for _, u := range res.undone {
			ages = append(ages, u.LeaderAge)
		}
		for _, p := range res.promotions {
			switch {
			case p.Never:
				never++
			default:
				waits = append(waits, p.After)
				if p.After > res.plan.catchUp() {
					late++
				}
			}
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "seeds %d: ok %d, broken %d, not run %d; %.0f s\n", len(s.results), ok, isBroken, notRun, time.Since(s.start).Seconds())
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		fmt.Fprintf(&b, "  %s: %d\n", kind, kinds[kind])
	}
	fmt.Fprintf(&b, "membership changes undone: %d; age of the leader: %s\n", len(ages), quantiles(ages))
	fmt.Fprintf(&b, "successors with a vote: %d, after %s; later than the time to catch up: %d; never: %d\n", len(waits), quantiles(waits), late, never)
	if isBroken+notRun > 0 {
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
