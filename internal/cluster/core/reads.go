package core

import (
	"slices"
	"time"

	"harrierhoist/internal/cluster/tables"
)

// confirmPatience is after how long a confirmation is asked for again: a heartbeat or its answer was lost.
const confirmPatience = 100 * time.Millisecond

// Reader is a read that waits for news up to a time on the host's clock.
type Reader struct {
	Known  map[string]uint64                   // epochs that its caller has
	Until  time.Duration                       // it waits for news
	Answer func(found map[string]tables.Entry) // called once; it must not block

	// Gone tells that nobody waits for the answer any more; nil: somebody always does.
	Gone func() bool

	sure  bool   // what stands here was confirmed since it came
	seq   uint64 // of the confirmation that it waits for; 0: none
	final bool   // that one began after its wait was over
}

// Reads are those that wait at one voter. All that come while a confirmation is on its way share the next. What a
// majority confirmed after a read came answers it, so that a voter cut off from the others answers none.
type Reads struct {
	core    *Core
	waiting []*Reader
	seq     uint64 // of the confirmation on its way; 0: none
	since   time.Duration
	index   uint64 // 0: not confirmed yet; else what must be applied
}

// NewReads makes an empty one.
func NewReads(c *Core) *Reads { return &Reads{core: c} }

// Add takes a read.
func (q *Reads) Add(r *Reader, now time.Duration) {
	q.waiting = append(q.waiting, r)
	q.confirm(now)
}

// confirm begins a confirmation where reads wait for one and none is on its way.
func (q *Reads) confirm(now time.Duration) {
	need := func(r *Reader) bool { return r.seq == 0 && (!r.sure || now >= r.Until) }
	if q.seq != 0 || q.core.Leader() == 0 || !slices.ContainsFunc(q.waiting, need) {
		return
	}
	q.seq, q.since, q.index = q.core.Confirm(), now, 0
	for _, r := range q.waiting {
		if need(r) {
			r.seq, r.final = q.seq, now >= r.Until
		}
	}
}

// Tick looks after reads whose wait is over or whose caller has gone, and confirmations that were lost.
func (q *Reads) Tick(now time.Duration) {
	q.waiting = slices.DeleteFunc(q.waiting, func(r *Reader) bool { return r.Gone != nil && r.Gone() })
	if q.seq != 0 && q.index == 0 && now-q.since > confirmPatience {
		q.seq = 0
		for _, r := range q.waiting {
			r.seq = 0
		}
	}
	q.confirm(now)
}

// Done answers reads after something was confirmed or applied.
func (q *Reads) Done(d Done, now time.Duration) {
	for _, c := range d.Confirms {
		if c.Seq == q.seq {
			q.index = max(c.Index, 1)
		}
	}
	arrived, seq := q.seq != 0 && q.index > 0 && q.core.Applied() >= q.index, q.seq
	if !arrived && !d.News {
		return
	}
	if arrived {
		q.seq = 0
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(r *Reader) bool {
		end := false
		if arrived && r.seq == seq {
			r.sure, r.seq, end = true, 0, r.final
		}
		if !r.sure {
			return false
		}
		found := q.core.State().Since(r.Known)
		if len(found) == 0 && !end {
			return false
		}
		r.Answer(found)
		return true
	})
	q.confirm(now)
}
