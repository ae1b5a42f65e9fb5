package core

import (
	"harrierhoist/internal/cluster/evidence"
)

// exactEvery is with how many messages to the leader exact counts go along: the log is told them once a second.
const exactEvery = 5

// Gather is the evidence at one voter: what processes told it, and while it leads what the other voters pass on. The
// two stay apart, and only the first is passed on, so that nothing goes round and counts twice. Not safe for use by
// several goroutines at once.
type Gather struct {
	name   string
	life   uint64
	own    *evidence.Book
	exact  *evidence.Book
	peers  *evidence.Book
	term   uint64 // that this voter leads in; 0: it doesn't
	serial uint64
}

// NewGather makes an empty one for a voter in one of its lives.
func NewGather(name string, life uint64) *Gather {
	return &Gather{name: name, life: life, own: evidence.NewBook(), exact: evidence.NewBook(), peers: evidence.NewBook()}
}

// Take takes digests of processes.
func (g *Gather) Take(digests []evidence.Digest) {
	for _, d := range digests {
		g.own.Take(d)
		g.exact.Take(evidence.Digest{Process: d.Process, Incarnation: d.Incarnation, Serial: d.Serial, Exact: d.Exact})
	}
}

// TakeOver takes what another voter passes on. Sums of one that turned to this voter before it led, or after, are lost.
func (g *Gather) TakeOver(digests []evidence.Digest) {
	for _, d := range digests {
		if d.Counts != nil && d.Session == g.term {
			g.peers.Take(d)
		}
		if d.Exact != nil {
			g.exact.Take(evidence.Digest{Process: d.Process, Incarnation: d.Incarnation, Serial: d.Serial, Exact: d.Exact})
		}
	}
}

// Lead tells the term that this voter leads in; 0: it doesn't. With a new one the others' sums begin anew.
func (g *Gather) Lead(term uint64) {
	if term != g.term {
		g.term, g.peers = term, evidence.NewBook()
	}
}

// Pass gives what is to be told to the leader of a term.
func (g *Gather) Pass(term uint64) []evidence.Digest {
	g.serial++
	// A new leader has another session: what it is told first is where its counting begins.
	all := []evidence.Digest{{Process: g.name, Incarnation: g.life, Serial: g.serial, Session: term, Counts: g.own.Sums()}}
	if g.serial%exactEvery == 0 {
		all = append(all, g.exact.Exact()...)
	}
	return all
}

// Sums are those over all processes, while this voter leads.
func (g *Gather) Sums() map[string]uint64 {
	all := g.own.Sums()
	for name, n := range g.peers.Sums() {
		all[name] += n
	}
	return all
}

// Exact are the exact counts that reached this voter.
func (g *Gather) Exact() []evidence.Digest { return g.exact.Exact() }
