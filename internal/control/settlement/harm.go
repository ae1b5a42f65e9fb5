package settlement

import (
	"math"
	"time"
)

// Constants of harm detection, which compares a partner's service during a settlement with that
// before it.
const (
	decayTimeConstant       = 60 * time.Second // time over which counts of requests decay to 1/e
	minBaselineRequests     = 200              // requests that a partner's baseline must have before a settlement
	highConfidenceStdErrors = 2.0              // standard errors above the limit at which harm is sure or a queue grows
	lowConfidenceStdErrors  = 1.0              // standard errors above the limit at which harm is likely
	maxSlowExcessFraction   = 0.05             // of a partner's requests, above the slow fraction of the baseline
	maxProbability          = 0.999            // upper bound of the estimated probability of late or slow requests
)

// Constants of the time for which a partner's debts are not settled after sure harm.
const (
	minHold          = 30 * time.Second // longer than a queue takes to drain
	maxHold          = time.Hour
	queueDrainFactor = 2.0  // ratio of all late requests to those seen: a queue takes as long to drain as to grow
	minRequestRate   = 1e-3 // requests per second; lower bound for partners that send next to nothing
)

// serviceStats counts a partner's requests, late requests and slow requests, as defined by
// MetricRequests, MetricLate and MetricSlow. The counts decay over time.
type serviceStats struct{ requests, late, slow float64 }

// add decays the previous counts by the elapsed time and adds an increment.
func (s *serviceStats) add(increment serviceStats, elapsed time.Duration) {
	decay := math.Exp(-float64(elapsed) / float64(decayTimeConstant))
	s.requests = s.requests*decay + increment.requests
	s.late = s.late*decay + increment.late
	s.slow = s.slow*decay + increment.slow
}

// harmLevel is the certainty that a settlement harms a partner.
type harmLevel uint8

const (
	noHarm harmLevel = iota
	harmLikely
	harmSure
)

// assessHarm returns the certainty that a settlement makes a partner's requests late. It compares
// the late requests seen during the settlement with the number that the baseline predicts. Harm is
// sure if the excess is significantly above maxLossFraction of the requests, and likely if it is
// significantly above half of that. This stops settlements that overload a debtor or whose requests
// suffer from the longer network path.
func assessHarm(baseline PartnerState, seen serviceStats, maxLossFraction float64) harmLevel {
	if seen.requests < 1 || baseline.BaselineRequests < 1 {
		return noHarm
	}
	lateFraction := baseline.BaselineLate / baseline.BaselineRequests
	excess := seen.late - lateFraction*seen.requests
	stdError := standardError(seen.requests, baseline.BaselineRequests, max(lateFraction, minProbability(baseline)))
	switch {
	case excess > maxLossFraction*seen.requests+highConfidenceStdErrors*stdError:
		return harmSure
	case excess > maxLossFraction/2*seen.requests+lowConfidenceStdErrors*stdError:
		return harmLikely
	}
	return noHarm
}

// isQueueing reports whether significantly more of a partner's recent requests were slow than in
// the baseline, even if none was late. This detects a growing queue before it makes requests late;
// assessHarm detects it only afterwards.
func isQueueing(baseline PartnerState, seen serviceStats) bool {
	if seen.requests < 1 || baseline.BaselineRequests < 1 {
		return false
	}
	slowFraction := baseline.BaselineSlow / baseline.BaselineRequests
	probability := min(max(slowFraction, minProbability(baseline)), maxProbability)
	stdError := standardError(seen.requests, baseline.BaselineRequests, probability)
	return seen.slow-slowFraction*seen.requests > maxSlowExcessFraction*seen.requests+highConfidenceStdErrors*stdError
}

// minProbability returns the smallest probability of a late or slow request that the baseline can
// resolve: one such request in all of its requests.
func minProbability(baseline PartnerState) float64 { return 1 / baseline.BaselineRequests }

// standardError returns the standard error, in requests, of the difference between the late or slow
// requests seen and the number that the baseline predicts, if each request has the same
// probability.
func standardError(requests, baselineRequests, probability float64) float64 {
	return math.Sqrt(requests * probability * (1 - min(probability, maxProbability)) * (1 + requests/baselineRequests))
}

// holdTime returns how long a harmed partner takes no part in settlements, in whole ms. During the
// hold the partner sends enough requests for its estimated losses to be at most maxLossFraction of
// them. The result is between minHold and maxHold. requestRate is in requests per second.
func holdTime(baseline PartnerState, seen serviceStats, requestRate, maxLossFraction float64) time.Duration {
	lost := (seen.late - baseline.BaselineLate/baseline.BaselineRequests*seen.requests) * queueDrainFactor
	holdMillis := lost / (maxLossFraction * max(requestRate, minRequestRate)) * millisPerSecond
	holdMillis = max(holdMillis, float64(minHold.Milliseconds()))
	holdMillis = min(holdMillis, float64(maxHold.Milliseconds()))
	return time.Duration(holdMillis) * time.Millisecond
}
