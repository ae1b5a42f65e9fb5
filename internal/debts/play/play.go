// Package play plays debts in virtual time: gateways with tills in halls of emulated servers, digests that are lost,
// doubled and late, processes that die, and leaders that change while they write. The same seed plays the same.
package play

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"harrierhoist/internal/cluster"
	"harrierhoist/internal/cluster/evidence"
	"harrierhoist/internal/cluster/tables"
	"harrierhoist/internal/debts"
	"harrierhoist/internal/debts/till"
	"harrierhoist/policy"
)

const (
	step       = time.Millisecond
	soft       = 600 * time.Millisecond
	patience   = 2 * time.Second
	unitTakes  = 20 * time.Millisecond
	digestAt   = 200 * time.Millisecond
	commitAt   = time.Second
	leaseFor   = 2 * time.Second
	meanUnits  = 2.0
	nearRoom   = soft / 4        // a hall whose queue is longer has no room for tasks that settle
	lostOver   = 4 * time.Second // digests lost in a row, a leader lost, and the longest that pushes are out
	leaderLost = 1500 * time.Millisecond
)

type gateway struct {
	name        string
	hall        int
	till        *till.Till
	incarnation uint64
	serial      uint64
	disk        *memory
	claims      map[*till.Claim]bool
}

type table struct {
	*World
	chance   *rand.Rand
	now      time.Duration
	agenda   agenda
	n        int
	names    []string
	site     till.Site
	gateways []*gateway
	halls    [][]time.Duration // when each server is free
	state    *tables.State
	index    uint64
	book     *evidence.Book
	decider  cluster.Decider
	since    time.Duration // when the leader began to lead
	away     time.Duration // no leader until then
	heard    map[string]uint64
	truth    map[debts.Pair]uint64
	had      debts.Ledger // a second before
	deaths   int
	tries    [2][]int // after the outage: first tries, in time
	moved    int
	result   Result
}

// Play plays it.
func Play(w World) Result {
	t := &table{World: &w, chance: rand.New(rand.NewPCG(w.Seed, 1)), state: tables.New(), book: evidence.NewBook(),
		heard: map[string]uint64{}, truth: map[debts.Pair]uint64{}}
	t.tries = [2][]int{make([]int, w.Partners), make([]int, w.Partners)}
	t.result.Settled = -1
	for i := range w.Partners {
		p, servers := &t.Terms.Partners[i], w.Servers
		if i == 0 && w.Weak > 0 {
			servers = w.Weak
		}
		t.names = append(t.names, p.Name)
		t.site.Halls = append(t.site.Halls, p.Halls[0])
		t.halls = append(t.halls, make([]time.Duration, servers))
	}
	t.site.Plans = []string{"plan"}
	t.site.Lanes = []policy.Lane{{SoftLimit: soft, Patience: patience, Effect: policy.Pure},
		{SoftLimit: soft, Patience: patience, Effect: policy.Effectful}}
	for i := range w.Partners * w.Gateways {
		g := &gateway{name: fmt.Sprintf("g%d", i), hall: i % w.Partners, claims: map[*till.Claim]bool{}}
		if w.Disks {
			g.disk = &memory{}
		}
		t.gateways = append(t.gateways, g)
		t.start(g)
		t.every(digestAt, time.Duration(i)*7*step, func() { t.digest(g) })
	}
	t.lead()
	t.every(commitAt, commitAt, t.commit)
	if w.Settle {
		t.every(digestAt, 3*step, t.decide)
	}
	t.every(time.Second, time.Second, t.look)
	t.faults()
	end := w.Calm + w.Out + w.After
	t.every(step, step, t.arrive)
	for t.now < end+10*time.Second && len(t.agenda) > 0 {
		e := heap.Pop(&t.agenda).(event)
		t.now = e.at
		e.do()
	}
	t.finish()
	return t.result
}

// keep writes the counts to disk, where there is one.
func (g *gateway) keep() {
	if g.disk != nil {
		_ = g.till.Put(g.disk)
	}
}

func (t *table) end() time.Duration { return t.Calm + t.Out + t.After }

func (t *table) at(at time.Duration, do func()) {
	t.n++
	heap.Push(&t.agenda, event{at, t.n, do})
}

func (t *table) every(apart, first time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		t.at(t.now+apart, again)
	}
	t.at(first, again)
}

// start begins a life of a gateway's process.
func (t *table) start(g *gateway) {
	g.incarnation, g.serial = g.incarnation+1, 0
	clear(g.claims)
	life := fmt.Sprintf("%s.%d", g.name, g.incarnation)
	seed := t.Seed<<20 + g.incarnation<<10 + uint64(len(g.name)+g.hall)
	g.till = till.New(t.Terms, t.site, life, seed, func() time.Duration { return t.now })
	if g.disk != nil {
		g.till.Load(g.disk)
	}
}

// arrive has tasks come in, and be pushed: near, or where they settle a debt, or while their hall is out to the others.
func (t *table) arrive() {
	if t.now >= t.end() {
		return
	}
	for of := range t.Partners {
		if t.chance.Float64() >= t.Rate*step.Seconds() {
			continue
		}
		g := t.gateways[of+t.Partners*t.chance.IntN(t.Gateways)]
		units := max(t.chance.ExpFloat64()*meanUnits, 0.1)
		task := policy.Task{Customer: uint64(of+1) << 16, Units: meanUnits, Lane: 1}
		if t.chance.Float64() < t.Pure {
			task.Lane = 0
		}
		c := g.till.Enter(t.now, task)
		hall := of
		if d := c.Prefer(); d > 0 && (t.Blind || t.wait(d-1) < nearRoom) && !t.out(d-1) {
			hall = d - 1
			t.moved++
		}
		if t.out(hall) {
			hall = (of + 1 + t.chance.IntN(t.Partners-1)) % t.Partners
		}
		t.push(g, c, of, hall, units)
	}
}

func (t *table) out(hall int) bool { return hall == 0 && t.now >= t.Calm && t.now < t.Calm+t.Out }

// wait is the queue of a hall.
func (t *table) wait(hall int) time.Duration {
	first := t.halls[hall][0]
	for _, free := range t.halls[hall] {
		first = min(first, free)
	}
	return max(first-t.now, 0)
}

func (t *table) push(g *gateway, c *till.Claim, of, hall int, units float64) {
	c.Sent(hall)
	g.claims[c] = true
	g.keep()
	first := 0
	for i, free := range t.halls[hall] {
		if free < t.halls[hall][first] {
			first = i
		}
	}
	takes := time.Duration(units * float64(unitTakes))
	if t.Slow > 0 && hall == 1 && t.now >= t.Slow && t.now < t.Slow+20*time.Second {
		takes *= 3
	}
	began := t.now
	over := max(t.halls[hall][first], t.now) + takes
	t.halls[hall][first] = over
	how, billed, owed := policy.Answered, units, debts.Thousandths(units)
	if over-began > patience {
		over, how, billed, owed = began+patience, policy.TimedOut, 0, debts.Thousandths(meanUnits)
	}
	if began >= t.Calm+t.Out {
		t.tries[0][of]++
		if over-began <= soft {
			t.tries[1][of]++
		}
	}
	p := debts.Pair{Debtor: t.names[of], Creditor: t.names[hall]}
	t.at(over, func() {
		if !g.claims[c] { // its process has died: kept as told where there is a disk
			owed = debts.Thousandths(meanUnits)
		} else {
			delete(g.claims, c)
			c.Back(t.now, how, billed)
			g.keep()
			if how != policy.Answered {
				c.Ended(false)
			}
		}
		if of != hall {
			t.truth[p] += owed
		}
	})
}
