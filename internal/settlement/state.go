package settlement

import (
	"cmp"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// TableName is the name of the table that the decider writes.
const TableName = "debts"

// PartsPerMillion is the whole of a Share's Part and of a Standing's Pace.
const PartsPerMillion = 1_000_000

// Share is the part of a creditor's elective pushes that go to a debtor's servers.
type Share struct {
	Pair
	PPM uint64 `cbor:"3,keyasint"` // of Whole
}

// Lot is a part of a net debt that came at one time, in thousandths of units.
type Lot struct {
	Amount
	Since uint64 `cbor:"4,keyasint"` // on the clock of the table
}

// Forgiveness says that a debt was forgiven for its age.
type Forgiveness struct {
	Amount
	Number uint64 `cbor:"4,keyasint"` // from 1, of all ever
	Age    uint64 `cbor:"5,keyasint"` // ms
}

// PartnerState is what is known of a partner while its debts are settled.
type PartnerState struct {
	Partner   string  `cbor:"1,keyasint"`
	Pace      uint64  `cbor:"2,keyasint"` // of Whole: how fast what it has a part in may be settled
	HoldUntil uint64  `cbor:"3,keyasint"` // until when it has no part in any settlement, on the clock of the table
	Requests  float64 `cbor:"4,keyasint"` // seen before the settlement began
	Late      float64 `cbor:"5,keyasint"` // of these, late or without an answer
	Slow      float64 `cbor:"6,keyasint"` // of these, over half of their soft limit
	MaxPace   uint64  `cbor:"7,keyasint"` // of Whole: bound of the pace since it did harm; 0: none
}

// State is what the table holds: all that a new leader must know. What is owed is not in it but for show: that is read
// from the log's totals each time, so that nothing can be settled twice.
type State struct {
	// Clock is for how many ms all leaders together have led, as far as they wrote it: another process's monotonic clock
	// means nothing here, and a wall clock steps.
	Clock          uint64         `cbor:"1,keyasint"`
	Shares         []Share        `cbor:"2,keyasint"`
	Nets           []Amount       `cbor:"3,keyasint"` // as they stood; also of partners that have left
	Lots           []Lot          `cbor:"4,keyasint"`
	Forgiven       []Amount       `cbor:"5,keyasint"` // all ever
	ForgivenessLog []Forgiveness  `cbor:"6,keyasint"` // the latest saidMost
	Partners       []PartnerState `cbor:"7,keyasint"`
	StartedAt      uint64         `cbor:"8,keyasint"` // when shares were last begun
	RestUntil      uint64         `cbor:"9,keyasint"` // until when nothing is begun
}

const maxForgivenessLog = 32 // entries of forgiveness kept for processes that were away for a while

var canonicalEncoding = func() cbor.EncMode {
	m, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the library's own options
	}
	return m
}()

// Encode gives the value as bytes: the same value, the same bytes.
func (state State) Encode() ([]byte, error) { return canonicalEncoding.Marshal(state) }

// DecodeState reads a value; none at all is one in which nothing stands.
func DecodeState(encoded []byte) (state State, err error) {
	if len(encoded) == 0 {
		return state, nil
	}
	err = cbor.Unmarshal(encoded, &state)
	return state, err
}

// partnerState is a partner's, as it is at first where the value has none.
func (state State) partnerState(partner string) PartnerState {
	for _, status := range state.Partners {
		if status.Partner == partner {
			return status
		}
	}
	return PartnerState{Partner: partner, Pace: initialPace}
}

// setPartnerState puts a partner's standing in place, in the order of the names.
func (state *State) setPartnerState(status PartnerState) {
	i, found := slices.BinarySearchFunc(state.Partners, status.Partner, func(o PartnerState, name string) int {
		return cmp.Compare(o.Partner, name)
	})
	if found {
		state.Partners[i] = status
	} else {
		state.Partners = slices.Insert(state.Partners, i, status)
	}
}

// sharePPM is that of a pair; 0 where none stands.
func (state State) sharePPM(pair Pair) uint64 {
	for _, s := range state.Shares {
		if s.Pair == pair {
			return s.PPM
		}
	}
	return 0
}

// clone gives a value whose lists may be changed.
func (state State) clone() State {
	state.Lots, state.Forgiven, state.ForgivenessLog = slices.Clone(state.Lots), slices.Clone(state.Forgiven), slices.Clone(state.ForgivenessLog)
	state.Partners = slices.Clone(state.Partners)
	return state
}
