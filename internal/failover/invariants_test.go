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

// The same verdict every time: rapid draws from a seed of our own.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "2026"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// drawFixture is a world drawn by lot: two to five halls in up to three regions.
func drawFixture(random *rand.Rand) *fixture {
	fx := threeZones(0)
	fx.zones, fx.gateways, fx.demand, fx.readyPower, fx.healthy = nil, nil, nil, nil, nil
	fx.settings.Regions = nil
	for i := range 2 + random.IntN(4) {
		name := string(rune('a' + i))
		fx.zones, fx.gateways = append(fx.zones, name), append(fx.gateways, 2+random.IntN(5))
		fx.demand = append(fx.demand, 20+60*random.Float64())
		fx.readyPower, fx.healthy = append(fx.readyPower, float64(5+random.IntN(11))), append(fx.healthy, 1)
		if r := len(fx.settings.Regions); r == 0 || r < 3 && random.IntN(2) == 0 {
			fx.settings.Regions = append(fx.settings.Regions, Region{Name: "r" + name})
		}
		r := &fx.settings.Regions[len(fx.settings.Regions)-1]
		r.Zones = append(r.Zones, name)
	}
	return fx
}

// injectFault changes something in the world by lot.
func (fx *fixture) injectFault(random *rand.Rand) string {
	n := len(fx.zones)
	h, to := random.IntN(n), random.IntN(n)
	switch kind := random.IntN(8); kind {
	case 0, 1:
		fx.healthy[h] = []float64{0, 0, 0.5, 1, 1, 1}[random.IntN(6)]
	case 2:
		fx.readyPower[h] = float64(random.IntN(16))
	case 3:
		if h != to {
			fx.lostLinks[[2]int{h, to}] = !fx.lostLinks[[2]int{h, to}]
		}
	case 4:
		fx.demand[h] *= 0.5 + random.Float64()
	case 5:
		fx.silent[h] = !fx.silent[h]
	case 6:
		fx.blindGateway[h] = !fx.blindGateway[h]
	case 7:
		fx.newLeader()
	}
	return fmt.Sprintf("sound %v, listed %v, demand %.0f, cut %v, mute %v, blind %v", fx.healthy, fx.readyPower, fx.demand,
		fx.lostLinks, fx.silent, fx.blindGateway)
}

// simulate lets a drawn world go through troubles with a decider that goes by terms of its own, and gives the first promise
// that it breaks, of those that the file's terms make.
func simulate(seed uint64, own func(*Settings, *time.Duration)) error {
	random := rand.New(rand.NewPCG(seed, 29))
	fx := drawFixture(random)
	promised := fx.settings.WithDefaults()
	lease := fx.lease
	own(&fx.settings, &lease)
	lead := func() {
		fx.controller = New(fx.settings, lease)
		fx.controller.settings = fx.settings.WithDefaults()
		fx.controller.estimates.settings = &fx.controller.settings
	}
	lead()
	fx.run(6 * time.Second)
	for range 6 {
		said := fx.injectFault(random)
		fx.faultAt = fx.now
		lead()
		for end := fx.now + time.Duration(2+random.IntN(14))*time.Second; fx.now < end; {
			was := append([]writtenPlan{}, fx.plans...)
			if len(fx.run(tick)) == 0 {
				continue
			}
			if err := fx.check(was, fx.plans[len(fx.plans)-1], promised); err != nil {
				return fmt.Errorf("seed %d at %v: %w (%s)", seed, fx.now, err, said)
			}
		}
	}
	return nil
}

func (fx *fixture) sameRow(a, b *Plan, zone string) bool {
	return maps.Equal(a.Rows[zone], b.Rows[zone]) && a.Shed[zone] == b.Shed[zone]
}

// lastMove is when a hall's tasks last moved; 0: not yet.
func (fx *fixture) lastMove(was []writtenPlan, zone string) time.Duration {
	for i := len(was) - 1; i > 0; i-- {
		if !fx.sameRow(was[i-1].plan, was[i].plan, zone) {
			return was[i].at
		}
	}
	return 0
}

// maxEarlier is the most that a pair gets by any plan before the latest that some gateway may still hold.
func (fx *fixture) maxEarlier(was []writtenPlan, fromZone, toZone string) float64 {
	largest := 0
	for i, p := range was {
		if i == len(was)-1 || was[i+1].at > fx.now-fx.lease {
			largest = max(largest, p.plan.Rows[fromZone][toZone])
		}
	}
	return float64(largest)
}

