package settlement

// Flow is the load that may move from one creditor to one debtor.
type Flow struct {
	Demand float64 // maximum rate
	Weight float64 // weight relative to the other flows; above 0
}

// Limit is a capacity that several flows share. The sum over all flows of rate times UsePerFlow
// must not exceed Capacity.
type Limit struct {
	Capacity   float64
	UsePerFlow []float64 // by flow: capacity used per unit of rate; 0 if the flow does not use this capacity
}

// roundingTolerance is the relative error within which a demand or a capacity counts as reached.
const roundingTolerance = 1e-9

// MaxMinFair returns the weighted max-min fair rates of the flows within the limits: a flow's rate
// cannot be increased without exceeding its demand or reducing another flow whose rate per weight
// is no higher. The algorithm is progressive filling (Bertsekas and Gallager, Data Networks, 1992,
// section 6.5.2): all rates rise together in proportion to the weights, and each stops when it
// reaches its demand or a limit that it uses is saturated.
func MaxMinFair(flows []Flow, limits []Limit) []float64 {
	f := newFilling(flows, limits)
	for f.risingCount > 0 {
		increment := f.largestIncrement()
		for i, flow := range flows {
			if f.rising[i] {
				f.rates[i] += increment * flow.Weight
			}
		}
		previousCount := f.risingCount
		f.stopSaturated()
		if f.risingCount == previousCount {
			break // rounding prevents progress; the rates so far are within all limits
		}
	}
	return f.rates
}

// filling is the state of the progressive filling algorithm.
type filling struct {
	flows       []Flow
	limits      []Limit
	rates       []float64 // by flow
	rising      []bool    // by flow: whether the rate may still rise
	risingCount int       // number of rising flows
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

// largestIncrement returns the increment per unit of weight by which all rising flows can rise
// before one of them reaches its demand or a limit is saturated. At least one flow must be rising.
func (f *filling) largestIncrement() float64 {
	increment := -1.0 // no bound found yet
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

// stopSaturated stops the flows that have reached their demand or use a saturated limit.
func (f *filling) stopSaturated() {
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

// usage returns the used capacity of a limit, and its growth per unit of increment.
func (f *filling) usage(limit Limit) (used, growth float64) {
	for i, perFlow := range limit.UsePerFlow {
		used += perFlow * f.rates[i]
		if f.rising[i] {
			growth += perFlow * f.flows[i].Weight
		}
	}
	return used, growth
}
