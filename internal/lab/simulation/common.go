package simulation

import (
	"math/rand/v2"
	"slices"
	"time"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
	"harrierhoist/internal/failover"
	"harrierhoist/internal/lab/scenario"
)

// common is what the processes hold in common, played: voters in halls, one of which leads and decides, and the
// messages
// between them and the gateways. Deciders, witnesses, evidence and plans are those of the program; the log is a drawn
// time. It has chance of its own, so that the world is the same with it and without.
type common struct {
	e         *engine
	w         *scenario.Common
	terms     failover.Settings
	halls     []string
	draw      *rand.Rand
	voters    []*voter
	followers []*follower // by gateway
	leader    *voter      // nil: none
	term      uint64      // grows with each leader
	decider   coordination.Controller
	since     time.Duration // when the leader began
	writing   bool          // a decision is on its way to the log
	electing  bool
	entry     statemachine.Table // the table as written
	lost      []*loss
	back      time.Duration   // when what was lost last came back
	wrong     map[string]bool // what the plan in force holds to be lost and is not
}

// newCommon sets up what the world says; nil where it says none.
func newCommon(e *engine, draw *rand.Rand) *common {
	w := &e.w.Common
	if w.How == scenario.None {
		return nil
	}
	c := &common{e: e, w: w, terms: e.w.Terms(), draw: draw, wrong: map[string]bool{}}
	for n := range e.w.Gateways.Halls {
		c.halls = append(c.halls, scenario.HallName(n))
	}
	for n := range e.w.Gateways.Count {
		c.followers = append(c.followers, &follower{c: c, n: n})
	}
	if w.How == scenario.Own {
		return c
	}
	for n := range w.Voters {
		v := &voter{c: c, n: n, hall: n % e.w.Gateways.Halls}
		v.start()
		c.voters = append(c.voters, v)
	}
	c.lead(c.voters[draw.IntN(len(c.voters))])
	e.clock.After(w.Decide.D(), c.tick)
	return c
}

// reaches tells whether messages pass between two halls of processes.
func (c *common) reaches(a, b int) bool { return !c.e.parted(a, b) }

// send has a message arrive, or not; it tells which, as its sender finds out by no answer.
func (c *common) send(from, to int, arrive func()) bool {
	if !c.reaches(from, to) || c.w.Loss > 0 && c.draw.Float64() < c.w.Loss {
		return false
	}
	c.e.clock.After(c.e.hopBy(c.draw, from, to), arrive)
	return true
}

// count counts a message that a voter takes.
func (c *common) count(v *voter, of func(*Messages) *int) {
	if c.e.clock.Now() >= origin+c.e.w.Length.D() {
		return // answers alone are waited for
	}
	*of(&c.e.result.Held)++
	if v == c.leader {
		*of(&c.e.result.Led)++
	}
}

func (c *common) drawn(s [2]scenario.Span) time.Duration {
	return s[0].D() + time.Duration(c.draw.Float64()*float64(s[1]-s[0]))
}

// backed tells whether a voter lives and reaches a majority.
func (c *common) backed(v *voter) bool {
	n := 0
	for _, o := range c.voters {
		if !o.dead && c.reaches(v.hall, o.hall) {
			n++
		}
	}
	return !v.dead && n > len(c.voters)/2
}

// lead has a voter begin to lead, with a decider that knows nothing but what is written.
func (c *common) lead(v *voter) {
	c.term++
	c.leader, c.since, c.writing, c.electing = v, c.e.clock.Now(), false, false
	v.merged = observation.NewMerger()
	c.decider = failover.New(c.terms, c.w.Lease.D())
	v.apply(c.entry)
}

// elect has a voter lead after a drawn time, if any can.
func (c *common) elect() {
	if c.electing {
		return
	}
	c.electing = true
	c.e.clock.After(c.drawn(c.w.Leaderless), func() {
		c.electing = false
		for _, i := range c.draw.Perm(len(c.voters)) {
			if c.backed(c.voters[i]) {
				c.lead(c.voters[i])
				return
			}
		}
		c.elect()
	})
}

// tick is the leader's work between two decisions, and the notice that there is none.
func (c *common) tick() {
	c.e.clock.After(c.w.Decide.D(), c.tick)
	if c.leader != nil && !c.backed(c.leader) {
		c.leader, c.decider = nil, nil
	}
	if c.leader == nil {
		c.elect()
		return
	}
	for _, v := range c.voters {
		if v != c.leader && !v.dead {
			v.pass(c.leader)
		}
	}
	if !c.writing {
		c.decide()
	}
}

// decide asks the decider, and has the log take what it says.
func (c *common) decide() {
	l, term := c.leader, c.term
	sums := l.direct.Sums()
	for name, n := range l.merged.Sums() {
		sums[name] += n
	}
	value, write := c.decider.Decide(c.e.clock.Now(), coordination.ControllerInput{
		Sums: sums, LeadingSince: c.since,
		Totals: func(string) map[string]uint64 { return nil },
		Table:  func(table string) statemachine.Table { return c.held(table) },
	})
	if !write {
		return
	}
	c.writing = true
	c.e.clock.After(c.drawn(c.w.Commit), func() {
		if c.term != term || c.leader == nil || !c.backed(l) {
			return // another leads, or nobody took it
		}
		c.writing = false
		c.entry = statemachine.Table{Epoch: c.entry.Epoch + 1, Value: slices.Clone(value), Index: c.entry.Epoch + 1}
		c.judge(value)
		l.apply(c.entry)
		for _, v := range c.voters {
			if v != l {
				v.catchUp(l, c.entry)
			}
		}
	})
}

func (c *common) held(table string) statemachine.Table {
	if table != c.decider.Table() {
		return statemachine.Table{}
	}
	return c.entry
}
