package gateway

import (
	"math"
	"sync"
	"time"

	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// maxOwnWay is the difference up to which a process follows the common share: beyond it traffic has changed so much that all
// processes see it, before the control group has heard of it.
const maxOwnWay = 0.06

// lanes learn for each service what comes for its lanes. They are safe for concurrent use.
type lanes struct {
	common func(service string) (share float64, ok bool) // what the control group decided for all processes

	mu        sync.Mutex
	byService map[string]*route.Lanes
}

func newLanes(common func(service string) (float64, bool)) *lanes {
	return &lanes{common: common, byService: make(map[string]*route.Lanes)}
}

// choose notes the work that a request of a route brings, and returns its lane and the number of servers in the tight one.
// Before the control group has decided, this process splits the servers by its own work.
func (l *lanes) choose(x *exchange, servers int) (lane route.Lane, tightServers int) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	of := l.byService[x.service]
	if of == nil {
		of = route.NewLanes()
		l.byService[x.service] = of
	}
	of.Observe(now, x.route.Name, x.route.GapTarget, ownTokens(x.call.Prompt))
	lane = of.Of(x.route.GapTarget)
	share, ok := of.Share(now)
	if common, known := l.common(x.service); known && (!ok || math.Abs(common-share) <= maxOwnWay) {
		share, ok = common, true
	}
	if !ok {
		return lane, 0
	}
	return lane, route.TightServers(share, servers)
}

// delayed notes how long a request waited for the beginning of its answer.
func (l *lanes) delayed(x *exchange, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if of := l.byService[x.service]; of != nil {
		of.Served(x.lane, took, x.route.LatencyTarget)
	}
}

// work returns the recent work of all services.
func (l *lanes) work() []*controlpb.LaneWork {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*controlpb.LaneWork
	for service, of := range l.byService {
		w := of.Work(now)
		if w.Tight+w.Bulk == 0 {
			continue
		}
		out = append(out, &controlpb.LaneWork{
			Service: service, Tight: w.Tight, Bulk: w.Bulk, TightDelay: w.TightDelay, BulkDelay: w.BulkDelay,
		})
	}
	return out
}
