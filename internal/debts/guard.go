package debts

import (
	"math"
	"time"

	"harrierhoist/internal/cluster/evidence"
)

// What is a kind of evidence, counted for each partner by gateways since their start. Units are in thousandths.
type What int

// The kinds of evidence.
const (
	Tasks  What = iota // the partner's tasks that were first tries, were pushed and are over
	Late               // of these, those late or without an answer
	Slow               // of these, those that took over half of their soft limit, the late among them
	Pure               // units of its pure tasks' first pushes
	Pures              // their number
	Served             // units that its servers answered, whosesoever
	Asked              // first pushes of others that were to go to its servers to settle
	Went               // of these, those that did
	Whats              // how many kinds there are
)

const ours = "debts" // the first part of each name

var whats = [Whats]string{"tasks", "late", "slow", "pure", "pures", "served", "asked", "went"}

// Count makes the name of an evidence count of this package.
func Count(what What, partner string) string { return evidence.Name(ours, whats[what], partner) }

const (
	fadeOver  = 60 * time.Second // how far back a partner's tasks are weighed: longer tells smaller losses from chance
	baseLeast = 200              // tasks seen before a settlement, for each partner: fewer tell nothing of its service
	sure      = 2.0              // standard errors by which a loss must stand out before all is steered back
	likely    = 1.0              // the same before the pace is halved
	slowMost  = 0.05             // part of tasks that may be slow for it: a queue shows there before any is late
	holdMost  = 3600_000         // ms that a partner is left alone at the most
	againMore = 1.004            // growth of the pace's bound per change: doubled in nine minutes
	queueLeft = 2.0              // a queue drains at least as long as it grew: so much more is late than was seen
	holdFor   = 30_000           // ms for which a partner is then left alone: longer than a queue lasts
	paceFirst = Whole / 4        // the pace at which a settlement begins
	paceEvery = 3 * time.Second  // between changes of pace: what a change does is seen by then
	paceMore  = 1.5              // per change, while nobody is worse off
	askedMin  = 50               // pushes asked for before it is judged how many found room
	wentLeast = 0.5              // part of these that must have found room
)

// tally is what was seen of a partner's tasks, fading.
type tally struct{ tasks, late, slow float64 }

func (t *tally) add(more tally, passed time.Duration) {
	keep := math.Exp(-float64(passed) / float64(fadeOver))
	t.tasks, t.late, t.slow = t.tasks*keep+more.tasks, t.late*keep+more.late, t.slow*keep+more.slow
}

// harm is how bad it is for a partner: nothing, likely, sure.
type harm uint8

const (
	harmless harm = iota
	harmLikely
	harmSure
)

// judge compares what a partner has while debts are settled with what it had before. It guards against a settlement
// that pushes over those who lend or those whose tasks go far. Harm: a day that turns bad for another reason stops
// the settlement too; and with few tasks a loss is taken for chance until more are seen.
func judge(base Standing, seen tally, lossMost float64) harm {
	if seen.tasks < 1 || base.Tasks < 1 {
		return harmless
	}
	part := base.Late / base.Tasks
	excess := seen.late - part*seen.tasks
	// A partner of which nothing was late has been seen late in less than one of its tasks.
	chance := max(part, 1/base.Tasks)
	spread := math.Sqrt(seen.tasks * chance * (1 - min(chance, 0.999)) * (1 + seen.tasks/base.Tasks))
	switch {
	case excess > lossMost*seen.tasks+sure*spread:
		return harmSure
	case excess > lossMost/2*seen.tasks+likely*spread:
		return harmLikely
	}
	return harmless
}

// crowded tells that answers of the last few seconds came slower than before the settlement, though in time: a queue
// grows. It guards against what judge sees only once tasks are late. Harm: a settlement slower than need be.
func crowded(base Standing, seen tally) bool {
	if seen.tasks < 1 || base.Tasks < 1 {
		return false
	}
	part := base.Slow / base.Tasks
	chance := min(max(part, 1/base.Tasks), 0.999)
	spread := math.Sqrt(seen.tasks * chance * (1 - chance) * (1 + seen.tasks/base.Tasks))
	return seen.slow-part*seen.tasks > slowMost*seen.tasks+sure*spread
}

// hold is for how long in ms a partner is left alone that fares worse: until what it lost is no more than the part
// of its tasks that it may lose, all since then counted.
func hold(base Standing, seen tally, rate, lossMost float64) uint64 {
	lost := (seen.late - base.Late/base.Tasks*seen.tasks) * queueLeft
	return uint64(min(max(lost/(lossMost*max(rate, 1e-3))*1000, holdFor), holdMost))
}
