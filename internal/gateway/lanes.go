package gateway

import (
	"math"
	"sync"
	"time"

	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// maxShareDeviation is the largest difference between the common share and this process's estimate at which the common one is
// used. A larger one means that the traffic has changed so much that every process observes it, before the control group has
// updated the common share.
const maxShareDeviation = 0.06

// lanes assign the streams of each service to its tight or bulk lane, and estimate the work of each lane from them. They are safe
// for concurrent use.
type lanes struct {
	commonShare func(service string) (share float64, ok bool) // the share that the control group decided for all processes

	mu        sync.Mutex
	byService map[string]*route.Lanes
}

func newLanes(common func(service string) (float64, bool)) *lanes {
	return &lanes{commonShare: common, byService: make(map[string]*route.Lanes)}
}

// choose records the work of a request and returns its lane and the number of servers in the tight lane. Until the control group
// has decided on a share, this process splits the servers by its own estimate.
func (l *lanes) choose(x *exchange, servers int) (lane route.Lane, tightServers int) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	serviceLanes := l.byService[x.service]
	if serviceLanes == nil {
		serviceLanes = route.NewLanes()
		l.byService[x.service] = serviceLanes
	}
	serviceLanes.Observe(now, x.route.Name, x.route.GapTarget, unsharedTokens(x.call.Prompt))
	lane = serviceLanes.LaneFor(x.route.GapTarget)
	share, ok := serviceLanes.Share(now)
	if common, known := l.commonShare(x.service); known && (!ok || math.Abs(common-share) <= maxShareDeviation) {
		share, ok = common, true
	}
	if !ok {
		return lane, 0
	}
	return lane, route.TightServers(share, servers)
}

// recordDelay records how long the caller of x waited for the beginning of the answer.
func (l *lanes) recordDelay(x *exchange, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if serviceLanes := l.byService[x.service]; serviceLanes != nil {
		serviceLanes.RecordDelay(x.lane, took, x.route.LatencyTarget)
	}
}

// work returns the recent work of all services.
func (l *lanes) work() []*controlpb.LaneWork {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*controlpb.LaneWork
	for service, serviceLanes := range l.byService {
		w := serviceLanes.Work(now)
		if w.Tight+w.Bulk == 0 {
			continue
		}
		out = append(out, &controlpb.LaneWork{
			Service: service, Tight: w.Tight, Bulk: w.Bulk, TightDelay: w.TightDelay, BulkDelay: w.BulkDelay,
		})
	}
	return out
}
