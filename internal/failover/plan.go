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

// whole is all of a hall's tasks.
const whole = 1000

// Plan is the value of the table. All shares are thousandths of the tasks that come in at a hall.
type Plan struct {
	// Rows are by the hall that tasks come in at the shares over the halls that they are pushed to: they sum to 1000.
	Rows map[string]map[string]int `cbor:"1,keyasint"`
	// Sound is by hall the part of its listed strength that answers, in thousandths: 0 is a hall lost.
	Sound map[string]int `cbor:"2,keyasint"`
	// Alone are the shares that a hall may push elsewhere by its own evidence where it hears no plan and its own hall
	// is lost. Those of all halls to one fit above what plans use there.
	Alone map[string]map[string]int `cbor:"3,keyasint"`
	// Before are the rows of the plan before, which some may act on until their lease ends; nil: none do.
	Before map[string]map[string]int `cbor:"4,keyasint"`
	// Resting are the halls that moved less than a least stay before this plan was written. The value holds no time,
	// as no two processes share a clock: a new leader has them rest for a whole stay from when it began.
	Resting []string `cbor:"5,keyasint"`
	// Shut are the pairs of halls (from, to) whose link is held to be lost.
	Shut [][2]string `cbor:"6,keyasint"`
	// Shed is what of a row's share of its own hall fits nowhere and is rejected at once, as that hall is lost or on its
	// way back. At a hall that is merely full the module sheds, and this is 0.
	Shed map[string]int `cbor:"7,keyasint"`
	// Why says for operators, in words, what moved, by hall.
	Why map[string]string `cbor:"8,keyasint"`
	// Demand is by hall what it was made for, in thousandths of a unit a second: where a new leader begins.
	Demand map[string]uint64 `cbor:"9,keyasint"`
}

var mode = func() cbor.EncMode {
	m, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the library's own options
	}
	return m
}()

// Read reads a plan from the table's value. No value is no plan, without an error.
func Read(value []byte) (*Plan, error) {
	if len(value) == 0 {
		return nil, nil
	}
	p := &Plan{}
	return p, cbor.Unmarshal(value, p)
}

// Bytes is the value of a plan: the same plan, the same bytes.
func (p *Plan) Bytes() ([]byte, error) { return mode.Marshal(p) }

// Part is how a gateway in a hall acts.
type Part struct {
	// Weights are by hall in what proportion its servers are handed to the module. All 0: to none.
	Weights map[string]float64
	// Shed is the part of the tasks to be rejected at once, as they fit nowhere: 0 to 1.
	Shed float64
}

// Part gives how a gateway in a hall acts on the plan. A hall that answers in part gets more of its servers handed over,
// as the module sets those aside that don't. A hall that the plan doesn't know serves near.
func (p *Plan) Part(hall string) Part {
	row := p.Rows[hall]
	if len(row) == 0 {
		return Part{Weights: map[string]float64{hall: 1}}
	}
	part := Part{Weights: map[string]float64{}, Shed: float64(p.Shed[hall]) / whole}
	for _, to := range sorted(row) {
		share := float64(row[to]) / whole
		if to == hall {
			share -= part.Shed
		}
		if sound := p.Sound[to]; sound > 0 {
			share *= whole / float64(sound)
		}
		if share > 0 {
			part.Weights[to] = share
		}
	}
	return part
}

// aloneTrial is the part of tasks that tries the own hall, held to be lost, without a plan: as few as let a gateway see it
// come back within its memory.
const aloneTrial = 0.05

// PartAlone gives how a gateway in a hall acts on the latest plan after its lease: near, by its own evidence alone. With
// its own hall lost it pushes elsewhere what the plan has set apart for that, and sheds the rest. A nil plan has
// set nothing apart.
func (p *Plan) PartAlone(hall string, lost bool) Part {
	if !lost {
		return Part{Weights: map[string]float64{hall: 1}}
	}
	part := Part{Weights: map[string]float64{hall: aloneTrial}, Shed: 1 - aloneTrial}
	if p == nil {
		return part
	}
	for _, to := range sorted(p.Alone[hall]) {
		share := float64(p.Alone[hall][to]) / whole
		if share = min(share, part.Shed); share > 0 && to != hall {
			part.Weights[to] = share
			part.Shed -= share
		}
	}
	return part
}

func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// Halls are the halls with weight, in the order of their names.
func (p Part) Halls() []string { return sorted(p.Weights) }

// Says gives a hall's row in words, in thousandths.
func (p *Plan) Says(hall string) string {
	var all []string
	for _, to := range sorted(p.Rows[hall]) {
		all = append(all, fmt.Sprintf("%s %d", to, p.Rows[hall][to]))
	}
	if shed := p.Shed[hall]; shed > 0 {
		all = append(all, fmt.Sprintf("shed %d of its own", shed))
	}
	return strings.Join(all, ", ")
}
