package failover

import (
	"cmp"
	"maps"
	"slices"

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
	// Sound is by hall the part of its listed strength that answers, in thousandths: 0 is a hall lost. What a row
	// leaves at a lost hall beyond its trial fits nowhere, and is shed.
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
	// Trials are the shares in a row that try a hall or a link that is avoided.
	Trials map[string]map[string]int `cbor:"7,keyasint"`
	// Why says for operators, in words, what moved, by hall.
	Why map[string]string `cbor:"8,keyasint"`
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
// as the module sets those aside that don't.
func (p *Plan) Part(hall string) Part { return p.part(hall, p.Rows[hall]) }

func (p *Plan) part(hall string, row map[string]int) Part {
	part := Part{Weights: map[string]float64{}}
	for _, to := range sorted(row) {
		share, sound := float64(row[to])/whole, whole
		if s, ok := p.Sound[to]; ok {
			sound = s
		}
		if sound == 0 {
			try := min(share, float64(p.Trials[hall][to])/whole)
			part.Shed += share - try
			share, sound = try, whole
		}
		if share > 0 {
			part.Weights[to] = share * whole / float64(sound)
		}
	}
	return part
}

// PartAlone gives how a gateway in a hall acts on the latest plan after its lease: near, by its own evidence alone. With
// its own hall lost it pushes elsewhere what the plan has set apart for that, and sheds the rest. A nil plan has
// set nothing apart.
func (p *Plan) PartAlone(hall string, lost bool) Part {
	if !lost {
		return Part{Weights: map[string]float64{hall: 1}}
	}
	part := Part{Weights: map[string]float64{}, Shed: 1}
	if p == nil {
		return part
	}
	for to, share := range p.Alone[hall] {
		part.Weights[to] = float64(share) / whole
	}
	for _, to := range sorted(part.Weights) {
		part.Shed = max(part.Shed-part.Weights[to], 0)
	}
	return part
}

func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
