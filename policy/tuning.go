package policy

import "time"

// docs/capacity.md has what bounds each of these values, and what was measured.

// Quota windows: the spans over which the counter counts a customer's units, or its attempts in
// flight.
const (
	minWindow           = time.Second
	maxWindow           = maxCounterTTL / counterTTLWindows
	burstFillsPerWindow = 2.0 // times that the burst refills in a window
	inFlightWindow      = 2 * time.Second
	maxCounterTTL       = time.Minute
	counterTTLWindows   = 2           // windows that the counter keeps a count: the next reads its overrun
	countSpanDivisor    = 2           // of a window: the shortest span over which a count tells a rate
	maxChargeAge        = time.Minute // after which a pending charge is dropped
	evictionChecks      = 2           // customers looked at for each request, to evict idle ones
)

// Admission by what a customer's bucket holds, and by its limit on attempts in flight.
const (
	sparseRequests          = 2.0  // requests in a gateway's part of a burst; a customer with fewer is sparse
	sparseRampFactor        = 4.0  // answer times over which a sparse customer's last units go at random
	blockedFraction         = 0.25 // of an answer time
	guessedInFlightFraction = 0.07 // of the limit on attempts in flight
	demandDecay             = 20 * time.Second
	maxUsageReports         = 8.0
	requiredDecile          = 8 // of latencies
	arrivalTicks            = 2 // clock ticks that an answer is given to reach the client
)

// Calls to the counter.
const (
	counterWaitFraction = 0.25 // of the latency objective
	callBackoff         = 0.75 // factor of the probability of a call, for a failed call
	callRecovery        = 0.01 // part that the probability gains, for each fast answer in a row
	maxFastAnswers      = 25
	minCallProbability  = 0.05
	fullNeedGateways    = 16.0 // gateways of a customer
	acceptedSamples     = 16   // calls
)

// Samples of answers.
const (
	latencySamples  = 64
	responseSamples = 128
	rateSamples     = 16
	minRateSamples  = 4
	slowdownSamples = 8.0
	latencyValidity = 2 // latency objectives from an attempt's start
)

// Deciles of latencies.
const (
	deciles        = 10
	medianDecile   = 5
	overloadDecile = 6 // of the parts of their objectives that attempts took
	silenceDecile  = 9
)

// Ejection of failing servers.
const (
	failureWeight       = 3 // failure score of a failed attempt
	rejectionWeight     = 1 // failure score of a rejected attempt, which may be chance
	widespreadThreshold = 2 * failureWeight
	suspectedFraction   = 0.25 // of the ready servers
	minSuspected        = 2.0  // servers
	suspectedSpans      = 2    // ejection times for which a failed server counts as suspected
	minEjection         = time.Second
	ejectionAttempts    = 4.0 // attempt intervals
	silenceFactor       = 4   // times the ninth decile of latencies
	minSilence          = 500 * time.Millisecond
)

// Placement of attempts, and shedding of load.
const (
	drawnServers         = 2
	exploreAttempts      = 2.0 // of all gateways at a server, beyond its known rate
	firstAttempts        = 2 * exploreAttempts
	exploreDeviations    = 2    // standard deviations of the exploring attempts of all gateways
	queueFraction        = 0.3  // of the tightest latency objective
	capacityWaitFraction = 0.25 // of the tightest latency objective
	crossZonePenalty     = 0.25 // attempts
	overloadDivisor      = 2    // of the queue that server.isFull allows: beyond it load is shed
	minAdmission         = 0.1  // probability
	minWeight            = 1e-3 // priority weight of a request whose class or plan has none
	maxRetries           = 2    // of a request
)

// slowStartRest divides OverloadFactor x OverloadSpan: the longest rest that a warming server is
// credited with.
const slowStartRest = 4

// Pauses before something is tried again.
const (
	placementRetry = 20 * time.Millisecond
	listRetry      = 500 * time.Millisecond
)

// Factors of counterName's hash, and its shift in bits.
const (
	customerHashFactor uint64 = 0x9e3779b97f4a7c15
	windowHashFactor   uint64 = 0xbf58476d1ce4e5b9
	hashShift                 = 31
)
