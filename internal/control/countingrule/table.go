package countingrule

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// TableName is the name of the replicated table.
const TableName = "counting"

// Phase is what the table's controller is doing. Its numbers are stored.
type Phase uint8

// The phases, in their order; a rollback leads to idle.
const (
	PhaseIdle      Phase = iota // nothing is tried: From is in force
	PhaseCanary                 // To is evaluated beside From and changes no decision
	PhaseScheduled              // To is in force from SwitchAt on, and is watched
	PhaseRollback               // undone: To is the earlier rule again, from SwitchAt on
)

// Table is the committed value. Times are on the clock that windows go by, which all processes share: nanoseconds since
// 1970.
type Table struct {
	Phase    Phase         `cbor:"1,keyasint"`
	From     uint64        `cbor:"2,keyasint"` // the version in force before SwitchAt
	To       uint64        `cbor:"3,keyasint"` // the version after it; in a canary the one that is tried
	SwitchAt time.Duration `cbor:"4,keyasint"`
	Rules    []Rule        `cbor:"5,keyasint"` // all versions that From, To and Previous may name
	Previous uint64        `cbor:"6,keyasint"` // the version before From: it needs no trial
	Seed     uint64        `cbor:"7,keyasint"` // of the sample
	Since    time.Duration `cbor:"8,keyasint"` // when the phase began
	// Refused are the versions that were refused or rolled back; none is tried again.
	Refused []uint64 `cbor:"9,keyasint"`
	Reason  string   `cbor:"10,keyasint"` // of the latest step, for people
	// TrialState is the controller's own; processes do not read it.
	TrialState []byte `cbor:"11,keyasint"`
	// Canary is the configuration that the rule is tried by: the same at all processes, and to the trial's end.
	Canary CanaryConfig `cbor:"12,keyasint"`
}

// Decode reads a value; an empty one stands for rule 0 with nothing tried. Its error is the decoder's.
func Decode(value []byte) (t Table, err error) {
	if len(value) > 0 {
		err = cbor.Unmarshal(value, &t)
	}
	return t, err
}

// Encode gives the value that Decode reads.
func (t Table) Encode() []byte { return Marshal(t) }

var encodingMode = func() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the library's own options
	}
	return mode
}()

// Marshal encodes a value of plain numbers, words, lists and maps: the same value, the same bytes.
func Marshal(value any) []byte {
	text, err := encodingMode.Marshal(value)
	if err != nil {
		panic(err) // nothing else is in it
	}
	return text
}

// Rule gives a version's rule, and false where the table does not hold it. Version 0 needs no entry.
func (t *Table) Rule(version uint64) (Rule, bool) {
	if version == 0 {
		return Rule{}, true
	}
	i := slices.IndexFunc(t.Rules, func(rule Rule) bool { return rule.Version == version })
	if i < 0 {
		return Rule{}, false
	}
	return t.Rules[i], true
}

// hasSwitch tells whether SwitchAt is the time of a switch that is to come or has come.
func (t *Table) hasSwitch() bool { return t.Phase == PhaseScheduled || t.Phase == PhaseRollback }

// InForce is the version that the table says is in force at a time.
func (t *Table) InForce(now time.Duration) uint64 {
	if t.hasSwitch() && now >= t.SwitchAt {
		return t.To
	}
	return t.From
}

// CandidateVersions gives the versions that may be in force at a time, and that a request admitted then has to pass; the
// first is the one that the decision module counts it by. leased tells whether the table's lease holds, received whether
// a table was ever received, and config is the process's own: it names the rules that may have come since.
//
// While the lease holds the table is right: whatever was committed since the read that the lease counts from has its
// switch later than the lease's end. Past the lease another rule may have come into force, so a request passes only what
// all candidates admit. That protects the limits of the new rule's counts against a process that is cut off or asleep.
// Its cost: such a process rejects what one of the rules would have admitted, and asks the counter more than once.
func (t *Table) CandidateVersions(now time.Duration, leased, received bool, config *Config) []uint64 {
	first := t.InForce(now)
	if leased || t.hasSwitch() && now < t.SwitchAt { // no switch is undone before its time
		return []uint64{first}
	}
	var others []uint64
	if received {
		others = append(others, t.From, t.To, t.Previous)
	}
	for _, rule := range append([]Rule{{Version: config.DesiredVersion}}, config.Rules...) {
		if !received || !slices.Contains(t.Refused, rule.Version) {
			others = append(others, rule.Version)
		}
	}
	slices.Sort(others)
	others = slices.DeleteFunc(slices.Compact(others), func(version uint64) bool { return version == first })
	return append([]uint64{first}, others...)
}
