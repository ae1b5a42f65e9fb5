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
type coordinator struct {
	engine           *engine
	settings         *scenario.Coordination
	failoverSettings failover.Settings
	zones            []string
	random           *rand.Rand
	voters           []*voter
	followers        []*follower // by gateway
	leader           *voter      // nil: none
	term             uint64      // grows with each leader
	controller       coordination.Controller
	leadingSince     time.Duration // when the leader began
	committing       bool          // a decision is on its way to the log
	electing         bool
	table            statemachine.Table // the table as written
	losses           []*loss
	reconnectedAt    time.Duration   // when what was lost last came back
	wrongLosses      map[string]bool // what the plan in force holds to be lost and is not
}

// newCommon sets up what the world says; nil where it says none.
func newCoordinator(e *engine, draw *rand.Rand) *coordinator {
	w := &e.scenario.Coordination
	if w.Mode == scenario.CoordinationNone {
		return nil
	}
	c := &coordinator{engine: e, settings: w, failoverSettings: e.scenario.FailoverSettings(), random: draw, wrongLosses: map[string]bool{}}
	for n := range e.scenario.Gateways.Zones {
		c.zones = append(c.zones, scenario.ZoneName(n))
	}
	for n := range e.scenario.Gateways.Count {
		c.followers = append(c.followers, &follower{coordinator: c, index: n})
	}
	if w.Mode == scenario.CoordinationLocal {
		return c
	}
	for n := range w.Voters {
		v := &voter{coordinator: c, index: n, zone: n % e.scenario.Gateways.Zones}
		v.start()
		c.voters = append(c.voters, v)
	}
	c.startLeading(c.voters[draw.IntN(len(c.voters))])
	e.clock.After(w.DecisionInterval.D(), c.tick)
	return c
}

// reaches tells whether messages pass between two halls of processes.
func (c *coordinator) canReach(a, b int) bool { return !c.engine.isCut(a, b) }

// send has a message arrive, or not; it tells which, as its sender finds out by no answer.
func (c *coordinator) send(from, to int, arrive func()) bool {
	if !c.canReach(from, to) || c.settings.MessageLoss > 0 && c.random.Float64() < c.settings.MessageLoss {
		return false
	}
	c.engine.clock.After(c.engine.delayBy(c.random, from, to), arrive)
	return true
}

// count counts a message that a voter takes.
func (c *coordinator) countMessage(v *voter, of func(*Messages) *int) {
	if c.engine.clock.Now() >= origin+c.engine.scenario.Length.D() {
		return // answers alone are waited for
	}
	*of(&c.engine.result.VoterMessages)++
	if v == c.leader {
		*of(&c.engine.result.LeaderMessages)++
	}
}

func (c *coordinator) drawBetween(s [2]scenario.Span) time.Duration {
	return s[0].D() + time.Duration(c.random.Float64()*float64(s[1]-s[0]))
}

// backed tells whether a voter lives and reaches a majority.
func (c *coordinator) hasMajority(v *voter) bool {
	n := 0
	for _, o := range c.voters {
		if !o.dead && c.canReach(v.zone, o.zone) {
			n++
		}
	}
	return !v.dead && n > len(c.voters)/2
}

// lead has a voter begin to lead, with a decider that knows nothing but what is written.
func (c *coordinator) startLeading(v *voter) {
	c.term++
	c.leader, c.leadingSince, c.committing, c.electing = v, c.engine.clock.Now(), false, false
	v.merged = observation.NewMerger()
	c.controller = failover.New(c.failoverSettings, c.settings.Lease.D())
	v.apply(c.table)
}

// elect has a voter lead after a drawn time, if any can.
func (c *coordinator) elect() {
	if c.electing {
		return
	}
	c.electing = true
	c.engine.clock.After(c.drawBetween(c.settings.ElectionTime), func() {
		c.electing = false
		for _, i := range c.random.Perm(len(c.voters)) {
			if c.hasMajority(c.voters[i]) {
				c.startLeading(c.voters[i])
				return
			}
		}
		c.elect()
	})
}

// tick is the leader's work between two decisions, and the notice that there is none.
func (c *coordinator) tick() {
	c.engine.clock.After(c.settings.DecisionInterval.D(), c.tick)
	if c.leader != nil && !c.hasMajority(c.leader) {
		c.leader, c.controller = nil, nil
	}
	if c.leader == nil {
		c.elect()
		return
	}
	for _, v := range c.voters {
		if v != c.leader && !v.dead {
			v.sendDigest(c.leader)
		}
	}
	if !c.committing {
		c.decide()
	}
}

// decide asks the decider, and has the log take what it says.
func (c *coordinator) decide() {
	l, term := c.leader, c.term
	sums := l.direct.Sums()
	for name, n := range l.merged.Sums() {
		sums[name] += n
	}
	value, write := c.controller.Decide(c.engine.clock.Now(), coordination.ControllerInput{
		Sums: sums, LeadingSince: c.leadingSince,
		Totals: func(string) map[string]uint64 { return nil },
		Table:  func(table string) statemachine.Table { return c.tableNamed(table) },
	})
	if !write {
		return
	}
	c.committing = true
	c.engine.clock.After(c.drawBetween(c.settings.CommitTime), func() {
		if c.term != term || c.leader == nil || !c.hasMajority(l) {
			return // another leads, or nobody took it
		}
		c.committing = false
		c.table = statemachine.Table{Epoch: c.table.Epoch + 1, Value: slices.Clone(value), Index: c.table.Epoch + 1}
		c.judgePlan(value)
		l.apply(c.table)
		for _, v := range c.voters {
			if v != l {
				v.replicate(l, c.table)
			}
		}
	})
}

func (c *coordinator) tableNamed(table string) statemachine.Table {
	if table != c.controller.Table() {
		return statemachine.Table{}
	}
	return c.table
}
