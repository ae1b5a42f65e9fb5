package policy

import "time"

// admission admits or rejects requests by their customers' quotas.
type admission struct {
	mailbox
	env       *environment
	balancer  *balancer
	lifecycle *lifecycle

	customers    map[uint64]*customerState
	customerList []*customerState // values of customers, for iteration
	maxCustomers int              // customers whose state is kept; 0: no limit
	nextEviction int              // index in customerList of the next customer to check for eviction

	calls            map[uint64][]counterCall // unanswered calls by counter name, oldest first
	callProbability  float64                  // probability that the counter is called; 1 while it answers
	fastAnswers      float64                  // number of consecutive fast answers, at most maxFastAnswers
	acceptedFraction float64                  // fraction of the latest calls that the counter accepted
}

// noWindow is a window number that is never in use, because windows are numbered from 1970.
const noWindow int64 = 0

// customerState is what this gateway knows about a customer's quota.
type customerState struct {
	id           uint64
	plan         *Plan
	planIndex    int
	gateways     float64        // number of gateways that serve the customer
	inFlight     int            // number of admitted requests that still use the quota
	windowLength time.Duration  // 0: the counter counts nothing for the plan
	windowOffset time.Duration  // offset of the window starts
	samples      [2]countSample // latest samples of the latest window and of the window before it
	quotaEpoch   int            // number of quota changes; counts of an earlier epoch are invalid

	available       float64 // estimated units in the bucket at refilledAt
	uncounted       float64 // units that this gateway forwarded and that no count includes yet
	assumedByOthers float64 // units that other gateways are assumed to have used since the latest sample
	refilledAt      time.Duration

	pending           []pendingCharge // charges to send with the next call
	initializedWindow int64           // latest window that this gateway found untouched and carried the overrun into
	ceilingAvailable  float64         // units available in this gateway's share of the ceiling
	usageReports      float64         // number of usage reports received, at most maxUsageReports
	usage             float64         // fraction of its rate that the customer uses, averaged over the latest reports
	demandInFlight    float64         // attempts in flight at all gateways, estimated from first tries here
	blockedUntil      time.Duration   // time until which its limit on attempts in flight is assumed to be reached
}

// pendingCharge holds the units that a request took and that no call has sent to the counter yet.
type pendingCharge struct {
	units float64
	at    time.Duration // time of the charge
}

// counterCall is a call that the counter has not answered yet. The answers for a name arrive in the
// order of its calls.
type counterCall struct {
	request    *requestState // request that waits for the answer; nil: none
	customer   *customerState
	window     int64
	charges    []pendingCharge
	units      float64
	quotaEpoch int // the customer's epoch at the time of the call
}

// nextCall removes and returns the call that an answer for a name belongs to, which is the oldest.
func (a *admission) nextCall(name uint64) (call counterCall, found bool) {
	queue := a.calls[name]
	switch len(queue) {
	case 0:
		return call, false
	case 1:
		delete(a.calls, name)
	default:
		a.calls[name] = queue[1:]
	}
	return queue[0], true
}
