package steer

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"harrierhoist/internal/cluster"
	"harrierhoist/internal/failover"
)

// goldenSteering are the hashes of all that the gate is handed along drawn streams of plans, by seed.
var goldenSteering = map[uint64]string{
	2026: "dacb9615976f25e655c5d373b827599a75815584940a19cfea14048edbbdc32b",
	12:   "8f901b3878bdcdc348bd13dd63b9abccd1e6456a51b9b63221a71ea91b1a261f",
}

// TestSteer_drawnStreamSteersAsBefore holds what the gate is handed along drawn streams of plans, leases and losses.
func TestSteer_drawnStreamSteersAsBefore(t *testing.T) {
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
	chance := rand.New(rand.NewPCG(seed, 41))
	b, s, _ := begin(t)
	sum := sha256.New()
	epoch := uint64(0)
	for range 600 {
		switch chance.IntN(8) {
		case 0, 1:
			epoch++
			b.hold(t, epoch, drawnPlan(chance))
		case 2:
			epoch++
			b.hold(t, epoch, drawnPlan(chance))
			b.held.Value = b.held.Value[:chance.IntN(len(b.held.Value))] // cut short, or none at all
		case 3:
			b.held.Until = b.now + time.Duration(chance.IntN(3000))*time.Millisecond // the lease is renewed
		case 4:
			b.lost = !b.lost
		case 5:
			b.held = cluster.Held{}
		}
		b.now += time.Duration(chance.IntN(900)) * time.Millisecond
		s.Step()
		acts := b.acts()
		fmt.Fprintln(sum, b.steered, b.until, b.by.Weights, b.by.Shed, b.after.Weights, b.after.Shed, acts.Weights, acts.Shed)
	}
	return hex.EncodeToString(sum.Sum(nil))
}

// drawnPlan draws a plan, also with halls that the list doesn't have.
func drawnPlan(chance *rand.Rand) *failover.Plan {
	p := &failover.Plan{Rows: map[string]map[string]int{}, Alone: map[string]map[string]int{}, Sound: map[string]int{},
		Shed: map[string]int{}, Why: map[string]string{"a": "drawn"}}
	halls := []string{"a", "b", "c", "x"}
	for _, from := range halls[:3] {
		row, alone, left := map[string]int{}, map[string]int{}, 1000
		for _, to := range halls[:2+chance.IntN(3)] {
			share := chance.IntN(left + 1)
			row[to], alone[to] = share, chance.IntN(400)
			left -= share
		}
		row[from] += left
		if chance.IntN(5) > 0 {
			p.Rows[from], p.Alone[from] = row, alone
		}
		p.Sound[from] = 250 * chance.IntN(5)
		if chance.IntN(3) == 0 {
			p.Shed[from] = chance.IntN(row[from] + 1)
		}
	}
	return p
}
