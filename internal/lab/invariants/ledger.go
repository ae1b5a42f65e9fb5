// Package ledger checks the five rules from what servers, clients and discovery saw. It is never told what a
// gateway says of itself. It names the task, the times and the rule of each breach.
package invariants

import (
	"fmt"
	"time"

	"harrierhoist/policy"
)

// Rule is one of the five.
type Rule int

// The rules.
const (
	Lost    Rule = iota // a task that a gateway took has no final answer in time, or two, or one that no server made
	Twice               // an effect happened twice
	Drain               // a push left for a server after its grace, counted from when the gateway was told
	Cold                // a cold server was pushed over
	Ceiling             // a customer's units passed its ceiling and the slack
	rules
)

// Rules is their number.
const Rules = int(rules)

func (r Rule) String() string {
	return [...]string{"no task lost", "no effect twice", "drains kept", "no cold server pushed over", "ceilings kept"}[r]
}

// Breach is one broken rule.
type Breach struct {
	Rule     Rule          `json:"Rule"`
	At       time.Duration `json:"At"`
	Task     uint64        `json:"Task"`    // 0: of no one task
	Gateway  int           `json:"Gateway"` // -1: of no one gateway
	Server   uint32        `json:"Server"`
	Customer uint64        `json:"Customer"`
	What     string        `json:"What"`
}

func (b Breach) String() string {
	return fmt.Sprintf("%s at %.3fs: task %d, gateway %d, server %d, customer %d: %s", b.Rule, b.At.Seconds(), b.Task, b.Gateway,
		b.Server, b.Customer, b.What)
}

// Limits are the figures that the rules name.
type Limits struct {
	AnswerSlack, DrainGrace time.Duration
	Plans                   []policy.Plan
}

// Task is a try as its client sent it. Key is common to a request's tries; 0: none.
type Task struct {
	ID, Key, Customer uint64
	Lane              policy.TrafficClass
	Plan, Gateway     int
	Units             float64
	Taken, Expires    time.Duration
}

type entry struct {
	Task
	finals int
	dead   bool // its gateway died with it
	sent   bool
	inside bool // its units stood in the store when it was first sent on
	ran    int
}

// told is a server that a gateway knows to want nothing more.
type told struct {
	gateway int
	server  uint32
}

// store is what a customer has left, truly.
type store struct {
	left, ceiling float64
	at            time.Duration
}

// Ledger takes what is seen, in the order of time.
type Ledger struct {
	limits Limits
	tasks  map[uint64]*entry
	queue  []uint64 // by the time they were taken
	away   map[told]time.Duration
	keys   map[uint64]time.Duration // when a receipted effect first happened
	stores map[uint64]*store
	still  map[int][2]time.Duration // when a gateway's machine stood still last
	now    time.Duration

	// Breaches are the first few of each rule; Counts has them all.
	Breaches []Breach
	Counts   [Rules]int
	// Units that were sent on, and those of them beyond their customers' stores.
	Sent, Beyond float64
	// BeyondGain is the gain of the tasks sent on beyond, times what their plans say that costs.
	BeyondGain float64
}

// breachesKept is how many breaches of a rule are kept with their words.
const breachesKept = 20

// memory is how long after its end a task is remembered: an effect may come late.
const memory = 20 * time.Second

// New makes an empty ledger.
func New(limits Limits) *Ledger {
	return &Ledger{
		limits: limits, tasks: map[uint64]*entry{}, away: map[told]time.Duration{},
		keys: map[uint64]time.Duration{}, stores: map[uint64]*store{},
		still: map[int][2]time.Duration{},
	}
}

func (l *Ledger) breach(b Breach) {
	b.At = l.now
	if l.Counts[b.Rule]++; l.Counts[b.Rule] <= breachesKept {
		l.Breaches = append(l.Breaches, b)
	}
}

// Broken tells whether any rule is.
func (l *Ledger) Broken() bool { return l.Counts != [Rules]int{} }

// Taken tells that a gateway's machine has taken a whole task.
func (l *Ledger) Taken(t Task) {
	l.now = t.Taken
	l.tasks[t.ID] = &entry{Task: t}
	l.queue = append(l.queue, t.ID)
	for len(l.queue) > 0 {
		e := l.tasks[l.queue[0]]
		if l.now < e.Expires+memory {
			break
		}
		l.close(e)
		delete(l.tasks, e.ID)
		l.queue = l.queue[1:]
	}
}

// Still tells that a gateway's machine stands still until a time. A task whose time ends then is not owed an answer.
func (l *Ledger) Still(at time.Duration, gateway int, until time.Duration) {
	l.now = at
	l.still[gateway] = [2]time.Duration{at, until}
}

// excused tells whether a task's time ended while its gateway's machine stood still, or a moment after.
func (l *Ledger) excused(e *entry) bool {
	s, stood := l.still[e.Gateway]
	return stood && e.Expires >= s[0] && e.Expires <= s[1]+l.limits.AnswerSlack
}

// close checks a task whose time is over.
func (l *Ledger) close(e *entry) {
	if e.finals == 0 && !e.dead && !l.excused(e) {
		l.breach(Breach{
			Rule: Lost, Task: e.ID, Gateway: e.Gateway, Customer: e.Customer,
			What: fmt.Sprintf("taken at %.3fs, no answer by %.3fs", e.Taken.Seconds(), e.Expires.Seconds()),
		})
	}
}

