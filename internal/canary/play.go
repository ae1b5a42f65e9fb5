package canary

import (
	"time"

	"harrierhoist/internal/counting"
	"harrierhoist/policy"
)

const (
	budgetMost = 64.0             // calls saved up a side: a burst of tasks, not an hour's
	flushAfter = time.Second      // units let in that no later task of their key brings to the counter go alone
	forgetIn   = 60 * time.Second // a key not seen so long has no window left at the counter
	booksMost  = 50_000           // keys a side that a process remembers; more are not played
)

// Call is a call to the counter that a play asks for. Its answer goes to Told.
type Call struct {
	Name  uint64
	Units float64
	Keep  time.Duration
	ID    uint64
}

// Play plays the old rule (side 0) and the new one (side 1) on the tasks of the sample, both by the same plain desk and
// by counts of their own, so that what differs is the rules' doing. Not safe for use by several goroutines at once.
type Play struct {
	*Tallies
	sample *Sample
	sides  [2]side
	plans  []policy.Plan
	share  float64 // of a call that each call of the gateway earns
	calls  map[uint64]asked
	latest uint64
	swept  time.Duration
}

type side struct {
	rule  *counting.Fitted
	books map[uint64]*book
	late  []*book // with units that may have to go alone, in the order in which that was found
	// budget is what this side may spend: each has half of the play's, so that neither sees less than the other.
	budget float64
}

// NewPlay begins a play. Salt is the canary's own: names made with it are no rule's. Calls is the share of the
// gateway's calls that may be spent, in thousandths.
func NewPlay(s *Sample, old, next *counting.Fitted, site policy.Deployment, salt, calls uint64) *Play {
	p := &Play{Tallies: newTallies(salt), sample: s, share: float64(calls) / 1000, calls: map[uint64]asked{}}
	p.sides[0].books, p.sides[1].books = map[uint64]*book{}, map[uint64]*book{}
	p.Refit(old, next, site)
	return p
}

// Refit goes on with the same rules beside other lanes and plans, which have kept their numbers.
func (p *Play) Refit(old, next *counting.Fitted, site policy.Deployment) {
	p.sides[0].rule, p.sides[1].rule, p.plans = old, next, site.Plans
	p.named(site)
}

// Earn takes word of n calls that the gateway made for its tasks.
func (p *Play) Earn(n uint64) {
	for i := range p.sides {
		p.sides[i].budget = min(p.sides[i].budget+p.share/2*float64(n), budgetMost)
	}
}

// Played tells whether a customer is in the sample.
func (p *Play) Played(customer uint64) bool {
	_, in := p.sample.Cell(customer)
	return in
}

// Take plays a task, if it is in the sample, and gives the calls to be made for it.
func (p *Play) Take(now time.Duration, t Task) (calls []Call) {
	if !p.Played(t.Customer) || p.plans[t.Plan].Rate <= 0 {
		return nil
	}
	var books [2]*book
	var keys [2]uint64
	for i := range p.sides {
		c := p.sides[i].rule.Count(t.Customer, t.Lane, t.Plan)
		keys[i] = c.Key
		if books[i] = p.open(i, c, now); books[i] == nil {
			return nil
		}
	}
	p.keys(keys[0], keys[1])
	y, blind := &try{task: t, open: 2}, min(p.sides[0].budget, p.sides[1].budget) < 1 // both sides see a total, or neither
	for i, b := range books {
		if blind {
			y.blind = true
			p.decide(i, b, y, now, b.guess(now))
			continue
		}
		calls = append(calls, p.call(i, b, now, y))
	}
	return calls
}

// open finds a key's book; nil where there are too many.
func (p *Play) open(i int, c counting.Count, now time.Duration) *book {
	books := p.sides[i].books
	key := counting.Mix(p.salt, uint64(i), c.Version, c.Key)
	b := books[key]
	if b == nil {
		if len(books) >= booksMost {
			return nil
		}
		plan := p.plans[c.Plan]
		b = &book{key: key, plan: plan, window: counting.At(key, &plan, now), at: now, room: plan.Burst}
		books[key] = b
	}
	b.used = now
	return b
}

