package settlement

// Flow is what a creditor wants of a debtor, and its weight among the others.
type Flow struct{ Demand, Weight float64 } // Weight above 0

// Limit is what several flows share: the sum of each flow times what one of it takes stays at most at Most.
type Limit struct {
	Capacity   float64
	UsePerFlow []float64 // by flow; 0: takes none
}

// roundingTolerance is the part by which a sum may miss its limit: rounding.
const roundingTolerance = 1e-9

// MaxMinFair gives the flows that are weighted max-min fair within the limits: none can have more without one that has
// less for its weight getting less still, or without passing what it wants. All rise together by weight, and each
// stops where it has what it wants or a limit that it takes of is full (progressive filling: Bertsekas and Gallager,
// Data Networks, 1992, 6.5.2).
func MaxMinFair(flows []Flow, limits []Limit) []float64 {
	rates := make([]float64, len(flows))
	rising := make([]bool, len(flows))
	risingCount := 0
	for i, f := range flows {
		if rising[i] = f.Demand > 0 && f.Weight > 0; rising[i] {
			risingCount++
		}
	}
	for risingCount > 0 {
		increment := -1.0
		limitIncrement := func(s float64) {
			if s = max(s, 0); increment < 0 || s < increment {
				increment = s
			}
		}
		for i, f := range flows {
			if rising[i] {
				limitIncrement((f.Demand - rates[i]) / f.Weight)
			}
		}
		for _, l := range limits {
			if used, growth := l.usage(flows, rates, rising); growth > 0 {
				limitIncrement((l.Capacity - used) / growth)
			}
		}
		for i, f := range flows {
			if rising[i] {
				rates[i] += increment * f.Weight
			}
		}
		before := risingCount
		stop := func(i int) {
			if rising[i] {
				rising[i] = false
				risingCount--
			}
		}
		for i, f := range flows {
			if rates[i] >= f.Demand*(1-roundingTolerance) {
				stop(i)
			}
		}
		for _, l := range limits {
			if used, _ := l.usage(flows, rates, rising); used >= l.Capacity*(1-roundingTolerance) {
				for i := range flows {
					if l.UsePerFlow[i] > 0 {
						stop(i)
					}
				}
			}
		}
		if risingCount == before {
			break // cannot be but by rounding: what rose so far is within all limits
		}
	}
	return rates
}

// usage is what the flows take of a limit, and how much more at each step of those that still rise.
func (l Limit) usage(flows []Flow, rates []float64, rising []bool) (used, growth float64) {
	for i, usePerFlow := range l.UsePerFlow {
		used += usePerFlow * rates[i]
		if rising[i] {
			growth += usePerFlow * flows[i].Weight
		}
	}
	return used, growth
}
