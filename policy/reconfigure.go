package policy

import (
	"errors"
	"slices"
	"time"
)

// This file takes new settings into a running gateway. It decides nothing: what was learned and what is under way is
// carried over to the new lanes and plans, by their names.

// AlignWith gives the settings with their lanes and plans in the places that earlier settings gave them, by name: a
// task that was read by its number just before stands for the same lane and plan after. What is new comes behind;
// what is gone stays in its place, closed, for the tasks in hand.
func (d Settings) AlignWith(old Settings) Settings {
	d.Classes = align(d.Classes, old.Classes, func(l *TrafficClass) (string, *bool) { return l.Name, &l.Retired })
	d.Plans = align(d.Plans, old.Plans, func(p *Plan) (string, *bool) { return p.Name, &p.Retired })
	return d
}

func align[T any](now, old []T, face func(*T) (string, *bool)) []T {
	out := slices.Clone(old)
	for i := range out {
		_, closed := face(&out[i])
		*closed = true
	}
	for i := range now {
		name, _ := face(&now[i])
		at := slices.IndexFunc(out, func(v T) bool { known, _ := face(&v); return known == name })
		if at < 0 {
			out = append(out, now[i])
		} else {
			out[at] = now[i]
		}
	}
	return out
}

// Validate tells whether settings can be used at all: an open lane, a plan, a gateway.
func (d *Settings) Validate() error {
	open := func(l TrafficClass) bool { return !l.Retired }
	if !slices.ContainsFunc(d.Classes, open) || len(d.Plans) == 0 || d.Gateways < 1 {
		return errors.New("a gateway needs at least one lane, one plan and its place among the gateways")
	}
	return nil
}

// Reconfigure takes new settings in place and gives them as they are in force: lanes and plans where After puts them.
// Tasks in hand end under the lane that they were taken with. Books and pushes out go on; a
// book whose quota is another begins its windows anew, and no total of an earlier one decides in them. An error
// means that nothing has changed.
func (g *Gateway) Reconfigure(now time.Duration, settings Settings) (Settings, error) {
	previous := g.settings
	settings = settings.AlignWith(previous)
	if err := settings.Validate(); err != nil {
		return previous, err
	}
	g.advanceClock(now)
	g.applySettings(settings)
	for _, customer := range g.admission.customerList {
		at := 0
		for i := range previous.Plans {
			if customer.plan == &previous.Plans[i] {
				at = i
			}
		}
		old := *customer.plan
		customer.plan, customer.gateways = &g.settings.Plans[at], min(customer.gateways, float64(settings.Gateways))
		if old.Rate != customer.plan.Rate || old.Burst != customer.plan.Burst || old.MaxInFlight != customer.plan.MaxInFlight {
			if old.Rate <= 0 {
				customer.available = customer.plan.Burst // there was no store before
			}
			customer.available, customer.quotaEpoch = min(customer.available, customer.plan.Burst), customer.quotaEpoch+1
			customer.resetWindows(now)
		}
	}
	plans := len(previous.Plans)
	for _, s := range g.balancer.servers {
		turned := s.rejectedAt
		s.health = append(s.health, make([]classHealth, len(g.classes)-len(s.health))...)
		s.rejectedAt = make([]time.Duration, len(g.classes)*len(settings.Plans))
		for i, at := range turned {
			s.rejectedAt[i/plans*len(settings.Plans)+i%plans] = at
		}
	}
	return g.settings, nil
}

// applySettings makes the rows of the lanes, with what was learned of those that stay. Tasks in hand keep the rows that
// they were taken with.
func (g *Gateway) applySettings(settings Settings) {
	lanes := make([]classState, len(settings.Classes))
	g.tightestObjective = 0
	for i, l := range settings.Classes {
		if i < len(g.classes) {
			lanes[i] = g.classes[i]
			lanes[i].latencies.samples = slices.Clone(lanes[i].latencies.samples)
			lanes[i].unitLatencies.samples = slices.Clone(lanes[i].unitLatencies.samples)
		}
		allowed := make([]time.Duration, len(settings.Plans))
		copy(allowed, lanes[i].firstTimeouts)
		lanes[i].TrafficClass, lanes[i].firstTimeouts = l, allowed
		if !l.Retired && (g.tightestObjective == 0 || l.LatencyObjective < g.tightestObjective) {
			g.tightestObjective = l.LatencyObjective
		}
	}
	g.settings, g.classes = settings, lanes
}
