package failover

import (
	"testing"
	"time"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/statemachine"
	"harrierhoist/internal/zonestats"
)

// fixture is halls with gateways that tell what they see of them, as sums that a decider goes by. It is the world's own
// truth that the plans are held against.
type fixture struct {
	zones        []string
	gateways     []int           // by hall
	demand       []float64       // units a second that quotas let in, pushed or not
	unadmitted   map[int]float64 // and, by hall, that they don't
	readyPower   []float64       // strength by the list
	healthy      []float64       // part of it that answers
	lostLinks    map[[2]int]bool
	blindGateway map[int]bool // halls whose first gateway sees nothing answer, its list being empty
	silent       map[int]bool // halls whose gateways' digests don't come
	now          time.Duration
	faultAt      time.Duration // when something last changed
	sums         map[string]uint64
	entry        statemachine.Table
	lease        time.Duration
	settings     Settings
	controller   *Controller
	plans        []writtenPlan
}

type writtenPlan struct {
	at   time.Duration
	plan *Plan
}

const tick = 100 * time.Millisecond

// threeZones is three halls in two regions, with so many gateways each, that bear 100 units a second each.
func threeZones(gateways int) *fixture {
	fx := &fixture{zones: []string{"a", "b", "c"}, lostLinks: map[[2]int]bool{}, blindGateway: map[int]bool{}, silent: map[int]bool{},
		sums: map[string]uint64{}, unadmitted: map[int]float64{}, lease: 2 * time.Second,
		settings: Settings{Enabled: true, Capacity: 10, Regions: []Region{{"north", []string{"a", "b"}}, {"south", []string{"c"}}}}}
	for range fx.zones {
		fx.gateways, fx.demand = append(fx.gateways, gateways), append(fx.demand, 50)
		fx.readyPower, fx.healthy = append(fx.readyPower, 10), append(fx.healthy, 1)
	}
	fx.newLeader()
	return fx
}

// newLeader has a new leader begin, with a clock of its own.
func (fx *fixture) newLeader() { fx.controller = New(fx.settings, fx.lease) }

func (fx *fixture) add(name string, n float64) { fx.sums[name] += uint64(n) }

// share is the part of a hall's tasks pushed to another by the plan that stands.
func (fx *fixture) share(from, to int) float64 {
	if len(fx.plans) == 0 {
		return map[bool]float64{true: 1}[from == to]
	}
	plan := fx.plans[len(fx.plans)-1].plan
	amount := float64(plan.Rows[fx.zones[from]][fx.zones[to]])
	if from == to {
		amount -= float64(plan.Shed[fx.zones[from]])
	}
	return amount / fullShare
}

// report has all gateways count a tick.
func (fx *fixture) report() {
	ms := float64(tick / time.Millisecond)
	for from, fromZone := range fx.zones {
		if fx.silent[from] {
			continue
		}
		fx.add(zonestats.AwakeTime(fromZone), ms*float64(fx.gateways[from]))
		fx.add(zonestats.Admitted(fromZone), fx.demand[from]*ms)
		fx.add(zonestats.Offered(fromZone), (fx.demand[from]+fx.unadmitted[from])*ms)
		fx.add(zonestats.Completed(fromZone, fromZone, "well"), 10) // a hundred pushes a second
		for g := range fx.gateways[from] {
			blind := g == 0 && fx.blindGateway[from]
			for to, toZone := range fx.zones {
				strength := fx.readyPower[to]
				if blind {
					strength = 0
				}
				b := zonestats.PowerBand(strength)
				fx.add(zonestats.ReadyTime(toZone, b), ms)
				fx.add(zonestats.ReadyPower(toZone, b), ms*strength)
				q := int(fx.healthy[to]*zonestats.Healthy + 0.5)
				if blind || fx.lostLinks[[2]int{from, to}] {
					q = zonestats.Lost
				}
				if fx.share(from, to) > 0 && fx.readyPower[to] > 0 || blind {
					fx.add(zonestats.HealthTime(fromZone, toZone, q), ms)
				}
			}
		}
	}
}

// run lets the world go on for a while, and gives the plans written meanwhile.
func (fx *fixture) run(span time.Duration) []writtenPlan {
	first := len(fx.plans)
	for end := fx.now + span; fx.now < end; {
		fx.now += tick
		fx.report()
		seen := coordination.ControllerInput{Sums: fx.sums, Table: func(string) statemachine.Table { return fx.entry }}
		if value, write := fx.controller.Decide(fx.now, seen); write {
			plan, err := DecodePlan(value)
			if err != nil {
				panic(err)
			}
			fx.entry = statemachine.Table{Epoch: fx.entry.Epoch + 1, Value: value}
			fx.plans = append(fx.plans, writtenPlan{fx.now, plan})
		}
	}
	return fx.plans[first:]
}

// load is what is pushed to a hall by the plan that stands.
func (fx *fixture) load(to int) float64 {
	sum := 0.0
	for from := range fx.zones {
		sum += fx.share(from, to) * fx.demand[from]
	}
	return sum
}

func (fx *fixture) wantBetween(t *testing.T, what string, got, least, most float64) {
	t.Helper()
	if got < least || got > most {
		plan, _ := DecodePlan(fx.entry.Value)
		t.Errorf("%s is %.3f, not from %.3f to %.3f; the plan: %+v", what, got, least, most, plan)
	}
}

// isLocal tells whether all of a hall's tasks stay there.
func (plan *Plan) isLocal(zone string) bool {
	return len(plan.Rows[zone]) == 0 || plan.Rows[zone][zone] == fullShare
}
