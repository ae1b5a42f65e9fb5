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
		case n.core.Applied() == l.core.Applied() && !bytes.Equal(got, want):
			w.problem("voters %d and %d differ at the same entry", n.member.Number, l.member.Number)
		}
	}
	w.report.Trace = w.trace.Sum64()
}
