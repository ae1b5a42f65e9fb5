package debts

import (
	"cmp"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// Table is the name of the table that the decider writes.
const Table = "debts"

// Whole is the whole of a Share's Part and of a Standing's Pace.
const Whole = 1_000_000

// Share is the part of a creditor's elective pushes that go to a debtor's servers.
type Share struct {
	Pair
	Part uint64 `cbor:"3,keyasint"` // of Whole
}

// Lot is a part of a net debt that came at one time, in thousandths of units.
type Lot struct {
	Amount
	Since uint64 `cbor:"4,keyasint"` // on the clock of the table
}

// Entry says that a debt was forgiven for its age.
type Entry struct {
	Amount
	Number uint64 `cbor:"4,keyasint"` // from 1, of all ever
	Age    uint64 `cbor:"5,keyasint"` // ms
}

// Standing is what is known of a partner while its debts are settled.
type Standing struct {
	Partner string  `cbor:"1,keyasint"`
	Pace    uint64  `cbor:"2,keyasint"` // of Whole: how fast what it has a part in may be settled
	Hold    uint64  `cbor:"3,keyasint"` // until when it has no part in any settlement, on the clock of the table
	Tasks   float64 `cbor:"4,keyasint"` // seen before the settlement began
	Late    float64 `cbor:"5,keyasint"` // of these, late or without an answer
	Slow    float64 `cbor:"6,keyasint"` // of these, over half of their soft limit
	Most    uint64  `cbor:"7,keyasint"` // of Whole: bound of the pace since it did harm; 0: none
}

// Value is what the table holds: all that a new leader must know. What is owed is not in it but for show: that is read
// from the log's totals each time, so that nothing can be settled twice.
type Value struct {
	// Clock is for how many ms all leaders together have led, as far as they wrote it: another process's monotonic clock
	// means nothing here, and a wall clock steps.
	Clock    uint64     `cbor:"1,keyasint"`
	Shares   []Share    `cbor:"2,keyasint"`
	Nets     []Amount   `cbor:"3,keyasint"` // as they stood; also of partners that have left
	Lots     []Lot      `cbor:"4,keyasint"`
	Forgiven []Amount   `cbor:"5,keyasint"` // all ever
	Said     []Entry    `cbor:"6,keyasint"` // the latest saidMost
	Standing []Standing `cbor:"7,keyasint"`
	Began    uint64     `cbor:"8,keyasint"` // when shares were last begun
	Rest     uint64     `cbor:"9,keyasint"` // until when nothing is begun
}

const saidMost = 32 // entries of forgiveness kept for processes that were away for a while

var mode = func() cbor.EncMode {
	m, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the library's own options
	}
	return m
}()

// Encode gives the value as bytes: the same value, the same bytes.
func (v Value) Encode() ([]byte, error) { return mode.Marshal(v) }

// Decode reads a value; none at all is one in which nothing stands.
func Decode(b []byte) (v Value, err error) {
	if len(b) == 0 {
		return v, nil
	}
	err = cbor.Unmarshal(b, &v)
	return v, err
}

// standing is a partner's, as it is at first where the value has none.
func (v Value) standing(partner string) Standing {
	for _, s := range v.Standing {
		if s.Partner == partner {
			return s
		}
	}
	return Standing{Partner: partner, Pace: paceFirst}
}

// stands puts a partner's standing in place, in the order of the names.
func (v *Value) stands(s Standing) {
	i, found := slices.BinarySearchFunc(v.Standing, s.Partner, func(o Standing, name string) int {
		return cmp.Compare(o.Partner, name)
	})
	if found {
		v.Standing[i] = s
	} else {
		v.Standing = slices.Insert(v.Standing, i, s)
	}
}

// share is that of a pair; 0 where none stands.
func (v Value) share(p Pair) uint64 {
	for _, s := range v.Shares {
		if s.Pair == p {
			return s.Part
		}
	}
	return 0
}

// clone gives a value whose lists may be changed.
func (v Value) clone() Value {
	v.Lots, v.Forgiven, v.Said = slices.Clone(v.Lots), slices.Clone(v.Forgiven), slices.Clone(v.Said)
	v.Standing = slices.Clone(v.Standing)
	return v
}
