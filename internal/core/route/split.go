package route

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// A lane is a subset of a service's servers. The prefill of a long prompt delays every token of the streams on the same
// server, so streams with tight targets for the gap between tokens and those with loose ones, which tend to have long prompts,
// go to different servers if there are enough.

const (
	// maxTightLanes is the maximum number of tight lanes of a service.
	maxTightLanes = 2
	// bulkGapFactor is the multiple of the smallest gap target from which a stream belongs to the bulk lane.
	bulkGapFactor = 2
	// tightGapFactor is the multiple of the smallest gap target of a tight lane from which a stream belongs to the next one.
	tightGapFactor = 1.2
	// minWorkShare is the share of a service's work below which a gap target gets no lane of its own.
	minWorkShare = 0.03
	// minTightWeight and maxTightWeight bound the capacity given to a token of the tight lanes relative to one of the bulk lane.
	// The weight follows the delays of both.
	minTightWeight = 0.5
	maxTightWeight = 4
	// lowDelay is the delay, as a multiple of the target, below which differences between lanes are ignored.
	lowDelay = 0.6
	// maxSpareShare is the maximum share of the servers that follows the square root of the work.
	maxSpareShare = 0.5
	// minShare is the minimum share of the servers of the tight lanes together and of the bulk lane.
	minShare = 0.25
	// shareHysteresis is the difference above which new shares take effect. It limits changes because each one moves sessions.
	shareHysteresis = 0.04
	// minLaneServers is the minimum number of servers that are split into lanes.
	minLaneServers = 4
	// minTightServers is the minimum number of servers of the tight lanes that are split among them.
	minTightServers = 6
)

// LanePlan splits the servers of a service into lanes. Processes that split by different plans route a session to different
// homes, so one process should decide for all. It is immutable.
type LanePlan struct {
	Lanes []LanePart   // by ascending gap target: the tight lanes and, as the last one, the bulk lane
	Slow  []SlowServer // servers that belong to the bulk lane
}

// LanePlans are the plans by service. A service with a nil plan is not split.
type LanePlans map[string]*LanePlan

// LanePart is one lane of a plan.
type LanePart struct {
	Gap   time.Duration // smallest gap target of its streams
	Share float64       // of the servers; the shares of a plan add up to 1
}

// SplitLanes returns the plan for the recent work of a service, or nil if there is nothing to separate. It returns the previous
// plan, which may be nil, unless the new one differs considerably.
func SplitLanes(previous *LanePlan, work []StreamWork) *LanePlan {
	tight, bulk := splitByGap(work)
	if len(tight) == 0 || len(bulk) == 0 {
		return nil
	}
	share := tightShare(sumWork(tight), sumWork(bulk))
	next := &LanePlan{Lanes: divide(tight, share)}
	if previous != nil {
		next.Slow = previous.Slow
	}
	next.Lanes = append(next.Lanes, LanePart{Gap: bulk[0].Gap, Share: 1 - share})
	if !next.DiffersFrom(previous, shareHysteresis) {
		return previous
	}
	return next
}

// splitByGap splits work, sorted by gap target, into that of the tight lanes and that of the bulk lane. Rare gap targets are left
// out.
func splitByGap(work []StreamWork) (tight, bulk []StreamWork) {
	total := sumWork(work).total()
	for _, w := range work {
		switch {
		case w.total() <= minWorkShare*total:
		case len(tight) > 0 && w.Gap >= bulkGapFactor*tight[0].Gap:
			bulk = append(bulk, w)
		default:
			tight = append(tight, w)
		}
	}
	return tight, bulk
}

// sumWork returns the sum of the work with different gap targets.
func sumWork(work []StreamWork) StreamWork {
	var sum StreamWork
	for _, w := range work {
		sum.Delay = meanDelay(sum, w)
		sum.Prefill += w.Prefill
		sum.Output += w.Output
	}
	return sum
}

// tightShare returns the share of the servers of the tight lanes together. It follows the tokens to prefill. While a side exceeds
// lowDelay, it gets more for the same tokens. While the bulk lane is on time, part of the servers follows the square root of the work
// instead: the smaller side needs more spare servers for the same delay, and its streams occupy slots beside the tokens to prefill.
func tightShare(tight, bulk StreamWork) float64 {
	weight := max(tight.Delay, lowDelay) / max(bulk.Delay, lowDelay)
	weighted := min(max(weight, minTightWeight), maxTightWeight) * tight.Prefill
	if weighted+bulk.Prefill == 0 {
		return minShare
	}
	byTokens := weighted / (weighted + bulk.Prefill)
	root := math.Sqrt(tight.total())
	byRoot := max(root/(root+math.Sqrt(bulk.total())), byTokens)
	spare := spareShare(bulk)
	return min(max((1-spare)*byTokens+spare*byRoot, minShare), 1-minShare)
}

