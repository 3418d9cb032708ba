package limit

import (
	"math"
	"sort"
	"time"
)

const (
	// ShareLifetime is the age from which a share is not used any more. The control group gives the share of an entry
	// that it does not hear from to others no sooner.
	ShareLifetime = 30 * time.Second
	// FloorTotal is the part of each limit that is split evenly among the entries, whatever their demand. An entry
	// keeps its part of it while the control group is away.
	FloorTotal = 0.5
	// roundingSlack keeps sums of shares from losing a whole unit to rounding.
	roundingSlack = 1e-9
)

// Share is the part of every limit that one entry may use. The shares of the entries are adjoining intervals of 0..1,
// so that whole units, such as a concurrency of one, belong to exactly one entry.
type Share struct {
	From, To           float64
	FloorFrom, FloorTo float64 // used once the share is older than ShareLifetime
}

// Whole is the share of an entry that is alone.
var Whole = Share{To: 1, FloorTo: 1}

// Shares splits each limit among entries by their recent demand. FloorTotal of it is split evenly. Entries in order of
// their names hold adjoining intervals, so that the shares sum to one.
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
	at := 0.0
	for i, name := range names {
		part := even
		if total > 0 {
			part = FloorTotal*even + (1-FloorTotal)*math.Max(0, demand[name])/total
		}
		s := Share{From: at, To: math.Min(1, at+part)}
		s.FloorFrom = FloorTotal * even * float64(i)
		s.FloorTo = FloorTotal * even * float64(i+1)
		shares[name] = s
		at = s.To
	}
	return shares
}

// Size is the part of each limit, 0..1.
func (s Share) Size() float64 { return s.To - s.From }

// heldShare is a share with its age.
type heldShare struct {
	share     Share
	at        time.Time
	permanent bool
}

// interval returns the part of the limits that may be used now.
func (h heldShare) interval(now time.Time) (from, to float64) {
	if h.permanent || now.Sub(h.at) <= ShareLifetime {
		return h.share.From, h.share.To
	}
	return h.share.FloorFrom, h.share.FloorTo
}

// units returns the whole units of a limit that belong to the entry now.
func (h heldShare) units(now time.Time, limit int) int {
	from, to := h.interval(now)
	return int(math.Floor(to*float64(limit)+roundingSlack)) - int(math.Floor(from*float64(limit)+roundingSlack))
}
