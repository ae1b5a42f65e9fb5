// Package policy is the whole of a gateway's decisions. A gateway makes one with New, hands it each event by
// a call with the time now, and carries out what that asks of its Host (host.go) within the call.
// Each call drops a note at the door; one loop empties the inboxes until none holds a note. A task's way is:
// door, quota desk (the count says push or reject), fleet (two servers drawn, one taken), server (pushes),
// course (what follows an outcome, the final answer). Parts may read others' figures; only notes change them.
package policy

import (
	"cmp"
	"math"
	"math/rand"
	"slices"
	"time"
)

const (
	keepMost    = 60 * time.Second       // the longest that the counter keeps a name
	chargeStale = time.Minute            // a charge that waited longer is dropped, as the design says
	windowLeast = time.Second            // shorter windows would change within the time that an answer takes
	windowOut   = 2 * time.Second        // of a count of pushes out: what is lost of it stays no longer
	windowFills = 2.0                    // a window lasts as long as a burst takes to fill so often
	callPart    = 0.25                   // part of the soft limit that a check may take
	blockedPart = 0.25                   // part of an answer's time that a limit reached stays so
	busyTime    = 20 * time.Second       // how far back own tries tell what a customer asks
	gainLeast   = 1e-3                   // of a task, where lane or plan gain nothing
	useMost     = 8.0                    // words of a meter that count: each tells of a moment
	busyPart    = 0.07                   // part of a limit on pushes out that may be used on a guess
	heedLess    = 0.75                   // a failed call makes the next this much less likely
	heedMore    = 0.01                   // quick answers make it more likely, each in a row by so much more
	heedRun     = 25                     // so many of them end a pause; at rest one call in nine fails
	needWidth   = 16.0                   // gateways in a set for which its power is 1 whatever the store holds
	hopeTenth   = 8                      // the decile of answer times that a try must be given
	heedLeast   = 0.05                   // the least chance of a call: a lost counter is found again in a second
	thinTasks   = 2.0                    // tasks a window under which a gateway learns too little of a customer
	rampTimes   = 4.0                    // so many answer times' units, a thin customer's last, go by lot
	furtherMost = 2                      // further pushes of a task while no overload is seen: the users' way
	samplesMany = 64                     // samples kept of a lane or the fleet: enough for a ninth decile
	samplesLoad = 128                    // answers of warm servers kept to tell the load that they bear
	illLeast    = 3                      // a failure counts so much, turned away 1: less in a row may be chance
	struckPart  = 0.25                   // where more of the ready servers failed lately, one tells little
	struckLeast = 2.0                    // and more than so many: these may all be bad
	asideLeast  = time.Second            // a server set aside is left alone so long at least
	asideTimes  = 4.0                    // and for so many of our usual pushes to one: a fifth of its part
	silentTimes = 4                      // a push out this many ninth deciles with no answer since means silence
	silentLeast = 500 * time.Millisecond // and at least this, against one heavy task
	retryLook   = 20 * time.Millisecond  // how often tasks that wait for a server look again
	listAgain   = 500 * time.Millisecond // pause before asking for a list again
	samplesRate = 16                     // answers kept a server to tell its rate
	calmLeast   = 0.1                    // part of the tasks that is pushed at any push times: to learn better
	slowOver    = 8.0                    // answers of a server that tell how much longer it takes than others
	boundFree   = 2.0                    // pushes of all gateways at a server beyond its rate: to find a higher
	boundLeast  = 4                      // answers of a server that tell its rate
	boundPart   = 0.3                    // part of the tightest soft limit that a push may spend at a server
	waitPart    = 0.25                   // part of the tightest soft limit that a task waits for a full server
	hallPrice   = 0.25                   // a server in another hall counts as this much fuller: ties stay near
)

// Gateway is one instance.
type Gateway struct {
	site     Deployment
	host     Host
	chance   *rand.Rand
	now      time.Duration
	stood    time.Duration // from the event before to the latest: we may have stood still so long
	waiting  []*part       // parts with notes, in the order of their first note
	lanes    []row
	tightest time.Duration   // the shortest soft limit of all lanes
	jobs     map[uint32]*job // tasks that are not over, or still have pushes out
	born     time.Duration   // of the first list
	desk     desk
	fleet    fleet
	course   course
}

