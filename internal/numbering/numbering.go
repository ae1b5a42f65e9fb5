// Package numbering assigns numbers to the names of zones and of server models. Endpoint lists and
// the operators' files contain names, whereas package policy compares numbers.
//
// A process keeps the numbers of its start, as a reload changes neither the zones nor the models. A
// list may contain a name that the start did not know: another gateway, or a later configuration,
// may know it already. Such a name has a number of its own, which no configured name has. It depends
// on the name alone, so it is the same at all gateways that do not know the name, and in every list.
package numbering

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Numbers of unknown names lie from firstUnknown up to twice that. That is above every index of a
// configured name, and low enough for float64 arithmetic on numbers (subset) to keep fractions.
const (
	hashBits     = 64
	unknownBits  = 40
	firstUnknown = 1 << unknownBits
)

// Numbering numbers names. The zero value has no configured names. It does not change, and is safe
// for concurrent use.
type Numbering struct{ names []string }

// New returns a numbering in which the configured names have their indexes, from 0. It keeps names.
func New(names []string) Numbering { return Numbering{names} }

// Configured returns the number of configured names.
func (n Numbering) Configured() int { return len(n.names) }

// Of returns the number of a name: its index if it is configured, and otherwise a number above every
// index that is the same at all gateways.
func (n Numbering) Of(name string) int {
	if index := slices.Index(n.names, name); index >= 0 {
		return index
	}
	return firstUnknown + int(xxhash.Sum64String(name)>>(hashBits-unknownBits))
}

// IsConfigured reports whether a number is that of a configured name.
func (n Numbering) IsConfigured(number int) bool { return number >= 0 && number < len(n.names) }
