package settlement

import (
	"cmp"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// TableName is the replicated table that holds the State. It is stored and sent: it never changes.
const TableName = "debts"

// PartsPerMillion is the whole of which a Share's PPM and a partner's Pace are parts.
const PartsPerMillion = 1_000_000

// maxForgivenessLog is how many entries are kept, for gateways that were down for a while.
const maxForgivenessLog = 32

// millisPerSecond converts the spans of the operators' file, in seconds, to those of State.Clock.
const millisPerSecond = 1000

// clockMillis returns a span as it is stored on State.Clock, in ms.
func clockMillis(span time.Duration) uint64 { return uint64(span.Milliseconds()) }

// Share is the part of a creditor's first attempts of idempotent requests that go to a debtor's
// servers.
type Share struct {
	Pair
	PPM uint64 `cbor:"3,keyasint"`
}

// Lot is a part of a net debt that arose at one time.
type Lot struct {
	Amount
	Since uint64 `cbor:"4,keyasint"` // on State.Clock
}

// Forgiveness records that a debt was forgiven for its age.
type Forgiveness struct {
	Amount
	Number uint64 `cbor:"4,keyasint"` // from 1, over all that were ever forgiven
	Age    uint64 `cbor:"5,keyasint"` // ms
}

// PartnerState is what is known of a partner while its debts are settled. Its requests are counts
// that fade, and so no whole numbers.
type PartnerState struct {
	Partner   string  `cbor:"1,keyasint"`
	Pace      uint64  `cbor:"2,keyasint"` // ppm of the full rate at which its pairs may be settled
	HoldUntil uint64  `cbor:"3,keyasint"` // on State.Clock: none of its pairs is settled before
	Requests  float64 `cbor:"4,keyasint"` // seen before the settlement began
	Late      float64 `cbor:"5,keyasint"` // of these, late or without an answer
	Slow      float64 `cbor:"6,keyasint"` // of these, slower than half of their latency objective
	MaxPace   uint64  `cbor:"7,keyasint"` // ppm: bound of the pace since it did harm; 0 means none
}

// State is the value of the replicated table: all that a new leader must know. Debts are in it to
// be logged and for their age only. What is owed is read from the log's totals each time, so that
// nothing can be settled twice.
type State struct {
	// Clock is how long all leaders together have led, in ms, as far as they wrote it: another
	// process's monotonic clock means nothing here, and a wall clock steps.
	Clock          uint64         `cbor:"1,keyasint"`
	Shares         []Share        `cbor:"2,keyasint"`
	NetDebts       []Amount       `cbor:"3,keyasint"` // when the state was written; of partners that have left too
	Lots           []Lot          `cbor:"4,keyasint"` // by age, the oldest first
	Forgiven       []Amount       `cbor:"5,keyasint"` // in all
	ForgivenessLog []Forgiveness  `cbor:"6,keyasint"` // the latest maxForgivenessLog
	Partners       []PartnerState `cbor:"7,keyasint"` // by name
	StartedAt      uint64         `cbor:"8,keyasint"` // on Clock: when a settlement last started
	RestUntil      uint64         `cbor:"9,keyasint"` // on Clock: no settlement starts before
}

var canonicalEncoding = func() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the library's own options
	}
	return mode
}()

// Encode returns the state as stored: equal states give equal bytes.
func (s State) Encode() ([]byte, error) { return canonicalEncoding.Marshal(s) }

// DecodeState reads a stored state; no bytes at all are an empty one. Its error is that of the
// decoder.
func DecodeState(encoded []byte) (s State, err error) {
	if len(encoded) == 0 {
		return s, nil
	}
	err = cbor.Unmarshal(encoded, &s)
	return s, err
}

// partnerState returns a partner's state; one that is not there yet has its initial pace.
func (s State) partnerState(name string) PartnerState {
	for _, p := range s.Partners {
		if p.Partner == name {
			return p
		}
	}
	return PartnerState{Partner: name, Pace: initialPace}
}

// setPartnerState replaces or inserts a partner's state, in the order of the names.
func (s *State) setPartnerState(partner PartnerState) {
	i, found := slices.BinarySearchFunc(s.Partners, partner.Partner, func(p PartnerState, name string) int {
		return cmp.Compare(p.Partner, name)
	})
	if found {
		s.Partners[i] = partner
	} else {
		s.Partners = slices.Insert(s.Partners, i, partner)
	}
}

// sharePPM returns a pair's share; 0 where it has none.
func (s State) sharePPM(pair Pair) uint64 {
	for _, share := range s.Shares {
		if share.Pair == pair {
			return share.PPM
		}
	}
	return 0
}

// participants returns the partners of the shares in force, by name.
func (s State) participants() map[string]bool {
	participants := map[string]bool{}
	for _, share := range s.Shares {
		participants[share.Debtor] = true
		participants[share.Creditor] = true
	}
	return participants
}

// clone returns a state whose lots, partners and forgiveness may be changed without changing s.
func (s State) clone() State {
	s.Lots = slices.Clone(s.Lots)
	s.Forgiven = slices.Clone(s.Forgiven)
	s.ForgivenessLog = slices.Clone(s.ForgivenessLog)
	s.Partners = slices.Clone(s.Partners)
	return s
}
