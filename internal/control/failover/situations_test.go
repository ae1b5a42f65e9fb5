package failover

import (
	"bytes"
	_ "embed"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
)

//go:embed situations.toml
var situationRows []byte

// situation is a row of situations.toml. The comment at the top of that file explains the keys.
type situation struct {
	Name       string             `toml:"name"`
	Gateways   int                `toml:"gateways"`
	Demand     map[string]float64 `toml:"demand"`
	Unadmitted map[string]float64 `toml:"unadmitted"`
	Healthy    map[string]float64 `toml:"healthy"`
	ReadyPower map[string]float64 `toml:"ready_power"`
	LostLinks  []string           `toml:"lost_links"`
	Blind      []string           `toml:"blind"`
	Silent     []string           `toml:"silent"`
	Seconds    float64            `toml:"seconds"`
	Shares     map[string]int     `toml:"shares"`
	Shed       map[string]int     `toml:"shed"`
	Lost       []string           `toml:"lost"`
	Slack      float64            `toml:"slack"`
}

// TestController_situations simulates each row of situations.toml and compares the plan with the
// values that the row states.
func TestController_situations(t *testing.T) {
	var file struct {
		Rows []situation `toml:"row"`
	}
	if err := toml.NewDecoder(bytes.NewReader(situationRows)).DisallowUnknownFields().Decode(&file); err != nil {
		t.Fatal(err)
	}
	for _, row := range file.Rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			sim := row.run()
			row.check(t, sim)
		})
	}
}

// run simulates three zones under the conditions of the row.
func (s *situation) run() *simulation {
	gateways := s.Gateways
	if gateways == 0 {
		gateways = 3
	}
	sim := threeZones(gateways)
	index := func(zone string) int { return slices.Index(sim.zones, zone) }
	sim.run(5 * time.Second)
	for zone, demand := range s.Demand {
		sim.demand[index(zone)] = demand
	}
	for zone, demand := range s.Unadmitted {
		sim.unadmitted[index(zone)] = demand
	}
	sim.run(25 * time.Second) // the estimates of demand settle before the faults start
	for zone, part := range s.Healthy {
		sim.healthy[index(zone)] = part
	}
	for zone, power := range s.ReadyPower {
		sim.readyPower[index(zone)] = power
	}
	for _, pair := range s.LostLinks {
		sim.lostLinks[[2]int{index(pair[:1]), index(pair[1:])}] = true
	}
	for _, zone := range s.Blind {
		sim.blindGateway[index(zone)] = true
	}
	for _, zone := range s.Silent {
		sim.silent[index(zone)] = true
	}
	sim.run(time.Duration(s.Seconds * float64(time.Second)))
	return sim
}

// check compares the plan in force with the values that the row states.
func (s *situation) check(t *testing.T, sim *simulation) {
	t.Helper()
	plan := sim.latest()
	slack := max(s.Slack, 30)
	for pair, share := range s.Shares {
		fromZone, toZone := pair[:1], pair[1:]
		got := plan.Rows[fromZone][toZone]
		if len(s.Lost) > 0 && fromZone == toZone {
			got -= plan.Shed[fromZone]
		}
		if math.Abs(float64(got-share)) > slack {
			t.Errorf("share of %s sent to %s is %d, want %d (rows %v, shed %v, reasons %v)",
				fromZone, toZone, got, share, plan.Rows, plan.Shed, plan.Reasons)
		}
	}
	for zone, share := range s.Shed {
		if math.Abs(float64(plan.Shed[zone]-share)) > slack {
			t.Errorf("%s sheds %d, want %d", zone, plan.Shed[zone], share)
		}
	}
	for _, zone := range sim.zones {
		if isLost := plan.Health[zone] == 0; isLost != slices.Contains(s.Lost, zone) {
			t.Errorf("the plan states that %s is lost: %v, want the opposite", zone, isLost)
		}
	}
}
