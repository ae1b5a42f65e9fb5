package failover

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"harrierhoist/internal/control/failover/zonestats"
	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/statemachine"
)

// tick is the interval at which the simulation's gateways report and its controller decides.
const tick = 100 * time.Millisecond

// simulation simulates zones whose gateways report their observations as merged sums to a
// controller. Most tests compare plans with the simulated state of the zones, not with the
// controller's estimates. Slices are indexed by zone.
type simulation struct {
	zones        []string
	gateways     []int           // number of gateways
	demand       []float64       // units a second that quotas admit, attempted or not
	unadmitted   map[int]float64 // units a second that quotas reject, by zone
	readyPower   []float64       // power of the listed servers
	healthy      []float64       // part of the listed power that answers
	lostLinks    map[[2]int]bool // lost links, by sender and receiver
	blindGateway map[int]bool    // zones whose first gateway gets no answer and has an empty list
	silent       map[int]bool    // zones whose gateways' digests do not arrive
	now          time.Duration
	faultAt      time.Duration     // time of the last change to the simulated state
	sums         map[string]uint64 // merged counts of all gateways
	entry        statemachine.Table
	lease        time.Duration
	settings     Settings
	controller   *Controller
	plans        []writtenPlan
}

// writtenPlan is a plan and the time at which it was written.
type writtenPlan struct {
	at   time.Duration
	plan *Plan
}

// threeZones returns three zones in two regions. Each has the given number of gateways, a capacity
// of 100 units a second and a demand of 50.
func threeZones(gateways int) *simulation {
	sim := &simulation{
		lostLinks: map[[2]int]bool{}, blindGateway: map[int]bool{}, silent: map[int]bool{}, sums: map[string]uint64{},
		unadmitted: map[int]float64{}, lease: 2 * time.Second,
		settings: Settings{
			Enabled: true, Capacity: 10,
			Regions: []Region{{"north", []string{"a", "b"}}, {"south", []string{"c"}}},
		},
	}
	for _, zone := range []string{"a", "b", "c"} {
		sim.addZone(zone, gateways, 50, 10)
	}
	sim.newLeader()
	return sim
}

func (s *simulation) addZone(name string, gateways int, demand, readyPower float64) {
	s.zones = append(s.zones, name)
	s.gateways = append(s.gateways, gateways)
	s.demand = append(s.demand, demand)
	s.readyPower = append(s.readyPower, readyPower)
	s.healthy = append(s.healthy, 1)
}

// randomSimulation returns a simulation of two to five random zones in up to three regions.
func randomSimulation(random *rand.Rand) *simulation {
	sim := threeZones(0)
	sim.zones, sim.gateways, sim.demand, sim.readyPower, sim.healthy = nil, nil, nil, nil, nil
	sim.settings.Regions = nil
	for i := range 2 + random.IntN(4) {
		name := string(rune('a' + i))
		gateways := 2 + random.IntN(5)
		demand := 20 + 60*random.Float64()
		sim.addZone(name, gateways, demand, float64(5+random.IntN(11)))
		if n := len(sim.settings.Regions); n == 0 || n < 3 && random.IntN(2) == 0 {
			sim.settings.Regions = append(sim.settings.Regions, Region{Name: "r" + name})
		}
		region := &sim.settings.Regions[len(sim.settings.Regions)-1]
		region.Zones = append(region.Zones, name)
	}
	return sim
}

// injectFault makes a random change and returns a description of the resulting state.
func (s *simulation) injectFault(random *rand.Rand) string {
	n := len(s.zones)
	zone := random.IntN(n)
	other := random.IntN(n)
	switch random.IntN(8) {
	case 0, 1:
		s.healthy[zone] = []float64{0, 0, 0.5, 1, 1, 1}[random.IntN(6)]
	case 2:
		s.readyPower[zone] = float64(random.IntN(16))
	case 3:
		if zone != other {
			s.lostLinks[[2]int{zone, other}] = !s.lostLinks[[2]int{zone, other}]
		}
	case 4:
		s.demand[zone] *= 0.5 + random.Float64()
	case 5:
		s.silent[zone] = !s.silent[zone]
	case 6:
		s.blindGateway[zone] = !s.blindGateway[zone]
	case 7:
		s.newLeader()
	}
	return fmt.Sprintf("healthy %v, ready power %v, demand %.0f, lost links %v, silent %v, blind gateways %v",
		s.healthy, s.readyPower, s.demand, s.lostLinks, s.silent, s.blindGateway)
}

