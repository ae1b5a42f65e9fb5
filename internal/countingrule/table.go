package countingrule

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// TableName is that of the table.
const TableName = "counting"

// Phase is what the table's decider is about.
type Phase uint8

// The phases, in their order; Back leads to Still.
const (
	PhaseIdle      Phase = iota // nothing is tried: From holds
	PhaseCanary                 // To is played beside From and touches nothing
	PhaseScheduled              // To holds from Edge on, and is watched
	PhaseRollback               // undone: To is the earlier rule again, from Edge on
)

// Table is the committed value. Times are on the clock that windows go by, which all processes share.
type Table struct {
	Phase    Phase         `cbor:"1,keyasint"`
	From     uint64        `cbor:"2,keyasint"` // the version in force before Edge
	To       uint64        `cbor:"3,keyasint"` // the version after it; in a canary the one that is tried
	SwitchAt time.Duration `cbor:"4,keyasint"`
	Rules    []Rule        `cbor:"5,keyasint"` // all versions that From, To and Was may name
	Previous uint64        `cbor:"6,keyasint"` // the version before From: it needs no trial
	Seed     uint64        `cbor:"7,keyasint"` // of the sample
	Since    time.Duration `cbor:"8,keyasint"` // when the phase began
	// Refused are the versions that were refused or undone; none is tried again.
	Refused []uint64 `cbor:"9,keyasint"`
	Reason  string   `cbor:"10,keyasint"` // of the latest step, for people
	// TrialState is the decider's own; processes do not read it.
	TrialState []byte `cbor:"11,keyasint"`
	// Canary are the terms that the rule is tried by: the same at all processes, and to its end.
	Canary CanaryConfig `cbor:"12,keyasint"`
}

// Decode reads a value; nothing written stands for rule 0 in peace.
func Decode(value []byte) (t Table, err error) {
	if len(value) > 0 {
		err = cbor.Unmarshal(value, &t)
	}
	return t, err
}

// Encode writes it.
func (t Table) Encode() []byte { return Marshal(t) }

var encodingMode = func() cbor.EncMode {
	encoding, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the library's own options
	}
	return encoding
}()

// Marshal writes a value of plain numbers, words, lists and maps: the same value, the same bytes.
func Marshal(v any) []byte {
	b, err := encodingMode.Marshal(v)
	if err != nil {
		panic(err) // nothing else is in it
	}
	return b
}

// Rule gives a version's rule.
func (t *Table) Rule(version uint64) (Rule, bool) {
	i := slices.IndexFunc(t.Rules, func(rule Rule) bool { return rule.Version == version })
	if version == 0 || i < 0 {
		return Rule{}, version == 0
	}
	return t.Rules[i], true
}

// InForce is the version that the table says holds at a time.
func (t *Table) InForce(now time.Duration) uint64 {
	if t.Phase == PhaseScheduled || t.Phase == PhaseRollback {
		if now >= t.SwitchAt {
			return t.To
		}
	}
	return t.From
}

// CandidateVersions gives the versions that a task taken at a time has to pass, the one that the module counts it by first.
//
// While the lease stands the table is right: whatever was committed since the read that the lease counts from has its
// edge later than the lease's end. Past the lease another rule may have come into force, so a task passes only what
// all of them allow that may. It guards the limits of the new rule's counts against a process that is cut off or
// asleep. Harm: such a process rejects what one of the rules would have let in, and asks the counter more than once.
// file is the process's own: it names the rules that may have come since, where the table names none.
func (t *Table) CandidateVersions(now time.Duration, leased, received bool, config *Config) []uint64 {
	all := []uint64{t.InForce(now)}
	moved := t.Phase == PhaseScheduled || t.Phase == PhaseRollback
	if leased || moved && now < t.SwitchAt { // no switch is taken back before its edge
		return all
	}
	if received {
		all = append(all, t.From, t.To, t.Previous)
	}
	for _, rule := range append([]Rule{{Version: config.DesiredVersion}}, config.Rules...) {
		if !received || !slices.Contains(t.Refused, rule.Version) {
			all = append(all, rule.Version)
		}
	}
	slices.Sort(all[1:])
	first := all[0]
	return append([]uint64{first}, slices.DeleteFunc(slices.Compact(all[1:]),
		func(value uint64) bool { return value == first })...)
}