// New makes a gateway with no memory of an earlier life. It asks nothing of the host yet.
func New(site Deployment, seed int64, host Host) (*Gateway, error) {
	if err := site.Fit(); err != nil {
		return nil, err
	}
	g := &Gateway{host: host, chance: rand.New(rand.NewSource(seed)), jobs: map[uint32]*job{}}
	g.shape(site)
	g.desk = desk{Gateway: g, customers: map[uint64]*book{}, calls: map[uint64][]call{}, heed: 1, taken: 1}
	g.fleet = fleet{Gateway: g, sharers: float64(site.Gateways), places: map[uint32]*server{}}
	g.course = course{Gateway: g}
	return g, nil
}

func (g *Gateway) post(to *part, n note) {
	if to.inbox = append(to.inbox, n); len(to.inbox) == 1 {
		g.waiting = append(g.waiting, to)
	}
}

// run is the one loop that empties the inboxes.
func (g *Gateway) run() {
	for len(g.waiting) > 0 {
		p := g.waiting[0]
		g.waiting = g.waiting[1:]
		notes := p.inbox
		p.inbox = nil
		for _, n := range notes {
			n.what(n)
		}
	}
}

// The door.

const ( // the kinds of token, in the low bits; the rest is the task's id
	wakePatience = iota
	wakeCheck
	wakeLook
	wakeList
	wakeKinds
)

func (g *Gateway) wake(kind uint64, id uint32, after time.Duration) {
	g.host.Wake(uint64(id)*wakeKinds+kind, max(after, 0))
}

// reach moves the clock to an event's time.
func (g *Gateway) reach(now time.Duration) {
	if now > g.now {
		g.stood, g.now = now-g.now, now
	}
}

// tell drops an event's note at the door and lets the parts work.
func (g *Gateway) tell(now time.Duration, to *part, n note) {
	g.reach(now)
	g.post(to, n)
	g.run()
}

// List takes what the list of servers brings.
func (g *Gateway) List(now time.Duration, kind ListKind, list []Listed) {
	if g.born == 0 {
		g.born = now
	}
	g.tell(now, &g.fleet.part, note{what: g.fleet.listed, kind: kind, list: list})
}

// Shared tells how many gateways push to each server listed, where each has but a part of them all.
func (g *Gateway) Shared(by float64) { g.fleet.sharers = max(by, 1) }

// Take takes a task; from here on it is owed one final answer.
func (g *Gateway) Take(now time.Duration, t Task) {
	g.reach(now)
	row := &g.lanes[t.Lane]
	j := &job{Task: t, soft: min(now+row.SoftLimit, t.Expires), row: row, book: g.desk.open(t)}
	g.jobs[t.ID] = j
	// A task given less time than first tries of its lane and plan has used up some of its soft limit: a repeat
	// has what its earlier tries left, a first one what our standstill left. What is late is rejected. What
	// lacks beyond our standstill is the client's own: it is not late.
	given, usual := t.Expires-now, &row.allowed[t.Plan]
	if !t.Repeat && (given > *usual || *usual-given > g.stood+g.site.AnswerSlack) {
		*usual = given
	}
	if *usual-given > g.site.AnswerSlack {
		from := *usual
		if t.Repeat {
			from = row.Patience
		}
		j.soft = min(t.Expires-from+row.SoftLimit, t.Expires)
	}
	// A little before the client leaves: a tick may be late, and a later answer would be none.
	g.wake(wakePatience, t.ID, t.Expires-now-2*g.site.Tick)
	g.tell(now, &g.desk.part, note{what: g.desk.asked, job: j})
}

// Ended takes the outcome of a push.
func (g *Gateway) Ended(now time.Duration, p Push) {
	if j := g.jobs[p.Task]; j != nil && p.Number < len(j.pushes) && !j.pushes[p.Number].ended {
		s := j.pushes[p.Number].server
		g.tell(now, &s.part, note{what: s.ended, job: j, push: p})
	}
}

// Begun tells that a streamed answer has started: the task has no time limit then.
func (g *Gateway) Begun(_ time.Duration, task uint32, _ int) {
	if j := g.jobs[task]; j != nil {
		j.begun = true
	}
}

// Lapsed tells that the client has gone.
func (g *Gateway) Lapsed(now time.Duration, task uint32) {
	if j := g.jobs[task]; j != nil {
		g.tell(now, &g.course.part, note{what: g.course.lapsed, job: j})
	}
}

