package failover

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// Less strength never gets more: the layout, without limits of links and steps.
func TestLessStrengthNeverGetsMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "halls")
		k := &task{most: 0.8, fixed: make([][]float64, n), trial: make([]float64, n), lift: make([]bool, n)}
		for range n {
			k.region = append(k.region, rapid.IntRange(0, 1).Draw(t, "region"))
			k.demand = append(k.demand, rapid.Float64Range(1, 100).Draw(t, "demand"))
			k.bears = append(k.bears, rapid.Float64Range(0, 100).Draw(t, "bears"))
			k.shut, k.before = append(k.shut, make([]bool, n)), append(k.before, make([]float64, n))
			high := make([]float64, n)
			for i := range high {
				high[i] = math.Inf(1)
			}
			k.low, k.high = append(k.low, make([]float64, n)), append(k.high, high)
		}
		k.lay()
		less := rapid.IntRange(0, n-1).Draw(t, "less")
		was := k.loads
		k.bears[less] *= rapid.Float64Range(0, 1).Draw(t, "part")
		k.lay()
		for i, load := range k.loads {
			if load > k.most*k.bears[i]+1e-6 {
				t.Fatalf("hall %d gets %v and bears %v", i, load, k.bears[i])
			}
		}
		if k.loads[less] > was[less]+1e-6 {
			t.Fatalf("hall %d gets %v, and got %v with more strength", less, k.loads[less], was[less])
		}
	})
}

// old lays out a drawn situation with old plans in force, and tells where more than a hall bears may come by old and new
// together. Reckon: the layout is told of the old plans.
func old(seed uint64, reckon bool) error {
	chance := rand.New(rand.NewPCG(seed, 3))
	n := 2 + chance.IntN(4)
	rows := func(most float64) (m [][]float64) {
		for range n {
			row := make([]float64, n)
			for i := range row {
				row[i] = most * chance.Float64()
			}
			m = append(m, row)
		}
		return m
	}
	before, none := rows(30), rows(0)
	k := &task{most: 0.8, region: make([]int, n), shut: make([][]bool, n), before: before, fixed: make([][]float64, n),
		low: none, high: rows(0), trial: make([]float64, n), lift: make([]bool, n)}
	for f := range n {
		k.demand, k.bears = append(k.demand, 80*chance.Float64()), append(k.bears, 100*chance.Float64())
		k.shut[f] = make([]bool, n)
		for t := range n {
			k.high[f][t] = math.Inf(1)
		}
	}
	if !reckon {
		k.before = none
	}
	out, _ := k.lay()
	for t := range n {
		was, both := 0.0, 0.0
		for f := range n {
			was += before[f][t]
			both += max(before[f][t], out[f][t])
		}
		if both > max(was, k.bears[t])+1e-6 {
			return fmt.Errorf("hall %d: %.2f by old and new, %.2f by old, bears %.2f", t, both, was, k.bears[t])
		}
	}
	return nil
}

// While a lease runs some act on the old plan and some on the new: no hall may get more than it bears by both. A layout
// that does not reckon with the old plan is found.
func TestOldPlansAreReckonedWith(t *testing.T) {
	found := uint64(0)
	for seed := range uint64(500) {
		if err := old(seed, true); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		if found == 0 && old(seed, false) != nil {
			found = seed + 1
		}
	}
	if t.Logf("planted bug found after %d runs", found); found == 0 {
		t.Error("the planted bug is not found")
	}
}
