package fleet

import (
	"cmp"
	"slices"
)

// zoneCount is a zone with its wanted servers while they are distributed.
type zoneCount struct {
	ZoneState
	wanted int
}

// distribute spreads the needed servers over the zones of a pool: the least of each zone first, then one at a time to
// the zone with the fewest. A zone without supply keeps what it has and grows no further.
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
	for !isEnough(pool, zones, need) && (pool.Max == 0 || total < pool.Max) {
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

// isEnough reports whether the zones carry the need, where asked also without the largest of them. When the largest
// zone is the only one that can grow, more servers there would not help.
func isEnough(pool Pool, zones []zoneCount, need int) bool {
	total, largest, largestOther := 0, 0, 0
	growing := slices.IndexFunc(zones, canGrow)
	single := growing >= 0 && !slices.ContainsFunc(zones[growing+1:], canGrow)
	for i, z := range zones {
		total += z.wanted
		largest = max(largest, z.wanted)
		if i != growing {
			largestOther = max(largestOther, z.wanted)
		}
	}
	if !pool.SurviveZoneLoss || len(zones) < 2 {
		return total >= need
	}
	if single && zones[growing].wanted >= largestOther && total >= need {
		return true
	}
	return total-largest >= need
}

// canGrow reports whether a zone can get another server: the platform has some, or one exists already.
func canGrow(z zoneCount) bool {
	return !z.NoSupply || z.wanted < z.Servers
}

// nextZone returns the zone that gets the next server, or -1 when none can grow.
func nextZone(zones []zoneCount) int {
	best := -1
	for i, z := range zones {
		if !canGrow(z) {
			continue
		}
		if best < 0 || before(z, zones[best]) {
			best = i
		}
	}
	return best
}

// before orders zones by the servers wanted already, then by those that need no new order, then by price and name.
func before(a, b zoneCount) bool {
	return cmp.Or(
		cmp.Compare(a.wanted, b.wanted),
		cmp.Compare(a.wanted-a.Servers, b.wanted-b.Servers),
		cmp.Compare(a.PricePerHour, b.PricePerHour),
		cmp.Compare(a.Zone, b.Zone),
	) < 0
}
