package route

import "slices"

// Regions restrict a request to the servers of some regions. The zero value restricts nothing.
type Regions struct {
	IsLimited bool
	Names     []string // with IsLimited; empty: no server may get the request
}

// SetRegions sets the region of each availability zone. A server in another zone is in no region.
func (t *Table) SetRegions(byZone map[string]string) { t.regions = byZone }

// allow reports whether a request that is limited to these regions may go to the server.
func (r *Regions) allow(s *server) bool {
	region, known := s.group.table.regions[s.Zone]
	return known && slices.Contains(r.Names, region)
}
