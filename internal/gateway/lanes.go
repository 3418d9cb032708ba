package gateway

import (
	"sync"
	"time"

	"github.com/guavastack/guavastack/internal/core/route"
)

// lanes learn for each service how its servers are split. They are safe for concurrent use.
type lanes struct {
	mu        sync.Mutex
	byService map[string]*route.Lanes
}

func newLanes() *lanes { return &lanes{byService: make(map[string]*route.Lanes)} }

// choose notes the work that a request of a route brings, and returns its lane and the number of servers in the tight one.
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
	return of.Of(x.route.GapTarget), of.Split(now, servers)
}

// delayed notes how long a request waited for the beginning of its answer.
func (l *lanes) delayed(x *exchange, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if of := l.byService[x.service]; of != nil {
		of.Served(x.lane, took, x.route.LatencyTarget)
	}
}
