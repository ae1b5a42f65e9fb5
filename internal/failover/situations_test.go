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
var situations []byte

// Each row of the file is played, and what it names is checked.
func TestSituations(t *testing.T) {
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
	if err := toml.NewDecoder(bytes.NewReader(situations)).DisallowUnknownFields().Decode(&file); err != nil {
		t.Fatal(err)
	}
	for _, row := range file.Row {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			w := three(max(row.Gateways, 3-2*row.Gateways))
			at := func(name string) int { return slices.Index(w.halls, name) }
			w.run(5 * time.Second)
			for h, x := range row.Demand {
				w.demand[at(h)] = x
			}
			for h, x := range row.Beyond {
				w.beyond[at(h)] = x
			}
			w.run(25 * time.Second) // demand comes first, as it would
			for h, x := range row.Sound {
				w.sound[at(h)] = x
			}
			for h, x := range row.Listed {
				w.listed[at(h)] = x
			}
			for _, pair := range row.Cut {
				w.cut[[2]int{at(pair[:1]), at(pair[1:])}] = true
			}
			for _, h := range row.Blind {
				w.blind[at(h)] = true
			}
			for _, h := range row.Mute {
				w.mute[at(h)] = true
			}
			w.run(time.Duration(row.Seconds * float64(time.Second)))
			p := w.plans[len(w.plans)-1].plan
			slack := max(row.Slack, 30)
			for pair, share := range row.Shares {
				from, to := pair[:1], pair[1:]
				got := p.Rows[from][to]
				if len(row.Lost) > 0 && from == to {
					got -= p.Shed[from]
				}
				if math.Abs(float64(got-share)) > slack {
					t.Errorf("%s to %s: %d, not %d (%v, shed %v: %v)", from, to, got, share, p.Rows, p.Shed, p.Why)
				}
			}
			for h, share := range row.Shed {
				if math.Abs(float64(p.Shed[h]-share)) > slack {
					t.Errorf("%s sheds %d, not %d", h, p.Shed[h], share)
				}
			}
			for _, h := range w.halls {
				if lost := p.Sound[h] == 0; lost != slices.Contains(row.Lost, h) {
					t.Errorf("%s is lost: %v", h, lost)
				}
			}
		})
	}
}
