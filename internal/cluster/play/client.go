package play

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"harrierhoist/internal/cluster/core"
	"harrierhoist/internal/cluster/evidence"
	"harrierhoist/internal/cluster/tables"
)

const (
	table    = "plan"
	counted  = "pushes"
	patience = 400 * time.Millisecond // of a client with one call
	callsMax = 25                     // of a client in a run: histories stay short enough to be searched
)

// call is one call of a client, as it goes into the history.
type call struct {
	write  bool
	epoch  uint64 // write: that the table must stand at
	value  string
	answer answer
}

// answer is what came back.
type answer struct {
	known   bool // false: nothing came until the end
	applied bool
	epoch   uint64
	value   string
}

// client makes one call after the other, and asks again under the same number until it has an answer.
type client struct {
	w      *world
	id     int
	number uint64
	at     int // which voter it asks
	epoch  uint64
	try    int // tells late answers
	call   call
	since  time.Duration
	open   bool
}

func newClient(w *world, id int) *client {
	c := &client{w: w, id: id, at: id}
	w.at(time.Duration(w.chance.Int64N(int64(time.Second))), c.next)
	return c
}

func (c *client) next() {
	if c.number >= callsMax || c.w.now > length-2*patience {
		return
	}
	c.number++
	c.call = call{write: c.w.chance.IntN(3) > 0, epoch: c.epoch, value: fmt.Sprintf("%d-%d", c.id, c.number)}
	c.since, c.open = c.w.now, true
	c.ask(c.number)
}

func (c *client) ask(number uint64) {
	if !c.open || c.number != number {
		return
	}
	c.try++
	try := c.try
	nodes := c.w.nodes
	n := nodes[c.at%len(nodes)]
	got := func(a answer) {
		c.w.carry(0, 0, func() { c.answered(number, try, a) })
	}
	asked := c.call
	c.w.carry(0, 0, func() { n.do(func() { n.serve(c, number, try, asked, got) }) })
	c.w.at(patience, func() {
		if c.open && c.number == number && c.try == try {
			c.at++
			c.ask(number)
		}
	})
}

// serve is a voter's end of a call.
func (n *node) serve(c *client, number uint64, try int, asked call, got func(answer)) {
	if !asked.write {
		if n.w.bug == ReadWithoutQuorum {
			e := n.core.State().Table(table)
			got(answer{known: true, epoch: e.Epoch, value: string(e.Value)})
			return
		}
		n.reads.Add(&core.Reader{Until: n.now(), Answer: func(found map[string]tables.Entry) {
			got(answer{known: true, epoch: found[table].Epoch, value: string(found[table].Value)})
		}}, n.now())
		return
	}
	if n.w.bug == AppliedTwice {
		number = number*1000 + uint64(try)
	}
	seq, err := n.core.Propose(tables.Command{Kind: tables.Write, By: fmt.Sprint(c.id), Number: number, Table: table,
		Epoch: asked.epoch, Value: []byte(asked.value)})
	if err != nil {
		got(answer{})
		return
	}
	n.proposed[seq] = func(o core.Outcome) {
		got(answer{known: true, applied: o.Result.Applied, epoch: o.Result.Epoch})
	}
}

func (c *client) answered(number uint64, try int, a answer) {
	if !c.open || c.number != number || !a.known && c.try != try {
		return
	}
	if !a.known { // it doesn't lead
		c.at++
		c.w.at(20*time.Millisecond, func() { c.ask(number) })
		return
	}
	c.open, c.epoch = false, a.epoch
	c.call.answer = a
	c.w.report.Done++
	c.w.history = append(c.w.history, porcupine.Operation{ClientId: c.id, Input: c.call, Output: a,
		Call: int64(c.since), Return: int64(c.w.now)})
	c.w.note("%+v", c.call)
	c.w.at(time.Duration(c.w.chance.Int64N(int64(400*time.Millisecond))), c.next)
}

// left puts a call that has no answer into the history: it may have been done at any time, or not.
func (c *client) left() {
	if c.open {
		c.w.history = append(c.w.history, porcupine.Operation{ClientId: c.id, Input: c.call, Output: answer{},
			Call: int64(c.since), Return: math.MaxInt64})
	}
}

// holder holds the table by a lease, and acts by it.
type holder struct {
	w     *world
	id    int
	at    int
	epoch uint64
	until time.Duration
	wall  time.Duration // how far its wall clock was set back
	try   int
}

func newHolder(w *world, id int) *holder {
	h := &holder{w: w, id: id, at: id}
	w.at(0, h.read)
	w.every(50*time.Millisecond, h.act)
	return h
}

func (h *holder) clock() time.Duration {
	if h.w.bug == LeaseByWallClock {
		if h.w.chance.IntN(200) == 0 {
			h.wall += 5 * time.Second
		}
		return h.w.now - h.wall
	}
	return h.w.now
}

// read asks for news and waits for a quarter of the lease.
func (h *holder) read() {
	h.try++
	try, sent, known := h.try, h.clock(), h.epoch
	n := h.w.nodes[h.at%len(h.w.nodes)]
	got := func(found map[string]tables.Entry) {
		h.w.carry(0, 0, func() { h.answered(try, sent, known, found) })
	}
	h.w.carry(0, 0, func() {
		n.do(func() {
			n.reads.Add(&core.Reader{Known: map[string]uint64{table: known}, Until: n.now() + lease/4, Answer: got}, n.now())
		})
	})
	h.w.at(lease*3/4, func() {
		if h.try == try {
			h.at++
			h.read()
		}
	})
}

// answered takes what a read brought. One that is late still counts from when it was sent.
func (h *holder) answered(try int, sent time.Duration, known uint64, found map[string]tables.Entry) {
	if h.w.bug == LeaseFromAnswer {
		sent = h.clock()
	}
	if e, ok := found[table]; ok {
		known = e.Epoch
	}
	switch {
	case known > h.epoch:
		h.epoch, h.until = known, sent+lease
	case known == h.epoch:
		h.until = max(h.until, sent+lease)
	}
	if h.try == try {
		h.read()
	}
}

// act checks the rule of a lease: what a holder acts by was the latest at some moment within the lease's length.
func (h *holder) act() bool {
	if h.clock() < h.until || h.w.bug == LeaseIgnored && h.epoch > 0 {
		if since, ok := h.w.commits[h.epoch+1]; ok && since < h.w.now-lease {
			h.w.problem("holder %d acts by an epoch that ended more than a lease ago", h.id)
		}
	}
	return h.w.now < length
}

// teller is a process that counts and tells voters.
type teller struct {
	w       *world
	at      int
	count   uint64
	serial  uint64
	session uint64
	name    string
}

func newTeller(w *world, id int) *teller {
	t := &teller{w: w, at: id, name: fmt.Sprint("g", id)}
	w.every(passEvery, t.tell)
	return t
}

func (t *teller) tell() bool {
	t.count += uint64(t.w.chance.IntN(100))
	t.serial++
	if t.w.chance.IntN(10) == 0 { // no answer from this one
		t.at++
		if t.w.bug != EvidenceTwice {
			t.session++
		}
	}
	n := t.w.nodes[t.at%len(t.w.nodes)]
	d := evidence.Digest{Process: t.name, Incarnation: 1, Serial: t.serial, Session: t.session,
		Counts: map[string]uint64{counted: t.count}}
	t.w.carry(0, 0, func() { n.do(func() { n.gather.Take([]evidence.Digest{d}) }) })
	return t.w.now < length
}
