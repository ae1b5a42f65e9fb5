// Package counts plays counting rules in virtual time: a few gateways, each with the module itself, around a switch of
// rules with faults, and beside a canary. It is emulated: what it shows is what the rules and their switch do, not what
// a network does. Bugs can be planted, to see that its checks find them.
package counts

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"harrierhoist/internal/counting"
	"harrierhoist/policy"
)

const (
	lease = 2 * time.Second        // of the table
	lead  = 4 * time.Second        // from an entry to its edge: a lease and two waits
	reads = 200 * time.Millisecond // between two reads of the table
)

// Plant is a bug that is planted.
type Plant string

// The bugs.
const (
	None      Plant = ""
	NoFence   Plant = "no fence"   // a process goes by the table that it has, past its lease
	WrongRule Plant = "wrong rule" // an answer weighs what the rule in force then says
)

// Fleet is the gateways, a counter, servers that always answer and the table.
type Fleet struct {
	chance  *rand.Rand
	now     time.Duration
	due     events
	nth     int
	counter map[uint64]float64
	charged map[uint64]float64 // by name
	table   counting.Table
	fitted  map[uint64]*counting.Fitted
	site    policy.Deployment
	nodes   []*node
	tasks   []*task
	plant   Plant
	taken   func(*node, *task) // told of each task that is taken, and of its end
	over    func(*node, *task)
}

// task is one as the servers and the clients saw it.
type task struct {
	id             uint32
	customer       uint64
	lane           int
	at             time.Duration // when its gateway took it
	sent           time.Duration // when it was pushed
	count          counting.Count
	holds          []counting.Hold
	pushed         bool
	passed         []bool // by hold
	finals         int
	lost           bool // its gateway died: its client saw the connection close
	weight, billed float64
	expires        time.Duration
}

// node is one gateway.
type node struct {
	*Fleet
	module      *policy.Gateway
	life        int
	reading     bool // the module is being told a total
	cut, asleep bool
	late        []func() // what waits for it to wake
	held        time.Duration
	heard       bool
	table       counting.Table
	second      *counting.Second
	mine        map[uint32]*task
	file        *counting.Terms
}

func newFleet(seed uint64, d policy.Deployment, rules []counting.Rule) *Fleet {
	f := &Fleet{chance: rand.New(rand.NewPCG(seed, 11)), now: time.Hour, counter: map[uint64]float64{},
		charged: map[uint64]float64{},
		fitted:  map[uint64]*counting.Fitted{}, site: counting.Plans(d, rules), table: counting.Table{Rules: rules}}
	for _, r := range append([]counting.Rule{{}}, rules...) {
		f.fitted[r.Version], _ = counting.Fit(r, f.site)
	}
	for range d.Gateways {
		n := &node{Fleet: f, file: &counting.Terms{Try: rules[0].Version, Rules: rules}}
		f.nodes = append(f.nodes, n)
		n.start()
		f.after(0, n.read)
	}
	return f
}

func (f *Fleet) after(d time.Duration, do func()) {
	f.nth++
	heap.Push(&f.due, event{f.now + d, f.nth, do})
}

func (f *Fleet) run(until time.Duration) {
	for len(f.due) > 0 && f.due[0].at <= until {
		e := heap.Pop(&f.due).(event)
		f.now = e.at
		e.do()
	}
	f.now = until
}

func (f *Fleet) some(least, most time.Duration) time.Duration {
	return least + time.Duration(f.chance.Int64N(int64(most-least)))
}

// start begins a life: nothing is remembered.
func (n *node) start() {
	n.life++
	for _, t := range n.mine {
		t.lost = true
	}
	n.late, n.mine, n.heard, n.held, n.table = nil, map[uint32]*task{}, false, 0, counting.Table{}
	n.second = counting.NewSecond(n.site.Gateways)
	n.module, _ = policy.New(n.site, int64(n.chance.Uint64()>>1), n)
	var list []policy.Listed
	for i := range uint32(4) {
		list = append(list, policy.Listed{Server: i + 1, Stage: policy.Ready})
	}
	n.module.List(n.now, policy.ListWhole, list)
}

