package play

import (
	"bytes"

	"github.com/anishathalye/porcupine"
)

// stands is the table as one that is in one place would have it.
type stands struct {
	epoch uint64
	value string
}

// model is a table that is written by comparing its epoch first: what all answers together must look like.
var model = porcupine.Model{
	Init: func() any { return stands{} },
	Step: func(state, input, output any) (bool, any) {
		s, c, a := state.(stands), input.(call), output.(answer)
		if !c.write {
			return !a.known || a.epoch == s.epoch && a.value == s.value, s
		}
		fits := c.epoch == s.epoch
		if fits {
			s = stands{s.epoch + 1, c.value}
		}
		return !a.known || a.applied == fits && a.epoch == s.epoch, s
	},
}

// applyLag is how far a voter may be behind the leader at the end: what is on its way.
const applyLag = 5

// check looks at what can be told at the end only.
func (w *world) check() {
	for _, c := range w.clients {
		c.left()
	}
	if !porcupine.CheckOperations(model, w.history) {
		w.problem("the answers of %d calls fit no order", len(w.history))
	}
	l := w.leader()
	if l == nil {
		w.problem("no leader %v after the last fault", length-troubled)
		return
	}
	want, err := l.core.State().Snapshot()
	for _, n := range w.live() {
		got, e := n.core.State().Snapshot()
		switch {
		case err != nil || e != nil:
			w.problem("%v, %v", err, e)
		case n.core.Applied()+applyLag < l.core.Applied():
			w.problem("voter %d is at entry %d, the leader at %d", n.member.Number, n.core.Applied(), l.core.Applied())
		case n.core.Applied() == l.core.Applied() && !bytes.Equal(got, want):
			w.problem("voters %d and %d differ at the same entry", n.member.Number, l.member.Number)
		}
	}
	w.report.Trace = w.trace.Sum64()
}

// watch checks what must hold at any moment.
func (n *node) watch() {
	if !n.up {
		return
	}
	w := n.w
	for e := n.core.State().Table(table).Epoch; w.top < e; {
		w.top++
		w.commits[w.top] = w.now
	}
	if !n.core.Leads() {
		n.gather.Lead(0)
		return
	}
	term := n.core.Status().Term
	n.gather.Lead(term)
	if was, ok := w.leads[term]; ok && was != n.member.Number {
		w.problem("voters %d and %d both lead in term %d", was, n.member.Number, term)
	}
	w.leads[term] = n.member.Number
	told := uint64(0)
	for _, t := range w.teller {
		told += t.count
	}
	if seen := n.gather.Sums()[counted]; seen > told {
		w.problem("evidence counted twice at voter %d", n.member.Number)
	}
}
