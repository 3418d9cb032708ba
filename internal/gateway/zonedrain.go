package gateway

import "time"

// applyZoneDrains applies the drains of availability zones, and logs which have begun or ended. The caller is the only one at a time.
func (s *Server) applyZoneDrains() {
	before, after := s.drains.Load(), s.dir.ZoneDrains()
	if after == before {
		return
	}
	s.servers.SetDrainedZones(time.Now(), after.Zones())
	s.drains.Store(after)
	for _, d := range after.Drains {
		if old := before.Find(d.Zone); old == nil || old.SinceMS != d.SinceMS {
			s.cfg.Logger.Warn("zone drained", "zone", d.Zone, "since_ms", d.SinceMS, "ordered_by", d.By, "revision", after.Revision)
		}
	}
	for _, d := range before.Zones() {
		if after.Find(d) == nil {
			s.cfg.Logger.Info("zone no longer drained", "zone", d, "revision", after.Revision)
		}
	}
}

// drainedZones returns the number of drained zones.
func (s *Server) drainedZones() int64 { return int64(len(s.drains.Load().Zones())) }

// drainedServers returns the number of ready backend servers that get no new work since their zone is drained.
func (s *Server) drainedServers() int64 {
	drains, n := s.drains.Load(), int64(0)
	if len(drains.Zones()) == 0 {
		return 0
	}
	for _, state := range s.servers.States() {
		if b, ok := s.servers.Find(state.ID); ok && drains.Find(b.Zone) != nil {
			n++
		}
	}
	return n
}
