package settlement

import (
	"cmp"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// TableName is the name of the replicated table that holds the State. The name is stored and sent,
// so it must not change.
const TableName = "debts"

// PartsPerMillion is the value of Share.PPM, PartnerState.Pace and PartnerState.MaxPace that stands
// for 100 percent.
const PartsPerMillion = 1_000_000

// maxForgivenessLogEntries is the maximum length of State.ForgivenessLog. Several entries are kept
// for gateways that were down for a while and log the entries that they missed.
const maxForgivenessLogEntries = 32

// millisPerSecond converts the durations of the operators' file, in seconds, to the unit of
// State.Clock.
const millisPerSecond = 1000

// clockMillis converts a duration to milliseconds, the unit of State.Clock.
func clockMillis(duration time.Duration) uint64 { return uint64(duration.Milliseconds()) }

// Share is the fraction of a creditor's requests that prefer a debtor's servers. It applies to
// first attempts of idempotent requests.
type Share struct {
	Pair
	PPM uint64 `cbor:"3,keyasint"`
}

// Lot is the part of a net debt that was incurred at about the same time.
type Lot struct {
	Amount
	IncurredAt uint64 `cbor:"4,keyasint"` // on State.Clock, when its oldest unit was incurred
}

// Forgiveness records that a debt was forgiven because of its age.
type Forgiveness struct {
	Amount
	Number uint64 `cbor:"4,keyasint"` // sequence number, from 1 in the lifetime of the table
	Age    uint64 `cbor:"5,keyasint"` // ms; age of the debt when it was forgiven
}

// PartnerState is what the controller stores about a partner to settle its debts. The counts of
// requests decay over time, so they are not integers.
type PartnerState struct {
	Partner          string  `cbor:"1,keyasint"`
	Pace             uint64  `cbor:"2,keyasint"` // ppm of the full rate at which the debts of its pairs may be settled
	HoldUntil        uint64  `cbor:"3,keyasint"` // on State.Clock; none of its debts is settled before
	BaselineRequests float64 `cbor:"4,keyasint"` // requests seen before the settlement started
	BaselineLate     float64 `cbor:"5,keyasint"` // of BaselineRequests, those that were late or not answered
	BaselineSlow     float64 `cbor:"6,keyasint"` // of BaselineRequests, those late or over half their latency objective
	MaxPace          uint64  `cbor:"7,keyasint"` // ppm; upper bound of Pace after harm; 0 means no bound
}

// State is the value of the replicated table: everything that a new leader needs. The debts in it
// are for logging and for tracking their age only. The controller reads what is owed from the
// totals of the log each time, so that no debt is settled twice.
type State struct {
	// Clock is the total time in ms for which leaders have led, as of the latest write. It is used
	// because a monotonic clock has no meaning in another process, and a wall clock may step.
	Clock          uint64         `cbor:"1,keyasint"`
	Shares         []Share        `cbor:"2,keyasint"` // shares in force
	NetDebts       []Amount       `cbor:"3,keyasint"` // as of the write; includes debts of partners that have left
	Lots           []Lot          `cbor:"4,keyasint"` // oldest first
	Forgiven       []Amount       `cbor:"5,keyasint"` // total ever forgiven, by pair
	ForgivenessLog []Forgiveness  `cbor:"6,keyasint"` // latest maxForgivenessLogEntries entries, oldest first
	Partners       []PartnerState `cbor:"7,keyasint"` // sorted by name
	StartedAt      uint64         `cbor:"8,keyasint"` // on Clock, when the latest settlement started
	PausedUntil    uint64         `cbor:"9,keyasint"` // on Clock, end of the latest pause; no settlement starts before
}

var canonicalEncoding = func() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constants of the library
	}
	return mode
}()

// Encode returns the stored form of the state. Equal states have equal encodings.
func (s State) Encode() ([]byte, error) { return canonicalEncoding.Marshal(s) }

// DecodeState decodes a stored state. Empty input decodes as the zero State. Errors are those of
// the CBOR decoder.
func DecodeState(encoded []byte) (s State, err error) {
	if len(encoded) == 0 {
		return s, nil
	}
	err = cbor.Unmarshal(encoded, &s)
	return s, err
}

// partnerState returns the state of a partner, or a new one with initialPace if none is stored.
func (s State) partnerState(name string) PartnerState {
	for _, p := range s.Partners {
		if p.Partner == name {
			return p
		}
	}
	return PartnerState{Partner: name, Pace: initialPace}
}

// setPartnerState replaces the state of a partner, or inserts it in the order of names.
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

// sharePPM returns the share of a pair in ppm, or 0 if it has none.
func (s State) sharePPM(pair Pair) uint64 {
	for _, share := range s.Shares {
		if share.Pair == pair {
			return share.PPM
		}
	}
	return 0
}

// participants returns the names of the partners that have shares in force.
func (s State) participants() map[string]bool {
	participants := map[string]bool{}
	for _, share := range s.Shares {
		participants[share.Debtor] = true
		participants[share.Creditor] = true
	}
	return participants
}

// clone returns a copy whose Lots, Forgiven, ForgivenessLog and Partners are independent of s. The
// other slices are shared.
func (s State) clone() State {
	s.Lots = slices.Clone(s.Lots)
	s.Forgiven = slices.Clone(s.Forgiven)
	s.ForgivenessLog = slices.Clone(s.ForgivenessLog)
	s.Partners = slices.Clone(s.Partners)
	return s
}
