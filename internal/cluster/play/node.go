package play

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

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
	asleep   bool
	stood    time.Duration // its clock, while others' went on
	queue    []func()      // what came while it slept
	proposed map[uint64]func(core.Outcome)
}

func newNode(w *world, number uint64) *node {
	return &node{w: w, member: cluster.Member{Number: number, Name: fmt.Sprint("v", number), Address: fmt.Sprint("a", number),
		Disk: fmt.Sprint("d", number)}}
}

func (w *world) first() (all []cluster.Member) {
	for _, n := range w.nodes {
		all = append(all, n.member)
	}
	return all
}

func (n *node) now() time.Duration { return n.w.now - n.stood }

func (n *node) start(first []cluster.Member) {
	n.life++
	c, err := core.Start(n.member, core.Life{Count: n.life, Nonce: n.w.chance.Uint64()}, first, n.disk, n.w.chance.Uint64())
	if err != nil {
		n.w.problem("voter %d: %v", n.member.Number, err)
		return
	}
	if len(n.disk) == 0 {
		n.base(c)
	}
	n.core, n.reads, n.gather = c, core.NewReads(c), core.NewGather(n.member.Name, n.life)
	n.up, n.asleep, n.queue, n.proposed, n.doomed = true, false, nil, map[uint64]func(core.Outcome){}, 0
	life := n.life
	own := func() bool { return n.up && n.life == life }
	n.w.every(tick, func() bool {
		if own() && !n.asleep {
			n.do(func() { n.core.Tick(); n.reads.Tick(n.now()) })
		}
		return own()
	})
	n.w.every(passEvery, func() bool {
		if own() && !n.asleep {
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
		queue := n.queue
		n.queue = nil
		for _, do := range queue {
			n.do(do)
		}
	})
}

// do has something done at a voter that is there, and what follows from it.
func (n *node) do(do func()) {
	switch {
	case !n.up:
		return
	case n.asleep:
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
	for n.up {
		r, ok, err := n.core.Ready()
		if err != nil {
			n.w.problem("voter %d: %v", n.member.Number, err)
		}
		if !ok || !n.handle(r) {
			break
		}
	}
	if n.up && len(n.disk)+len(n.loose) > compactAt {
		if err := n.core.Compact(10); err != nil {
			n.w.problem("voter %d: %v", n.member.Number, err)
		}
		n.base(n.core)
	}
	n.watch()
}

// handle writes, sends and applies, or crashes in the midst of it.
func (n *node) handle(r core.Ready) bool {
	doomed := n.doomed
	if r.Record == nil {
		doomed = 0
	}
	if n.w.bug == SendBeforeSync {
		n.send(r.Messages)
	}
	if doomed == beforeWrite || doomed == beforeSync && n.w.chance.IntN(2) == 0 || r.Record != nil && n.full {
		n.crash()
		return false
	}
	if r.Record != nil {
		n.save(r.Record)
	}
	if doomed == beforeSync || doomed == beforeSend {
		n.crash()
		return false
	}
	if doomed == midSend {
		n.send(r.Messages[:n.w.chance.IntN(len(r.Messages)+1)])
		n.crash()
		return false
	}
	if n.w.bug != SendBeforeSync {
		n.send(r.Messages)
	}
	done, err := n.core.Done(r)
	if err != nil {
		n.w.problem("voter %d: %v", n.member.Number, err)
		n.crash()
		return false
	}
	for _, o := range done.Results {
		if answer := n.proposed[o.Seq]; answer != nil {
			delete(n.proposed, o.Seq)
			answer(o)
		}
	}
	n.reads.Done(done, n.now())
	return true
}

func (n *node) save(record []byte) {
	var parts map[uint64]cbor.RawMessage
	if n.w.bug == VoteWithoutSync && cbor.Unmarshal(record, &parts) == nil && parts[3] == nil && parts[2] == nil {
		n.loose = append(n.loose, record)
		return
	}
	n.disk = append(n.disk, record)
}

func (n *node) send(messages []core.Message) {
	for _, m := range messages {
		to := n.w.node(m.To.Number)
		if to == nil {
			continue
		}
		n.w.carry(n.member.Number, m.To.Number, func() {
			to.do(func() {
				if digests, err := to.core.Step(m.Body); err == nil {
					to.gather.TakeOver(digests)
				}
			})
		})
	}
}

func (w *world) node(number uint64) *node {
	if number == 0 || number > uint64(len(w.nodes)) {
		return nil
	}
	return w.nodes[number-1]
}

func (n *node) pass() {
	n.core.Mark()
	s := n.core.Status()
	if s.Leader == 0 || s.Leader == s.Number {
		return
	}
	if m, ok, err := n.core.Evidence(n.gather.Pass(s.Term)); ok && err == nil {
		n.send([]core.Message{m})
	}
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