// tell brings the node an event after a time: once it is awake, and in the same life.
func (n *node) tell(after time.Duration, do func()) {
	life := n.life
	n.after(after, func() {
		switch {
		case life != n.life:
		case n.asleep:
			n.late = append(n.late, do)
		default:
			do()
		}
	})
}

func (n *node) wake() {
	n.asleep = false
	late := n.late
	n.late = nil
	for _, do := range late {
		do()
	}
}

// read renews the lease: it counts from when the read was sent.
func (n *node) read() {
	if !n.cut && !n.asleep {
		sent, table := n.now, n.Fleet.table
		n.tell(n.some(time.Millisecond, 20*time.Millisecond), func() { n.heard, n.held, n.table = true, sent+lease, table })
	}
	n.after(reads, n.read)
}

// take is what the clerk and the gate do with a task.
func (n *node) take(customer uint64, lane int) {
	t := &task{id: uint32(len(n.tasks) + 1), customer: customer, lane: lane, at: n.now, expires: n.now + time.Second}
	n.tasks = append(n.tasks, t)
	n.tell(0, func() { n.admit(t) })
	life := n.life
	n.after(3*time.Second, func() { t.lost = t.lost || life != n.life })
}

func (n *node) admit(t *task) {
	if t.at = n.now; t.expires <= t.at { // it waited while we slept
		t.finals++
		return
	}
	n.mine[t.id] = t
	standing := n.table.Standing(n.now, n.now < n.held, n.heard, n.file)
	if n.plant == NoFence {
		standing = []uint64{n.table.InForce(n.now)}
	}
	t.count = n.fitted[standing[0]].Count(t.customer, t.lane, 0)
	t.weight = t.count.Weight
	for _, v := range standing[1:] {
		c := n.fitted[v].Count(t.customer, t.lane, 0)
		t.holds = append(t.holds, n.second.Ask(c, n.site.Plans[c.Plan], 1, n.now))
	}
	if n.taken != nil {
		n.taken(n, t)
	}
	open, pass := len(t.holds), true
	for _, h := range t.holds {
		n.add(h.Name, h.Units, func(total float64) {
			passed, before := n.second.Told(h, total, true)
			t.passed = append(t.passed, passed)
			pass = pass && passed
			if before != nil {
				n.add(before.Name, 0, func(total float64) { n.add(h.Name, h.Lacks(*before, total), func(float64) {}) })
			}
			if open--; open == 0 {
				n.passed(t, pass)
			}
		})
	}
	if open == 0 {
		n.passed(t, true)
	}
}

func (n *node) passed(t *task, pass bool) {
	if !pass || n.now >= t.expires {
		n.final(t.id)
		return
	}
	n.module.Take(n.now, policy.Task{ID: t.id, Lane: t.lane, Plan: t.count.Plan, Customer: t.count.Key,
		Width: n.site.Gateways,
		Units: t.count.Weight, Expires: t.expires})
}

// add calls the counter.
func (n *node) add(name uint64, units float64, told func(float64)) {
	n.after(n.some(time.Millisecond, 3*time.Millisecond), func() {
		n.counter[name] += units
		n.charged[name] += units
		total := n.counter[name]
		n.tell(n.some(time.Millisecond, 3*time.Millisecond), func() { told(total) })
	})
}

func (n *node) final(id uint32) {
	t := n.mine[id]
	if t == nil {
		return
	}
	delete(n.mine, id)
	t.finals++
	if n.over != nil {
		n.over(n, t)
	}
	for i, h := range t.holds {
		used := 0.0
		if t.pushed {
			used = h.Units
		}
		if more := n.second.Settle(h, i < len(t.passed) && t.passed[i], used, counting.Yes); more != 0 {
			n.add(h.Name, more, func(float64) {})
		}
	}
}
