package failover

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// Table is the table that holds the plan.
const Table = "failover"

// fullShare is all of a hall's tasks.
const fullShare = 1000

// Plan is the value of the table. All shares are thousandths of the tasks that come in at a hall.
type Plan struct {
	// Rows are by the hall that tasks come in at the shares over the halls that they are pushed to: they sum to 1000.
	Rows map[string]map[string]int `cbor:"1,keyasint"`
	// Health is by hall the part of its listed strength that answers, in thousandths: 0 is a hall lost.
	Health map[string]int `cbor:"2,keyasint"`
	// Fallback are the shares that a hall may push elsewhere by its own evidence where it hears no plan and its own hall
	// is lost. Those of all halls to one fit above what plans use there.
	Fallback map[string]map[string]int `cbor:"3,keyasint"`
	// Previous are the rows of the plan before, which some may act on until their lease ends; nil: none do.
	Previous map[string]map[string]int `cbor:"4,keyasint"`
	// HoldDown are the halls that moved less than a least stay before this plan was written. The value holds no time,
	// as no two processes share a clock: a new leader has them rest for a whole stay from when it began.
	HoldDown []string `cbor:"5,keyasint"`
	// LostLinks are the pairs of halls (from, to) whose link is held to be lost.
	LostLinks [][2]string `cbor:"6,keyasint"`
	// Shed is what of a row's share of its own hall fits nowhere and is rejected at once, as that hall is lost or on its
	// way back. At a hall that is merely full the module sheds, and this is 0.
	Shed map[string]int `cbor:"7,keyasint"`
	// Reasons says for operators, in words, what moved, by hall.
	Reasons map[string]string `cbor:"8,keyasint"`
	// Demand is by hall what it was made for, in thousandths of a unit a second: where a new leader begins.
	Demand map[string]uint64 `cbor:"9,keyasint"`
}

var encoding = func() cbor.EncMode {
	m, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the library's own options
	}
	return m
}()

// DecodePlan reads a plan from the table's value. No value is no plan, without an error.
func DecodePlan(value []byte) (*Plan, error) {
	if len(value) == 0 {
		return nil, nil
	}
	plan := &Plan{}
	return plan, cbor.Unmarshal(value, plan)
}

// Encode is the value of a plan: the same plan, the same bytes.
func (plan *Plan) Encode() ([]byte, error) { return encoding.Marshal(plan) }

// Assignment is how a gateway in a hall acts.
type Assignment struct {
	// Weights are by hall in what proportion its servers are handed to the module. All 0: to none.
	Weights map[string]float64
	// Shed is the part of the tasks to be rejected at once, as they fit nowhere: 0 to 1.
	Shed float64
}

// Assignment gives how a gateway in a hall acts on the plan. A hall that answers in part gets more of its servers handed over,
// as the module sets those aside that don't. A hall that the plan doesn't know serves near.
func (plan *Plan) Assignment(zone string) Assignment {
	row := plan.Rows[zone]
	if len(row) == 0 {
		return Assignment{Weights: map[string]float64{zone: 1}}
	}
	part := Assignment{Weights: map[string]float64{}, Shed: float64(plan.Shed[zone]) / fullShare}
	for _, toZone := range sortedKeys(row) {
		share := float64(row[toZone]) / fullShare
		if toZone == zone {
			share -= part.Shed
		}
		if plannedHealth := plan.Health[toZone]; plannedHealth > 0 {
			share *= fullShare / float64(plannedHealth)
		}
		if share > 0 {
			part.Weights[toZone] = share
		}
	}
	return part
}

// fallbackProbeShare is the part of tasks that tries the own hall, held to be lost, without a plan: as few as let a gateway see it
// come back within its memory.
const fallbackProbeShare = 0.05

// FallbackAssignment gives how a gateway in a hall acts on the latest plan after its lease: near, by its own evidence alone. With
// its own hall lost it pushes elsewhere what the plan has set apart for that, and sheds the rest. A nil plan has
// set nothing apart.
func (plan *Plan) FallbackAssignment(zone string, lost bool) Assignment {
	if !lost {
		return Assignment{Weights: map[string]float64{zone: 1}}
	}
	part := Assignment{Weights: map[string]float64{zone: fallbackProbeShare}, Shed: 1 - fallbackProbeShare}
	if plan == nil {
		return part
	}
	for _, toZone := range sortedKeys(plan.Fallback[zone]) {
		share := float64(plan.Fallback[zone][toZone]) / fullShare
		if share = min(share, part.Shed); share > 0 && toZone != zone {
			part.Weights[toZone] = share
			part.Shed -= share
		}
	}
	return part
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// Zones are the halls with weight, in the order of their names.
func (p Assignment) Zones() []string { return sortedKeys(p.Weights) }

// Describe gives a hall's row in words, in thousandths.
func (plan *Plan) Describe(zone string) string {
	var all []string
	for _, toZone := range sortedKeys(plan.Rows[zone]) {
		all = append(all, fmt.Sprintf("%s %d", toZone, plan.Rows[zone][toZone]))
	}
	if shed := plan.Shed[zone]; shed > 0 {
		all = append(all, fmt.Sprintf("shed %d of its own", shed))
	}
	return strings.Join(all, ", ")
}