// check holds a plan, just written, against what was promised, by what the decider holds to be true: that this is what
// the world tells is what the stories show.
func (fx *fixture) check(was []writtenPlan, now writtenPlan, promised Settings) error {
	e, plan := fx.controller.estimates, now.plan
	for to, toZone := range fx.zones {
		bears, _ := e.capacity(to, toZone)
		load, foreign, both, before := 0.0, 0.0, 0.0, 0.0
		for from, fromZone := range fx.zones {
			d := max(e.demand[from], minDemand)
			amount := float64(plan.Rows[fromZone][toZone])
			if from == to {
				amount -= float64(plan.Shed[fromZone])
			} else {
				foreign += amount / fullShare * d
			}
			load += amount / fullShare * d
			old := fx.maxEarlier(was, fromZone, toZone)
			both, before = both+max(amount, old)/fullShare*d, before+old/fullShare*d
		}
		slack := 0.01*bears + 0.05
		if foreign > slack && load > (promised.MaxUtilisation+1)/2*bears+slack {
			return fmt.Errorf("%s gets %.1f, of that %.1f of others, and bears %.1f", toZone, load, foreign, bears)
		}
		if foreign > slack && both > max(bears, before)+slack {
			return fmt.Errorf("%s gets %.1f by old plans or new, %.1f by old ones, and bears %.1f", toZone, both, before, bears)
		}
	}
	for _, fromZone := range fx.zones {
		sum := 0
		for _, x := range plan.Rows[fromZone] {
			if sum += x; x < 0 {
				return fmt.Errorf("a share of %s is %d", fromZone, x)
			}
		}
		if sum != fullShare || plan.Shed[fromZone] > plan.Rows[fromZone][fromZone] {
			return fmt.Errorf("row of %s: %v, shed %d", fromZone, plan.Rows[fromZone], plan.Shed[fromZone])
		}
		if len(was) == 0 {
			continue
		}
		last := was[len(was)-1].plan
		at := fx.lastMove(was, fromZone)
		if plan.Reasons[fromZone] == reasonOrdinary && at > 0 && now.at < at+promised.holdDown() && !fx.sameRow(last, plan, fromZone) {
			return fmt.Errorf("%s moved at %v, and again", fromZone, at)
		}
		for to, toZone := range fx.zones {
			well := now.at > fx.faultAt+3*time.Second && fx.healthy[to] > 0 && fx.readyPower[to] > 0
			if well && strings.Contains(plan.Reasons[fromZone], toZone+" is lost") && !fx.sameRow(last, plan, fromZone) {
				return fmt.Errorf("%s flees from %s, which is well", fromZone, toZone)
			}
		}
		home := func(plan *Plan) int { return plan.Rows[fromZone][fromZone] - plan.Shed[fromZone] }
		if up := home(plan) - home(last); float64(up) > promised.RecoveryStep*fullShare+21 &&
			(last.Shed[fromZone] > 0 || plan.Reasons[fromZone] == reasonOrdinary) {
			return fmt.Errorf("%s comes back by %d at once, from %+v to %+v", fromZone, up, last, plan)
		}
	}
	return nil
}

func unchanged(*Settings, *time.Duration) {}

func TestController_drawnFaultsBreakNoInvariant(t *testing.T) {
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

// Bugs planted in a decider are found by the same play.
func TestSimulate_findsSeededDefects(t *testing.T) {
	for name, plant := range map[string]func(*Settings, *time.Duration){
		"plan above the receiver's strength": func(t *Settings, _ *time.Duration) { t.MaxUtilisation = 1.3 },
		"return without steps":               func(t *Settings, _ *time.Duration) { t.RecoveryStep = 1 },
		"one gateway's word":                 func(t *Settings, _ *time.Duration) { t.MinGateways, t.AgreementShare = 1, 0.15 },
		"no rest":                            func(t *Settings, _ *time.Duration) { t.HoldDownSeconds = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(200) {
				if err := simulate(seed, plant); err != nil {
					t.Logf("found after %d runs: %v", seed+1, err)
					return
				}
			}
			t.Error("not found in 200 runs")
		})
	}
}

// The same sums give the same bytes, whatever the order of maps.
func TestController_sameObservationsSamePlan(t *testing.T) {
	var first []byte
	for range 3 {
		fx := threeZones(3)
		fx.run(6 * time.Second)
		fx.healthy[0], fx.demand[1] = 0, 77
		fx.run(20 * time.Second)
		if first == nil {
			first = fx.entry.Value
		}
		if !bytes.Equal(first, fx.entry.Value) {
			t.Fatal("another plan")
		}
	}
}
