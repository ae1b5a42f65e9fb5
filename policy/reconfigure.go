package policy

import (
	"slices"
	"time"
)

// This file takes new settings into a running module. It decides nothing: what was learned and what is under
// way is carried over to the new classes and plans, by their names.

// AlignWith returns the settings with their classes and plans at the indices that earlier settings gave them,
// by name: a request that was read by index just before stands for the same class and plan after. What is new
// comes behind; what is missing stays at its index, retired, for the requests in flight.
func (s Settings) AlignWith(earlier Settings) Settings {
	class := func(c *TrafficClass) (string, *bool) { return c.Name, &c.Retired }
	plan := func(p *Plan) (string, *bool) { return p.Name, &p.Retired }
	s.Classes, s.Plans = align(s.Classes, earlier.Classes, class), align(s.Plans, earlier.Plans, plan)
	return s
}

// align does so for one kind; key returns a value's name and its Retired field.
func align[T any](current, earlier []T, key func(*T) (string, *bool)) []T {
	aligned := slices.Clone(earlier)
	for i := range aligned {
		_, retired := key(&aligned[i])
		*retired = true
	}
	for i := range current {
		name, _ := key(&current[i])
		at := slices.IndexFunc(aligned, func(v T) bool { known, _ := key(&v); return known == name })
		if at < 0 {
			aligned = append(aligned, current[i])
		} else {
			aligned[at] = current[i]
		}
	}
	return aligned
}

// Reconfigure takes new settings and returns them as they are in force: classes and plans where AlignWith
// puts them. Requests in flight end under the class that they came with. Customers' quotas and attempts in
// flight go on; a customer whose quota has changed begins its windows anew, and no count of an earlier one
// decides in them. With an error nothing has changed.
func (g *Gateway) Reconfigure(now time.Duration, settings Settings) (Settings, error) {
	earlier := g.settings
	settings = settings.AlignWith(earlier)
	if err := settings.Validate(); err != nil {
		return earlier, err
	}
	g.advanceClock(now)
	g.applySettings(settings)
	for _, customer := range g.admission.customerList {
		customer.reconfigure(now, &g.settings)
	}
	for _, s := range g.balancer.servers {
		s.reconfigure(len(earlier.Plans), len(settings.Plans), len(settings.Classes))
	}
	return g.settings, nil
}

// applySettings makes the states of the classes, with what was learned of those that stay. Requests in flight
// keep the states that they came with.
func (e *environment) applySettings(settings Settings) {
	classes := make([]classState, len(settings.Classes))
	e.tightestObjective = 0
	for i, class := range settings.Classes {
		timeouts := make([]time.Duration, len(settings.Plans))
		if i < len(e.classes) {
			known := &e.classes[i]
			classes[i].latencies, classes[i].unitLatencies = known.latencies.clone(), known.unitLatencies.clone()
			copy(timeouts, known.firstTimeouts)
		}
		classes[i].TrafficClass, classes[i].firstTimeouts = class, timeouts
		if !class.Retired && (e.tightestObjective == 0 || class.LatencyObjective < e.tightestObjective) {
			e.tightestObjective = class.LatencyObjective
		}
	}
	e.settings, e.classes = settings, classes
}

func (c *customerState) reconfigure(now time.Duration, settings *Settings) {
	earlier, plan := c.plan, &settings.Plans[c.planIndex]
	c.plan, c.gateways = plan, min(c.gateways, float64(settings.Gateways))
	if earlier.Rate == plan.Rate && earlier.Burst == plan.Burst && earlier.MaxInFlight == plan.MaxInFlight {
		return
	}
	if earlier.Rate <= 0 {
		c.available = plan.Burst // there was no bucket before
	}
	c.available = min(c.available, plan.Burst)
	c.quotaEpoch++
	c.resetWindows(now)
}

// reconfigure makes space for new classes and plans in what is kept by them.
func (s *server) reconfigure(earlierPlans, plans, classes int) {
	s.health = append(s.health, make([]classHealth, classes-len(s.health))...)
	earlier := s.rejectedAt
	s.rejectedAt = make([]time.Duration, classes*plans)
	for i, at := range earlier {
		s.rejectedAt[i/earlierPlans*plans+i%earlierPlans] = at
	}
}
