package serverset

import "time"

// SetDrainedZones sets the availability zones whose servers get no new work.
func (s *Set) SetDrainedZones(now time.Time, zones []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetDrainedZones(now, zones)
}
