package voter

import (
	"time"

	"harrierhoist/internal/cluster/core"
	"harrierhoist/internal/cluster/tables"
)

// reader is a read that waits.
type reader struct {
	known map[string]uint64
	until time.Time // it waits for news
	found chan map[string]tables.Entry
	sure  bool   // what stands here was confirmed since it came
	seq   uint64 // of the confirmation that it waits for; 0: none
	final bool   // that one began after its wait was over
}

// confirmation is the one on its way: all reads that come meanwhile share the next.
type confirmation struct {
	seq   uint64 // 0: none
	since time.Time
	index uint64 // 0: no answer yet; else what must be applied
}

func (k *desk) read(r *reader) {
	k.readers[r] = true
	k.confirm(time.Now())
}

// confirm begins a confirmation where reads wait for one and none is on its way.
func (k *desk) confirm(now time.Time) {
	if k.asked.seq != 0 || k.core.Leader() == 0 {
		return
	}
	var need []*reader
	for r := range k.readers {
		if r.seq == 0 && (!r.sure || !now.Before(r.until)) {
			need = append(need, r)
		}
	}
	if len(need) == 0 {
		return
	}
	k.asked = confirmation{seq: k.core.Confirm(), since: now}
	for _, r := range need {
		r.seq, r.final = k.asked.seq, !now.Before(r.until)
	}
}

// ticked looks after reads whose wait is over and confirmations that were lost.
func (k *desk) ticked(now time.Time) {
	if k.asked.seq != 0 && k.asked.index == 0 && now.Sub(k.asked.since) > confirmPatience {
		k.asked = confirmation{}
		for r := range k.readers {
			r.seq = 0
		}
	}
	k.confirm(now)
}

// confirmed answers reads after something was confirmed or applied.
func (k *desk) confirmed(d core.Done) {
	for _, c := range d.Confirms {
		if c.Seq == k.asked.seq {
			k.asked.index = max(c.Index, 1)
		}
	}
	arrived := k.asked.index > 0 && k.core.Applied() >= k.asked.index
	if !arrived && !d.News {
		return
	}
	seq := k.asked.seq
	if arrived {
		k.asked = confirmation{}
	}
	for r := range k.readers {
		end := false
		if arrived && r.seq == seq {
			r.sure, r.seq, end = true, 0, r.final
		}
		if !r.sure {
			continue
		}
		if found := k.core.State().Since(r.known); len(found) > 0 || end {
			r.found <- found
			delete(k.readers, r)
		}
	}
	k.confirm(time.Now())
}
