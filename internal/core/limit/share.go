package limit

import (
	"math"
	"sort"
	"time"
)

const (
	// ShareLifetime is the age at which a share expires. The control group doesn't reassign the share of an entry that
	// stopped reporting any sooner.
	ShareLifetime = 30 * time.Second
	// FloorTotal is the part of each limit that is split evenly among the entries regardless of demand. An entry keeps its
	// part of it while the control group is unreachable.
	FloorTotal = 0.5
	// roundingTolerance prevents floating-point rounding in sums of shares from losing a whole unit.
	roundingTolerance = 1e-9
)

// Share is the part of every limit that one entry may use. The shares of the entries are adjacent intervals of 0..1, so that a
// whole unit, such as a concurrency of one, belongs to exactly one entry.
type Share struct {
	From, To           float64
	FloorFrom, FloorTo float64 // used instead once the share is older than ShareLifetime
}

// Whole is the share of the only entry.
var Whole = Share{To: 1, FloorTo: 1}

// Shares splits each limit among entries: FloorTotal of it evenly, the rest in proportion to recent demand. In order of their
// names the entries get adjacent intervals, so that the shares add up to one.
func Shares(demand map[string]float64) map[string]Share {
	names := make([]string, 0, len(demand))
	for name := range demand {
		names = append(names, name)
	}
	sort.Strings(names)
	total := 0.0
	for _, name := range names {
		total += math.Max(0, demand[name])
	}
	shares := make(map[string]Share, len(names))
	even := 1 / float64(len(names))
	from := 0.0
	for i, name := range names {
		part := even
		if total > 0 {
			part = FloorTotal*even + (1-FloorTotal)*math.Max(0, demand[name])/total
		}
		s := Share{From: from, To: math.Min(1, from+part)}
		s.FloorFrom = FloorTotal * even * float64(i)
		s.FloorTo = FloorTotal * even * float64(i+1)
		shares[name] = s
		from = s.To
	}
	return shares
}

// Size returns the part of each limit, 0..1.
func (s Share) Size() float64 { return s.To - s.From }

// assignedShare is a share with the time at which it was requested.
type assignedShare struct {
	share     Share
	at        time.Time
	permanent bool
}

// interval returns the interval of the limits that may be used now.
func (a assignedShare) interval(now time.Time) (from, to float64) {
	if a.permanent || now.Sub(a.at) <= ShareLifetime {
		return a.share.From, a.share.To
	}
	return a.share.FloorFrom, a.share.FloorTo
}

// units returns the number of whole units of a limit that the entry may use now.
func (a assignedShare) units(now time.Time, limit int) int {
	from, to := a.interval(now)
	return int(math.Floor(to*float64(limit)+roundingTolerance)) - int(math.Floor(from*float64(limit)+roundingTolerance))
}
