package scenario

// maxZones is the most zones of a scenario: more than any installation has.
const maxZones = 64

// ZoneRegions returns the region of each zone, from 0. A zone that the file names in no region is
// in region 0.
func (s *Scenario) ZoneRegions() []int {
	regionOf := make([]int, s.Gateways.Zones)
	for region, zones := range s.Gateways.Regions {
		for _, zone := range zones {
			if zone >= 0 && zone < len(regionOf) { // a scenario scaled down may have fewer zones
				regionOf[zone] = region
			}
		}
	}
	return regionOf
}

// checkRegions checks that each zone is in one region, where there are any.
func (s *Scenario) checkRegions(checker *checker) {
	if len(s.Gateways.Regions) == 0 || s.Gateways.Zones > maxZones {
		return
	}
	const key = "gateways.regions"
	seen := map[int]int{}
	for _, zones := range s.Gateways.Regions {
		for _, zone := range zones {
			seen[zone]++
			checker.check(
				zone >= 0 && zone < s.Gateways.Zones,
				key,
				"names hall %d; from 0 to %d is allowed",
				zone,
				s.Gateways.Zones-1,
			)
			checker.check(seen[zone] == 1, key, "names hall %d twice", zone)
		}
	}
	for zone := range s.Gateways.Zones {
		checker.check(seen[zone] > 0, key, "leaves out hall %d", zone)
	}
}
