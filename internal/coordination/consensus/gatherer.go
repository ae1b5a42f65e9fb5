package consensus

import (
	"harrierhoist/internal/coordination/observation"
)

// exactCountsInterval is with how many messages to the leader exact counts go along: the log is told them once a second.
const exactCountsInterval = 5

// Gatherer is the evidence at one voter: what processes told it, and while it leads what the other voters pass on. The
// two stay apart, and only the first is passed on, so that nothing goes round and counts twice. Not safe for use by
// several goroutines at once.
type Gatherer struct {
	voterName     string
	incarnation   uint64
	processCounts *observation.Merger
	exactCounts   *observation.Merger
	voterCounts   *observation.Merger
	leaderTerm    uint64 // that this voter leads in; 0: it doesn't
	serial        uint64
}

// NewGatherer makes an empty one for a voter in one of its lives.
func NewGatherer(name string, incarnation uint64) *Gatherer {
	return &Gatherer{voterName: name, incarnation: incarnation, processCounts: observation.NewMerger(), exactCounts: observation.NewMerger(), voterCounts: observation.NewMerger()}
}

// AddFromProcesses takes digests of processes.
func (g *Gatherer) AddFromProcesses(digests []observation.Digest) {
	for _, d := range digests {
		g.processCounts.Add(d)
		g.exactCounts.Add(observation.Digest{Process: d.Process, Incarnation: d.Incarnation, Serial: d.Serial, Exact: d.Exact})
	}
}

// AddFromVoter takes what another voter passes on. Sums of one that turned to this voter before it led, or after, are lost.
func (g *Gatherer) AddFromVoter(digests []observation.Digest) {
	for _, d := range digests {
		if d.Counts != nil && d.Session == g.leaderTerm {
			g.voterCounts.Add(d)
		}
		if d.Exact != nil {
			g.exactCounts.Add(observation.Digest{Process: d.Process, Incarnation: d.Incarnation, Serial: d.Serial, Exact: d.Exact})
		}
	}
}

// SetLeaderTerm tells the term that this voter leads in; 0: it doesn't. With a new one the others' sums begin anew.
func (g *Gatherer) SetLeaderTerm(term uint64) {
	if term != g.leaderTerm {
		g.leaderTerm, g.voterCounts = term, observation.NewMerger()
	}
}

// ForLeader gives what is to be told to the leader of a term.
func (g *Gatherer) ForLeader(term uint64) []observation.Digest {
	g.serial++
	// A new leader has another session: what it is told first is where its counting begins.
	all := []observation.Digest{{Process: g.voterName, Incarnation: g.incarnation, Serial: g.serial, Session: term, Counts: g.processCounts.Sums()}}
	if g.serial%exactCountsInterval == 0 {
		all = append(all, g.exactCounts.ExactCounts()...)
	}
	return all
}

// Sums are those over all processes, while this voter leads.
func (g *Gatherer) Sums() map[string]uint64 {
	all := g.processCounts.Sums()
	for name, number := range g.voterCounts.Sums() {
		all[name] += number
	}
	return all
}

// ExactCounts are the exact counts that reached this voter.
func (g *Gatherer) ExactCounts() []observation.Digest { return g.exactCounts.ExactCounts() }
