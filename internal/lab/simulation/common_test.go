package simulation

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"harrierhoist/internal/failover"
	"harrierhoist/internal/lab/baseline"
	"harrierhoist/internal/lab/scenario"
)

// threeHalls is a world of three halls in two regions, decided as said.
func threeHalls(how string, troubles ...scenario.Trouble) *scenario.World {
	w := small(troubles...)
	w.Length = span(16 * time.Second)
	w.Gateways.Count, w.Gateways.Halls, w.Gateways.Regions = 12, 3, [][]int{{0, 1}, {2}}
	w.Servers.Count, w.Load.Rate = 18, 250
	for i := range w.Plans {
		w.Plans[i].Rate, w.Plans[i].Burst, w.Plans[i].CeilingRate = 0, 0, 0
	}
	w.Common.How = how
	return w
}

func lostHall(hall int, at, long time.Duration) scenario.Trouble {
	return scenario.Trouble{Kind: "hall_lost", Hall: hall, At: span(at), For: span(long)}
}

// A hall is lost: who decides in common pushes elsewhere within two seconds, next door before another region; on a
// calm day all is pushed near, which the program as it is does not do.
func TestALostHallIsLeftWithinTwoSeconds(t *testing.T) {
	t.Parallel()
	calm, plain := play(t, threeHalls(scenario.All), 1, baseline.Module), play(t, threeHalls(scenario.None), 1, baseline.Module)
	if part := float64(calm.Crossed) / float64(calm.Pushes); part > 0.02 || calm.Wrong > 0 {
		t.Errorf("calm: %.3f between halls, %d wrong", part, calm.Wrong)
	}
	if plain.Plans != 0 || plain.Crossed*3 < plain.Pushes || plain.Offered != calm.Offered ||
		plain.GainDue != calm.GainDue {
		t.Errorf("as it is: %d plans, %d of %d crossed, %d and %d offered", plain.Plans, plain.Crossed, plain.Pushes,
			plain.Offered, calm.Offered)
	}
	if m := calm.Held; m.Digests < 12*5*15 || m.Digests > 12*5*16 || calm.Led.Merged < 2*10*15 ||
		calm.Led.Merged > 2*10*16 {
		t.Errorf("12 gateways and two voters, five and ten messages a second for 16 s: %+v, leader %+v", m, calm.Led)
	}
	lost := play(t, threeHalls(scenario.All, lostHall(0, 4*time.Second, 6*time.Second)), 1, baseline.Module)
	if len(lost.PlanMs) != 4 || slices.Max(lost.PlanMs) > 2000 || lost.Wrong > 0 {
		t.Errorf("gateways left after %v ms; %d wrong", lost.PlanMs, lost.Wrong)
	}
	if lost.Far*3 > lost.Crossed || lost.Crossed*10 < lost.Pushes {
		t.Errorf("%d crossed, %d of them to another region, of %d", lost.Crossed, lost.Far, lost.Pushes)
	}
}

// Voters that are cut off, killed and unheard must never have a gateway act on a plan whose lease, told from when it
// asked, is over, nor hold one that was not written; and once all is well again all act on the latest.
func TestNoGatewayActsOnAPlanAfterItsLease(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := threeHalls(scenario.All, lostHall(0, 3*time.Second, 8*time.Second),
			scenario.Trouble{Kind: "leader_lost", At: span(4 * time.Second), For: span(2 * time.Second)},
			scenario.Trouble{Kind: "hall_cut", Hall: 1, At: span(5 * time.Second), For: span(4 * time.Second)},
			scenario.Trouble{Kind: "hall_cut", Hall: 2, At: span(6 * time.Second), For: span(4 * time.Second)},
			scenario.Trouble{Kind: "standstill", Part: 0.3, At: span(5 * time.Second), For: span(3 * time.Second)},
			scenario.Trouble{Kind: "kill", Part: 0.3, At: span(7 * time.Second), For: span(time.Second)})
		w.Common.Loss = 0.1
		e, err := begin(w, seed, baseline.Module)
		if err != nil {
			t.Fatal(err)
		}
		over, holding, written := 0, 0, uint64(0)
		stood := map[uint64]time.Duration{} // until when each epoch was the latest
		for now := origin; now < origin+w.Length.D(); now += 50 * time.Millisecond {
			e.clock.RunUntil(now)
			for past := e.common.entry.Epoch; past > 0 && stood[past-1] == 0; past-- {
				stood[past-1] = now
			}
			if now < origin+w.Length.D()-w.Common.Lease.D() {
				written = e.common.entry.Epoch
			}
			for _, f := range e.common.followers {
				if !f.g.alive || e.clock.Now() < f.g.still {
					continue
				}
				if f.held.Epoch > e.common.entry.Epoch || f.held.LeaseEnd > e.clock.Now()+w.Common.Lease.D() {
					t.Fatalf("seed %d: gateway %d holds epoch %d of %d until %v at %v", seed, f.n, f.held.Epoch,
						e.common.entry.Epoch, f.held.LeaseEnd, e.clock.Now())
				}
				if f.held.LeaseEnd > e.clock.Now() {
					if end := stood[f.held.Epoch]; end > 0 && now-end > w.Common.Lease.D() {
						t.Fatalf("seed %d: gateway %d acts on epoch %d, %v after the next", seed, f.n, f.held.Epoch, now-end)
					}
					continue
				}
				over++
				if f.keep(); !alone(t, f) { // as with its next task
					t.Fatalf("seed %d: at %v gateway %d acts on %v after its lease", seed, e.clock.Now()-origin, f.n, f.by)
				}
			}
		}
		if over == 0 {
			t.Fatalf("seed %d: no lease ended, nothing was shown", seed)
		}
		for _, f := range e.common.followers {
			if f.held.LeaseEnd > e.clock.Now() && f.held.Epoch < written {
				t.Errorf("seed %d: at the end gateway %d holds epoch %d, and %d stood a lease ago", seed, f.n, f.held.Epoch,
					written)
			}
			if f.held.LeaseEnd > e.clock.Now() {
				holding++
			}
		}
		if holding < len(e.common.followers)*2/3 { // messages are still lost: some wait for their next read
			t.Errorf("seed %d: at the end %d gateways hold a lease", seed, holding)
		}
	}
}

// alone tells whether a gateway acts as the plan it last held has it act by itself, its own hall lost or not.
func alone(t *testing.T, f *follower) bool {
	p, err := failover.DecodePlan(f.held.Value)
	if err != nil {
		t.Fatal(err)
	}
	for _, lost := range []bool{false, true} {
		part, same := p.FallbackAssignment(f.c.halls[f.g.hall], lost), true
		for n, hall := range f.c.halls {
			same = same && f.by.Weights[n] == part.Weights[hall]
		}
		if same && f.by.ShedFraction == part.Shed {
			return true
		}
	}
	return false
}

func TestPlaysInCommonAreTheSameEveryTime(t *testing.T) {
	t.Parallel()
	for _, how := range []string{scenario.Own, scenario.All} {
		var texts [2]string
		for i := range texts {
			w := threeHalls(how, lostHall(1, 3*time.Second, 5*time.Second),
				scenario.Trouble{Kind: "leader_lost", At: span(4 * time.Second), For: span(2 * time.Second)})
			w.Common.Loss, w.Gateways.Pool = 0.05, true
			text, _ := json.Marshal(play(t, w, 3, baseline.Module))
			texts[i] = string(text)
		}
		if texts[0] != texts[1] {
			t.Errorf("%s: two plays differ", how)
		}
	}
}
