package gateway

import (
	"time"

	"github.com/guavastack/guavastack/internal/meter"
)

// recordUsage counts x once for billing, in the billing window of began, the time at which a backend server began to run it.
func (s *Server) recordUsage(x *exchange, began time.Time) {
	if s.cfg.UsageWindow <= 0 || x.metered || x.organisation == "" {
		return
	}
	x.metered = true
	at := s.dir.Wall().Add(-time.Since(began))
	window := uint64(at.UnixNano()) / uint64(s.cfg.UsageWindow)
	s.usage.Add(meter.Key{Window: window, Organisation: x.organisation}, meter.Amounts{Requests: 1})
}
