package catalog

import "slices"

// HomeRegions returns the regions whose servers may get a request of the route and the organisation, which may be nil. The result is
// false if neither has home regions: then every server may. If both have some, only the regions that both have remain, which may be none.
func HomeRegions(r *Route, o *Organisation) (regions []string, limited bool) {
	switch {
	case o == nil || len(o.HomeRegions) == 0:
		return r.HomeRegions, len(r.HomeRegions) > 0
	case len(r.HomeRegions) == 0:
		return o.HomeRegions, true
	}
	for _, region := range r.HomeRegions {
		if slices.Contains(o.HomeRegions, region) {
			regions = append(regions, region)
		}
	}
	return regions, true
}
