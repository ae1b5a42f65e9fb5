package policy

import (
	"math"
	"time"
)

// desk is the quota desk: the count says push or reject.
type desk struct {
	*Gateway
	part
	customers map[uint64]*book
	books     []*book // the same, to look through
	hand      int     // the next to be looked at
	calls     map[uint64][]call
	heed      float64 // chance that a call is made: 1 while the counter answers
	run       float64 // quick answers in a row, up to heedRun
	taken     float64 // share of the latest calls that the counter took
}

// open finds a customer's book. All gateways work out the same windows from the common clock, those of the
// customers apart, to crowd no counter. The ceiling's share starts from nothing as an earlier life may have
// used it.
func (d *desk) open(t Task) *book {
	d.forget()
	b := d.customers[t.Customer]
	if b == nil {
		plan := &d.site.Plans[t.Plan]
		b = &book{customer: t.Customer, plan: plan, width: float64(min(max(t.Width, 1), d.site.Gateways)),
			filled: d.born, left: plan.Burst, use: 1}
		b.windows(d.now)
		d.customers[t.Customer] = b
		d.books = append(d.books, b)
	}
	return b
}

// forget drops books not used for as long as a count or a charge lasts, two looked at with each task. It
// guards against customers who come once. Harm: a store that takes longer to fill is taken for full.
func (d *desk) forget() {
	for range min(len(d.books), 2) {
		d.hand %= len(d.books)
		b, end := d.books[d.hand], len(d.books)-1
		if b.out > 0 || d.now < b.filled+keepMost {
			d.hand++
			continue
		}
		delete(d.customers, b.customer)
		d.books[d.hand], d.books[end] = d.books[end], nil
		d.books = d.books[:end]
	}
}

// asked checks a task: the customer's pending charges are added to its count, and the answer decides. What is
// late, or given too little time for its units, is rejected at once: clients come again with more. While
// calls are left out, repeats of thin customers are rejected unasked: they would take calls from first tries,
// and each be one more chance of its task to pass unseen. Harm: a task rejected by chance.
func (d *desk) asked(n note) {
	j, b := n.job, n.job.book
	b.fill(d.now)
	switch {
	case j.over || j.paid:
	case j.asked:
		d.decide(j, false) // the check takes too much of the soft limit
	case d.now >= j.soft || d.now+j.takes(hopeTenth) > j.Expires:
		d.post(&d.course.part, note{what: d.course.finish, job: j, away: j.row.Patience})
	case b.plan.Rate > 0 && b.left+b.assumed < j.Units && len(b.pending) == 0:
		d.decide(j, true) // a count only grows: no total could let this task in, and nothing waits to be charged
	case j.Repeat && d.heed < 1 && b.thin(j.Units):
		d.post(&d.course.part, note{what: d.course.finish, job: j, away: d.fleet.spell()})
	case d.site.HasCounter && b.length > 0 && d.now >= b.blocked &&
		d.chance.Float64() < math.Pow(d.heed, max(b.left/max(b.plan.Burst, 1), min(b.width/needWidth, 1))):
		j.asked = true
		d.charge(b, j, 1)
		d.wake(wakeCheck, j.ID, time.Duration(callPart*float64(j.row.SoftLimit)))
	default:
		d.decide(j, false)
	}
}

// decide compares what was used with the limit: what the customer's store can have given in the window, not
// one burst whatever came before. That guards against two bursts back to back at a window's edge, and against
// rejecting a customer with room at its end. Its last units go by lot: the count lags, and a sharp edge lets
// a whole answer time's tasks through at once. Without a total others are assumed to use as much as we, each.
// A limit on pushes out goes by the count of them, else by what the customer's own tries here say.
func (d *desk) decide(j *job, read bool) {
	b := j.book
	j.asked = false
	if j.over {
		return
	}
	b.fill(d.now)
	usual, most := j.row.decile(5), float64(b.plan.AtOnce)
	thin, mine := b.thin(j.Units), float64(b.out)
	unseen := b.unseen(usual)
	held := most > 0 && mine >= most/b.width
	if b.counts() {
		held = mine >= most || d.now < b.blocked || !read && d.chance.Float64()*b.busy > busyPart*most
	}
	if !j.Repeat {
		b.busy += b.width * float64(usual) / float64(busyTime)
	}
	if held {
		d.post(&d.course.part, note{what: d.course.finish, job: j, away: usual})
		return
	}
	if b.plan.Rate > 0 {
		chance := 0.0
		free := b.left - unseen - j.Units
		if free >= 0 {
			ramp := b.plan.Rate * usual.Seconds()
			if thin {
				ramp *= rampTimes
			}
			chance = min(1, (free+j.Units)/(ramp+j.Units))
		}
		if chance < 1 && d.chance.Float64() >= chance {
			d.bar(j, max(-free, j.Units), b.plan.Rate)
			return
		}
	}
	// The ceiling: our own share. The set's shares add up to it, whatever the counter, peers or a restart do.
	if b.plan.CeilingRate > 0 {
		if b.ceiling < j.Units {
			d.bar(j, (j.Units-b.ceiling)*b.width, b.plan.CeilingRate)
			return
		}
		b.ceiling -= j.Units
	}
	j.paid = true
	b.out++
	b.owed += j.Units
	b.left -= j.Units
	if others := j.Units * (b.width - 1) * b.others(); !read {
		b.left -= others
		b.assumed += others
	}
	d.post(&d.fleet.part, note{what: d.fleet.seek, job: j})
}

func (d *desk) bar(j *job, missing, rate float64) {
	away := time.Duration(missing / rate * float64(time.Second))
	d.post(&d.course.part, note{what: d.course.finish, job: j, away: away})
}

// settled ends a task's stay in the book: its true units are charged with the next check or, where none is to
// be expected in time, by a call of their own; while calls are left out, one that goes stands for those that
// do not. A push without an answer is charged what was told: it did count.
func (d *desk) settled(n note) {
	j, b := n.job, n.job.book
	if j.claim != 0 {
		d.ring(call{book: b, window: j.claim, sum: -1})
		j.claim = 0
	}
	if !j.paid {
		return
	}
	j.paid = false
	b.out--
	if len(j.pushes) == 0 {
		b.ceiling += j.Units // a first push takes it, and there was none
	}
	b.owed += n.units - j.Units
	b.left -= n.units - j.Units
	switch alone := d.site.HasCounter && b.thin(n.units); {
	case n.units <= 0 || b.plan.Rate <= 0:
	case alone && d.chance.Float64() >= d.heed:
		b.owed -= n.units // lost to the count
	default:
		b.pending = append(b.pending, charge{n.units, d.now})
		if alone {
			d.charge(b, nil, 1/d.heed/max(d.taken, heedLeast))
		}
	}
}
