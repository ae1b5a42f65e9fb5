package settlement

import (
	"math"
	"time"
)

// Constants of the judgement whether a settlement harms a partner.
const (
	fadeTimeConstant    = 60 * time.Second // over which counts of requests fade to 1/e
	minBaselineRequests = 200              // requests of a partner seen before a settlement
	sureStdErrors       = 2.0              // by which a loss must stand out to stop a partner's settlements
	likelyStdErrors     = 1.0              // by which a loss must stand out to lower their pace
	maxSlowFraction     = 0.05             // of a partner's requests, beyond those that were slow before
	maxChance           = 0.999            // of a request being late or slow, where chance is estimated
)

// Constants of how long a partner is left alone after sure harm.
const (
	minHold          = 30 * time.Second // longer than a queue lasts
	maxHold          = time.Hour
	queueDrainFactor = 2.0  // requests late in the end for each seen late: a queue drains as long as it grew
	minRequestRate   = 1e-3 // requests per second, where a partner has next to none
)

// serviceStats is how a partner's requests were served; counts fade.
type serviceStats struct{ requests, late, slow float64 }

// add adds what was counted in the time that passed, and fades what was there before.
func (s *serviceStats) add(more serviceStats, passed time.Duration) {
	decay := math.Exp(-float64(passed) / float64(fadeTimeConstant))
	s.requests = s.requests*decay + more.requests
	s.late = s.late*decay + more.late
	s.slow = s.slow*decay + more.slow
}

// harmLevel is how certain it is that a settlement harms a partner.
type harmLevel uint8

const (
	noHarm harmLevel = iota
	harmLikely
	harmSure
)

// assessHarm decides whether more of a partner's requests are late during a settlement than
// before it, by more than maxLossFraction of them and chance. Prevents a settlement that overloads
// a debtor, or whose requests suffer from the longer way.
func assessHarm(baseline PartnerState, seen serviceStats, maxLossFraction float64) harmLevel {
	if seen.requests < 1 || baseline.Requests < 1 {
		return noHarm
	}
	lateFraction := baseline.Late / baseline.Requests
	excess := seen.late - lateFraction*seen.requests
	stdError := stdErrorOf(seen.requests, baseline.Requests, max(lateFraction, minChance(baseline)))
	switch {
	case excess > maxLossFraction*seen.requests+sureStdErrors*stdError:
		return harmSure
	case excess > maxLossFraction/2*seen.requests+likelyStdErrors*stdError:
		return harmLikely
	}
	return noHarm
}

// isQueueing decides whether a partner's answers of the last few seconds were slower than before
// the settlement, though in time. Prevents a queue that grows until requests are late, which
// assessHarm sees only then.
func isQueueing(baseline PartnerState, seen serviceStats) bool {
	if seen.requests < 1 || baseline.Requests < 1 {
		return false
	}
	slowFraction := baseline.Slow / baseline.Requests
	chance := min(max(slowFraction, minChance(baseline)), maxChance)
	stdError := stdErrorOf(seen.requests, baseline.Requests, chance)
	return seen.slow-slowFraction*seen.requests > maxSlowFraction*seen.requests+sureStdErrors*stdError
}

// minChance returns the chance of a request being late or slow at which one request of the baseline
// would be: a smaller one cannot be told from none.
func minChance(baseline PartnerState) float64 { return 1 / baseline.Requests }

// stdErrorOf returns the standard error, in requests, of the difference between the requests seen
// and those of the baseline where each is late or slow by the same chance.
func stdErrorOf(requests, baselineRequests, chance float64) float64 {
	return math.Sqrt(requests * chance * (1 - min(chance, maxChance)) * (1 + requests/baselineRequests))
}

// holdTime decides for how long a partner that is harmed has no part in settlements, in whole ms:
// until what it lost is no more than maxLossFraction of its requests, those since then counted.
// requestRate is per second.
func holdTime(baseline PartnerState, seen serviceStats, requestRate, maxLossFraction float64) time.Duration {
	lost := (seen.late - baseline.Late/baseline.Requests*seen.requests) * queueDrainFactor
	inMillis := lost / (maxLossFraction * max(requestRate, minRequestRate)) * millisPerSecond
	inMillis = max(inMillis, float64(minHold.Milliseconds()))
	inMillis = min(inMillis, float64(maxHold.Milliseconds()))
	return time.Duration(inMillis) * time.Millisecond
}
