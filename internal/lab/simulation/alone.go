package simulation

import (
	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
	"harrierhoist/internal/failover"
)

// alone has it decide on its own evidence.
func (f *follower) alone() {
	f.book, f.since = observation.NewMerger(), f.c.e.clock.Now()
	terms := f.c.terms
	terms.MinGateways = 1 // there is no other whose word it hears
	f.decider = failover.New(terms, 0)
}

// decide has the decider go by what this gateway alone counted, as though every other saw and did the same.
func (f *follower) decide(counts map[string]uint64) {
	f.serial++
	f.book.Add(observation.Digest{Process: "own", Incarnation: 1, Serial: f.serial, Counts: f.spread(counts)})
	now := f.c.e.clock.Now()
	value, write := f.decider.Decide(now, coordination.ControllerInput{
		Sums: f.book.Sums(), LeadingSince: f.since,
		Totals: func(string) map[string]uint64 { return nil },
		Table:  func(string) statemachine.Table { return statemachine.Table{Epoch: f.held.Epoch, Value: f.held.Value} },
	})
	if write {
		f.c.judge(value)
		f.take(statemachine.Table{Epoch: f.held.Epoch + 1, Value: value}, forever)
		return
	}
	f.steer.Update()
}

// spread makes of one gateway's counts those of a fleet like it. What is counted of a hall that tasks come in at is
// counted of each; a hall's strength is seen by all.
func (f *follower) spread(counts map[string]uint64) map[string]uint64 {
	all := make(map[string]uint64, len(counts)*len(f.c.halls))
	each := uint64(max(len(f.c.followers)/len(f.c.halls), 1))
	for name, n := range counts {
		parts := observation.SplitName(name)
		if parts[0] == "ready" || parts[0] == "strength" {
			all[name] = n * each * uint64(len(f.c.halls))
			continue
		}
		for _, hall := range f.c.halls {
			like := append([]string{parts[0], hall}, parts[2:]...)
			all[observation.JoinName(like...)] = n * each
		}
	}
	return all
}
