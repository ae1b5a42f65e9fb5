package scenario

// hallsMost is the most halls of a world: more than any installation has.
const hallsMost = 64

// RegionOf gives the region of each hall, from 0. A hall that the file names in no region, as it names none, is of
// region 0.
func (w *World) RegionOf() []int {
	of := make([]int, w.Gateways.Halls)
	for region, halls := range w.Gateways.Regions {
		for _, h := range halls {
			if h >= 0 && h < len(of) { // a world made smaller may have fewer halls
				of[h] = region
			}
		}
	}
	return of
}

// regionsWrong tells what is wrong with the regions: each hall stands in one, where there are any.
func (w *World) regionsWrong(say func(good bool, path, format string, args ...any)) {
	if len(w.Gateways.Regions) == 0 || w.Gateways.Halls > hallsMost {
		return
	}
	seen := map[int]int{}
	for _, halls := range w.Gateways.Regions {
		for _, h := range halls {
			seen[h]++
			say(h >= 0 && h < w.Gateways.Halls, "gateways.regions", "names hall %d; from 0 to %d is allowed", h,
				w.Gateways.Halls-1)
			say(seen[h] == 1, "gateways.regions", "names hall %d twice", h)
		}
	}
	for h := range w.Gateways.Halls {
		say(seen[h] > 0, "gateways.regions", "leaves out hall %d", h)
	}
}
