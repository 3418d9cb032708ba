package fleet

import (
	"cmp"
	"slices"
)

// zoneCount is a zone with the number of servers assigned to it so far.
type zoneCount struct {
	ZoneState
	wanted int
}

// distribute spreads the needed servers over the zones of a pool: first the minimum of each zone, then one at a time to the zone
// with the fewest. A zone without supply doesn't grow beyond its existing servers.
func distribute(pool Pool, o Observation, need int) map[string]int {
	zones := zoneCounts(pool, o)
	total := 0
	for i := range zones {
		zones[i].wanted = pool.MinPerZone
		if zones[i].NoSupply {
			zones[i].wanted = min(pool.MinPerZone, zones[i].Servers)
		}
		total += zones[i].wanted
	}
	for !coversNeed(pool, zones, need) && (pool.Max == 0 || total < pool.Max) {
		i := nextZone(zones)
		if i < 0 {
			break
		}
		zones[i].wanted++
		total++
	}
	wanted := make(map[string]int)
	for _, z := range zones {
		wanted[z.Zone] = z.wanted
		if n, ok := pool.Manual[z.Zone]; ok {
			wanted[z.Zone] = n
		}
	}
	return wanted
}

func zoneCounts(pool Pool, o Observation) []zoneCount {
	zones := make([]zoneCount, 0, len(pool.Zones))
	for _, name := range pool.Zones {
		z := ZoneState{Zone: name}
		if i := slices.IndexFunc(o.Zones, func(s ZoneState) bool { return s.Zone == name }); i >= 0 {
			z = o.Zones[i]
		}
		zones = append(zones, zoneCount{ZoneState: z})
	}
	return zones
}

// coversNeed reports whether the zones cover the need, with SurviveZoneLoss also without the largest zone. If the largest zone is
// the only one that can grow, the total is enough, because more servers there wouldn't help.
func coversNeed(pool Pool, zones []zoneCount, need int) bool {
	total, largest, largestOther := 0, 0, 0
	firstGrowable := slices.IndexFunc(zones, canGrow)
	onlyOneCanGrow := firstGrowable >= 0 && !slices.ContainsFunc(zones[firstGrowable+1:], canGrow)
	for i, z := range zones {
		total += z.wanted
		largest = max(largest, z.wanted)
		if i != firstGrowable {
			largestOther = max(largestOther, z.wanted)
		}
	}
	if !pool.SurviveZoneLoss || len(zones) < 2 {
		return total >= need
	}
	if onlyOneCanGrow && zones[firstGrowable].wanted >= largestOther && total >= need {
		return true
	}
	return total-largest >= need
}

// canGrow reports whether a zone can get another server: the platform can supply one, or it exists already.
func canGrow(z zoneCount) bool {
	return !z.NoSupply || z.wanted < z.Servers
}

// nextZone returns the index of the zone that gets the next server, or -1 if none can grow.
func nextZone(zones []zoneCount) int {
	best := -1
	for i, z := range zones {
		if !canGrow(z) {
			continue
		}
		if best < 0 || hasPriority(z, zones[best]) {
			best = i
		}
	}
	return best
}

// hasPriority reports whether a gets the next server rather than b: fewer wanted servers first, then zones where a server exists
// already, then lower price, then name.
func hasPriority(a, b zoneCount) bool {
	return cmp.Or(
		cmp.Compare(a.wanted, b.wanted),
		cmp.Compare(a.wanted-a.Servers, b.wanted-b.Servers),
		cmp.Compare(a.PricePerHour, b.PricePerHour),
		cmp.Compare(a.Zone, b.Zone),
	) < 0
}
