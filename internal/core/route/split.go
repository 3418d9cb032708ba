package route

import "math"

const (
	// minTightWeight and maxTightWeight bound the capacity given to a tight token relative to a bulk token. The weight
	// follows the delays of both lanes.
	minTightWeight = 0.5
	maxTightWeight = 4
	// lowDelay is the delay, as a multiple of the target, below which differences between lanes are ignored.
	lowDelay = 0.6
	// minLaneShare is the minimum share of the servers that a lane gets.
	minLaneShare = 0.25
	// shareHysteresis is the difference above which a new share takes effect. It limits changes because each one moves sessions.
	shareHysteresis = 0.04
)

// LaneWork is the recent work of the lanes of a service, from one process or several.
type LaneWork struct {
	Tight, Bulk           float64 // prompt tokens per second
	TightDelay, BulkDelay float64 // mean wait for the start of an answer, as a multiple of the target; 0: none yet
}

// Add returns the sum of the work; the delays are averaged, weighted by the work of each side.
func (w LaneWork) Add(o LaneWork) LaneWork {
	return LaneWork{
		Tight: w.Tight + o.Tight, Bulk: w.Bulk + o.Bulk,
		TightDelay: weightedMean(w.TightDelay, w.Tight, o.TightDelay, o.Tight),
		BulkDelay:  weightedMean(w.BulkDelay, w.Bulk, o.BulkDelay, o.Bulk),
	}
}

func weightedMean(a, weightA, b, weightB float64) float64 {
	if weightA+weightB == 0 {
		return 0
	}
	return (a*weightA + b*weightB) / (weightA + weightB)
}

// tightWeight returns the capacity given to a tight token relative to a bulk token. It is 1 while both delays are at most
// lowDelay, and otherwise shifts capacity to the lane with the longer delay.
func (w LaneWork) tightWeight() float64 {
	weight := max(w.TightDelay, lowDelay) / max(w.BulkDelay, lowDelay)
	return min(max(weight, minTightWeight), maxTightWeight)
}

// Splitter decides which share of a service's servers forms the tight lane. Processes that decide independently disagree, and
// then route a session to different homes, so a single splitter should decide for all processes.
type Splitter struct {
	share float64 // 0: none yet
}

// Decide returns the share of servers for the tight lane, or false unless both lanes have work.
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

// TightServers returns how many of n servers belong to the tight lane, or 0 if n is too small for a split.
func TightServers(share float64, n int) int {
	if n < minLaneServers {
		return 0
	}
	return min(max(int(math.Round(share*float64(n))), 1), n-1)
}