// spareShare returns the share of the servers that the bulk lane can spare: all of maxSpareShare while its delay is at most half of
// lowDelay, and nothing from lowDelay on.
func spareShare(bulk StreamWork) float64 {
	return maxSpareShare * min(max(2*(1-bulk.Delay/lowDelay), 0), 1)
}

// divide divides a share of the servers among the tight lanes, in proportion to the square root of their work: a small lane needs
// more servers for the same delay. A lane that exceeds lowDelay gets more for the same work.
func divide(tight []StreamWork, share float64) []LanePart {
	var parts []LanePart
	var lanes []StreamWork
	total := 0.0
	for _, w := range tight {
		last := len(parts) - 1
		if last < 0 || (len(parts) < maxTightLanes && float64(w.Gap) >= tightGapFactor*float64(parts[last].Gap)) {
			parts, lanes = append(parts, LanePart{Gap: w.Gap}), append(lanes, w)
			continue
		}
		lanes[last] = sumWork([]StreamWork{lanes[last], w})
	}
	for i, lane := range lanes {
		parts[i].Share = math.Sqrt(lane.total()) * min(max(lane.Delay/lowDelay, 1), maxTightWeight)
		total += parts[i].Share
	}
	for i := range parts {
		parts[i].Share *= share / total
	}
	return parts
}

// bulkShare returns the share of the bulk lane.
func (p *LanePlan) bulkShare() float64 { return p.Lanes[len(p.Lanes)-1].Share }

// DiffersFrom reports whether p and o, which may be nil, have other lanes or a lane whose share differs by more than the given one.
func (p *LanePlan) DiffersFrom(o *LanePlan, share float64) bool {
	if p == nil || o == nil {
		return p != o
	}
	return !slices.EqualFunc(p.Lanes, o.Lanes, func(a, b LanePart) bool {
		return a.Gap == b.Gap && math.Abs(a.Share-b.Share) <= share
	})
}

// String returns the smallest gap target and the share of the servers of each lane.
func (p *LanePlan) String() string {
	if p == nil {
		return "not split"
	}
	lanes := make([]string, len(p.Lanes))
	for i, l := range p.Lanes {
		lanes[i] = fmt.Sprintf("%v: %.2f", l.Gap, l.Share)
	}
	return strings.Join(lanes, ", ")
}

// Equal reports whether p and o are the same plan. Both may be nil.
func (p *LanePlan) Equal(o *LanePlan) bool {
	if p == nil || o == nil {
		return p == o
	}
	return p == o || slices.Equal(p.Lanes, o.Lanes) && slices.Equal(p.Slow, o.Slow)
}

// laneFor returns the lane of streams with a gap target, or noLane if they may use all servers.
func (p *LanePlan) laneFor(gap time.Duration) int {
	if p == nil || gap <= 0 {
		return noLane
	}
	lane := 0
	for i, part := range p.Lanes {
		if part.Gap <= gap {
			lane = i
		}
	}
	return lane
}

// sizes returns the number of servers of each lane, out of n, or nil if n is too small for a split. If there are too few servers
// for several tight lanes, the first one gets them all and the others none. capacity is that of all servers, as a number of servers that are
// not slow: the bulk lane has the slow ones, and gets more servers for its share.
func (p *LanePlan) sizes(n int, capacity float64) []int {
	if p == nil || n < minLaneServers {
		return nil
	}
	bulk := len(p.Lanes) - 1
	sizes := make([]int, len(p.Lanes))
	tight := min(max(int(math.Round((1-p.bulkShare())*capacity)), 1), n-1)
	sizes[0], sizes[bulk] = tight, n-tight
	if bulk < 2 || tight < minTightServers {
		return sizes
	}
	sizes[0] = min(max(int(math.Round(float64(tight)*p.Lanes[0].Share/(1-p.bulkShare()))), 1), tight-1)
	sizes[1] = tight - sizes[0]
	return sizes
}
