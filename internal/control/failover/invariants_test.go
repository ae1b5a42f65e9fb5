package failover

import (
	"bytes"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"
)

// TestMain sets rapid's seed, so that each run generates the same cases.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "2026"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// simulate runs a random simulation with random faults. The controller's settings and lease are
// modified by change. simulate returns an error if a plan violates an invariant of the unmodified
// settings.
func simulate(seed uint64, change func(*Settings, *time.Duration)) error {
	random := rand.New(rand.NewPCG(seed, 29))
	sim := randomSimulation(random)
	guaranteed := sim.settings.WithDefaults()
	lease := sim.lease
	change(&sim.settings, &lease)
	newLeader := func() { sim.controller = New(sim.settings, lease) }
	newLeader()
	sim.run(6 * time.Second)
	for range 6 {
		state := sim.injectFault(random)
		sim.faultAt = sim.now
		newLeader()
		for end := sim.now + time.Duration(2+random.IntN(14))*time.Second; sim.now < end; {
			earlier := append([]writtenPlan{}, sim.plans...)
			if len(sim.run(tick)) == 0 {
				continue
			}
			if err := sim.checkPlan(earlier, sim.plans[len(sim.plans)-1], guaranteed); err != nil {
				return fmt.Errorf("seed %d at %v: %w (%s)", seed, sim.now, err, state)
			}
		}
	}
	return nil
}

// hasSameRow reports whether two plans distribute a zone's requests in the same way.
func hasSameRow(a, b *Plan, zone string) bool {
	return maps.Equal(a.Rows[zone], b.Rows[zone]) && a.Shed[zone] == b.Shed[zone]
}

// lastMove returns the time at which a zone's requests last moved, or 0 if they never did.
func lastMove(plans []writtenPlan, zone string) time.Duration {
	for i := len(plans) - 1; i > 0; i-- {
		if !hasSameRow(plans[i-1].plan, plans[i].plan, zone) {
			return plans[i].at
		}
	}
	return 0
}

// maxEarlierShare returns the largest share of a receiver, in thousandths, in the earlier plans
// that some gateway may still act on.
func (s *simulation) maxEarlierShare(earlier []writtenPlan, fromZone, toZone string) float64 {
	largest := 0
	for i, written := range earlier {
		if i == len(earlier)-1 || earlier[i+1].at > s.now-s.lease {
			largest = max(largest, written.plan.Rows[fromZone][toZone])
		}
	}
	return float64(largest)
}

// checkPlan checks a plan that was just written against the guarantees of the settings. It uses the
// controller's own estimates. TestController_situations checks that these follow the simulation's
// reports.
func (s *simulation) checkPlan(earlier []writtenPlan, written writtenPlan, guaranteed Settings) error {
	for to := range s.zones {
		if err := s.checkReceiver(earlier, written.plan, guaranteed, to); err != nil {
			return err
		}
	}
	for _, zone := range s.zones {
		if err := checkRow(written.plan, zone); err != nil {
			return err
		}
		if len(earlier) == 0 {
			continue
		}
		if err := s.checkMove(earlier, written, guaranteed, zone); err != nil {
			return err
		}
	}
	return nil
}

// checkReceiver checks that requests of other zones do not load a zone above its capacity.
func (s *simulation) checkReceiver(earlier []writtenPlan, plan *Plan, guaranteed Settings, to int) error {
	toZone := s.zones[to]
	capacity, _ := s.controller.estimates.capacity(to, toZone)
	load, loadFromOthers, combined, previous := 0.0, 0.0, 0.0, 0.0
	for from, fromZone := range s.zones {
		demand := max(s.controller.estimates.demand[from], minDemand)
		share := float64(plan.Rows[fromZone][toZone])
		if from == to {
			share -= float64(plan.Shed[fromZone])
		} else {
			loadFromOthers += share / fullShare * demand
		}
		load += share / fullShare * demand
		old := s.maxEarlierShare(earlier, fromZone, toZone)
		combined += max(share, old) / fullShare * demand
		previous += old / fullShare * demand
	}
	slack := 0.01*capacity + 0.05
	if loadFromOthers > slack && load > (guaranteed.MaxUtilisation+1)/2*capacity+slack {
		return fmt.Errorf("%s gets %.1f units a second, %.1f of them from other zones, capacity %.1f",
			toZone, load, loadFromOthers, capacity)
	}
	if loadFromOthers > slack && combined > max(capacity, previous)+slack {
		return fmt.Errorf("%s gets %.1f units a second by previous or new plans, %.1f by previous ones, capacity %.1f",
			toZone, combined, previous, capacity)
	}
	return nil
}

