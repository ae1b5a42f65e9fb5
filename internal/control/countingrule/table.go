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

// Table is the committed value. Times are on the clock that windows go by, which all processes
// share: nanoseconds since 1970.
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
	// Canary is the configuration that the rule is tried by: the same at all processes, and until
	// the trial ends.
	Canary CanaryConfig `cbor:"12,keyasint"`
}

// Decode reads a value; an empty one stands for rule 0 with nothing tried. Its error is the
// decoder's.
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

// Marshal encodes a value of plain numbers, words, lists and maps. The same value gives the same
// bytes.
func Marshal(value any) []byte {
	text, err := encodingMode.Marshal(value)
	if err != nil {
		panic(err) // such values can always be encoded
	}
	return text
}

// Rule gives a version's rule, and false where the table does not hold it. Version 0 needs no
// entry.
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

// InForce decides which version the table says is in force at a time.
func (t *Table) InForce(now time.Duration) uint64 {
	if t.hasSwitch() && now >= t.SwitchAt {
		return t.To
	}
	return t.From
}

// TableStatus is what a process knows of the table that it has cached.
type TableStatus uint8

// The statuses of a table.
const (
	TableNeverReceived TableStatus = iota
	TableExpired                   // it was received, and its lease has ended
	TableLeased                    // its lease holds: whatever was committed since has a later switch
)

// isCertain decides whether the version that the table names as in force is certain to be: under a
// lease, or before a switch that the table announces, as none is undone before its time.
func (t *Table) isCertain(now time.Duration, status TableStatus) bool {
	return status == TableLeased || t.hasSwitch() && now < t.SwitchAt
}

// CandidateVersions decides which versions may be in force at a time. A request admitted then has
// to pass all of them; the decision module counts it by the first. config is the process's own: it
// names rules that may have come into force since the table was read. Prevents a process that is
// cut off or paused from exceeding the limits of a rule that it has not heard of.
func (t *Table) CandidateVersions(now time.Duration, status TableStatus, config *Config) []uint64 {
	first := t.InForce(now)
	if t.isCertain(now, status) {
		return []uint64{first}
	}
	others := t.namedVersions(status)
	if !t.isRefused(config.DesiredVersion, status) {
		others = append(others, config.DesiredVersion)
	}
	for _, rule := range config.Rules {
		if !t.isRefused(rule.Version, status) {
			others = append(others, rule.Version)
		}
	}
	slices.Sort(others)
	others = slices.DeleteFunc(slices.Compact(others), func(version uint64) bool { return version == first })
	return append([]uint64{first}, others...)
}

// namedVersions are the versions that the table itself names, none where it was never received.
func (t *Table) namedVersions(status TableStatus) []uint64 {
	if status == TableNeverReceived {
		return nil
	}
	return []uint64{t.From, t.To, t.Previous}
}

// isRefused tells whether the table, where there is one, refused a version.
func (t *Table) isRefused(version uint64, status TableStatus) bool {
	return status != TableNeverReceived && slices.Contains(t.Refused, version)
}
