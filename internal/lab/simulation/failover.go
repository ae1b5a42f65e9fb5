package simulation

import (
	"fmt"
	"slices"
	"time"

	"harrierhoist/internal/failover"
)

const (
	// movedMost is the part of a gateway's tasks that may still try a lost hall with the plan in force.
	maxResidualShare = 0.1
	// lostMost is the part of its full strength below which a hall may be held to be lost.
	maxLostCapacity = 0.4
	// backWithin is how long what came back may be held to be lost still: of a link that a plan avoids nothing is heard,
	// and a loss is believed for three least stays without a word.
	reconnectionGrace = 45 * time.Second
)

// loss is a hall that was lost whole, and the gateways that have yet to push elsewhere.
type loss struct {
	zone    int
	at      time.Duration
	pending map[int]bool
}

// moved gives the part of a gateway's tasks that go to a hall.
func (f *follower) shareOf(hall int) float64 {
	sum := 0.0
	for _, weight := range f.steering.Weights {
		sum += weight
	}
	if sum <= 0 {
		return 0
	}
	return (1 - f.steering.ShedFraction) * f.steering.Weights[hall] / sum
}

// hallLost begins to measure until when gateways push to a hall.
func (c *coordinator) zoneLost(hall int) {
	l := &loss{zone: hall, at: c.engine.clock.Now(), pending: map[int]bool{}}
	for _, f := range c.followers {
		if f.shareOf(hall) > maxResidualShare {
			l.pending[f.index] = true
		}
	}
	c.losses = append(c.losses, l)
}

// hallBack ends that: those who never moved count with the whole time.
func (c *coordinator) zoneRestored(hall int) {
	c.reconnectedAt = c.engine.clock.Now()
	c.losses = slices.DeleteFunc(c.losses, func(l *loss) bool {
		if l.zone != hall {
			return false
		}
		for range l.pending {
			c.engine.result.FailoverMs = append(c.engine.result.FailoverMs, int((c.engine.clock.Now() - l.at).Milliseconds()))
		}
		return true
	})
}

// inForce looks whether a gateway pushes elsewhere now.
func (c *coordinator) recordFailover(f *follower) {
	for _, l := range c.losses {
		if l.pending[f.index] && f.shareOf(l.zone) <= maxResidualShare {
			delete(l.pending, f.index)
			c.engine.result.FailoverMs = append(c.engine.result.FailoverMs, int((c.engine.clock.Now() - l.at).Milliseconds()))
		}
	}
}

// judge counts a plan, and a wrong failover where it newly holds a hall or a link to be lost that is not.
func (c *coordinator) judgePlan(value []byte) {
	c.engine.result.Plans++
	p, err := failover.DecodePlan(value)
	if err != nil || p == nil {
		panic(fmt.Sprint("the decider wrote no plan: ", err))
	}
	now, full := c.engine.zoneCapacities()
	cut := len(c.engine.isolatedZones)+len(c.engine.cutLinks) > 0 || c.reconnectedAt > 0 && c.engine.clock.Now() < c.reconnectedAt+reconnectionGrace
	wrong := map[string]bool{}
	for n, hall := range c.zones {
		if sound, told := p.Health[hall]; told && sound == 0 && !cut && now[n] > maxLostCapacity*full[n] {
			wrong[hall] = true
		}
	}
	for _, link := range p.LostLinks {
		from, to := slices.Index(c.zones, link[0]), slices.Index(c.zones, link[1])
		if !cut && now[from] > maxLostCapacity*full[from] && now[to] > maxLostCapacity*full[to] {
			wrong[link[0]+" "+link[1]] = true
		}
	}
	for what := range wrong {
		if !c.wrongLosses[what] {
			c.engine.result.WrongPlans++
		}
	}
	c.wrongLosses = wrong
}
