package policy

import "time"

// docs/capacity.md lists the bounds and measurements behind the values in this file.

// Quota windows, the intervals over which the counter counts a customer's units or attempts in
// flight.
const (
	minWindow                = time.Second
	maxWindow                = maxCounterTTL / counterTTLWindows
	burstFillsPerWindow      = 2.0             // times that the burst could refill within a window
	inFlightWindow           = 2 * time.Second // for plans that limit only attempts in flight
	maxCounterTTL            = time.Minute
	counterTTLWindows        = 2           // windows for which a count is kept; the next window reads its overrun
	countSpanDivisor         = 2           // divisor of the window length: shortest span of a rate estimate
	maxChargeAge             = time.Minute // age at which a pending charge is dropped
	evictionChecksPerRequest = 2           // customers checked for eviction on each request
	evictionSamples          = 16          // customers compared when space for another is needed
)

// Admission by a customer's token bucket and by its limit on attempts in flight.
const (
	sparseRequests          = 2.0              // requests; a customer whose burst per gateway is smaller is sparse
	sparseRampFactor        = 4.0              // factor of the range of random admission, for sparse customers
	blockedLatencyFraction  = 0.25             // pause after the limit was reached, relative to the median latency
	uncountedDemandFraction = 0.07             // fraction of the limit; uncounted requests may be rejected above it
	demandTimeConstant      = 20 * time.Second // time constant of the estimated demand
	maxUsageReports         = 8.0              // reports over which the usage is averaged
	requiredLatencyDecile   = 8                // decile of the expected latency that must fit before the deadline
	arrivalTicks            = 2                // clock ticks reserved for the final answer to reach the client
)

// Calls to the counter.
const (
	counterWaitFraction = 0.25 // wait for the counter's answer, relative to the latency objective
	callBackoffFactor   = 0.75 // factor of the call probability for a failed or late call
	callRecovery        = 0.01 // relative gain of the call probability per fast answer in a row
	maxFastAnswers      = 25   // most fast answers in a row that are counted
	minCallProbability  = 0.05
	fullBackoffGateways = 16.0 // gateways of a customer; with fewer, calls are more likely
	acceptedSamples     = 16   // calls over which the accepted fraction is averaged
)

// Samples of answers.
const (
	latencySamples  = 64  // latencies kept for each class, and for overload detection
	responseSamples = 128 // answers of warm servers
	rateSamples     = 16  // answers of one server
	minRateSamples  = 4   // samples needed to estimate a rate or to detect overload
	slowdownSamples = 8.0 // answers over which a server's slowdown is averaged
	latencyValidity = 2   // latency objectives for which a sample is valid, from the start of its attempt
)

// Deciles of latencies.
const (
	deciles        = 10
	medianDecile   = 5
	overloadDecile = 6 // decile of latencies as fractions of their objectives
	silenceDecile  = 9 // decile of latencies, for silence timeouts
)

// Ejection of failing servers.
const (
	failureWeight            = 3                 // failure score of a failed attempt
	rejectionWeight          = 1                 // failure score of a rejected attempt, which may be chance
	widespreadThreshold      = 2 * failureWeight // ejection threshold while failures are widespread
	isolatedFraction         = 0.25              // fraction of ready servers; failures are widespread while more fail
	maxIsolatedFailing       = 2.0               // servers; failures are not widespread unless more fail
	recentFailureFactor      = 2                 // ejection times for which a server counts as failing after a failure
	minEjectionTime          = time.Second
	ejectionAttemptIntervals = 4.0 // attempt intervals for which a server stays ejected
	silenceFactor            = 4   // silence timeout, relative to silenceDecile of the expected latency
	minSilenceTimeout        = 500 * time.Millisecond
)

// Placement of attempts, and load shedding.
const (
	choiceCount             = 2                    // servers compared by load (power of two choices)
	headroomAttempts        = 2.0                  // attempts of all gateways in flight at a server, beyond its rate
	unknownRateAttempts     = 2 * headroomAttempts // attempts of all gateways in flight at a server of unknown rate
	exploratoryDeviations   = 2                    // standard deviations of the attempts at servers of unknown rate
	queueFraction           = 0.3                  // permitted queueing time, relative to the tightest objective
	capacityWaitFraction    = 0.25                 // wait for a server, relative to the tightest objective
	crossZonePenalty        = 0.25                 // attempts in flight added to the load score
	overloadQueueDivisor    = 2                    // divisor of the permitted queueing time: load is shed beyond it
	minAdmissionProbability = 0.1
	minWeight               = 1e-3 // least priority weight of a request; a class may have weight 0
	maxRetries              = 2    // retries of a request
)

// slowStartCreditDivisor divides Settings.OverloadFactor * Settings.OverloadSpan. The result is the
// longest time without an attempt for which a warming server is credited.
const slowStartCreditDivisor = 4

// Delays of retries.
const (
	placementRetryDelay = 20 * time.Millisecond
	listRetryDelay      = 500 * time.Millisecond
)

// Parameters of the hash in counterName.
const (
	customerHashFactor uint64 = 0x9e3779b97f4a7c15
	windowHashFactor   uint64 = 0xbf58476d1ce4e5b9
	hashShift                 = 31
)
