package routing

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/failover"
)

// goldenSteering are the hashes of all that the gate is handed along drawn streams of plans, by seed.
var goldenSteering = map[uint64]string{
	2026: "dacb9615976f25e655c5d373b827599a75815584940a19cfea14048edbbdc32b",
	12:   "8f901b3878bdcdc348bd13dd63b9abccd1e6456a51b9b63221a71ea91b1a261f",
}

// TestUpdater_drawnStreamSteersAsBefore holds what the gate is handed along drawn streams of plans, leases and losses.
func TestUpdater_drawnStreamSteersAsBefore(t *testing.T) {
	for _, seed := range []uint64{2026, 12} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			if got := steerDrawn(t, seed); got != goldenSteering[seed] {
				t.Errorf("the steering hashes to %s, not %s", got, goldenSteering[seed])
			}
		})
	}
}

// steerDrawn takes 600 steps of drawn plans and hashes what the gate holds after each.
func steerDrawn(t *testing.T, seed uint64) string {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 41))
	f, u, _ := newFixture(t)
	sum := sha256.New()
	epoch := uint64(0)
	for range 600 {
		switch random.IntN(8) {
		case 0, 1:
			epoch++
			f.setTable(t, epoch, drawnPlan(random))
		case 2:
			epoch++
			f.setTable(t, epoch, drawnPlan(random))
			f.held.Value = f.held.Value[:random.IntN(len(f.held.Value))] // cut short, or none at all
		case 3:
			f.held.LeaseEnd = f.now + time.Duration(random.IntN(3000))*time.Millisecond // the lease is renewed
		case 4:
			f.zoneLost = !f.zoneLost
		case 5:
			f.held = coordination.CachedTable{}
		}
		f.now += time.Duration(random.IntN(900)) * time.Millisecond
		u.Update()
		acts := f.inForce()
		fmt.Fprintln(sum, f.applied, f.until, f.leased.Weights, f.leased.ShedFraction, f.fallback.Weights, f.fallback.ShedFraction, acts.Weights, acts.ShedFraction)
	}
	return hex.EncodeToString(sum.Sum(nil))
}

// drawnPlan draws a plan, also with halls that the list doesn't have.
func drawnPlan(random *rand.Rand) *failover.Plan {
	p := &failover.Plan{Rows: map[string]map[string]int{}, Fallback: map[string]map[string]int{}, Health: map[string]int{},
		Shed: map[string]int{}, Reasons: map[string]string{"a": "drawn"}}
	zones := []string{"a", "b", "c", "x"}
	for _, from := range zones[:3] {
		row, alone, left := map[string]int{}, map[string]int{}, 1000
		for _, to := range zones[:2+random.IntN(3)] {
			share := random.IntN(left + 1)
			row[to], alone[to] = share, random.IntN(400)
			left -= share
		}
		row[from] += left
		if random.IntN(5) > 0 {
			p.Rows[from], p.Fallback[from] = row, alone
		}
		p.Health[from] = 250 * random.IntN(5)
		if random.IntN(3) == 0 {
			p.Shed[from] = random.IntN(row[from] + 1)
		}
	}
	return p
}
