package rulesimulation

import (
	"time"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/policy"
)

// When a simulated switch goes through its phases, from the simulation's start.
const (
	switchCanary    = 3 * time.Second
	switchScheduled = 6 * time.Second
	switchRollback  = 16 * time.Second
	switchArrivals  = 28 * time.Second // requests come until then
	switchEnd       = 40 * time.Second
)

// TightScenario gives settings and a rule under which eight customers, who request eight times a
// plan, share one.
func TightScenario() (policy.Settings, countingrule.Rule) {
	settings := baseSettings()
	settings.Plans = []policy.Plan{{Name: "small", Rate: 10, Burst: 20}}
	return settings, countingrule.Rule{
		Version: 1,
		Key:     []string{"group"},
		Groups:  []countingrule.Group{{Name: "all", Customers: []uint64{1, 2, 3, 4, 5, 6, 7, 8}}},
		Limits:  []countingrule.Limit{{Plan: "*", Rate: 10, Burst: 20}},
	}
}

// RunSwitch simulates a switch to a rule and its rollback, with faults at two of the gateways
// unless calm.
func RunSwitch(seed uint64, settings policy.Settings, rule countingrule.Rule, bug Bug, calm bool) *Simulation {
	simulation := newSimulation(seed, settings, []countingrule.Rule{rule})
	simulation.bug = bug
	simulation.scheduleArrivals()
	simulation.scheduleSwitch()
	if !calm {
		for _, g := range simulation.gateways[:2] { // never a majority of four
			simulation.clock.After(simulation.between(4*time.Second, 12*time.Second),
				func() { simulation.injectFault(g) })
		}
	}
	simulation.clock.AdvanceTo(epoch + switchEnd)
	return simulation
}

// scheduleArrivals has eight customers send requests, some 80 a second together.
func (s *Simulation) scheduleArrivals() {
	var arrive func()
	arrive = func() {
		if s.clock.Now() < epoch+switchArrivals {
			s.acceptAnywhere(func() uint64 { return 1 + s.random.Uint64N(8) })
			s.clock.After(s.between(0, 25*time.Millisecond), arrive)
		}
	}
	s.clock.After(time.Second, arrive)
}

// scheduleSwitch has the table go through the phases of a switch and its rollback.
func (s *Simulation) scheduleSwitch() {
	s.clock.After(switchCanary, func() {
		s.table.Phase = countingrule.PhaseCanary
		s.table.ToVersion = 1
	})
	s.clock.After(switchScheduled, func() {
		s.table.Phase = countingrule.PhaseScheduled
		s.table.SwitchAt = s.clock.Now() + switchLead
	})
	s.clock.After(switchRollback, func() {
		s.table.Phase = countingrule.PhaseRollback
		s.table.SwitchAt = s.clock.Now() + switchLead
		s.table.FromVersion = 1
		s.table.ToVersion = 0
	})
}

// injectFault has a fault happen to a gateway for a while, anywhere around a switch.
func (s *Simulation) injectFault(g *gateway) {
	at := s.between(time.Millisecond, 12*time.Second)
	duration := s.between(time.Second, 9*time.Second)
	heal := func() { g.isolated = false }
	switch s.random.IntN(4) {
	case 0:
		s.clock.After(at, func() { g.isolated = true })
		s.clock.After(at+duration, heal)
	case 1:
		s.clock.After(at, func() { g.asleep = true })
		s.clock.After(at+duration, g.resume)
	case 2: // it dies and comes back without a table
		s.clock.After(at, func() { g.start(); g.isolated = true })
		s.clock.After(at+duration, heal)
	case 3:
		s.clock.After(at, g.start)
	}
}
