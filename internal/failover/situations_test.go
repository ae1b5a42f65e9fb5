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

// Each row of the file is played, and what it names is checked.
func TestController_situations(t *testing.T) {
	var file struct {
		Row []struct {
			Name                  string             `toml:"name"`
			Gateways              int                `toml:"gateways"`
			Demand, Sound, Listed map[string]float64 `toml:",omitempty"`
			Beyond                map[string]float64
			Cut, Blind, Mute      []string
			Seconds               float64 `toml:"seconds"`
			Shares, Shed          map[string]int
			Lost                  []string
			Slack                 float64
		} `toml:"row"`
	}
	if err := toml.NewDecoder(bytes.NewReader(situationRows)).DisallowUnknownFields().Decode(&file); err != nil {
		t.Fatal(err)
	}
	for _, row := range file.Row {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			fx := threeZones(max(row.Gateways, 3-2*row.Gateways))
			at := func(name string) int { return slices.Index(fx.zones, name) }
			fx.run(5 * time.Second)
			for zone, amount := range row.Demand {
				fx.demand[at(zone)] = amount
			}
			for zone, amount := range row.Beyond {
				fx.unadmitted[at(zone)] = amount
			}
			fx.run(25 * time.Second) // demand comes first, as it would
			for zone, amount := range row.Sound {
				fx.healthy[at(zone)] = amount
			}
			for zone, amount := range row.Listed {
				fx.readyPower[at(zone)] = amount
			}
			for _, pair := range row.Cut {
				fx.lostLinks[[2]int{at(pair[:1]), at(pair[1:])}] = true
			}
			for _, zone := range row.Blind {
				fx.blindGateway[at(zone)] = true
			}
			for _, zone := range row.Mute {
				fx.silent[at(zone)] = true
			}
			fx.run(time.Duration(row.Seconds * float64(time.Second)))
			plan := fx.plans[len(fx.plans)-1].plan
			slack := max(row.Slack, 30)
			for pair, share := range row.Shares {
				fromZone, toZone := pair[:1], pair[1:]
				got := plan.Rows[fromZone][toZone]
				if len(row.Lost) > 0 && fromZone == toZone {
					got -= plan.Shed[fromZone]
				}
				if math.Abs(float64(got-share)) > slack {
					t.Errorf("%s to %s: %d, not %d (%v, shed %v: %v)", fromZone, toZone, got, share, plan.Rows, plan.Shed, plan.Reasons)
				}
			}
			for zone, share := range row.Shed {
				if math.Abs(float64(plan.Shed[zone]-share)) > slack {
					t.Errorf("%s sheds %d, not %d", zone, plan.Shed[zone], share)
				}
			}
			for _, zone := range fx.zones {
				if lost := plan.Health[zone] == 0; lost != slices.Contains(row.Lost, zone) {
					t.Errorf("%s is lost: %v", zone, lost)
				}
			}
		})
	}
}
