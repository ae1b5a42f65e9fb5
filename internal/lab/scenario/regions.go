package scenario

// hallsMost is the most halls of a world: more than any installation has.
const maxZones = 64

// RegionOf gives the region of each hall, from 0. A hall that the file names in no region, as it names none, is of
// region 0.
func (s *Scenario) ZoneRegions() []int {
	of := make([]int, s.Gateways.Zones)
	for region, halls := range s.Gateways.Regions {
		for _, h := range halls {
			if h >= 0 && h < len(of) { // a world made smaller may have fewer halls
				of[h] = region
			}
		}
	}
	return of
}

// regionsWrong tells what is wrong with the regions: each hall stands in one, where there are any.
func (s *Scenario) checkRegions(say func(good bool, path, format string, args ...any)) {
	if len(s.Gateways.Regions) == 0 || s.Gateways.Zones > maxZones {
		return
	}
	seen := map[int]int{}
	for _, halls := range s.Gateways.Regions {
		for _, h := range halls {
			seen[h]++
			say(h >= 0 && h < s.Gateways.Zones, "gateways.regions", "names hall %d; from 0 to %d is allowed", h,
				s.Gateways.Zones-1)
			say(seen[h] == 1, "gateways.regions", "names hall %d twice", h)
		}
	}
	for h := range s.Gateways.Zones {
		say(seen[h] > 0, "gateways.regions", "leaves out hall %d", h)
	}
}
