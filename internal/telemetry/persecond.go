package telemetry

import (
	"sync"
	"time"
)

// PerSecondLimiter limits the number of events in each second. The zero value is ready to use. It is safe for concurrent use.
type PerSecondLimiter struct {
	mu     sync.Mutex
	second int64
	count  int
}

// Allow counts an event at the given time and reports whether it is among the first limit events of its second.
func (p *PerSecondLimiter) Allow(at time.Time, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := at.Unix(); s != p.second {
		p.second, p.count = s, 0
	}
	p.count++
	return p.count <= limit
}
