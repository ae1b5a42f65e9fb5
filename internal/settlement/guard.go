package settlement

import (
	"math"
	"time"

	"harrierhoist/internal/coordination/observation"
)

// Metric is a kind of evidence, counted for each partner by gateways since their start. Units are in thousandths.
type Metric int

// The kinds of evidence.
const (
	MetricRequests           Metric = iota // the partner's tasks that were first tries, were pushed and are over
	MetricLate                             // of these, those late or without an answer
	MetricSlow                             // of these, those that took over half of their soft limit, the late among them
	MetricIdempotentUnits                  // units of its pure tasks' first pushes
	MetricIdempotentRequests               // their number
	MetricServedUnits                      // units that its servers answered, whosesoever
	MetricElective                         // first pushes of others that were to go to its servers to settle
	MetricElectivePlaced                   // of these, those that did
	MetricCount                            // how many kinds there are
)

const metricPrefix = "debts" // the first part of each name

var metricNames = [MetricCount]string{"tasks", "late", "slow", "pure", "pures", "served", "asked", "went"}

// MetricName makes the name of an evidence count of this package.
func MetricName(metric Metric, partner string) string {
	return observation.JoinName(metricPrefix, metricNames[metric], partner)
}

const (
	fadeTimeConstant    = 60 * time.Second    // how far back a partner's tasks are weighed: longer tells smaller losses from chance
	minBaselineRequests = 200                 // tasks seen before a settlement, for each partner: fewer tell nothing of its service
	sureStdErrors       = 2.0                 // standard errors by which a loss must stand out before all is steered back
	likelyStdErrors     = 1.0                 // the same before the pace is halved
	maxSlowFraction     = 0.05                // part of tasks that may be slow for it: a queue shows there before any is late
	maxHoldMillis       = 3600_000            // ms that a partner is left alone at the most
	paceBoundGrowth     = 1.004               // growth of the pace's bound per change: doubled in nine minutes
	queueDrainFactor    = 2.0                 // a queue drains at least as long as it grew: so much more is late than was seen
	minHoldMillis       = 30_000              // ms for which a partner is then left alone: longer than a queue lasts
	initialPace         = PartsPerMillion / 4 // the pace at which a settlement begins
	paceInterval        = 3 * time.Second     // between changes of pace: what a change does is seen by then
	paceGrowth          = 1.5                 // per change, while nobody is worse off
	minElectiveSample   = 50                  // pushes asked for before it is judged how many found room
	minPlacedFraction   = 0.5                 // part of these that must have found room
)

// serviceStats is what was seen of a partner's tasks, fading.
type serviceStats struct{ requests, late, slow float64 }

func (t *serviceStats) add(more serviceStats, passed time.Duration) {
	decay := math.Exp(-float64(passed) / float64(fadeTimeConstant))
	t.requests, t.late, t.slow = t.requests*decay+more.requests, t.late*decay+more.late, t.slow*decay+more.slow
}

// harmLevel is how bad it is for a partner: nothing, likely, sure.
type harmLevel uint8

const (
	noHarm harmLevel = iota
	harmLikely
	harmSure
)

// assessHarm compares what a partner has while debts are settled with what it had before. It guards against a settlement
// that pushes over those who lend or those whose tasks go far. Harm: a day that turns bad for another reason stops
// the settlement too; and with few tasks a loss is taken for chance until more are seen.
func assessHarm(baseline PartnerState, seen serviceStats, maxLossFraction float64) harmLevel {
	if seen.requests < 1 || baseline.Requests < 1 {
		return noHarm
	}
	lateFraction := baseline.Late / baseline.Requests
	excess := seen.late - lateFraction*seen.requests
	// A partner of which nothing was late has been seen late in less than one of its tasks.
	chance := max(lateFraction, 1/baseline.Requests)
	spread := math.Sqrt(seen.requests * chance * (1 - min(chance, 0.999)) * (1 + seen.requests/baseline.Requests))
	switch {
	case excess > maxLossFraction*seen.requests+sureStdErrors*spread:
		return harmSure
	case excess > maxLossFraction/2*seen.requests+likelyStdErrors*spread:
		return harmLikely
	}
	return noHarm
}

// isQueueing tells that answers of the last few seconds came slower than before the settlement, though in time: a queue
// grows. It guards against what judge sees only once tasks are late. Harm: a settlement slower than need be.
func isQueueing(baseline PartnerState, seen serviceStats) bool {
	if seen.requests < 1 || baseline.Requests < 1 {
		return false
	}
	lateFraction := baseline.Slow / baseline.Requests
	chance := min(max(lateFraction, 1/baseline.Requests), 0.999)
	spread := math.Sqrt(seen.requests * chance * (1 - chance) * (1 + seen.requests/baseline.Requests))
	return seen.slow-lateFraction*seen.requests > maxSlowFraction*seen.requests+sureStdErrors*spread
}

// holdMillis is for how long in ms a partner is left alone that fares worse: until what it lost is no more than the part
// of its tasks that it may lose, all since then counted.
func holdMillis(baseline PartnerState, seen serviceStats, rate, maxLossFraction float64) uint64 {
	lostRequests := (seen.late - baseline.Late/baseline.Requests*seen.requests) * queueDrainFactor
	return uint64(min(max(lostRequests/(maxLossFraction*max(rate, 1e-3))*1000, minHoldMillis), maxHoldMillis))
}
