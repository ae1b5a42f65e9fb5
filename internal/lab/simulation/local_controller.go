package simulation

import (
	"time"

	"harrierhoist/internal/control/failover"
	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
)

// Names of the counts of package zonestats that every gateway sees of every zone.
const (
	countReadyTime  = "ready"
	countReadyPower = "strength"
)

// localController decides by what one gateway counted alone.
type localController struct {
	coordination.Controller
	observations *observation.Merger
	since        time.Duration
}

func newLocalController(c *coordinator) localController {
	settings := c.failoverSettings
	settings.MinGateways = 1 // it hears of no other
	return localController{failover.New(settings, 0), observation.NewMerger(), c.engine.clock.Now()}
}

// decideLocally runs the gateway's own controller, as though every other gateway saw and did the
// same.
func (f *follower) decideLocally(counts map[string]uint64) {
	f.serial++
	f.local.observations.Add(observation.Digest{
		Process: "own", Incarnation: 1, Serial: f.serial, Counts: f.coordinator.extrapolate(counts),
	})
	value, write := f.local.Decide(f.coordinator.engine.clock.Now(), coordination.ControllerInput{
		Sums: f.local.observations.Sums(), LeadingSince: f.local.since,
		Totals: func(string) map[string]uint64 { return nil },
		Table: func(string) statemachine.Table {
			return statemachine.Table{Epoch: f.cached.Epoch, Value: f.cached.Value}
		},
	})
	if write {
		f.coordinator.judgePlan(value)
		f.adopt(statemachine.Table{Epoch: f.cached.Epoch + 1, Value: value}, endlessLease)
		return
	}
	f.updater.Update()
}

// extrapolate makes of one gateway's counts those of all gateways if they counted alike. What is
// counted of the zone that requests come in at is counted of each zone; the ready servers and the
// power of a zone are seen by all.
func (c *coordinator) extrapolate(counts map[string]uint64) map[string]uint64 {
	all := make(map[string]uint64, len(counts)*len(c.zones))
	perZone := uint64(max(len(c.followers)/len(c.zones), 1))
	for name, n := range counts {
		parts := observation.SplitName(name)
		if parts[0] == countReadyTime || parts[0] == countReadyPower {
			all[name] = n * perZone * uint64(len(c.zones))
			continue
		}
		for _, zone := range c.zones {
			alike := append([]string{parts[0], zone}, parts[2:]...)
			all[observation.JoinName(alike...)] = n * perZone
		}
	}
	return all
}
