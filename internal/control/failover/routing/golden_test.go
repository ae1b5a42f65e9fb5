package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"harrierhoist/internal/control/failover"
	"harrierhoist/internal/coordination"
	"harrierhoist/internal/testing/golden"
)

// goldenSteering contains the hashes of the steering that is set during random streams of plans, by
// seed.
var goldenSteering = map[uint64]string{
	2026: "dacb9615976f25e655c5d373b827599a75815584940a19cfea14048edbbdc32b",
	12:   "8f901b3878bdcdc348bd13dd63b9abccd1e6456a51b9b63221a71ea91b1a261f",
}

// TestUpdater_randomStreamSteeringIsStable checks that the steering set during random streams of
// plans, leases and zone losses does not change between versions.
func TestUpdater_randomStreamSteeringIsStable(t *testing.T) {
	for _, seed := range []uint64{2026, 12} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			if got := hashRandomSteering(t, seed); got != goldenSteering[seed] {
				t.Errorf("the hash of the steering is %s, want %s", got, goldenSteering[seed])
			}
		})
	}
}

// hashRandomSteering runs 600 steps with random plans and returns a hash of the dispatcher's
// steering after each of them.
func hashRandomSteering(t *testing.T, seed uint64) string {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 41))
	f, updater, _ := newFixture(t)
	sum := golden.NewDigest()
	epoch := uint64(0)
	for range 600 {
		switch random.IntN(8) {
		case 0, 1:
			epoch++
			f.setTable(t, epoch, randomPlan(random))
		case 2:
			epoch++
			f.setTable(t, epoch, randomPlan(random))
			f.table.Value = f.table.Value[:random.IntN(len(f.table.Value))] // truncated or empty
		case 3:
			f.table.LeaseEnd = f.now + time.Duration(random.IntN(3000))*time.Millisecond
		case 4:
			f.zoneLost = !f.zoneLost
		case 5:
			f.table = coordination.CachedTable{}
		}
		f.now += time.Duration(random.IntN(900)) * time.Millisecond
		updater.Update()
		inForce := f.inForce()
		sum.Println(f.applied, f.leaseEnd, f.leased.Weights, f.leased.ShedFraction, f.fallback.Weights,
			f.fallback.ShedFraction, inForce.Weights, inForce.ShedFraction)
	}
	return sum.String()
}

// randomPlan returns a random plan. It may contain a zone that the endpoint list does not.
func randomPlan(random *rand.Rand) *failover.Plan {
	plan := &failover.Plan{
		Rows: map[string]map[string]int{}, FallbackRows: map[string]map[string]int{}, Health: map[string]int{},
		Shed: map[string]int{}, Reasons: map[string]string{"a": "drawn"},
	}
	zones := []string{"a", "b", "c", "x"}
	for _, from := range zones[:3] {
		row := map[string]int{}
		fallback := map[string]int{}
		rest := 1000
		for _, to := range zones[:2+random.IntN(3)] {
			share := random.IntN(rest + 1)
			row[to] = share
			fallback[to] = random.IntN(400)
			rest -= share
		}
		row[from] += rest
		if random.IntN(5) > 0 {
			plan.Rows[from] = row
			plan.FallbackRows[from] = fallback
		}
		plan.Health[from] = 250 * random.IntN(5)
		if random.IntN(3) == 0 {
			plan.Shed[from] = random.IntN(row[from] + 1)
		}
	}
	return plan
}
