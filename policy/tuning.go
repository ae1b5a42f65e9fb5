package policy

import "time"

// Quota windows: the spans over which the counter counts a customer's units, or its attempts in flight.
const (
	minWindow           = time.Second     // a shorter one would change within the time that an answer takes
	burstFillsPerWindow = 2.0             // a window lasts as long as the burst takes to refill this often
	inFlightWindow      = 2 * time.Second // of a count of attempts in flight: what it lost stays no longer
	maxCounterTTL       = time.Minute     // the counter keeps no name for longer
	maxChargeAge        = time.Minute     // a pending charge that is older is dropped, as the design says
)

// Admission by what a customer's bucket holds, and by its limit on attempts in flight.
const (
	sparseRequests          = 2.0              // requests a burst under which a gateway learns too little
	sparseRampFactor        = 4.0              // a sparse customer's last units, in answer times: by chance
	blockedFraction         = 0.25             // of an answer time: how long a limit that was reached stays so
	guessedInFlightFraction = 0.07             // of the limit on attempts in flight: may be used uncounted
	demandDecay             = 20 * time.Second // over which a customer's own first tries tell its demand
	maxUsageReports         = 8.0              // usage reports that are averaged: each covers a moment
	requiredDecile          = 8                // of latencies: a request with less time left is rejected
	arrivalTicks            = 2                // the final answer is due this long before the client leaves
)

// Calls to the counter.
const (
	counterWaitFraction = 0.25 // of the latency objective: a request waits no longer for a count
	callBackoff         = 0.75 // a failed call makes the next this much less likely
	callRecovery        = 0.01 // each fast answer in a row makes it more likely by so much more
	maxFastAnswers      = 25   // so many end a pause; at rest one call in nine fails
	minCallProbability  = 0.05 // a lost counter is found again within a second
	fullNeedGateways    = 16.0 // for a customer of so many gateways: called as if its bucket were full
	acceptedSamples     = 16   // latest calls that tell which part of them the counter accepts
)

// Samples of answers.
const (
	latencySamples  = 64  // kept of a class, and of all servers: enough for a ninth decile
	responseSamples = 128 // answers of warm servers kept to tell the load that these bear
	rateSamples     = 16  // answers kept of a server to tell its rate
	minRateSamples  = 4   // fewer tell no rate
	slowdownSamples = 8.0 // answers of a server that tell how much longer it takes than others
)

// Ejection of failing servers.
const (
	failureWeight     = 3                      // score of a failure; a rejection scores 1: it may be chance
	suspectedFraction = 0.25                   // where more of the ready servers failed, one proves little
	minSuspected      = 2.0                    // and more than so many: these may all be bad
	minEjection       = time.Second            // a server stays ejected at least so long
	ejectionAttempts  = 4.0                    // and for so many of our usual attempts at one
	silenceFactor     = 4                      // ninth deciles of latency without an answer that mean silence
	minSilence        = 500 * time.Millisecond // and at least this, against one heavy request
)

// Placement of attempts, and shedding of load.
const (
	exploreAttempts      = 2.0  // of all gateways at a server beyond its known rate: to find a higher one
	queueFraction        = 0.3  // of the tightest objective: an attempt may queue so long at a server
	capacityWaitFraction = 0.25 // of the tightest objective: a request waits so long for a full server
	crossZonePenalty     = 0.25 // a server in another zone counts as this much fuller: ties stay near
	minAdmission         = 0.1  // part of the requests forwarded whatever the latencies: to learn better
	minWeight            = 1e-3 // of a request, where its class or plan weighs nothing
	maxRetries           = 2    // of a request, while no overload is seen
)

// Pauses before something is tried again.
const (
	placementRetry = 20 * time.Millisecond  // of a request that waits for a server
	listRetry      = 500 * time.Millisecond // of asking for an endpoint list that did not come
)
