package witness

import (
	"math"
	"time"
)

// This file is what a digest is made of: the judgements of halls since the one before, and all counts.

// judge gives the quarter at which a hall is seen, or false: nothing is known of late. So many pushes out without an
// answer are a silence.
func (h *seen) judge(now time.Duration, out int) (int, bool) {
	if h.waiting != 0 && h.out >= out && now-h.waiting > h.silence() {
		return Lost, true
	}
	sound, known, freshWell, freshIll := 0, 0, 0, 0
	for server, l := range h.known {
		age := now - l.at
		if age > memory {
			delete(h.known, server)
			continue
		}
		known++
		if l.well {
			sound++
		}
		switch {
		case age > fresh:
		case l.well:
			freshWell++
		default:
			freshIll++
		}
	}
	switch {
	case known == 0:
		clear(h.run)
		return 0, false
	case len(h.run) >= runLeast || freshIll >= freshLeast && freshWell == 0:
		return Lost, true
	case freshIll > 0 && freshWell == 0:
		return Ill, true
	}
	return int(math.Round(Sound * float64(sound) / float64(known))), true
}

// Counts gives all counts so far; it is called before each digest, each 0.2 s or so, and judges the time since the
// call before.
func (w *Witness) Counts(now time.Duration, add func(name string, n uint64)) {
	span := now - w.at
	if w.at == 0 || span > 2*standing || span < 0 {
		span = 0 // it began, or stood still
	}
	span = min(span, standing)
	w.at = now
	ms := uint64(span / time.Millisecond)
	w.at -= span % time.Millisecond // the rest counts with the next
	w.awake += time.Duration(ms) * time.Millisecond
	for i, h := range w.halls {
		q, known := h.judge(now, 1)
		if known {
			h.judged[q] += ms
		}
		strong := w.strong(now, h)
		if w.listed {
			b := Band(strong)
			h.ready[b] += ms
			h.sum[b] += strong * float64(ms)
		}
		if i == w.me {
			alone, heard := h.judge(now, runLeast)
			w.own(now, alone, heard, strong)
		}
		h.tell(add)
	}
	add(w.time, uint64(w.awake/time.Millisecond))
	add(w.cameAs, uint64(w.came))
	add(w.letAs, uint64(w.let))
	add(w.callsWell, w.calls[0])
	add(w.callsLate, w.calls[1])
}

// tell gives the counts of a hall that are not nought.
func (h *seen) tell(add func(name string, n uint64)) {
	some := func(name string, n uint64) {
		if n > 0 {
			add(name, n)
		}
	}
	for q, n := range h.judged {
		some(h.judgedAs[q], n)
	}
	for i, n := range h.ended {
		some(h.endedAs[i], n)
	}
	some(h.pushedAs, uint64(h.pushed))
	some(h.tookAs, uint64(h.took))
	for b, n := range h.ready {
		some(h.readyAs[b], n)
		some(h.strengths[b], uint64(h.sum[b]))
	}
}

// own keeps whether our own hall is lost as far as we alone can see. It stays so until half of it answers. One push that
// hangs is a word among many gateways, but alone it would have nearly all other tasks shed: silence takes runLeast
// pushes out here. Harm: a gateway with fewer sees a silent hall only as its pushes end.
func (w *Witness) own(now time.Duration, q int, known bool, strong float64) {
	looks := w.listed && strong <= 0 || known && q == Lost
	switch {
	case !looks && (!known || q <= Ill):
		if !w.lost {
			w.since = 0
		}
	case !looks:
		w.since, w.lost = 0, false
	case w.since == 0:
		w.since = now
	case now-w.since >= lostAfter:
		w.lost = true
	}
}

// Lost tells whether by this gateway's own evidence its own hall is lost.
func (w *Witness) Lost() bool { return w.lost }