// Final tells that a client has got an answer; made says whether a value in it is one that a server made for this
// task.
func (l *Ledger) Final(at time.Duration, task uint64, made bool) {
	l.now = at
	e := l.tasks[task]
	if e == nil {
		return
	}
	e.finals++
	say := func(what string) {
		l.breach(Breach{Rule: Lost, Task: e.ID, Gateway: e.Gateway, Customer: e.Customer, What: what})
	}
	switch {
	case e.finals > 1:
		say(fmt.Sprintf("answer number %d", e.finals))
	case !made:
		say("served with what no server made for it")
	case at > e.Expires+l.limits.AnswerSlack && !l.excused(e):
		say(fmt.Sprintf("answered %.3fs after its time", (at - e.Expires).Seconds()))
	}
}

// Died tells that a gateway died: what it held is no longer owed.
func (l *Ledger) Died(at time.Duration, gateway int) {
	l.now = at
	for _, id := range l.queue {
		if e := l.tasks[id]; e.Gateway == gateway && e.finals == 0 {
			e.dead = true
		}
	}
	for t := range l.away {
		if t.gateway == gateway {
			delete(l.away, t) // its next life is told anew
		}
	}
}

// Told tells that a gateway was told a server's stage.
func (l *Ledger) Told(at time.Duration, gateway int, server uint32, stage policy.EndpointState) {
	l.now = at
	t := told{gateway, server}
	if stage == policy.Ready {
		delete(l.away, t)
	} else if _, known := l.away[t]; !known {
		l.away[t] = at
	}
}

// Pushed tells that a push left a gateway's machine for a server.
func (l *Ledger) Pushed(at time.Duration, gateway int, server uint32, task uint64) {
	l.now = at
	if since, away := l.away[told{gateway, server}]; away && at > since+l.limits.DrainGrace {
		l.breach(Breach{
			Rule: Drain, Task: task, Gateway: gateway, Server: server,
			What: fmt.Sprintf("pushed %.3fs after it was told", (at - since).Seconds()),
		})
	}
	e := l.tasks[task]
	if e == nil || e.sent {
		return
	}
	e.sent = true
	l.spend(e)
}

// spend takes a task's units from its customer's store and ceiling.
func (l *Ledger) spend(e *entry) {
	p := &l.limits.Plans[e.Plan]
	s := l.stores[e.Customer]
	if s == nil {
		s = &store{left: p.Burst, ceiling: p.CeilingBurst, at: l.now}
		l.stores[e.Customer] = s
	}
	passed := (l.now - s.at).Seconds()
	s.at = l.now
	s.left = min(s.left+p.Rate*passed, p.Burst)
	s.ceiling = min(s.ceiling+p.CeilingRate*passed, p.CeilingBurst)
	l.Sent += e.Units
	e.inside = p.Rate <= 0 || s.left >= e.Units
	if !e.inside {
		l.Beyond += e.Units
		l.BeyondGain += e.Lane.Weight * p.Price * e.Units * p.OverQuotaCost
	} else if p.Rate > 0 {
		s.left -= e.Units
	}
	if p.CeilingRate > 0 {
		if s.ceiling -= e.Units; s.ceiling < -p.CeilingSlack {
			l.breach(Breach{
				Rule: Ceiling, Task: e.ID, Gateway: e.Gateway, Customer: e.Customer,
				What: fmt.Sprintf("%.1f units beyond the ceiling, %.1f are allowed", -s.ceiling, p.CeilingSlack),
			})
		}
	}
}

// Settled gives back to a customer's store what a task was told to cost more than it did.
func (l *Ledger) Settled(task uint64, units float64) {
	if e := l.tasks[task]; e != nil && e.inside {
		if s := l.stores[e.Customer]; s != nil {
			s.left += e.Units - units
		}
	}
}

// Inside tells whether a task's units stood in the store when it was first sent on.
func (l *Ledger) Inside(task uint64) bool {
	e := l.tasks[task]
	return e != nil && e.inside
}

// Ran tells that a server began a task's work, and so its effect.
func (l *Ledger) Ran(at time.Duration, server uint32, task uint64) {
	l.now = at
	e := l.tasks[task]
	if e == nil {
		return
	}
	e.ran++
	switch e.Lane.Effect {
	case policy.NonIdempotent:
		if e.ran > 1 {
			l.breach(Breach{
				Rule: Twice, Task: e.ID, Gateway: e.Gateway, Server: server, Customer: e.Customer,
				What: fmt.Sprintf("run %d of an effectful task", e.ran),
			})
		}
	case policy.Keyed:
		if first, done := l.keys[e.Key]; done {
			l.breach(Breach{
				Rule: Twice, Task: e.ID, Gateway: e.Gateway, Server: server, Customer: e.Customer,
				What: fmt.Sprintf("its receipt ran before, at %.3fs", first.Seconds()),
			})
		} else {
			l.keys[e.Key] = at
		}
	}
}

// Fell tells that a server fell over while it was cold.
func (l *Ledger) Fell(at time.Duration, server uint32, sent, capacity float64) {
	l.now = at
	l.breach(Breach{
		Rule: Cold, Gateway: -1, Server: server,
		What: fmt.Sprintf("sent %.2f core-seconds a second, %.2f is its capacity now", sent, capacity),
	})
}

// Finish closes all tasks whose time is over.
func (l *Ledger) Finish(at time.Duration) {
	l.now = at
	for _, id := range l.queue {
		if e := l.tasks[id]; at >= e.Expires {
			l.close(e)
		}
	}
	l.queue = nil
	clear(l.tasks)
}
