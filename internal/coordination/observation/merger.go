package observation

import (
	"cmp"
	"maps"
	"slices"
)

// Merger merges digests. It starts to count a session at the first digest of it that it receives,
// as another merger may have counted what came before, and adds the growth of later ones. It is not
// safe for concurrent use.
type Merger struct {
	latest   map[string]*processState   // latest incarnation, by process
	previous map[string][]*processState // earlier incarnations, the earliest first, by process
	sums     map[string]uint64          // growth of the counts of all processes, by name; it never falls
}

// processState is what is known of one incarnation of a process.
type processState struct {
	incarnation, session, serial uint64
	counts, exact                map[string]uint64
}

// maxPrevious is how many earlier incarnations of a process are kept for their exact counts, which
// may not be in the log yet.
const maxPrevious = 4

// NewMerger makes an empty merger.
func NewMerger() *Merger {
	return &Merger{
		latest:   map[string]*processState{},
		previous: map[string][]*processState{},
		sums:     map[string]uint64{},
	}
}

// arrival is what a digest is to the merger that receives it.
type arrival uint8

const (
	nextDigest          arrival = iota // later than all received of its incarnation
	newIncarnation                     // the first of the process, or of a later incarnation of it
	previousIncarnation                // of an earlier incarnation
	outdatedDigest                     // a late or duplicate one of the latest incarnation
)

// arrivalOf decides what a digest is, by the state of its process; nil: none is known.
func arrivalOf(digest Digest, state *processState) arrival {
	switch {
	case state == nil || digest.Incarnation > state.incarnation:
		return newIncarnation
	case digest.Incarnation < state.incarnation:
		return previousIncarnation
	case digest.Serial <= state.serial || digest.Session < state.session:
		return outdatedDigest
	}
	return nextDigest
}

// Add merges a digest and reports whether it was the latest of its process. Of a digest of an
// earlier incarnation only the exact counts are merged; any other late or duplicate one changes
// nothing. A count that is lower than in an earlier digest of the same incarnation is taken to be
// unchanged.
func (m *Merger) Add(digest Digest) (latest bool) {
	state := m.latest[digest.Process]
	switch arrivalOf(digest, state) {
	case newIncarnation:
		if state != nil {
			m.mergePrevious(digest.Process, state)
		}
		m.latest[digest.Process] = &processState{
			incarnation: digest.Incarnation,
			session:     digest.Session,
			serial:      digest.Serial,
			counts:      maps.Clone(digest.Counts),
			exact:       maps.Clone(digest.Exact),
		}
		return true
	case previousIncarnation:
		m.mergePrevious(digest.Process, &processState{
			incarnation: digest.Incarnation,
			serial:      digest.Serial,
			exact:       maps.Clone(digest.Exact),
		})
		return false
	case outdatedDigest:
		return false
	case nextDigest:
		m.addGrowth(state, digest)
	}
	return true
}

// addGrowth adds to the sums what the latest digest of a process counted since the one before. Of a
// new session nothing is added: another merger may have counted it.
func (m *Merger) addGrowth(state *processState, digest Digest) {
	if digest.Session > state.session {
		state.session = digest.Session
		state.counts = maps.Clone(digest.Counts)
	}
	state.serial = digest.Serial
	for name, n := range digest.Counts {
		if before := state.counts[name]; n > before {
			m.sums[name] += n - before
		}
	}
	state.counts = mergeMax(state.counts, digest.Counts)
	state.exact = mergeMax(state.exact, digest.Exact)
}

// mergePrevious keeps the exact counts of an earlier incarnation.
func (m *Merger) mergePrevious(process string, state *processState) {
	previous := m.previous[process]
	byIncarnation := func(s *processState, incarnation uint64) int { return cmp.Compare(s.incarnation, incarnation) }
	i, found := slices.BinarySearchFunc(previous, state.incarnation, byIncarnation)
	if found {
		known := previous[i]
		known.serial = max(known.serial, state.serial)
		known.exact = mergeMax(known.exact, state.exact)
		return
	}
	previous = slices.Insert(previous, i, state)
	m.previous[process] = previous[max(0, len(previous)-maxPrevious):]
}

// mergeMax raises each count to the larger of the two and returns the first map, or a new one if
// that is nil.
func mergeMax(merged, counts map[string]uint64) map[string]uint64 {
	if merged == nil {
		merged = map[string]uint64{}
	}
	for name, n := range counts {
		merged[name] = max(merged[name], n)
	}
	return merged
}

// Sums returns what all processes have counted since the merger was made, by name. The map is the
// caller's.
func (m *Merger) Sums() map[string]uint64 { return maps.Clone(m.sums) }

// ExactCounts returns the exact counts of each process in its last incarnations, by process name,
// earlier incarnations first.
func (m *Merger) ExactCounts() []Digest {
	var digests []Digest
	for _, process := range slices.Sorted(maps.Keys(m.latest)) {
		for _, state := range append(slices.Clone(m.previous[process]), m.latest[process]) {
			if len(state.exact) == 0 {
				continue
			}
			digests = append(digests, Digest{
				Process:     process,
				Incarnation: state.incarnation,
				Serial:      state.serial,
				Exact:       maps.Clone(state.exact),
			})
		}
	}
	return digests
}
