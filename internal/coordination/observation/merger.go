// Package evidence is what processes saw, in a form that a lost, doubled, late or reordered message cannot falsify:
// every process sends all that it has counted since its start, and whoever takes it keeps the latest. It knows no
// sockets and no clock.
package observation

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Digest is all that one process has counted in one life.
type Digest struct {
	Process     string `cbor:"1,keyasint"` // its name in the operator's file
	Incarnation uint64 `cbor:"2,keyasint"` // of this life; a later life has a larger one
	Serial      uint64 `cbor:"3,keyasint"` // from 1, larger with each digest of a life
	// Session grows within a life each time the process turns to another voter: what it counted before then was, or
	// was not, told to the one before.
	Session uint64 `cbor:"6,keyasint"`
	// Counts only grow within a life. They are merged on the way: voters pass on sums. A process that turns to
	// another voter loses what it counted between two digests; nothing counts twice.
	Counts map[string]uint64 `cbor:"4,keyasint"`
	// Exact only grow within a life, and are passed on process by process up to the log.
	Exact map[string]uint64 `cbor:"5,keyasint"`
}

const separator = "\x1f"

// JoinName makes the name of a count of its parts; parts hold no unit separator (0x1f).
func JoinName(parts ...string) string { return strings.Join(parts, separator) }

// SplitName are the parts of a name.
func SplitName(name string) []string { return strings.Split(name, separator) }

// processState is a process in one of its lives.
type processState struct {
	incarnation, session, serial uint64
	counts, exact                map[string]uint64
}

// Merger merges digests. The first digest of a session that a book sees is where its counting begins, as another book may
// have counted what came before; it adds what later ones have more. Not safe for use by several goroutines at once.
type Merger struct {
	latest   map[string]*processState // the latest of each process
	previous map[string][]*processState
	sums     map[string]uint64
}

// maxPrevious is how many earlier lives of a process are kept for what is exact in them: what the latest of these had
// counted may not be in the log yet, and its last digests may still be on their way.
const maxPrevious = 4

// NewMerger makes an empty book.
func NewMerger() *Merger {
	return &Merger{latest: map[string]*processState{}, previous: map[string][]*processState{}, sums: map[string]uint64{}}
}

// Add takes a digest and tells whether it was news: a late or doubled one, or one of an earlier life, is none; what is
// exact in one of an earlier life counts all the same.
// A count that a digest has less of than an earlier one of the same life is taken as it stood.
func (m *Merger) Add(digest Digest) (changed bool) {
	state := m.latest[digest.Process]
	switch {
	case state == nil || digest.Incarnation > state.incarnation:
		if state != nil {
			m.mergePrevious(digest.Process, state)
		}
		m.latest[digest.Process] = &processState{digest.Incarnation, digest.Session, digest.Serial, maps.Clone(digest.Counts), maps.Clone(digest.Exact)}
		return true
	case digest.Incarnation < state.incarnation:
		m.mergePrevious(digest.Process, &processState{incarnation: digest.Incarnation, serial: digest.Serial, exact: maps.Clone(digest.Exact)})
		return false
	case digest.Serial <= state.serial || digest.Session < state.session:
		return false
	}
	if digest.Session > state.session {
		state.session, state.counts = digest.Session, maps.Clone(digest.Counts)
	}
	state.serial = digest.Serial
	for name, n := range digest.Counts {
		if was := state.counts[name]; n > was {
			m.sums[name] += n - was
		}
	}
	state.counts = mergeMax(state.counts, digest.Counts)
	state.exact = mergeMax(state.exact, digest.Exact)
	return true
}

// mergePrevious keeps what is exact in an earlier life.
func (m *Merger) mergePrevious(process string, state *processState) {
	previous := m.previous[process]
	i, found := slices.BinarySearchFunc(previous, state.incarnation, func(other *processState, n uint64) int { return cmp.Compare(other.incarnation, n) })
	if found {
		previous[i].serial, previous[i].exact = max(previous[i].serial, state.serial), mergeMax(previous[i].exact, state.exact)
		return
	}
	previous = slices.Insert(previous, i, state)
	m.previous[process] = previous[max(0, len(previous)-maxPrevious):]
}

// mergeMax gives the larger of each count.
func mergeMax(merged, counts map[string]uint64) map[string]uint64 {
	if merged == nil {
		merged = map[string]uint64{}
	}
	for name, n := range counts {
		merged[name] = max(merged[name], n)
	}
	return merged
}

// Sums are what was counted by all since the book began, by name. The map is the caller's.
func (m *Merger) Sums() map[string]uint64 { return maps.Clone(m.sums) }

// ExactCounts are the exact counts of each process in its latest lives, in the order of their names, earlier lives first.
func (m *Merger) ExactCounts() []Digest {
	var all []Digest
	for _, name := range slices.Sorted(maps.Keys(m.latest)) {
		for _, state := range append(slices.Clone(m.previous[name]), m.latest[name]) {
			if len(state.exact) == 0 {
				continue
			}
			all = append(all, Digest{Process: name, Incarnation: state.incarnation, Serial: state.serial, Exact: maps.Clone(state.exact)})
		}
	}
	return all
}

// Forget drops a process that has not been heard of for long. A digest of the same life begins anew.
func (m *Merger) Forget(process string) {
	delete(m.latest, process)
	delete(m.previous, process)
}
