package play

import (
	"time"
)

// trouble draws the faults of a run.
func (w *world) trouble() {
	if w.now >= troubled {
		w.heal()
		return
	}
	n := w.pick()
	if l := w.leader(); l != nil && w.chance.IntN(2) == 0 {
		n = l
	}
	span := 50*time.Millisecond + time.Duration(w.chance.Int64N(int64(1500*time.Millisecond)))
	switch w.chance.IntN(10) {
	case 0, 1:
		n.doomed = 1 + w.chance.IntN(stages)
		w.at(span, func() { n.restart() })
	case 2: // all at once
		for _, n := range w.live() {
			n.crash()
			w.at(span, func() { n.restart() })
		}
	case 3:
		n.sleep(span, w.chance.IntN(2) == 0)
	case 4: // both ways
		for _, o := range w.nodes {
			w.cut[[2]uint64{n.member.Number, o.member.Number}] = true
			w.cut[[2]uint64{o.member.Number, n.member.Number}] = true
		}
		w.at(span, func() { clear(w.cut) })
	case 5: // one way
		for _, o := range w.nodes {
			w.cut[[2]uint64{n.member.Number, o.member.Number}] = true
		}
		w.at(span, func() { clear(w.cut) })
	case 6:
		w.loss, w.slow = w.chance.Float64()*0.4, 100*time.Millisecond
		w.at(span, func() { w.loss, w.slow = 0, 2*time.Millisecond })
	case 7:
		n.full = true
		w.at(span, func() { n.full = false; n.crash(); n.restart() })
	case 8:
		n.slow = time.Duration(w.chance.Int64N(int64(400 * time.Millisecond)))
		w.at(span, func() { n.slow = 0 })
	case 9:
		w.replace(n)
	}
	w.at(time.Duration(w.chance.Int64N(int64(800*time.Millisecond))), w.trouble)
}

func (w *world) heal() {
	clear(w.cut)
	w.loss, w.slow = 0, 2*time.Millisecond
	for _, n := range w.live() {
		n.doomed, n.full, n.slow = 0, false, 0
		n.restart()
	}
}

// replace has a voter lose its disk and come back under a new number, as an operator would do it.
func (w *world) replace(n *node) {
	if w.replaced {
		return
	}
	w.replaced = true
	n.crash()
	n.lost = true
	fresh := newNode(w, uint64(len(w.nodes)+1))
	w.nodes = append(w.nodes, fresh)
	fresh.start(nil)
	w.every(300*time.Millisecond, func() bool {
		l := w.leader()
		if l == nil || w.now > length {
			return w.now <= length
		}
		there, gone := false, true
		for _, m := range l.core.Status().Members {
			there, gone = there || m.Number == fresh.member.Number, gone && m.Number != n.member.Number
		}
		l.do(func() {
			switch {
			case !gone:
				_, _ = l.core.Change(n.member, true) // asked again until it is so
			case !there:
				_, _ = l.core.Change(fresh.member, false)
			}
		})
		return !there || !gone
	})
}
