package settlement

// Flow is what one creditor could send to one debtor.
type Flow struct {
	Demand float64
	Weight float64 // above 0; among the other flows
}

// Limit is a capacity that several flows share: the sum of each flow's rate times its UsePerFlow
// stays within Capacity.
type Limit struct {
	Capacity   float64
	UsePerFlow []float64 // by flow; 0: the flow uses none of it
}

// roundingTolerance is the fraction by which a sum may miss its limit.
const roundingTolerance = 1e-9

// MaxMinFair returns the rates of the flows that are weighted max-min fair within the limits: no
// flow could have more without exceeding its demand or taking from one that has less for its
// weight. All rates rise together, by weight, and each stops at its demand or when a limit that it
// uses is full (progressive filling: Bertsekas and Gallager, Data Networks, 1992, 6.5.2).
func MaxMinFair(flows []Flow, limits []Limit) []float64 {
	f := newFilling(flows, limits)
	for f.risingCount > 0 {
		increment := f.largestIncrement()
		for i, flow := range flows {
			if f.rising[i] {
				f.rates[i] += increment * flow.Weight
			}
		}
		before := f.risingCount
		f.stopFull()
		if f.risingCount == before {
			break // only by rounding: the rates so far are within all limits
		}
	}
	return f.rates
}

// filling is the state of a progressive filling.
type filling struct {
	flows       []Flow
	limits      []Limit
	rates       []float64 // by flow
	rising      []bool    // by flow
	risingCount int
}

func newFilling(flows []Flow, limits []Limit) *filling {
	f := &filling{
		flows:  flows,
		limits: limits,
		rates:  make([]float64, len(flows)),
		rising: make([]bool, len(flows)),
	}
	for i, flow := range flows {
		f.rising[i] = flow.Demand > 0 && flow.Weight > 0
		if f.rising[i] {
			f.risingCount++
		}
	}
	return f
}

// largestIncrement returns by how much, for each unit of weight, all rising flows can rise together
// until the first of them has its demand or the first limit is full.
func (f *filling) largestIncrement() float64 {
	increment := -1.0 // none yet
	bound := func(candidate float64) {
		candidate = max(candidate, 0)
		if increment < 0 || candidate < increment {
			increment = candidate
		}
	}
	for i, flow := range f.flows {
		if f.rising[i] {
			bound((flow.Demand - f.rates[i]) / flow.Weight)
		}
	}
	for _, limit := range f.limits {
		used, growth := f.usage(limit)
		if growth > 0 {
			bound((limit.Capacity - used) / growth)
		}
	}
	return increment
}

// stopFull stops flows that have their demand, and those that use a limit that is full.
func (f *filling) stopFull() {
	for i, flow := range f.flows {
		if f.rates[i] >= flow.Demand*(1-roundingTolerance) {
			f.stop(i)
		}
	}
	for _, limit := range f.limits {
		used, _ := f.usage(limit)
		if used < limit.Capacity*(1-roundingTolerance) {
			continue
		}
		for i := range f.flows {
			if limit.UsePerFlow[i] > 0 {
				f.stop(i)
			}
		}
	}
}

func (f *filling) stop(flow int) {
	if f.rising[flow] {
		f.rising[flow] = false
		f.risingCount--
	}
}

// usage returns how much of a limit is used, and by how much that grows with each unit of
// increment.
func (f *filling) usage(limit Limit) (used, growth float64) {
	for i, perFlow := range limit.UsePerFlow {
		used += perFlow * f.rates[i]
		if f.rising[i] {
			growth += perFlow * f.flows[i].Weight
		}
	}
	return used, growth
}
