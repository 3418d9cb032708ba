package control

import (
	"sync"
	"time"

	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/core/agreed"
)

// clocks is the agreed time of day of the members.
type clocks struct {
	mu     sync.Mutex
	agreed *agreed.Clocks
}

func newClocks() *clocks { return &clocks{agreed: agreed.NewClocks()} }

// note takes another member's time of day, in microseconds since 1970.
func (c *clocks) note(id string, wallUS int64) {
	if wallUS == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.agreed.Note(id, time.UnixMicro(wallUS), clock.Wall())
}

// wall returns the agreed time of day.
func (c *clocks) wall() time.Time {
	own := clock.Wall()
	c.mu.Lock()
	defer c.mu.Unlock()
	return own.Add(c.agreed.Ahead(own))
}

// Wall returns the time of day that the members of the control group agree on. Billing windows follow it.
func (s *Service) Wall() time.Time { return s.clocks.wall() }
