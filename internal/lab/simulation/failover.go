package simulation

import (
	"fmt"
	"slices"
	"time"

	"harrierhoist/internal/control/failover"
)

const (
	// maxResidualShare is the share of a gateway's requests that may still go to a lost zone once
	// failover is complete.
	maxResidualShare = 0.1
	// maxLostCapacity is the part of its full capacity up to which a zone may be held to be lost.
	maxLostCapacity = 0.4
	// reconnectionGrace is how long a zone or link that was restored may still be held to be lost.
	// A link that a plan avoids gives no observations, and without these a loss holds for three
	// hold-down times.
	reconnectionGrace = 45 * time.Second
)

// loss is a zone that was lost as a whole, with the gateways that have yet to send their attempts
// elsewhere.
type loss struct {
	zone    int
	at      time.Duration
	pending map[int]bool
}

// shareOf is the share of the gateway's requests that go to a zone.
func (f *follower) shareOf(zone int) float64 {
	sum := 0.0
	for _, weight := range f.steering.Weights {
		sum += weight
	}
	if sum <= 0 {
		return 0
	}
	return (1 - f.steering.ShedFraction) * f.steering.Weights[zone] / sum
}

// zoneLost begins to measure until when gateways send attempts to a zone.
func (c *coordinator) zoneLost(zone int) {
	l := &loss{zone: zone, at: c.engine.clock.Now(), pending: map[int]bool{}}
	for _, f := range c.followers {
		if f.shareOf(zone) > maxResidualShare {
			l.pending[f.index] = true
		}
	}
	c.losses = append(c.losses, l)
}

// zoneRestored ends that: gateways that never went elsewhere count with the time until now.
func (c *coordinator) zoneRestored(zone int) {
	c.reconnectedAt = c.engine.clock.Now()
	c.losses = slices.DeleteFunc(c.losses, func(l *loss) bool {
		if l.zone != zone {
			return false
		}
		for range l.pending {
			c.addFailoverTime(l)
		}
		return true
	})
}

// recordFailover checks whether a gateway sends its attempts elsewhere now.
func (c *coordinator) recordFailover(f *follower) {
	for _, l := range c.losses {
		if l.pending[f.index] && f.shareOf(l.zone) <= maxResidualShare {
			delete(l.pending, f.index)
			c.addFailoverTime(l)
		}
	}
}

func (c *coordinator) addFailoverTime(l *loss) {
	c.engine.result.FailoverMs = append(c.engine.result.FailoverMs, int((c.engine.clock.Now() - l.at).Milliseconds()))
}

// judgePlan counts a plan, and each zone or link that it newly holds to be lost and is not.
func (c *coordinator) judgePlan(value []byte) {
	c.engine.result.Plans++
	plan, err := failover.DecodePlan(value)
	if err != nil || plan == nil {
		// The controller and the decoder are of the same program: a run that goes on after this
		// shows nothing.
		panic(fmt.Sprint("the controller of failover wrote a malformed plan: ", err))
	}
	wrong := map[string]bool{}
	if !c.isAnythingCut() {
		wrong = c.wrongLossesOf(plan)
	}
	for lost := range wrong {
		if !c.wrongLosses[lost] {
			c.engine.result.WrongPlans++
		}
	}
	c.wrongLosses = wrong
}

// isAnythingCut reports whether a zone or link is cut, or was lately.
func (c *coordinator) isAnythingCut() bool {
	faults := &c.engine.faults
	return len(faults.isolatedZones)+len(faults.cutLinks) > 0 ||
		c.reconnectedAt > 0 && c.engine.clock.Now() < c.reconnectedAt+reconnectionGrace
}

// wrongLossesOf returns the zones and links that a plan holds to be lost though the zones have
// their capacity.
func (c *coordinator) wrongLossesOf(plan *failover.Plan) map[string]bool {
	wrong := map[string]bool{}
	now, full := c.engine.zoneCapacities()
	hasCapacity := func(zone int) bool { return now[zone] > maxLostCapacity*full[zone] }
	for n, zone := range c.zones {
		if health, known := plan.Health[zone]; known && health == 0 && hasCapacity(n) {
			wrong[zone] = true
		}
	}
	for _, link := range plan.LostLinks {
		if hasCapacity(slices.Index(c.zones, link[0])) && hasCapacity(slices.Index(c.zones, link[1])) {
			wrong[link[0]+" "+link[1]] = true
		}
	}
	return wrong
}
