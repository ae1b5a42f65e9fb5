package policy

import (
	"slices"
	"time"
)

// AlignWith returns the settings with each class and plan at the index that earlier settings gave
// to its name, so that requests that were read before the change keep their class and plan. New
// classes and plans are appended. Missing ones keep their index for the requests in flight, and
// are retired.
func (s Settings) AlignWith(earlier Settings) Settings {
	class := func(c *TrafficClass) (string, *bool) { return c.Name, &c.Retired }
	plan := func(p *Plan) (string, *bool) { return p.Name, &p.Retired }
	s.Classes = align(s.Classes, earlier.Classes, class)
	s.Plans = align(s.Plans, earlier.Plans, plan)
	return s
}

// align implements AlignWith for classes and for plans. key returns a value's name and a pointer to
// its Retired field.
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

// Reconfigure applies new settings, aligned by AlignWith, and returns the settings in force.
// Requests in flight keep the class that they arrived with. The windows of a customer whose quota
// has changed restart, and counts of the earlier quota are ignored. If Validate returns an error,
// Reconfigure returns it with the earlier settings and changes nothing.
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

// applySettings creates the states of the classes and copies the observed latencies and timeouts of
// classes that remain. Requests in flight keep the states that they arrived with.
func (e *environment) applySettings(settings Settings) {
	classes := make([]classState, len(settings.Classes))
	e.tightestObjective = 0
	for i, class := range settings.Classes {
		timeouts := make([]time.Duration, len(settings.Plans))
		if i < len(e.classes) {
			known := &e.classes[i]
			classes[i].latencies = known.latencies.clone()
			classes[i].unitLatencies = known.unitLatencies.clone()
			copy(timeouts, known.firstTimeouts)
		}
		classes[i].TrafficClass = class
		classes[i].firstTimeouts = timeouts
		if !class.Retired && (e.tightestObjective == 0 || class.LatencyObjective < e.tightestObjective) {
			e.tightestObjective = class.LatencyObjective
		}
	}
	e.settings = settings
	e.classes = classes
}

// reconfigure applies new settings to the customer's plan and quota.
func (c *customerState) reconfigure(now time.Duration, settings *Settings) {
	earlier := c.plan
	plan := &settings.Plans[c.planIndex]
	c.plan = plan
	c.gateways = min(c.gateways, float64(settings.Gateways))
	if earlier.Rate == plan.Rate && earlier.Burst == plan.Burst && earlier.MaxInFlight == plan.MaxInFlight {
		return
	}
	if earlier.Rate <= 0 {
		c.available = plan.Burst // the earlier plan had no bucket
	}
	c.available = min(c.available, plan.Burst)
	c.quotaEpoch++
	c.resetWindows(now)
}

// reconfigure extends the server's records for new classes and plans.
func (s *server) reconfigure(earlierPlans, plans, classes int) {
	s.health = append(s.health, make([]classHealth, classes-len(s.health))...)
	earlier := s.rejectedAt
	s.rejectedAt = make([]eventTime, classes*plans)
	for i, at := range earlier {
		s.rejectedAt[i/earlierPlans*plans+i%earlierPlans] = at
	}
}
