package debts

// Flow is what a creditor wants of a debtor, and its weight among the others.
type Flow struct{ Want, Weight float64 } // Weight above 0

// Limit is what several flows share: the sum of each flow times what one of it takes stays at most at Most.
type Limit struct {
	Most float64
	Each []float64 // by flow; 0: takes none
}

// almost is the part by which a sum may miss its limit: rounding.
const almost = 1e-9

// Fair gives the flows that are weighted max-min fair within the limits: none can have more without one that has
// less for its weight getting less still, or without passing what it wants. All rise together by weight, and each
// stops where it has what it wants or a limit that it takes of is full (progressive filling: Bertsekas and Gallager,
// Data Networks, 1992, 6.5.2).
func Fair(flows []Flow, limits []Limit) []float64 {
	got := make([]float64, len(flows))
	rising := make([]bool, len(flows))
	left := 0
	for i, f := range flows {
		if rising[i] = f.Want > 0 && f.Weight > 0; rising[i] {
			left++
		}
	}
	for left > 0 {
		step := -1.0
		least := func(s float64) {
			if s = max(s, 0); step < 0 || s < step {
				step = s
			}
		}
		for i, f := range flows {
			if rising[i] {
				least((f.Want - got[i]) / f.Weight)
			}
		}
		for _, l := range limits {
			if used, grows := l.use(flows, got, rising); grows > 0 {
				least((l.Most - used) / grows)
			}
		}
		for i, f := range flows {
			if rising[i] {
				got[i] += step * f.Weight
			}
		}
		before := left
		stop := func(i int) {
			if rising[i] {
				rising[i] = false
				left--
			}
		}
		for i, f := range flows {
			if got[i] >= f.Want*(1-almost) {
				stop(i)
			}
		}
		for _, l := range limits {
			if used, _ := l.use(flows, got, rising); used >= l.Most*(1-almost) {
				for i := range flows {
					if l.Each[i] > 0 {
						stop(i)
					}
				}
			}
		}
		if left == before {
			break // cannot be but by rounding: what rose so far is within all limits
		}
	}
	return got
}

// use is what the flows take of a limit, and how much more at each step of those that still rise.
func (l Limit) use(flows []Flow, got []float64, rising []bool) (used, grows float64) {
	for i, each := range l.Each {
		used += each * got[i]
		if rising[i] {
			grows += each * flows[i].Weight
		}
	}
	return used, grows
}
