// Package till counts at one gateway what partners owe each other, and says which tasks are to go to a debtor's
// servers. What it is called with on a task's way takes one short lock and waits for nothing; disk and links are the
// business of the goroutine of Run.
package till

import (
	"math/rand/v2"
	"sync"
	"time"

	"harrierhoist/internal/debts"
	"harrierhoist/internal/pool"
	"harrierhoist/policy"
)

// Site is what a gateway's till must know of it.
type Site struct {
	Halls []string // names, as numbered
	Plans []string
	Lanes []policy.Lane
}

// Till is a gateway's. All calls may be made by several goroutines at once.
type Till struct {
	mu     sync.Mutex
	terms  debts.Terms
	site   Site
	roll   *debts.Roll
	chance *rand.Rand
	life   string // of the counts below
	fresh  string // the life that this process was given
	sums   map[debts.Pair]*sum
	seen   map[string]*[debts.Whats]uint64 // evidence, by partner
	shares []share                         // by lot; none while nothing is settled
	until  time.Duration                   // by now
	now    func() time.Duration
	tell   []debts.Carried // what goes into digests; of earlier lives too
	kick   chan struct{}   // a sum has changed; nil where no disk is kept
}

// sum is what stands for a pair, in thousandths of units.
type sum struct {
	owed uint64 // only grows
	out  uint64 // told of pushes that are out
}

// share is a part of a creditor's elective pushes.
type share struct {
	creditor, debtor int
	part             float64
}

// New makes the till of a life of the counts, by which the log tells them from others of the same process: no two
// lives of a process have the same name. Now is the clock that leases are told on.
func New(t debts.Terms, site Site, life string, seed uint64, now func() time.Duration) *Till {
	l := &Till{chance: rand.New(rand.NewPCG(seed, 0xdeb7)), life: life, fresh: life, sums: map[debts.Pair]*sum{},
		seen: map[string]*[debts.Whats]uint64{},
		now:  now}
	l.Reshape(t, site)
	return l
}

// Reshape takes other terms. What was counted stands; tasks on their way are counted by the terms that they began
// under.
func (l *Till) Reshape(t debts.Terms, site Site) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shape(t, site)
}

// shape takes both under the lock: what one caller leaves as it was must be what stands when it is taken, as terms come
// with SIGHUP and lanes and plans with counting rules as well.
func (l *Till) shape(t debts.Terms, site Site) {
	l.terms, l.site, l.roll, l.shares = t, site, debts.NewRoll(t, site.Halls, site.Plans), nil
}

// Retell takes other terms for the same site.
func (l *Till) Retell(t debts.Terms) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shape(t, l.site)
}

// Resite takes lanes and plans anew: they keep the numbers that they had.
func (l *Till) Resite(lanes []policy.Lane, plans []policy.Plan) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	site := Site{Halls: l.site.Halls, Lanes: lanes}
	for _, p := range plans {
		site.Plans = append(site.Plans, p.Name)
	}
	l.shape(l.terms, site)
}

// Take takes the table: its shares hold until a time of the clock.
func (l *Till) Take(v debts.Value, until time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shares, l.until = l.shares[:0], until
	if !l.terms.On {
		return
	}
	for _, s := range v.Shares {
		if c, d := l.roll.Number(s.Creditor), l.roll.Number(s.Debtor); c > 0 && d > 0 && s.Part > 0 {
			l.shares = append(l.shares, share{c, d, float64(s.Part) / debts.Whole})
		}
	}
}

// Lends tells for each hall whose it is if tasks may go there to settle, else 0; lent is the largest part of any
// creditor's tasks that may. Nil where nothing is settled.
func (l *Till) Lends() (owners []int, lent float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.shares) == 0 || l.now() >= l.until {
		return nil, 0
	}
	for hall := range l.roll.Halls() {
		owner := 0
		for _, s := range l.shares {
			if l.roll.Owner(hall) == s.debtor {
				owner, lent = s.debtor, max(lent, s.part)
			}
		}
		owners = append(owners, owner)
	}
	return owners, lent
}

// Elect gives the servers that a part lays out for elective pushes beside it, and marks those of the part itself that
// they may prefer. With nothing to settle the part is given back as it is.
func (l *Till) Elect(p *pool.Pool, now time.Duration, part []policy.Listed, all []pool.Server) []policy.Listed {
	if l == nil {
		return part
	}
	owners, lent := l.Lends()
	if owners == nil {
		return part
	}
	return p.Elect(now, part, all, owners, lent)
}

// Counts gives the evidence.
func (l *Till) Counts(add func(name string, n uint64)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, c := range l.seen {
		for what, n := range c {
			add(debts.Count(debts.What(what), name), n)
		}
	}
}

// ExactCounts gives the exact counts: those on disk where one is kept, so that none is told that a later life would
// not know, else those in memory.
func (l *Till) ExactCounts(add func(name string, n uint64)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.tell {
		add(debts.Name(c.Life, c.Pair), c.Sum)
	}
	if l.kick == nil {
		for p, s := range l.sums {
			add(debts.Name(l.life, p), s.owed)
		}
	}
}
