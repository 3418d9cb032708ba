package telemetry

import (
	"sync"
	"time"
)

// PerSecond bounds how often something happens in a second. Its zero value is ready. It is safe for concurrent use.
type PerSecond struct {
	mu     sync.Mutex
	second int64
	count  int
}

// Take reports whether one more at the given time is among the first limit of its second.
func (p *PerSecond) Take(at time.Time, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := at.Unix(); s != p.second {
		p.second, p.count = s, 0
	}
	p.count++
	return p.count <= limit
}