// call brings a book's pending units to its count.
func (p *Play) call(i int, b *book, now time.Duration, y *try) Call {
	p.spend(i)
	p.latest++
	w := counting.At(b.key, &b.plan, now)
	p.calls[p.latest] = asked{side: i, book: b, window: w, at: now, sum: b.pending, try: y}
	c := Call{w.Name, b.pending, w.Keep, p.latest}
	b.pending, b.due = 0, 0
	return c
}

func (p *Play) spend(side int) {
	p.sides[side].budget--
	p.Calls++
}

// owes has a book's pending units go alone after a while.
func (p *Play) owes(i int, b *book, now time.Duration) {
	if b.due == 0 {
		b.due = now + flushAfter
		p.sides[i].late = append(p.sides[i].late, b)
	}
}

// Told takes a call's answer; read is false where none came or the counter turned it away. It gives the calls that
// follow: whoever finds a window untouched carries over what the one before lacked at its end, as the module does.
func (p *Play) Told(now time.Duration, id uint64, total float64, read bool) (calls []Call) {
	a, ok := p.calls[id]
	if !ok {
		return nil
	}
	delete(p.calls, id)
	b := a.book
	if a.carry {
		if lacks := b.plan.Burst - counting.Room(&b.plan, a.window, a.at, total); read && lacks > 0 {
			p.spend(a.side)
			w := counting.At(b.key, &b.plan, now)
			return []Call{{w.Name, lacks, w.Keep, 0}} // nobody waits for its answer
		}
		return nil
	}
	room := b.guess(now)
	if read {
		room = b.look(a.window, a.at, total)
		p.over(a, total)
		if total <= a.sum && b.opened != a.window.Nth {
			b.opened = a.window.Nth
			calls = append(calls, p.before(a))
		}
	} else if b.pending += a.sum; b.pending > 0 {
		p.owes(a.side, b, now)
	}
	if a.try != nil {
		a.try.blind = a.try.blind || !read
		p.decide(a.side, b, a.try, now, room)
	}
	return calls
}

// before reads the window before the one that a call found untouched.
func (p *Play) before(a asked) Call {
	p.spend(a.side)
	p.latest++
	end := a.window.Start - 1
	w := counting.At(a.book.key, &a.book.plan, end)
	p.calls[p.latest] = asked{side: a.side, book: a.book, window: w, at: end, carry: true}
	return Call{w.Name, 0, w.Keep, p.latest}
}

// over counts what a call brought beyond the new rule's limit: let in, as the count lagged.
func (p *Play) over(a asked, total float64) {
	limit := a.book.plan.Burst + a.book.plan.Rate*(a.at-a.window.Start).Seconds()
	if a.side == 1 && a.try != nil {
		a.try.beyond = min(max(total-limit, 0), a.sum)
	}
}

// decide is one side's word on a task.
func (p *Play) decide(i int, b *book, y *try, now time.Duration, room float64) {
	c := p.sides[i].rule.Count(y.task.Customer, y.task.Lane, y.task.Plan)
	units := y.task.Units * c.Weight
	if room-b.pending >= units {
		y.letIn[i] = true
		b.pending += units
		p.owes(i, b, now)
	}
	if y.open--; y.open == 0 {
		cell, _ := p.sample.Cell(y.task.Customer)
		p.done(cell, y)
	}
}

// Due gives the calls for units that no later task brought, as far as the budget reaches, and forgets keys long unseen.
func (p *Play) Due(now time.Duration) (calls []Call) {
	if now < p.swept+flushAfter/2 {
		return nil
	}
	p.swept = now
	for i := range p.sides {
		s := &p.sides[i]
		left := s.late[:0]
		for _, b := range s.late {
			switch {
			case b.due == 0: // a task brought them
			case now >= b.due && s.budget >= 1:
				calls = append(calls, p.call(i, b, now, nil))
			default:
				left = append(left, b)
			}
		}
		clear(s.late[len(left):])
		s.late = left
		for key, b := range s.books {
			if now > b.used+forgetIn && b.due == 0 {
				delete(s.books, key)
			}
		}
	}
	return calls
}
