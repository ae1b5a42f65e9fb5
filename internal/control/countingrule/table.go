package countingrule

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// TableName is the name of the replicated table of counting rules.
const TableName = "counting"

// Phase is the stage of a trial of a new rule. Its values are stored in the table.
type Phase uint8

// The phases, in the order of a trial. PhaseIdle follows PhaseRollback.
const (
	PhaseIdle      Phase = iota // no trial: FromVersion is in force
	PhaseCanary                 // trial: ToVersion is evaluated, but FromVersion alone decides
	PhaseScheduled              // ToVersion is in force from SwitchAt on, and its outcome is watched
	PhaseRollback               // ToVersion, the earlier rule, is in force again from SwitchAt on
)

// Table is the committed value of the replicated table. Its times are on the clock that all
// processes share and that windows are based on: nanoseconds since the Unix epoch.
type Table struct {
	Phase           Phase         `cbor:"1,keyasint"`
	FromVersion     uint64        `cbor:"2,keyasint"` // version in force before SwitchAt
	ToVersion       uint64        `cbor:"3,keyasint"` // version in force from SwitchAt on, or the one on trial
	SwitchAt        time.Duration `cbor:"4,keyasint"` // set in PhaseScheduled and PhaseRollback
	Rules           []Rule        `cbor:"5,keyasint"` // rules that FromVersion, ToVersion and PreviousVersion may name
	PreviousVersion uint64        `cbor:"6,keyasint"` // version in force before FromVersion; it needs no trial
	SampleSeed      uint64        `cbor:"7,keyasint"` // seed of the trial's sample
	PhaseStart      time.Duration `cbor:"8,keyasint"` // time at which the phase began
	// RefusedVersions lists the versions that were refused or rolled back. They are not tried
	// again.
	RefusedVersions []uint64 `cbor:"9,keyasint"`
	Reason          string   `cbor:"10,keyasint"` // reason of the latest step, for operators
	// TrialState is the controller's state of the trial. Only the controller reads it.
	TrialState []byte `cbor:"11,keyasint"`
	// Canary is the configuration of the trial. All processes use it, and it does not change until
	// the trial ends.
	Canary CanaryConfig `cbor:"12,keyasint"`
}

// Decode decodes a table. An empty value decodes to rule 0 without a trial. The error is the one of
// the CBOR decoder.
func Decode(value []byte) (t Table, err error) {
	if len(value) > 0 {
		err = cbor.Unmarshal(value, &t)
	}
	return t, err
}

// Encode returns the encoded table, for Decode.
func (t Table) Encode() []byte { return Marshal(t) }

var encodingMode = func() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // unreachable: the options are the library's own
	}
	return mode
}()

// Marshal encodes a value that consists of numbers, strings, slices, maps and structs of these.
// Encoding is deterministic: equal values have equal encodings. It panics if the value cannot be
// encoded.
func Marshal(value any) []byte {
	text, err := encodingMode.Marshal(value)
	if err != nil {
		panic(err) // unreachable for the values listed above
	}
	return text
}

// Rule returns the rule of a version, and false if the table does not contain it. Version 0 is
// always found.
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

// hasSwitch reports whether the phase has a switch at SwitchAt, in the future or in the past.
func (t *Table) hasSwitch() bool { return t.Phase == PhaseScheduled || t.Phase == PhaseRollback }

// InForce returns the version that is in force at a time according to the table.
func (t *Table) InForce(now time.Duration) uint64 {
	if t.hasSwitch() && now >= t.SwitchAt {
		return t.ToVersion
	}
	return t.FromVersion
}

// TableStatus says how current the table in a process's cache is.
type TableStatus uint8

// The table statuses.
const (
	TableNeverReceived TableStatus = iota
	TableExpired                   // the table was received, but its lease has expired
	TableLeased                    // the lease is valid; any table committed since switches after it ends
)

// isCertain reports whether the version that InForce returns is certainly in force. That holds
// while the lease is valid, and before a scheduled switch, as no switch is canceled before its
// time.
func (t *Table) isCertain(now time.Duration, status TableStatus) bool {
	return status == TableLeased || t.hasSwitch() && now < t.SwitchAt
}

// CandidateVersions returns the versions that may be in force at a time, the one of InForce first.
// A request that arrives then must be admitted under all of them; the decision module counts it
// under the first. config is this process's own configuration. It names rules that may have come
// into force since the table was read, and so may rule 0, which needs no name. A process that was
// partitioned or paused therefore does not exceed the limits of these rules.
func (t *Table) CandidateVersions(now time.Duration, status TableStatus, config *Config) []uint64 {
	first := t.InForce(now)
	if t.isCertain(now, status) {
		return []uint64{first}
	}
	others := t.namedVersions(status)
	for _, version := range config.versions() {
		if !t.isRefused(version, status) {
			others = append(others, version)
		}
	}
	slices.Sort(others)
	others = slices.DeleteFunc(slices.Compact(others), func(version uint64) bool { return version == first })
	return append([]uint64{first}, others...)
}

// namedVersions returns the versions that the table names, or none if it was never received.
func (t *Table) namedVersions(status TableStatus) []uint64 {
	if status == TableNeverReceived {
		return nil
	}
	return []uint64{t.FromVersion, t.ToVersion, t.PreviousVersion}
}

// isRefused reports whether a version is among those that the received table lists as refused.
func (t *Table) isRefused(version uint64, status TableStatus) bool {
	return status != TableNeverReceived && slices.Contains(t.RefusedVersions, version)
}
