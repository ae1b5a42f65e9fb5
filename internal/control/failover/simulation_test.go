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

// tick is how often the simulation's gateways report and its controller decides.
const tick = 100 * time.Millisecond

// simulation is zones with gateways that report what they observe of them, as sums that a
// controller goes by. Plans are checked against what is true in the simulation, not against what
// the controller holds to be true. Slices are by zone index.
type simulation struct {
	zones        []string
	gateways     []int
	demand       []float64       // units a second that quotas admit, attempted or not
	unadmitted   map[int]float64 // by zone, units a second that quotas reject
	readyPower   []float64       // as listed
	healthy      []float64       // part of it that answers
	lostLinks    map[[2]int]bool
	blindGateway map[int]bool // zones whose first gateway sees no answer and has an empty list
	silent       map[int]bool // zones whose gateways' digests do not arrive
	now          time.Duration
	faultAt      time.Duration // when something last changed
	sums         map[string]uint64
	entry        statemachine.Table
	lease        time.Duration
	settings     Settings
	controller   *Controller
	plans        []writtenPlan
}

// writtenPlan is a plan and when it was written.
type writtenPlan struct {
	at   time.Duration
	plan *Plan
}

// threeZones is three zones in two regions with so many gateways each, and a capacity of 100 units
// a second each.
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

// drawSimulation draws two to five zones in up to three regions.
func drawSimulation(random *rand.Rand) *simulation {
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

// injectFault draws a change and says what is true after it.
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

// newLeader has a new controller start.
func (s *simulation) newLeader() { s.controller = New(s.settings, s.lease) }

func (s *simulation) add(name string, n float64) { s.sums[name] += uint64(n) }

// share is the part of a zone's requests sent to another by the plan in force.
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

// latest is the plan in force.
func (s *simulation) latest() *Plan { return s.plans[len(s.plans)-1].plan }

// report has all gateways count a tick.
func (s *simulation) report() {
	milliseconds := float64(tick / time.Millisecond)
	for from, fromZone := range s.zones {
		if s.silent[from] {
			continue
		}
		s.add(zonestats.AwakeTime(fromZone), milliseconds*float64(s.gateways[from]))
		s.add(zonestats.Admitted(fromZone), s.demand[from]*milliseconds)
		s.add(zonestats.Offered(fromZone), (s.demand[from]+s.unadmitted[from])*milliseconds)
		s.add(zonestats.Completed(fromZone, fromZone, zonestats.OutcomeAnswered), 10) // a hundred attempts a second
		for gateway := range s.gateways[from] {
			s.reportGateway(from, gateway == 0 && s.blindGateway[from], milliseconds)
		}
	}
}

// reportGateway has one gateway count what it observes of all zones in so many milliseconds.
func (s *simulation) reportGateway(from int, isBlind bool, milliseconds float64) {
	for to, toZone := range s.zones {
		power := s.readyPower[to]
		if isBlind {
			power = 0
		}
		band := zonestats.PowerBand(power)
		s.add(zonestats.ReadyTime(toZone, band), milliseconds)
		s.add(zonestats.ReadyPower(toZone, band), milliseconds*power)
		quarter := int(s.healthy[to]*zonestats.Healthy + 0.5)
		if isBlind || s.lostLinks[[2]int{from, to}] {
			quarter = zonestats.Lost
		}
		if s.share(from, to) > 0 && s.readyPower[to] > 0 || isBlind {
			s.add(zonestats.HealthTime(s.zones[from], toZone, quarter), milliseconds)
		}
	}
}

// run lets time pass, and gives the plans written meanwhile.
func (s *simulation) run(span time.Duration) []writtenPlan {
	first := len(s.plans)
	for end := s.now + span; s.now < end; {
		s.step()
	}
	return s.plans[first:]
}

// step lets a tick pass, and gives what the controller decided.
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

// load is what is sent to a zone by the plan in force, in units a second.
func (s *simulation) load(to int) float64 {
	sum := 0.0
	for from := range s.zones {
		sum += s.share(from, to) * s.demand[from]
	}
	return sum
}

func (s *simulation) wantBetween(t *testing.T, what string, got, least, most float64) {
	t.Helper()
	if got < least || got > most {
		t.Errorf("%s is %.3f, not from %.3f to %.3f; the plan: %+v", what, got, least, most, s.latest())
	}
}

// isLocal tells whether all of a zone's requests stay there.
func (p *Plan) isLocal(zone string) bool {
	return len(p.Rows[zone]) == 0 || p.Rows[zone][zone] == fullShare
}

// isAllLocal tells whether all requests of the simulation's three zones stay where they come in.
func (p *Plan) isAllLocal() bool { return p.isLocal("a") && p.isLocal("b") && p.isLocal("c") }
