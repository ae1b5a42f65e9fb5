package failover

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// Less strength never gets more: the layout, without limits of links and steps.
func TestLayout_lessCapacityNeverGetsMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "halls")
		l := &layout{maxUtilisation: 0.8, fixed: make([][]float64, n), probes: make([]float64, n), liftLocal: make([]bool, n)}
		for range n {
			l.regionOf = append(l.regionOf, rapid.IntRange(0, 1).Draw(t, "region"))
			l.demand = append(l.demand, rapid.Float64Range(1, 100).Draw(t, "demand"))
			l.capacity = append(l.capacity, rapid.Float64Range(0, 100).Draw(t, "bears"))
			l.lostLinks, l.previous = append(l.lostLinks, make([]bool, n)), append(l.previous, make([]float64, n))
			high := make([]float64, n)
			for i := range high {
				high[i] = math.Inf(1)
			}
			l.low, l.high = append(l.low, make([]float64, n)), append(l.high, high)
		}
		l.compute()
		less := rapid.IntRange(0, n-1).Draw(t, "less")
		was := l.loads
		l.capacity[less] *= rapid.Float64Range(0, 1).Draw(t, "part")
		l.compute()
		for i, load := range l.loads {
			if load > l.maxUtilisation*l.capacity[i]+1e-6 {
				t.Fatalf("hall %d gets %v and bears %v", i, load, l.capacity[i])
			}
		}
		if l.loads[less] > was[less]+1e-6 {
			t.Fatalf("hall %d gets %v, and got %v with more strength", less, l.loads[less], was[less])
		}
	})
}

// checkPreviousRows lays out a drawn situation with old plans in force, and tells where more than a hall bears may come by old and new
// together. Reckon: the layout is told of the old plans.
func checkPreviousRows(seed uint64, reckon bool) error {
	random := rand.New(rand.NewPCG(seed, 3))
	n := 2 + random.IntN(4)
	rows := func(most float64) (m [][]float64) {
		for range n {
			row := make([]float64, n)
			for i := range row {
				row[i] = most * random.Float64()
			}
			m = append(m, row)
		}
		return m
	}
	before, none := rows(30), rows(0)
	l := &layout{maxUtilisation: 0.8, regionOf: make([]int, n), lostLinks: make([][]bool, n), previous: before, fixed: make([][]float64, n),
		low: none, high: rows(0), probes: make([]float64, n), liftLocal: make([]bool, n)}
	for from := range n {
		l.demand, l.capacity = append(l.demand, 80*random.Float64()), append(l.capacity, 100*random.Float64())
		l.lostLinks[from] = make([]bool, n)
		for to := range n {
			l.high[from][to] = math.Inf(1)
		}
	}
	if !reckon {
		l.previous = none
	}
	allocation, _ := l.compute()
	for to := range n {
		was, both := 0.0, 0.0
		for from := range n {
			was += before[from][to]
			both += max(before[from][to], allocation[from][to])
		}
		if both > max(was, l.capacity[to])+1e-6 {
			return fmt.Errorf("hall %d: %.2f by old and new, %.2f by old, bears %.2f", to, both, was, l.capacity[to])
		}
	}
	return nil
}

// While a lease runs some act on the old plan and some on the new: no hall may get more than it bears by both. A layout
// that does not reckon with the old plan is found.
func TestLayout_reservesForPreviousPlans(t *testing.T) {
	found := uint64(0)
	for seed := range uint64(500) {
		if err := checkPreviousRows(seed, true); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		if found == 0 && checkPreviousRows(seed, false) != nil {
			found = seed + 1
		}
	}
	if t.Logf("planted bug found after %d runs", found); found == 0 {
		t.Error("the planted bug is not found")
	}
}