// checkRow checks that no share of a zone is negative, that its shares add up to all requests, and
// that no more is shed than the local share.
func checkRow(plan *Plan, zone string) error {
	sum := 0
	for _, share := range plan.Rows[zone] {
		sum += share
		if share < 0 {
			return fmt.Errorf("row of %s has a share of %d", zone, share)
		}
	}
	if sum != fullShare || plan.Shed[zone] > plan.Rows[zone][zone] {
		return fmt.Errorf("row of %s: %v, shed %d", zone, plan.Rows[zone], plan.Shed[zone])
	}
	return nil
}

// checkMove checks that a zone's requests do not move within a hold-down without a failure, that no
// healthy zone is treated as lost, and that requests return in steps.
func (s *simulation) checkMove(earlier []writtenPlan, written writtenPlan, guaranteed Settings, zone string) error {
	last := earlier[len(earlier)-1].plan
	plan := written.plan
	isOrdinary := plan.Reasons[zone] == reasonOrdinary
	hasMoved := !hasSameRow(last, plan, zone)
	if at := lastMove(earlier, zone); isOrdinary && at > 0 && written.at < at+guaranteed.holdDown() && hasMoved {
		return fmt.Errorf("requests of %s moved at %v and again within the hold-down", zone, at)
	}
	for to, toZone := range s.zones {
		isHealthy := written.at > s.faultAt+3*time.Second && s.healthy[to] > 0 && s.readyPower[to] > 0
		if isHealthy && strings.Contains(plan.Reasons[zone], toZone+" is lost") && hasMoved {
			return fmt.Errorf("requests of %s move away because %s is lost, although it is healthy", zone, toZone)
		}
	}
	ownShare := func(plan *Plan) int { return plan.Rows[zone][zone] - plan.Shed[zone] }
	rise := ownShare(plan) - ownShare(last)
	if float64(rise) > guaranteed.RecoveryStep*fullShare+21 && (last.Shed[zone] > 0 || isOrdinary) {
		return fmt.Errorf("own share of %s grows by %d thousandths in one move, from %+v to %+v",
			zone, rise, last, plan)
	}
	return nil
}

func TestController_randomFaultsViolateNoInvariant(t *testing.T) {
	unchanged := func(*Settings, *time.Duration) {}
	for part := range uint64(8) {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			for seed := part * 8; seed < part*8+8; seed++ {
				if err := simulate(seed, unchanged); err != nil {
					t.Error(err)
				}
			}
		})
	}
}

// TestSimulate_findsSeededDefects checks that the simulation detects controllers with defects that
// violate an invariant.
func TestSimulate_findsSeededDefects(t *testing.T) {
	for name, change := range map[string]func(*Settings, *time.Duration){
		"plan above the receiver's capacity": func(s *Settings, _ *time.Duration) { s.MaxUtilisation = 1.3 },
		"recovery without steps":             func(s *Settings, _ *time.Duration) { s.RecoveryStep = 1 },
		"one gateway's observations": func(s *Settings, _ *time.Duration) {
			s.MinGateways = 1
			s.AgreementShare = 0.15
		},
		"no hold-down": func(s *Settings, _ *time.Duration) { s.HoldDownSeconds = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(200) {
				if err := simulate(seed, change); err != nil {
					t.Logf("defect found after %d runs: %v", seed+1, err)
					return
				}
			}
			t.Error("defect not found in 200 runs")
		})
	}
}

// TestController_sameObservationsSamePlan checks that the same sums lead to a plan with the same
// bytes: it must not depend on the iteration order of maps.
func TestController_sameObservationsSamePlan(t *testing.T) {
	var first []byte
	for range 3 {
		sim := threeZones(3)
		sim.run(6 * time.Second)
		sim.healthy[0] = 0
		sim.demand[1] = 77
		sim.run(20 * time.Second)
		if first == nil {
			first = sim.entry.Value
		}
		if !bytes.Equal(first, sim.entry.Value) {
			t.Fatal("the same observations led to different plans")
		}
	}
}
