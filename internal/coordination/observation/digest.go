// Package observation merges what processes counted, in a form that lost, duplicated, late or
// reordered messages cannot falsify: every process sends all that it has counted since its start,
// and the receiver keeps the latest. Followers make the digests; package consensus merges them at
// each voter. It has no I/O and no clock.
package observation

import "strings"

// Digest is everything that one incarnation of a process has counted.
type Digest struct {
	Process     string `cbor:"1,keyasint"` // its name in the configuration file
	Incarnation uint64 `cbor:"2,keyasint"` // larger for a later one
	Serial      uint64 `cbor:"3,keyasint"` // from 1, larger for each digest of an incarnation
	// Session grows within an incarnation each time the process switches to another voter: the
	// voter before may or may not have received what was counted until then.
	Session uint64 `cbor:"6,keyasint"`
	// Counts never decrease within an incarnation. Voters forward their sums. A process that
	// switches to another voter loses what it counted between two digests; nothing counts twice.
	Counts map[string]uint64 `cbor:"4,keyasint"`
	// Exact never decrease within an incarnation, and are forwarded per process up to the log.
	Exact map[string]uint64 `cbor:"5,keyasint"`
}

// separator is the unit separator of ASCII, between the parts of a name.
const separator = "\x1f"

// JoinName makes the name of a count from its parts, none of which contains a unit separator
// (0x1f).
func JoinName(parts ...string) string { return strings.Join(parts, separator) }

// SplitName returns the parts of a name.
func SplitName(name string) []string { return strings.Split(name, separator) }
