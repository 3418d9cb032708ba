package control

import (
	"sync"
	"time"

	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/core/wallclock"
)

// clocks computes the time of day that the members agree on. It is safe for concurrent use.
type clocks struct {
	mu     sync.Mutex
	agreed *wallclock.Clocks
}

func newClocks() *clocks { return &clocks{agreed: wallclock.NewClocks()} }

// record records another member's wall clock, in microseconds since the Unix epoch; 0 is ignored.
func (c *clocks) record(id string, wallUS int64) {
	if wallUS == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.agreed.RecordReading(id, time.UnixMicro(wallUS), clock.Wall())
}

// wall returns the agreed wall clock time.
func (c *clocks) wall() time.Time {
	own := clock.Wall()
	c.mu.Lock()
	defer c.mu.Unlock()
	return own.Add(c.agreed.Offset(own))
}

// Wall returns the wall clock time that the members of the control group agree on. Billing windows are based on it.
func (s *Service) Wall() time.Time { return s.clocks.wall() }
