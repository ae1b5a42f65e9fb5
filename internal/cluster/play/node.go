package play

import (
	"fmt"
	"time"

	"harrierhoist/internal/cluster"
	"harrierhoist/internal/cluster/core"
)

// The places at which a crash may come, while a record is written and messages are sent.
const (
	beforeWrite = iota + 1
	beforeSync  // what was written may be there after the crash, or not
	beforeSend
	midSend
	stages = midSend
)

// compactAt is how many records a disk holds before it is made anew: few, so that runs see it.
const compactAt = 40

// node is a voter with a disk that keeps only what was synced.
type node struct {
	w        *world
	member   cluster.Member
	disk     [][]byte
	loose    [][]byte // said to be synced, by a disk that lies
	life     uint64
	core     *core.Core
	reads    *core.Reads
	gather   *core.Gather
	up       bool
	lost     bool // its disk, for good
	full     bool
	doomed   int
	slow     time.Duration // what a sync takes; 0: no time
	writing  bool          // waits for it, and does nothing else
	asleep   bool
	stood    time.Duration // its clock, while others' went on
	queue    []func()      // what came while it slept
	proposed map[uint64]func(core.Outcome)
}

func newNode(w *world, number uint64) *node {
	return &node{w: w, member: cluster.Member{Number: number, Name: fmt.Sprint("v", number),
		Address: fmt.Sprint("a", number), Disk: fmt.Sprint("d", number)}}
}

// first are the members that begin, with the marks of their disks in some runs.
func (w *world) first() (all []cluster.Member) {
	known := w.chance.IntN(2) == 0
	for _, n := range w.nodes {
		m := n.member
		if !known {
			m.Disk = ""
		}
		all = append(all, m)
	}
	return all
}

func (n *node) now() time.Duration { return n.w.now - n.stood }

func (n *node) start(first []cluster.Member) {
	n.life++
	life, seed := core.Life{Count: n.life, Nonce: n.w.chance.Uint64()}, n.w.chance.Uint64()
	c, err := core.Start(n.member, life, first, n.disk, seed)
	if err != nil {
		n.w.problem("voter %d: %v", n.member.Number, err)
		return
	}
	if len(n.disk) == 0 {
		n.base(c)
	}
	n.core, n.reads, n.gather = c, core.NewReads(c), core.NewGather(n.member.Name, n.life)
	n.up, n.asleep, n.writing, n.queue, n.doomed = true, false, false, nil, 0
	n.proposed = map[uint64]func(core.Outcome){}
	own := func() bool { return n.up && n.life == life.Count }
	n.w.every(tick, func() bool {
		if own() && !n.busy() {
			n.do(func() { n.core.Tick(); n.reads.Tick(n.now()) })
		}
		return own()
	})
	n.w.every(passEvery, func() bool {
		if own() && !n.busy() {
			n.do(n.pass)
		}
		return own()
	})
}

func (n *node) base(c *core.Core) {
	b, err := c.Base()
	if err != nil {
		n.w.problem("voter %d: %v", n.member.Number, err)
	}
	n.disk, n.loose = [][]byte{b}, nil
}

func (n *node) crash() { n.up, n.loose, n.queue = false, nil, nil }

func (n *node) restart() {
	if !n.up && !n.lost {
		n.start(nil)
	}
}

func (n *node) sleep(span time.Duration, stands bool) {
	if n.asleep || !n.up {
		return
	}
	n.asleep = true
	life := n.life
	n.w.at(span, func() {
		if n.life != life || !n.up {
			return
		}
		n.asleep = false
		if stands {
			n.stood += span
		}
		n.catchUp()
	})
}

func (n *node) busy() bool { return n.asleep || n.writing }

// catchUp does what came while the voter was busy.
func (n *node) catchUp() {
	for len(n.queue) > 0 && n.up && !n.busy() {
		do := n.queue[0]
		n.queue = n.queue[1:]
		n.do(do)
	}
}

// do has something done at a voter that is there, and what follows from it.
func (n *node) do(do func()) {
	switch {
	case !n.up:
		return
	case n.busy():
		n.queue = append(n.queue, do)
		return
	}
	defer func() {
		if p := recover(); p != nil { // the library's word for what must never be
			n.w.problem("voter %d: %v", n.member.Number, p)
			n.crash()
		}
	}()
	do()
	n.turn()
}

// turn does what the core has ready, and looks at what came of it.
func (n *node) turn() {
	for n.up && !n.writing {
		r, ok, err := n.core.Ready()
		if err != nil {
			n.w.problem("voter %d: %v", n.member.Number, err)
		}
		if !ok || !n.handle(r) {
			break
		}
	}
	if n.up && !n.writing && len(n.disk)+len(n.loose) > compactAt {
		if err := n.core.Compact(10); err != nil {
			n.w.problem("voter %d: %v", n.member.Number, err)
		}
		n.base(n.core)
	}
	n.watch()
}
