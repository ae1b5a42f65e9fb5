package gate

import (
	"time"

	"harrierhoist/internal/pool"
	"harrierhoist/policy"
)

// This file is how the gate is steered between halls, and how it tells what it sees of them. Without a witness and
// without weights nothing of it runs.

// shedAway is how long a client whose task fits in no hall is told to stay away: about as long as a plan takes to change.
const shedAway = time.Second

// Steer has the module handed the servers of halls by weights, in the order of their numbers, and the part shed of tasks
// rejected at once, from here on; nil weights: as the list has them. What is out goes on.
func (g *Gate) Steer(weights []float64, shed float64) {
	now := g.enter()
	defer g.leave()
	g.pool.Steer(weights, shed)
	if len(g.servers) > 0 {
		g.hand(now, policy.ListWhole)
	}
}

// shed rejects a task at once where the plan says that it fits in no hall. It guards the other halls against what
// a lost one leaves; the module alone would push it to them. It was not pushed, so any client may come again. Harm: it is
// not asked whether the customer's quota would have had it rejected anyway.
func (g *Gate) shed(e *Errand, repeat bool) bool {
	w := g.outside.Witness
	if w != nil && !repeat {
		w.Came(e.units)
	}
	if !g.pool.Shed() {
		return false
	}
	if w != nil && !repeat {
		w.Shed(e.units)
	}
	e.over = true
	e.choices <- Choice{Verdict: Reject, Away: g.shedAway}
	return true
}

// told tells the witness the whole list.
func (g *Gate) told(now time.Duration, all []pool.Server) {
	list := make([]policy.Listed, 0, len(all))
	for _, s := range all {
		list = append(list, s.Listed)
	}
	g.outside.Witness.Listed(now, list)
}

// Witnessed gives the witness's counts, as Commons.Witness wants them. Without a witness there are none.
func (g *Gate) Witnessed(add func(name string, n uint64)) {
	now := g.enter()
	defer g.leave()
	if w := g.outside.Witness; w != nil {
		w.Counts(now, add)
	}
}

// HallLost tells whether by this gateway's own evidence its own hall is lost.
func (g *Gate) HallLost() bool {
	g.enter()
	defer g.leave()
	return g.outside.Witness != nil && g.outside.Witness.Lost()
}
