// Package policy is the whole of a gateway's decisions. A gateway makes one with New, hands it each event by
// a call with the time now, and carries out what that asks of its Host (host.go) within the call.
// Each call drops a note at the door; one loop empties the inboxes until none holds a note. A task's way is:
// door, quota desk (the count says push or reject), fleet (two servers drawn, one taken), server (pushes),
// course (what follows an outcome, the final answer). Parts may read others' figures; only notes change them.
package policy

import (
	"math/rand"
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