// Woke takes a timer.
func (g *Gateway) Woke(now time.Duration, token uint64) {
	j := g.jobs[uint32(token/wakeKinds)]
	switch kind := token % wakeKinds; {
	case kind == wakeList:
		g.host.Watch()
	case j == nil:
	case kind == wakeCheck:
		g.tell(now, &g.desk.part, note{what: g.desk.asked, job: j})
	case kind == wakeLook:
		g.tell(now, &g.fleet.part, note{what: g.fleet.seek, job: j})
	case !j.begun:
		g.tell(now, &g.course.part, note{what: g.course.finish, job: j})
	}
}

// Counted takes the counter's answer to a call.
func (g *Gateway) Counted(now time.Duration, t Tally) {
	g.tell(now, &g.desk.part, note{what: g.desk.counted, tally: t})
}

// Probed takes the answer to a probe. No probes are sent yet.
func (g *Gateway) Probed(time.Duration, uint32, Outcome, time.Duration, []float32) {}

// Heard takes a peer's message. Peers are not listened to: gateways learn of each other from the counter.
func (g *Gateway) Heard(time.Duration, int, []byte) {}

// kind numbers a task's lane and plan.
func (g *Gateway) kind(j *job) int { return j.Lane*len(g.site.Plans) + j.Plan }

// may is the one place that says, for a task and its pushes so far, whether it may be pushed to a server
// (nil: to any at all) and whether it may be rejected. It guards the rule that no effect happens twice.
func (j *job) may(now time.Duration, to *server, site *Deployment) (push, reject bool) {
	ran := slices.IndexFunc(j.pushes, func(s sent) bool { return !s.idle }) // the first that may have run
	push = !j.over && len(j.pushes) < site.PushLimit && (!j.isOut() || site.TwoAtOnce)
	if ran < 0 || j.row.Effect == Pure {
		return push, true
	}
	if j.row.Effect == Effectful {
		return false, false
	}
	first := j.pushes[ran]
	same := to == nil || j.row.Group == GroupAll || j.row.Group == GroupHall && to.Hall == first.server.Hall ||
		j.row.Group == GroupCell && to.Cell == first.server.Cell
	return push && same && now < first.at+j.row.Window, j.row.Group == GroupAll
}

// The quota desk.

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

