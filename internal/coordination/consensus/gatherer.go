package consensus

import (
	"harrierhoist/internal/coordination/observation"
)

// exactCountsInterval is the number of messages to the leader from one that holds exact counts to
// the next. At five messages a second that is one second, as often as the leader writes them.
const exactCountsInterval = 5

// Gatherer merges the digests that arrive at one voter: those of processes and, while the voter
// leads, those of other voters. The two are kept apart and only the first are forwarded, so that
// nothing travels in a circle and counts twice. It is not safe for concurrent use.
type Gatherer struct {
	voterName     string
	incarnation   uint64
	processCounts *observation.Merger // digests of processes
	voterCounts   *observation.Merger // sums that other voters forwarded in leaderTerm
	exactCounts   *observation.Merger // exact counts from both
	leaderTerm    uint64              // term in which this voter leads; 0: it does not lead
	serial        uint64              // of the last digest for a leader; grows by one with each
}

// NewGatherer makes an empty gatherer for one incarnation of a voter.
func NewGatherer(name string, incarnation uint64) *Gatherer {
	return &Gatherer{
		voterName:     name,
		incarnation:   incarnation,
		processCounts: observation.NewMerger(),
		voterCounts:   observation.NewMerger(),
		exactCounts:   observation.NewMerger(),
	}
}

// AddFromProcesses merges digests of processes.
func (g *Gatherer) AddFromProcesses(digests []observation.Digest) {
	for _, d := range digests {
		g.processCounts.Add(d)
		g.addExact(d)
	}
}

// AddFromVoter merges what another voter forwarded. Sums that were meant for the leader of another
// term are dropped.
func (g *Gatherer) AddFromVoter(digests []observation.Digest) {
	for _, d := range digests {
		if d.Counts != nil && d.Session == g.leaderTerm {
			g.voterCounts.Add(d)
		}
		if d.Exact != nil {
			g.addExact(d)
		}
	}
}

// addExact merges the exact counts of a digest.
func (g *Gatherer) addExact(d observation.Digest) {
	g.exactCounts.Add(
		observation.Digest{Process: d.Process, Incarnation: d.Incarnation, Serial: d.Serial, Exact: d.Exact},
	)
}

// SetLeaderTerm sets the term in which this voter leads; 0: it does not lead. A new term starts
// with no sums of other voters.
func (g *Gatherer) SetLeaderTerm(term uint64) {
	if term != g.leaderTerm {
		g.leaderTerm = term
		g.voterCounts = observation.NewMerger()
	}
}

// ForLeader returns the digests to forward to the leader of a term.
func (g *Gatherer) ForLeader(term uint64) []observation.Digest {
	g.serial++
	digests := []observation.Digest{{
		Process:     g.voterName,
		Incarnation: g.incarnation,
		Serial:      g.serial,
		Session:     term, // a new leader starts to count at the first digest that it receives
		Counts:      g.processCounts.Sums(),
	}}
	if g.serial%exactCountsInterval == 0 {
		digests = append(digests, g.exactCounts.ExactCounts()...)
	}
	return digests
}

// Sums returns the sums over all processes; they are complete while this voter leads. The map is
// the caller's.
func (g *Gatherer) Sums() map[string]uint64 {
	sums := g.processCounts.Sums()
	for name, n := range g.voterCounts.Sums() {
		sums[name] += n
	}
	return sums
}

// ExactCounts returns the exact counts that reached this voter, per process and incarnation.
func (g *Gatherer) ExactCounts() []observation.Digest { return g.exactCounts.ExactCounts() }
