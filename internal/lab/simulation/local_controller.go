package simulation

import (
	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
	"harrierhoist/internal/failover"
)

// alone has it decide on its own evidence.
func (f *follower) startLocalController() {
	f.observations, f.leadingSince = observation.NewMerger(), f.coordinator.engine.clock.Now()
	terms := f.coordinator.failoverSettings
	terms.MinGateways = 1 // there is no other whose word it hears
	f.controller = failover.New(terms, 0)
}

// decide has the decider go by what this gateway alone counted, as though every other saw and did the same.
func (f *follower) decideLocally(counts map[string]uint64) {
	f.serial++
	f.observations.Add(observation.Digest{Process: "own", Incarnation: 1, Serial: f.serial, Counts: f.extrapolate(counts)})
	now := f.coordinator.engine.clock.Now()
	value, write := f.controller.Decide(now, coordination.ControllerInput{
		Sums: f.observations.Sums(), LeadingSince: f.leadingSince,
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

// spread makes of one gateway's counts those of a fleet like it. What is counted of a hall that tasks come in at is
// counted of each; a hall's strength is seen by all.
func (f *follower) extrapolate(counts map[string]uint64) map[string]uint64 {
	all := make(map[string]uint64, len(counts)*len(f.coordinator.zones))
	each := uint64(max(len(f.coordinator.followers)/len(f.coordinator.zones), 1))
	for name, n := range counts {
		parts := observation.SplitName(name)
		if parts[0] == "ready" || parts[0] == "strength" {
			all[name] = n * each * uint64(len(f.coordinator.zones))
			continue
		}
		for _, hall := range f.coordinator.zones {
			like := append([]string{parts[0], hall}, parts[2:]...)
			all[observation.JoinName(like...)] = n * each
		}
	}
	return all
}
