package gateway

import (
	"sync"
	"time"

	"github.com/guavastack/guavastack/internal/core/catalog"
	"github.com/guavastack/guavastack/internal/core/route"
)

// lanes observe the streams of each service and determine the plan by which its servers are split. They are safe for concurrent
// use.
type lanes struct {
	commonPlan func(service string) (plan *route.LanePlan, ok bool) // the plan that the control group decided for all processes

	mu        sync.Mutex
	byService map[string]*serviceLanes
}

// serviceLanes are the observations of one service, and the plan by them alone.
type serviceLanes struct {
	observed *route.Lanes
	plan     *route.LanePlan
}

func newLanes(common func(service string) (*route.LanePlan, bool)) *lanes {
	return &lanes{commonPlan: common, byService: make(map[string]*serviceLanes)}
}

// maxPlanDeviation is the largest difference between the common plan and this process's own at which the common one is used, as a
// share of the servers. A larger one means that the traffic has changed so much that every process observes it, before the control
// group has updated the common plan.
const maxPlanDeviation = 0.06

// observe records the work of x and returns the plan of its service.
func (l *lanes) observe(x *exchange) *route.LanePlan {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	service := l.byService[x.service]
	if service == nil {
		service = &serviceLanes{observed: route.NewLanes()}
		l.byService[x.service] = service
	}
	outputWork := route.OutputWork(x.call.Prompt.MaxOutputTokens, slotsOf(x.catalog.Service(x.service)))
	service.observed.Observe(now, x.route.GapTarget, unsharedTokens(x.call.Prompt), outputWork)
	service.plan = route.SplitLanes(service.plan, service.observed.Work(now))
	if common, ok := l.commonPlan(x.service); ok {
		if service.plan == nil || !service.plan.DiffersFrom(common, maxPlanDeviation) {
			return common
		}
		if common != nil {
			service.plan = service.plan.WithSlow(common.Slow)
		}
	}
	return service.plan
}

// assumedSlots is the number of requests that an engine runs at a time if the catalog does not state it.
const assumedSlots = 32

func slotsOf(service *catalog.Service) int {
	if service == nil || service.Engine == nil || service.Engine.Slots <= 0 {
		return assumedSlots
	}
	return service.Engine.Slots
}

// recordDelay records how long the caller of x waited for something, such as the beginning of the answer, with the target for it.
func (l *lanes) recordDelay(x *exchange, took, target time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if service := l.byService[x.service]; service != nil {
		service.observed.RecordDelay(x.route.GapTarget, took, target)
	}
}

// work returns the recent work of all services.
func (l *lanes) work() []route.ServiceWork {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []route.ServiceWork
	for name, service := range l.byService {
		out = append(out, route.ServiceWork{Service: name, Streams: service.observed.Work(now)})
	}
	return out
}
