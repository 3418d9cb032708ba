package route

import "math"

const (
	// minTightWeight and maxTightWeight bound how much more room tight work gets than bulk work of as many tokens. The
	// weight follows the delays of both lanes.
	minTightWeight = 0.5
	maxTightWeight = 4
	// calmDelay is the delay, as a multiple of the target, up to which a lane counts as calm.
	calmDelay = 0.6
	// minLaneShare is the least share of the servers that a lane has.
	minLaneShare = 0.25
	// shareHysteresis is the difference from which a better share takes effect. Each change moves sessions.
	shareHysteresis = 0.04
)

// LaneWork is what came lately for the lanes of a service, at one process or at several.
type LaneWork struct {
	Tight, Bulk           float64 // prompt tokens a second
	TightDelay, BulkDelay float64 // to the beginning of an answer, as a multiple of its target; 0: none yet
}

// Add returns the work of both. Delays are weighed by the work that met them.
func (w LaneWork) Add(o LaneWork) LaneWork {
	return LaneWork{
		Tight: w.Tight + o.Tight, Bulk: w.Bulk + o.Bulk,
		TightDelay: weighed(w.TightDelay, w.Tight, o.TightDelay, o.Tight),
		BulkDelay:  weighed(w.BulkDelay, w.Bulk, o.BulkDelay, o.Bulk),
	}
}

func weighed(a, weightA, b, weightB float64) float64 {
	if weightA+weightB == 0 {
		return 0
	}
	return (a*weightA + b*weightB) / (weightA + weightB)
}

// tightWeight returns how much more room a tight token gets than a bulk one. While both lanes are calm they count alike;
// the lane that keeps its requests waiting gets more.
func (w LaneWork) tightWeight() float64 {
	weight := max(w.TightDelay, calmDelay) / max(w.BulkDelay, calmDelay)
	return min(max(weight, minTightWeight), maxTightWeight)
}

// Splitter decides which share of a service's servers makes the tight lane. Processes that decide by themselves disagree, and
// a session has another home where they do: one splitter decides for all.
type Splitter struct {
	share float64 // 0: none yet
}

// Decide returns the share for the work, false where there is no work for two lanes.
func (s *Splitter) Decide(w LaneWork) (share float64, ok bool) {
	tight := w.tightWeight() * w.Tight
	if tight == 0 || w.Bulk == 0 {
		return 0, false
	}
	wanted := min(max(tight/(tight+w.Bulk), minLaneShare), 1-minLaneShare)
	if s.share == 0 || math.Abs(wanted-s.share) > shareHysteresis {
		s.share = wanted
	}
	return s.share, true
}

// TightServers returns how many of n servers a share makes; 0: so few servers are not split.
func TightServers(share float64, n int) int {
	if n < minLaneServers {
		return 0
	}
	return min(max(int(math.Round(share*float64(n))), 1), n-1)
}
