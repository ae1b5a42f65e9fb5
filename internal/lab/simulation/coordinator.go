package simulation

import (
	"math/rand/v2"
	"slices"
	"time"

	"harrierhoist/internal/control/failover"
	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
	"harrierhoist/internal/lab/scenario"
)

// coordinator simulates what the gateways decide together: voters in zones, one of which leads and
// runs the controller of failover, and the messages between them and the gateways. All but the
// replicated log, which is a drawn time, is the gateway's own code. It has a generator of its own,
// so that a run without it meets the same customers and faults.
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
	leadingSince     time.Duration
	committing       bool // the log has a value that is not written yet
	electing         bool
	table            statemachine.Table // as written
	losses           []*loss
	reconnectedAt    time.Duration   // when a zone or link was last restored; 0: never
	wrongLosses      map[string]bool // what the latest plan holds to be lost and is not
}

// newCoordinator makes the coordinator of a scenario; nil: its gateways share nothing.
func newCoordinator(engine *engine, random *rand.Rand) *coordinator {
	settings := &engine.scenario.Coordination
	if settings.Mode == scenario.CoordinationNone {
		return nil
	}
	coordinator := &coordinator{
		engine: engine, settings: settings, failoverSettings: engine.scenario.FailoverSettings(), random: random,
		wrongLosses: map[string]bool{},
	}
	for n := range engine.scenario.Gateways.Zones {
		coordinator.zones = append(coordinator.zones, scenario.ZoneName(n))
	}
	for n := range engine.scenario.Gateways.Count {
		coordinator.followers = append(coordinator.followers, &follower{coordinator: coordinator, index: n})
	}
	if settings.Mode == scenario.CoordinationLocal {
		return coordinator
	}
	for n := range settings.Voters {
		v := &voter{coordinator: coordinator, index: n, zone: n % engine.scenario.Gateways.Zones}
		v.start()
		coordinator.voters = append(coordinator.voters, v)
	}
	coordinator.startLeading(coordinator.voters[random.IntN(len(coordinator.voters))])
	engine.clock.After(settings.DecisionInterval.D(), coordinator.tick)
	return coordinator
}

// canReach reports whether messages pass between processes of two zones.
func (c *coordinator) canReach(a, b int) bool { return !c.engine.isCut(a, b) }

// send sends a message. It returns false if the message is lost; its sender learns that by getting
// no answer.
func (c *coordinator) send(from, to int, arrive func()) bool {
	if !c.canReach(from, to) || c.settings.MessageLoss > 0 && c.random.Float64() < c.settings.MessageLoss {
		return false
	}
	c.engine.clock.After(c.engine.delayBy(c.random, from, to), arrive)
	return true
}

// countMessage counts a message that a voter gets.
func (c *coordinator) countMessage(v *voter, kind func(*Messages) *int) {
	if c.engine.clock.Now() >= origin+c.engine.scenario.Length.D() {
		return // from here on the run only waits for answers
	}
	*kind(&c.engine.result.VoterMessages)++
	if v == c.leader {
		*kind(&c.engine.result.LeaderMessages)++
	}
}

// drawBetween draws a time between two bounds.
func (c *coordinator) drawBetween(bounds [2]scenario.Span) time.Duration {
	return bounds[0].D() + time.Duration(c.random.Float64()*float64(bounds[1]-bounds[0]))
}

// hasMajority reports whether a voter is alive and reaches a majority of the voters.
func (c *coordinator) hasMajority(v *voter) bool {
	reached := 0
	for _, other := range c.voters {
		if !other.dead && c.canReach(v.zone, other.zone) {
			reached++
		}
	}
	return !v.dead && reached > len(c.voters)/2
}

// startLeading makes a voter the leader. Its controller knows the table alone.
func (c *coordinator) startLeading(v *voter) {
	c.term++
	c.leader = v
	c.leadingSince = c.engine.clock.Now()
	c.committing = false
	c.electing = false
	v.merged = observation.NewMerger()
	c.controller = failover.New(c.failoverSettings, c.settings.Lease.D())
	v.apply(c.table)
}

// elect makes a voter with a majority the leader after a drawn time; again and again while there is
// none.
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

// tick runs once in a decision interval: it has the leader decide, or notices that there is none.
func (c *coordinator) tick() {
	c.engine.clock.After(c.settings.DecisionInterval.D(), c.tick)
	if c.leader != nil && !c.hasMajority(c.leader) {
		c.leader = nil
		c.controller = nil
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

// decide runs the controller, and appends what it writes to the log.
func (c *coordinator) decide() {
	leader := c.leader
	term := c.term
	sums := leader.direct.Sums()
	for name, n := range leader.merged.Sums() {
		sums[name] += n
	}
	value, write := c.controller.Decide(c.engine.clock.Now(), coordination.ControllerInput{
		Sums: sums, LeadingSince: c.leadingSince,
		Totals: func(string) map[string]uint64 { return nil },
		Table:  c.tableNamed,
	})
	if !write {
		return
	}
	c.committing = true
	c.engine.clock.After(c.drawBetween(c.settings.CommitTime), func() {
		if c.term != term || c.leader == nil || !c.hasMajority(leader) {
			return // another voter leads, or no majority has the entry
		}
		c.commit(leader, value)
	})
}

// commit writes a table and replicates it.
func (c *coordinator) commit(leader *voter, value []byte) {
	c.committing = false
	epoch := c.table.Epoch + 1
	c.table = statemachine.Table{Epoch: epoch, Value: slices.Clone(value), Index: epoch}
	c.judgePlan(value)
	leader.apply(c.table)
	for _, v := range c.voters {
		if v != leader {
			v.replicate(leader, c.table)
		}
	}
}

// tableNamed is the table as the controller reads it.
func (c *coordinator) tableNamed(name string) statemachine.Table {
	if name != c.controller.Table() {
		return statemachine.Table{}
	}
	return c.table
}