// newLeader replaces the controller by a new one.
func (s *simulation) newLeader() { s.controller = New(s.settings, s.lease) }

func (s *simulation) addCount(name string, n float64) { s.sums[name] += uint64(n) }

// share returns the part of a zone's requests that the plan in force sends to another zone.
func (s *simulation) share(from, to int) float64 {
	if len(s.plans) == 0 {
		return map[bool]float64{true: 1}[from == to]
	}
	plan := s.latest()
	share := float64(plan.Rows[s.zones[from]][s.zones[to]])
	if from == to {
		share -= float64(plan.Shed[s.zones[from]])
	}
	return share / fullShare
}

// latest returns the plan in force. There must be one.
func (s *simulation) latest() *Plan { return s.plans[len(s.plans)-1].plan }

// report adds the counts of all gateways for one tick.
func (s *simulation) report() {
	milliseconds := float64(tick / time.Millisecond)
	for from, fromZone := range s.zones {
		if s.silent[from] {
			continue
		}
		s.addCount(zonestats.AwakeTimeName(fromZone), milliseconds*float64(s.gateways[from]))
		s.addCount(zonestats.AdmittedName(fromZone), s.demand[from]*milliseconds)
		s.addCount(zonestats.OfferedName(fromZone), (s.demand[from]+s.unadmitted[from])*milliseconds)
		s.addCount(zonestats.CompletedName(fromZone, fromZone, zonestats.OutcomeAnswered), 10) // 100 attempts a second
		for gateway := range s.gateways[from] {
			s.reportGateway(from, gateway == 0 && s.blindGateway[from], milliseconds)
		}
	}
}

// reportGateway adds the counts of one gateway's observations of all zones during a time in
// milliseconds.
func (s *simulation) reportGateway(from int, isBlind bool, milliseconds float64) {
	for to, toZone := range s.zones {
		power := s.readyPower[to]
		if isBlind {
			power = 0
		}
		band := zonestats.PowerBand(power)
		s.addCount(zonestats.ReadyTimeName(toZone, band), milliseconds)
		s.addCount(zonestats.ReadyPowerName(toZone, band), milliseconds*power)
		quarter := int(s.healthy[to]*zonestats.Healthy + 0.5)
		if isBlind || s.lostLinks[[2]int{from, to}] {
			quarter = zonestats.Lost
		}
		if s.share(from, to) > 0 && s.readyPower[to] > 0 || isBlind {
			s.addCount(zonestats.HealthTimeName(s.zones[from], toZone, quarter), milliseconds)
		}
	}
}

// run advances the time by a span and returns the plans written in that time.
func (s *simulation) run(span time.Duration) []writtenPlan {
	first := len(s.plans)
	for end := s.now + span; s.now < end; {
		s.step()
	}
	return s.plans[first:]
}

// step advances the time by one tick and returns the controller's decision.
func (s *simulation) step() (value []byte, write bool) {
	s.now += tick
	s.report()
	input := coordination.ControllerInput{Sums: s.sums, Table: func(string) statemachine.Table { return s.entry }}
	value, write = s.controller.Decide(s.now, input)
	if write {
		plan, err := DecodePlan(value)
		if err != nil {
			panic(err)
		}
		s.entry = statemachine.Table{Epoch: s.entry.Epoch + 1, Value: value}
		s.plans = append(s.plans, writtenPlan{s.now, plan})
	}
	return value, write
}

// load returns the rate that the plan in force sends to a zone, in units a second.
func (s *simulation) load(to int) float64 {
	sum := 0.0
	for from := range s.zones {
		sum += s.share(from, to) * s.demand[from]
	}
	return sum
}

func (s *simulation) wantInRange(t *testing.T, what string, got, minimum, maximum float64) {
	t.Helper()
	if got < minimum || got > maximum {
		t.Errorf("%s is %.3f, want %.3f to %.3f; plan in force: %+v", what, got, minimum, maximum, s.latest())
	}
}

// isLocal reports whether all of a zone's requests stay in the zone.
func (p *Plan) isLocal(zone string) bool {
	return len(p.Rows[zone]) == 0 || p.Rows[zone][zone] == fullShare
}

// isAllLocal reports whether all requests of the zones a, b and c stay in the zone at which they
// arrive.
func (p *Plan) isAllLocal() bool { return p.isLocal("a") && p.isLocal("b") && p.isLocal("c") }
