package gate

import (
	"math"
	"time"

	"harrierhoist/internal/pool"
	"harrierhoist/internal/witness"
	"harrierhoist/policy"
)

// This file is how the gate is steered between halls, and how it tells what it sees of them. Without a witness and
// without weights nothing of it runs.

// shedAway is how long a client whose task fits in no hall is told to stay away: a quarter of the tightest soft limit, as
// the module says where no server can be had. Room elsewhere is shared by lot, so another try soon may find some: with a
// second in its place more of those shed ran out of time (docs/failover.md).
func shedAway(lanes []policy.Lane) time.Duration {
	least := time.Duration(math.MaxInt64)
	for _, l := range lanes {
		if !l.Closed {
			least = min(least, l.SoftLimit)
		}
	}
	return least / 4
}

// Steering is how the gate is steered.
type Steering struct {
	// Weights are by the number of a hall in what proportion its servers are handed to the module; nil: as the list
	// has them.
	Weights []float64
	// Shed is the part of tasks that is rejected at once, 0 to 1.
	Shed float64
}

// Steer has the gate steered so from here on for as long as a lease stands, and then the other way, at once with the next
// task, whoever slept meanwhile. What is out goes on.
func (g *Gate) Steer(by Steering, lease time.Duration, after Steering) {
	now := g.enter()
	defer g.leave()
	g.until, g.after = now+lease, &after
	if lease <= 0 {
		g.after = nil
		by = after
	}
	g.steer(now, by)
}

func (g *Gate) steer(now time.Duration, by Steering) {
	if g.pool.Steer(by.Weights, by.Shed) && len(g.servers) > 0 {
		g.hand(now, policy.ListWhole)
	}
}

// keep keeps the part in line with the time: with the end of a lease, and with the rate of pushes.
func (g *Gate) keep(now time.Duration) {
	switch {
	case g.after != nil && now >= g.until:
		by := *g.after
		g.after = nil
		g.steer(now, by)
	case g.pool.Due(now):
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

// Attend has a witness told from here on what goes on by hall; pushes that are out end with it.
func (g *Gate) Attend(w *witness.Witness) {
	now := g.enter()
	defer g.leave()
	g.outside.Witness = w
	w.Reshape(&g.site)
	if len(g.servers) > 0 {
		g.hand(now, policy.ListWhole)
	}
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
