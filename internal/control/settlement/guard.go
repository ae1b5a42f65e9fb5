package settlement

import (
	"math"
	"time"
)

// What makes a harm to a partner stand out from chance.
const (
	// fadeTimeConstant is how far back requests count: a longer one tells smaller losses from chance.
	fadeTimeConstant = 60 * time.Second
	// minBaselineRequests is how many of a partner's requests must be seen before a settlement: fewer say nothing of how
	// it is served.
	minBaselineRequests = 200
	// sureStdErrors is by how many standard errors a loss must stand out before the partner's settlements are stopped.
	sureStdErrors = 2.0
	// likelyStdErrors is the same before their pace is halved.
	likelyStdErrors = 1.0
	// maxSlowFraction is the fraction of requests that may become slow: a queue shows there before any is late.
	maxSlowFraction = 0.05
)

// How long a partner is left alone after sure harm.
const (
	minHoldMillis = 30_000    // longer than a queue lasts
	maxHoldMillis = 3_600_000 // an hour
	// queueDrainFactor is how many times the loss seen so far is late in the end: a queue takes as long to drain as it
	// took to grow, at least.
	queueDrainFactor = 2.0
)

// serviceStats is how a partner's requests were served; counts fade.
type serviceStats struct{ requests, late, slow float64 }

// add adds what was counted in the time that passed, and fades what was there before.
func (s *serviceStats) add(more serviceStats, passed time.Duration) {
	decay := math.Exp(-float64(passed) / float64(fadeTimeConstant))
	s.requests, s.late, s.slow = s.requests*decay+more.requests, s.late*decay+more.late, s.slow*decay+more.slow
}

// harmLevel is how certain it is that a settlement harms a partner.
type harmLevel uint8

const (
	noHarm harmLevel = iota
	harmLikely
	harmSure
)

// assessHarm compares how a partner is served during a settlement with how it was before. It guards against a settlement
// that overloads a debtor, or whose requests suffer from the longer way. Its cost: a day that turns bad for another
// reason stops the settlement too, and with few requests a loss passes for chance until more are seen.
func assessHarm(baseline PartnerState, seen serviceStats, maxLossFraction float64) harmLevel {
	if seen.requests < 1 || baseline.Requests < 1 {
		return noHarm
	}
	lateFraction := baseline.Late / baseline.Requests
	excess := seen.late - lateFraction*seen.requests
	// A partner of which nothing was late has been seen late in less than one of its requests.
	chance := max(lateFraction, 1/baseline.Requests)
	stdError := math.Sqrt(seen.requests * chance * (1 - min(chance, 0.999)) * (1 + seen.requests/baseline.Requests))
	switch {
	case excess > maxLossFraction*seen.requests+sureStdErrors*stdError:
		return harmSure
	case excess > maxLossFraction/2*seen.requests+likelyStdErrors*stdError:
		return harmLikely
	}
	return noHarm
}

// isQueueing reports whether answers of the last few seconds were slower than before the settlement, though in time: a
// queue grows. It guards against what assessHarm sees only once requests are late. Its cost: a settlement slower than
// it need be.
func isQueueing(baseline PartnerState, seen serviceStats) bool {
	if seen.requests < 1 || baseline.Requests < 1 {
		return false
	}
	slowFraction := baseline.Slow / baseline.Requests
	chance := min(max(slowFraction, 1/baseline.Requests), 0.999)
	stdError := math.Sqrt(seen.requests * chance * (1 - chance) * (1 + seen.requests/baseline.Requests))
	return seen.slow-slowFraction*seen.requests > maxSlowFraction*seen.requests+sureStdErrors*stdError
}

// holdMillis returns for how many ms a partner that is harmed has no part in settlements: until what it lost is no more
// than the fraction of its requests that it may lose, all requests since then counted. requestRate is per second.
func holdMillis(baseline PartnerState, seen serviceStats, requestRate, maxLossFraction float64) uint64 {
	lost := (seen.late - baseline.Late/baseline.Requests*seen.requests) * queueDrainFactor
	return uint64(min(max(lost/(maxLossFraction*max(requestRate, 1e-3))*1000, minHoldMillis), maxHoldMillis))
}
