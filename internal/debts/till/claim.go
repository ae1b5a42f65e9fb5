package till

import (
	"cmp"
	"math"
	"time"

	"harrierhoist/internal/debts"
	"harrierhoist/policy"
)

// never is longer than any task takes.
const never = time.Duration(math.MaxInt64)

// Claim is one task on its way, as the till follows it. A nil claim is of no partner: nothing is counted for it. Its
// calls are made one after another.
type Claim struct {
	till   *Till
	roll   *debts.Roll
	of     int // partner
	prefer int // partner whose servers its first push is to go to; 0: none
	units  float64
	told   uint64 // thousandths
	first  bool   // pure and not a repeat: its first push counts
	tried  bool
	at     time.Duration
	soft   time.Duration
	out    *sum // where its push stands that is out; nil where that owes nobody
	hall   int
	over   bool
}

// Enter takes a task, and gives its claim.
func (l *Till) Enter(now time.Duration, t policy.Task) *Claim {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	of := 0
	if l.terms.On && t.Lane < len(l.site.Lanes) {
		of = l.roll.Partner(t.Customer, t.Plan)
	}
	if of == 0 {
		return nil
	}
	lane := &l.site.Lanes[t.Lane]
	c := &Claim{till: l, roll: l.roll, of: of, units: t.Units, told: debts.Thousandths(t.Units), at: now,
		soft: lane.SoftLimit, first: lane.Effect == policy.Pure && !t.Repeat, over: t.Repeat}
	if c.first && len(l.shares) > 0 && l.now() < l.until {
		lot := l.chance.Float64()
		for _, s := range l.shares {
			if s.creditor == of {
				if lot -= s.part; lot < 0 {
					c.prefer = s.debtor
					break
				}
			}
		}
	}
	return c
}

// Prefer is the partner whose servers the task's first push is to prefer; 0: none.
func (c *Claim) Prefer() int {
	if c == nil {
		return 0
	}
	return c.prefer
}

// Sent tells of a push to a hall.
func (c *Claim) Sent(hall int) {
	if c == nil {
		return
	}
	l := c.till
	l.mu.Lock()
	defer l.mu.Unlock()
	c.hall = hall
	owner := c.roll.Owner(hall)
	if c.first && !c.tried {
		l.count(c.roll, debts.Pure, c.of, c.told)
		l.count(c.roll, debts.Pures, c.of, 1)
		if c.prefer > 0 {
			l.count(c.roll, debts.Asked, c.prefer, 1)
			if owner == c.prefer {
				l.count(c.roll, debts.Went, c.prefer, 1)
			}
		}
	}
	c.tried = true
	if owner == 0 || owner == c.of {
		return
	}
	p := debts.Pair{Debtor: c.roll.Names[c.of], Creditor: c.roll.Names[owner]}
	if c.out = l.sums[p]; c.out == nil {
		c.out = &sum{}
		l.sums[p] = c.out
	}
	c.out.out += c.told
	l.changed()
}

// Back tells how the push ended that was sent last. Its server's owner is owed the true units; what was told where no
// answer tells them and it may have run; nothing where it never did.
func (c *Claim) Back(now time.Duration, how policy.Outcome, billed float64) {
	if c == nil {
		return
	}
	l := c.till
	l.mu.Lock()
	defer l.mu.Unlock()
	owed := c.told
	switch how {
	case policy.Answered:
		owed = debts.Thousandths(cmp.Or(billed, c.units))
		if owner := c.roll.Owner(c.hall); owner > 0 {
			l.count(c.roll, debts.Served, owner, owed)
		}
		c.end(now - c.at)
	case policy.Full, policy.NoConnect, policy.Moot:
		owed = 0
	}
	if c.out != nil {
		c.out.owed += owed
		c.out.out -= c.told
		c.out = nil
		l.changed()
	}
}

// Ended tells that the task is over without an answer. One that its client left is no word on how it was served.
func (c *Claim) Ended(left bool) {
	if c == nil {
		return
	}
	c.till.mu.Lock()
	defer c.till.mu.Unlock()
	if left {
		c.over = true
	}
	c.end(never)
}

// end counts how a first try was served, once. One that was never pushed was not let in by its plan, or found no
// server: it is left out, as it has taken nothing from anyone and most such are over their plan.
func (c *Claim) end(took time.Duration) {
	if c.over || !c.tried {
		return
	}
	c.over = true
	c.till.count(c.roll, debts.Tasks, c.of, 1)
	if took > c.soft/2 {
		c.till.count(c.roll, debts.Slow, c.of, 1)
	}
	if took > c.soft {
		c.till.count(c.roll, debts.Late, c.of, 1)
	}
}

// count adds to evidence, under the lock.
func (l *Till) count(r *debts.Roll, what debts.What, partner int, n uint64) {
	name := r.Names[partner]
	c := l.seen[name]
	if c == nil {
		c = new([debts.Whats]uint64)
		l.seen[name] = c
	}
	c[what] += n
}

// changed has the disk follow.
func (l *Till) changed() {
	if l.kick != nil {
		select {
		case l.kick <- struct{}{}:
		default: // it will see this too
		}
	}
}