// windows begins the customer's windows, of which none was seen yet.
func (b *book) windows(now time.Duration) {
	never := look{window: -1, at: now, level: b.plan.Burst}
	b.looks, b.opened, b.blocked, b.length = [2]look{never, never}, 0, 0, 0
	if b.plan.Rate > 0 {
		length := time.Duration(windowFills * b.plan.Burst / b.plan.Rate * float64(time.Second))
		b.length = min(max(length, windowLeast), keepMost/2)
	} else if b.plan.AtOnce > 0 {
		b.length = windowOut
	}
	b.offset = time.Duration(name(b.customer, 0) % uint64(max(b.length, 1)))
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

// window gives the number of the window that a time falls in, start a window's start.
func (b *book) window(at time.Duration) int64 { return int64((at + b.offset) / b.length) }

func (b *book) start(window int64) time.Duration { return time.Duration(window)*b.length - b.offset }

// thin tells that tasks come here too seldom to learn of the customer: our share of a burst holds under two.
func (b *book) thin(units float64) bool { return b.plan.Burst < thinTasks*units*b.width }

// level is what the store can hold by the looks so far: what it held at the latest and what came since, up to
// a burst; ours is what we charged since, in case the counter forgot. A window not seen yet starts full: what
// lacked then stands in its count. It stops at nought: what an empty store sends on takes nothing from it.
func (b *book) level(window int64, at time.Duration, total, ours float64) float64 {
	from, most := look{at: b.start(window), level: b.plan.Burst}, b.plan.Burst
	for _, l := range b.looks {
		if l.window == window {
			from = l
		} else if l.window < window {
			most = min(most, l.level+b.plan.Rate*max(at-l.at, 0).Seconds())
		}
	}
	used := max(total-from.total, ours)
	return max(min(from.level+b.plan.Rate*(at-from.at).Seconds()-used, most), 0)
}

func (b *book) fill(now time.Duration) {
	passed := (now - b.filled).Seconds()
	b.filled = now
	b.left = min(b.left+b.plan.Rate*passed, b.plan.Burst)
	b.busy *= math.Exp(-passed / busyTime.Seconds())
	b.ceiling = min(b.ceiling+b.plan.CeilingRate/b.width*passed, b.plan.CeilingBurst/b.width)
}

// unseen is what others likely sent on and did not charge yet: their rate in the window last looked at, for
// an answer's time. It guards against a count that lags by what is out.
func (b *book) unseen(usual time.Duration) float64 {
	l := b.looks[0]
	passed := max(l.at-b.start(l.window), b.length/2, 1)
	return l.total * (1 - 1/b.width) * float64(usual) / float64(passed)
}

// name is a hash of customer and window number.
func name(customer uint64, window int64) uint64 {
	x := (customer*0x9e3779b97f4a7c15 + uint64(window)) * 0xbf58476d1ce4e5b9
	return x ^ x>>31
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

// counts tells that the customer's count is one of pushes out.
func (b *book) counts() bool { return b.plan.Rate <= 0 && b.plan.AtOnce > 0 }

// metered takes word of the part of its rate that the customer uses.
func (b *book) metered(part float64) {
	b.told = min(b.told+1, useMost)
	b.use += (part - b.use) / b.told
	if b.told == 1 {
		b.left += b.assumed * (1 - b.others())
		b.assumed *= b.others()
	}
}

// others is the part of what we send on that each other gateway is taken to send on, where no total tells:
// all, or the metered use squared, as a customer that uses half of its rate seldom empties its store.
func (b *book) others() float64 {
	return min(b.use*b.use, 1)
}

// charge makes a call that brings the pending charges; j is the task that waits for it, if any.
func (d *desk) charge(b *book, j *job, weight float64) {
	c := call{job: j, book: b, window: b.window(d.now)}
	for _, p := range b.pending {
		if d.now-p.at < chargeStale {
			c.charges = append(c.charges, p)
			c.sum += p.units * weight
		} else {
			b.owed -= p.units
		}
	}
	b.pending = nil
	if b.counts() {
		j.claim = c.window
		c.sum++
	}
	d.ring(c)
}

func (d *desk) ring(c call) {
	id := name(c.book.customer, c.window)
	c.era = c.book.era
	d.calls[id] = append(d.calls[id], c)
	d.host.Count(id, min(max(2*c.book.length, windowLeast), keepMost), c.sum)
}

// counted takes a total. Charges of a call that timed out are held to be added: a count too high rejects
// to its window's end, one too low is one of several guards. Calls are left out by lot as they go wrong.
func (d *desk) counted(n note) {
	queue := d.calls[n.tally.Name]
	if len(queue) == 0 {
		return
	}
	c := queue[0]
	if d.calls[n.tally.Name] = queue[1:]; len(queue) == 1 {
		delete(d.calls, n.tally.Name)
	}
	read := n.tally.Outcome == Answered && c.era == c.book.era
	if read && n.tally.Took < d.site.CountLimit {
		d.run = min(d.run+1, heedRun)
		d.heed = min(d.heed*(1+heedMore*d.run), 1)
	} else {
		d.run, d.heed = 0, max(d.heed*heedLess, heedLeast)
	}
	taken := read || n.tally.Outcome == TimedOut
	if d.taken -= d.taken / samplesRate; taken {
		d.taken += 1.0 / samplesRate
	}
	if !taken && c.job != nil {
		c.job.claim = 0
		c.book.pending = append(c.book.pending, c.charges...)
	} else { // a charge that went alone has no next check: those taken stand for it
		for _, p := range c.charges {
			c.book.owed -= p.units
		}
	}
	if read && c.book.counts() {
		if c.job != nil && n.tally.Total-c.sum >= float64(c.book.plan.AtOnce) {
			c.book.blocked = d.now + max(time.Duration(blockedPart*float64(c.job.row.decile(5))), d.site.Tick)
		}
	} else if read {
		d.read(c, n.tally.Total)
	}
	if c.job != nil && c.job.asked {
		d.host.Forget(uint64(c.job.ID)*wakeKinds + wakeCheck)
		d.decide(c.job, read)
	}
}

// read keeps a look at a total. Whoever finds a window's count untouched opens it: it reads what came of the
// one before and carries over what that overran, for gateways that did not see it.
func (d *desk) read(c call, units float64) {
	b := c.book
	current := b.window(d.now)
	switch {
	case c.window < current && c.job == nil && len(c.charges) == 0:
		lacks := b.plan.Burst - b.level(c.window, b.start(current), units, 0)
		if lacks > 0 && c.window == current-1 {
			d.ring(call{book: b, window: current, sum: lacks})
		}
		return
	case units <= c.sum && b.opened != c.window:
		b.opened = c.window
		d.ring(call{book: b, window: c.window - 1})
	}
	l := &b.looks[0]
	if c.window < l.window {
		return
	}
	level := b.level(c.window, d.now, units, c.sum)
	if c.window > l.window {
		b.looks[1] = *l
	}
	*l = look{c.window, d.now, units, level}
	b.fill(d.now)
	b.left, b.assumed = level-b.owed, 0
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

// The fleet.

type fleet struct {
	*Gateway
	part
	sharers float64 // gateways that push to each server listed
	places  map[uint32]*server
	servers []*server // the same; the gone are forgotten once nothing is out there
	up      []*server // ready, in the order in which they were first named
	took    last[spent]
	load    last[answer] // of warm servers
}

// listed obeys the list at once: what it does not call ready gets nothing new from here on.
func (f *fleet) listed(n note) {
	if n.kind == ListFailed {
		f.wake(wakeList, 0, listAgain)
		return
	}
	if n.kind == ListCached && f.site.AskForList {
		f.host.Watch()
	}
	if n.kind != ListChanges {
		for _, s := range f.up {
			s.Stage = Gone
		}
	}
	for _, l := range n.list {
		s := f.places[l.Server]
		if s == nil {
			s = &server{Gateway: f.Gateway, fates: make([]fate, len(f.lanes)),
				turned: make([]time.Duration, len(f.lanes)*len(f.site.Plans))}
			f.places[l.Server] = s
			f.servers = append(f.servers, s)
		}
		if s.Since != l.Since {
			s.answers, s.ill, s.failed = last[time.Duration]{}, 0, 0 // a new life
			clear(s.fates)
			clear(s.turned)
			s.share, s.grown = f.chance.Float64(), f.now
		}
		s.Listed = l
		if l.Stage == Ready && !slices.Contains(f.up, s) {
			f.up = append(f.up, s)
		}
	}
	f.up = slices.DeleteFunc(f.up, func(s *server) bool { return s.Stage != Ready })
	f.servers = slices.DeleteFunc(f.servers, func(s *server) bool {
		over := s.Stage == Gone && len(s.out) == 0
		if over {
			delete(f.places, s.Server)
		}
		return over
	})
}

// warmth is the part of its full capacity that a server surely has at a time.
func (s *server) warmth(at time.Duration) float64 {
	if s.Since <= 0 || s.site.WarmAfter <= 0 {
		return 1
	}
	grown := float64(at-s.Since) / float64(s.site.WarmAfter)
	return min(1, s.site.ColdFrom+(1-s.site.ColdFrom)*max(grown, 0))
}

func (f *fleet) warm() int {
	n := 0
	for _, s := range f.up {
		if s.warmth(s.now) >= 1 {
			n++
		}
	}
	return n
}

// apart is the time between this gateway's pushes to a warm server, by the last answers of such; these stand
// when none is left, as in a deploy.
func (f *fleet) apart() time.Duration {
	n := len(f.load.items)
	if n < boundLeast {
		return time.Duration(float64(f.site.TipAfter) * f.sharers)
	}
	newest, oldest := f.load.latest(0), f.load.latest(n-1)
	each := float64(max(newest.at-oldest.at, f.site.Tick)) / float64(n-1)
	return time.Duration(each * float64(newest.warm+oldest.warm) / 2)
}

// ripe tells whether a cold server may have its next push from us: its share grows by what a warm one gets,
// times its least warmth, from a start drawn by lot. It guards against pushing over a server that has just
// started, also by hundreds of gateways that have a push to spare each.
func (s *server) ripe() bool {
	mean := (s.warmth(s.grown) + s.warmth(s.now)) / 2
	return s.warmth(s.now) >= 1 || s.share+mean*float64(s.now-s.grown)/float64(s.fleet.apart()) >= 1
}

// filled tells that we have as many pushes out at a server as it answers us in the time that a push may
// take (Little's law), and our part of a few more. It guards against a queue that outlives its cause, in
// which all work is done and all of it late, whatever filled it. Under one push, as with many gateways, one
// server's answers tell too little; calm speaks then. Of servers whose rate is not known, with strange pushes
// out, no more are tried at once than leaves the others' part, and twice its chance spread.
func (s *server) filled(strange int) bool {
	n := len(s.answers.items)
	if n < boundLeast {
		first := 2 * boundFree / s.fleet.sharers
		all := first * float64(len(s.fleet.up))
		return float64(len(s.out)) >= max(1, first) || float64(strange) >= all+2*math.Sqrt(all)
	}
	span := max(s.now-s.answers.latest(n-1), s.site.Tick)
	bound := boundFree/s.fleet.sharers + boundPart*float64(s.tightest)*float64(n)/float64(span)
	return float64(len(s.out)+1) > max(bound, 1)
}

// calm is the chance that a task is pushed at all: it falls as the sixth decile of the parts of their soft
// limits that pushes took lately, those still out among them, passes half of what the same law allows. It
// guards against the same queue where hundreds of gateways have a push or two out each.
func (f *fleet) calm() float64 {
	var parts []float64
	for i := range f.took.items {
		if t := f.took.latest(i); i < boundLeast || f.now < t.until {
			parts = append(parts, t.part)
		}
	}
	for _, s := range f.servers {
		for _, j := range s.out {
			if age := f.now - j.sentAt(); age < j.silence() {
				parts = append(parts, float64(age)/float64(j.row.SoftLimit)) // what is silent is not slow
			}
		}
	}
	if len(parts) < boundLeast {
		return 1
	}
	slices.Sort(parts)
	free := boundFree / f.sharers * float64(f.apart())
	easy := (boundPart + free/float64(f.tightest)) / 2 / max(parts[len(parts)*6/10], boundPart/samplesMany)
	return max(easy*easy, calmLeast)
}

// sick tells whether a server is to be set aside for a lane, whatever the trouble looks like: fast errors and
// refused connects (which draw tasks, as few are out there), turning away, silence. It counts for its lane
// and for those not tried there, as others may be served. Harm: a good server is left alone for a while.
func (s *server) sick(j *job) bool {
	own, told := s.fates[j.Lane], s.fates[j.Lane]
	for _, other := range s.fates {
		if own == (fate{}) && max(other.good, other.bad) > max(told.good, told.bad) {
			told = other
		}
	}
	for _, o := range s.out {
		if o.Lane == j.Lane && o.sentAt() >= own.good && s.now-o.sentAt() > o.silence() {
			return true
		}
	}
	turned, while := s.turned[s.kind(j)], s.fleet.while()
	return told.bad > told.good && s.now < told.bad+while || turned > 0 && s.now < turned+while
}

func (f *fleet) while() time.Duration {
	return max(asideLeast, time.Duration(asideTimes*float64(f.apart())))
}

// proof is how ill a server must be. One failure does: healthy servers hardly ever fail, and hundreds of
// gateways see no more. Two in a row where they strike everywhere, as spoilt answers do: by one each would be
// set aside in turn, and the rest overrun. Harm: a bad one then gets a push more.
func (f *fleet) proof() int {
	struck := 0
	for _, s := range f.up {
		if s.failed > 0 && f.now < s.failed+2*f.while() {
			struck++
		}
	}
	if float64(struck) <= max(struckLeast, struckPart*float64(len(f.up))) {
		return illLeast
	}
	return 2 * illLeast
}

// silence is how long a push may have no answer before it counts as lost: the longer, the more units it has.
func (j *job) silence() time.Duration { return max(silentTimes*j.takes(9), silentLeast) }

// takes is a decile of the time that a task will take, by its units; 0 before any answer.
func (j *job) takes(tenth int) time.Duration {
	if n := len(j.row.paces); n > 0 {
		return time.Duration(max(j.Units, 1) * float64(j.row.paces[n*tenth/10]))
	}
	return 0
}

// pace is how long a unit takes; 0 before any answer.
func (r *row) pace() time.Duration {
	if len(r.paces) == 0 {
		return 0
	}
	return max(r.paces[len(r.paces)/2], 1)
}

// decile is a decile of a lane's answer times; 0 before any came.
func (r *row) decile(tenth int) time.Duration {
	if len(r.sorted) == 0 {
		return 0
	}
	return r.sorted[len(r.sorted)*tenth/10]
}

// seek seats a task, lets it wait for a server, or says that none can be had in time.
func (f *fleet) seek(n note) {
	j := n.job
	if j.over {
		return
	}
	s, wait := f.find(j)
	shed := false
	if len(j.pushes) == 0 && !j.waits {
		if lot, calm := f.chance.Float64(), f.calm(); calm < 1 {
			shed = lot >= math.Pow(calm, f.cheap(j))
		}
	}
	switch {
	case !shed && s != nil:
		f.post(&s.part, note{what: s.carry, job: j})
	case !shed && f.now < wait:
		j.waits = true
		f.wake(wakeLook, j.ID, retryLook)
	default:
		f.post(&f.course.part, note{what: f.course.finish, job: j, away: f.spell()})
	}
}

// cheap is how much less a task gains for its work than all lanes and plans on the mean: the power of the
// chance that it is pushed while the fleet is pressed. Work is the lane's answer time a unit. Harm: lanes and
// plans that gain little are served least when there is too little for all.
func (f *fleet) cheap(j *job) float64 {
	own, sum, n := 0.0, 0.0, 0.0
	for i, r := range f.lanes {
		for k, p := range f.site.Plans {
			if pace := r.pace(); pace > 0 && !r.Closed && !p.Closed {
				gain := max(r.Gain*cmp.Or(p.Price, 1), gainLeast) / float64(pace)
				if sum, n = sum+gain, n+1; i == j.Lane && k == j.Plan {
					own = gain
				}
			}
		}
	}
	if own == 0 {
		return 1
	}
	return sum / n / own
}

// spell is how long a task waits for a server, and is told to stay away if it finds none or its pushes fail.
func (f *fleet) spell() time.Duration { return time.Duration(waitPart * float64(f.tightest)) }

// find draws two servers at random and takes the one that our own counts favour, or says how long to wait.
func (f *fleet) find(j *job) (*server, time.Duration) {
	strange := 0
	for _, s := range f.up {
		if len(s.answers.items) < boundLeast {
			strange += len(s.out)
		}
	}
	var well, open []*server
	sound := false
	for _, s := range f.up {
		if push, _ := j.may(f.now, s, &f.site); !push {
			continue
		}
		sick := s.sick(j)
		sound = sound || !sick
		if !s.ripe() || s.filled(strange) {
			continue
		}
		open = append(open, s)
		if !sick {
			well = append(well, s)
		}
	}
	// What strikes every server is no reason to prefer any: a trouble of the whole fleet must not shut it.
	if !sound {
		well = open
	}
	// A further push goes elsewhere if it can.
	if fresh := slices.DeleteFunc(slices.Clone(well), func(s *server) bool {
		return slices.ContainsFunc(j.pushes, func(p sent) bool { return p.server == s })
	}); len(fresh) > 0 {
		well = fresh
	}
	switch {
	case len(f.up) == 0:
		return nil, j.soft
	case len(well) == 0:
		return nil, j.soft - j.row.SoftLimit + f.spell()
	}
	f.chance.Shuffle(len(well), func(i, k int) { well[i], well[k] = well[k], well[i] })
	two := well[:min(len(well), 2)]
	return slices.MinFunc(two, func(a, b *server) int { return cmp.Compare(a.fullness(), b.fullness()) }), 0
}

// fullness is what the draw of two goes by: what we have out there for its size.
func (s *server) fullness() float64 {
	full := float64(len(s.out)) + 1
	if s.Hall != s.site.MyHall {
		full += hallPrice
	}
	if s.Power > 0 {
		full /= s.Power
	}
	return full * (1 + s.slow)
}

func (s *server) carry(n note) {
	j := n.job
	s.share, s.grown = 0, s.now
	s.out = append(s.out, j)
	j.pushes = append(j.pushes, sent{server: s, at: s.now})
	s.host.Push(j.ID, s.Server, j.Expires)
}

// ended takes a sample of an outcome and passes it on.
func (s *server) ended(n note) {
	p, j := n.push, n.job
	if i := slices.Index(s.out, j); i >= 0 {
		s.out = slices.Delete(s.out, i, i+1)
	}
	worse := 0
	switch p.Outcome {
	case Answered:
		s.ill, s.fates[j.Lane].good, s.turned[s.kind(j)] = 0, s.now, 0
		s.answers.add(samplesRate, s.now)
	case Full:
		worse, s.turned[s.kind(j)] = 1, s.now
	case Errored, TimedOut, NoConnect, Reset, Cancelled:
		if p.Outcome != Cancelled || p.Took > j.silence() { // called off silent is as good as timed out
			worse, s.failed = illLeast, s.now
		}
	}
	if s.ill += worse; worse > 0 && s.ill >= s.fleet.proof() {
		s.fates[j.Lane].bad = s.now
	}
	if sick := s.sick(j); sick != s.aside {
		s.aside = sick
		s.host.Log(map[bool]string{true: "a server is set aside: it fails or is silent",
			false: "a server set aside is back"}[sick])
	}
	s.post(&s.fleet.part, note{what: s.fleet.learn, job: j, push: p})
	s.post(&s.course.part, note{what: s.course.back, job: j, push: p})
}

// learn takes a sample of an outcome for the fleet as a whole. Turned away counts as slow.
func (f *fleet) learn(n note) {
	soft, s := n.job.row.SoftLimit, n.job.pushes[n.push.Number].server
	switch n.push.Outcome {
	case Full:
		if s.ill > 1 { // no answer to anyone between two: no mere quarrel with a lane or a plan
			f.took.add(samplesMany, spent{f.now + soft, 1})
		}
	case Answered:
		n.job.row.took.add(samplesMany, n.push.Took)
		n.job.row.sorted = slices.Sorted(slices.Values(n.job.row.took.items))
		each, pace := float64(n.push.Took)/max(cmp.Or(n.push.Billed, n.job.Units), 1), float64(n.job.row.pace())
		if pace > 0 {
			s.slow += (each/pace - 1 - s.slow) / slowOver
		}
		n.job.row.unit.add(samplesMany, time.Duration(each))
		n.job.row.paces = slices.Sorted(slices.Values(n.job.row.unit.items))
		f.took.add(samplesMany, spent{f.now - n.push.Took + 2*soft, float64(n.push.Took) / float64(soft)})
		if s.Stage == Ready && s.warmth(f.now) >= 1 {
			f.load.add(samplesLoad, answer{at: f.now, warm: f.warm()})
		}
	}
}

// The course of a task.

type course struct {
	*Gateway
	part
}

func (c *course) lapsed(n note) {
	n.job.over = true
	c.close(n.job)
}

// back follows an outcome: done, once more elsewhere, or the final answer at once.
func (c *course) back(n note) {
	j, p := n.job, n.push
	push := &j.pushes[p.Number]
	push.ended, push.idle = true, p.Outcome == Full || p.Outcome == NoConnect || p.Outcome == Moot
	j.over = j.over || p.Done
	if p.Use > 0 && c.site.Meter > 0 {
		j.book.metered(p.Use - 1)
	}
	if p.Outcome == Answered && j.paid {
		c.post(&c.desk.part, note{what: c.desk.settled, job: j, units: cmp.Or(p.Billed, j.Units)})
	}
	if j.over {
		c.close(j)
		return
	}
	again, _ := j.may(c.now, nil, &c.site)
	if again && len(j.pushes) <= furtherMost && c.fleet.calm() >= 1 && c.now+j.row.decile(5) < j.soft {
		c.post(&c.fleet.part, note{what: c.fleet.seek, job: j})
	} else if !j.isOut() {
		c.finish(note{job: j, away: c.fleet.spell()})
	}
}

// finish gives the final answer at once: rejected where that is allowed, else terminated.
func (c *course) finish(n note) {
	j := n.job
	if j.over {
		return
	}
	j.over = true
	for i, s := range j.pushes {
		if !s.ended && c.site.Cancelling {
			c.host.Cancel(j.ID, i)
		}
	}
	if _, reject := j.may(c.now, nil, &c.site); !reject {
		c.host.Terminate(j.ID)
	} else if c.site.RetryAfter {
		c.host.Reject(j.ID, min(max(n.away, 0), c.site.MaxRetryAfter))
	} else {
		c.host.Reject(j.ID, 0)
	}
	c.close(j)
}

// close forgets a task that is over once nothing of it is out, and settles its book.
func (c *course) close(j *job) {
	if !j.isOut() {
		units := j.Units * float64(min(len(j.pushes), 1))
		c.post(&c.desk.part, note{what: c.desk.settled, job: j, units: units})
		delete(c.jobs, j.ID)
		c.host.Forget(uint64(j.ID)*wakeKinds + wakePatience)
	}
}
