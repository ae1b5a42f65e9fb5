package simulation

import (
	"fmt"
	"slices"
	"time"

	"harrierhoist/internal/failover"
)

const (
	// movedMost is the part of a gateway's tasks that may still try a lost hall with the plan in force.
	movedMost = 0.1
	// lostMost is the part of its full strength below which a hall may be held to be lost.
	lostMost = 0.4
	// backWithin is how long what came back may be held to be lost still: of a link that a plan avoids nothing is heard,
	// and a loss is believed for three least stays without a word.
	backWithin = 45 * time.Second
)

// loss is a hall that was lost whole, and the gateways that have yet to push elsewhere.
type loss struct {
	hall int
	at   time.Duration
	open map[int]bool
}

// moved gives the part of a gateway's tasks that go to a hall.
func (f *follower) moved(hall int) float64 {
	sum := 0.0
	for _, weight := range f.by.Weights {
		sum += weight
	}
	if sum <= 0 {
		return 0
	}
	return (1 - f.by.ShedFraction) * f.by.Weights[hall] / sum
}

// hallLost begins to measure until when gateways push to a hall.
func (c *common) hallLost(hall int) {
	l := &loss{hall: hall, at: c.e.clock.Now(), open: map[int]bool{}}
	for _, f := range c.followers {
		if f.moved(hall) > movedMost {
			l.open[f.n] = true
		}
	}
	c.lost = append(c.lost, l)
}

// hallBack ends that: those who never moved count with the whole time.
func (c *common) hallBack(hall int) {
	c.back = c.e.clock.Now()
	c.lost = slices.DeleteFunc(c.lost, func(l *loss) bool {
		if l.hall != hall {
			return false
		}
		for range l.open {
			c.e.result.PlanMs = append(c.e.result.PlanMs, int((c.e.clock.Now() - l.at).Milliseconds()))
		}
		return true
	})
}

// inForce looks whether a gateway pushes elsewhere now.
func (c *common) inForce(f *follower) {
	for _, l := range c.lost {
		if l.open[f.n] && f.moved(l.hall) <= movedMost {
			delete(l.open, f.n)
			c.e.result.PlanMs = append(c.e.result.PlanMs, int((c.e.clock.Now() - l.at).Milliseconds()))
		}
	}
}

// judge counts a plan, and a wrong failover where it newly holds a hall or a link to be lost that is not.
func (c *common) judge(value []byte) {
	c.e.result.Plans++
	p, err := failover.DecodePlan(value)
	if err != nil || p == nil {
		panic(fmt.Sprint("the decider wrote no plan: ", err))
	}
	now, full := c.e.strengths()
	cut := len(c.e.cut)+len(c.e.links) > 0 || c.back > 0 && c.e.clock.Now() < c.back+backWithin
	wrong := map[string]bool{}
	for n, hall := range c.halls {
		if sound, told := p.Health[hall]; told && sound == 0 && !cut && now[n] > lostMost*full[n] {
			wrong[hall] = true
		}
	}
	for _, link := range p.LostLinks {
		from, to := slices.Index(c.halls, link[0]), slices.Index(c.halls, link[1])
		if !cut && now[from] > lostMost*full[from] && now[to] > lostMost*full[to] {
			wrong[link[0]+" "+link[1]] = true
		}
	}
	for what := range wrong {
		if !c.wrong[what] {
			c.e.result.Wrong++
		}
	}
	c.wrong = wrong
}
