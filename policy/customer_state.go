package policy

import "time"

// admission decides by the customer's quota whether a request is admitted.
type admission struct {
	mailbox
	env       *environment
	balancer  *balancer
	lifecycle *lifecycle

	customers    map[uint64]*customerState
	customerList []*customerState // the same, to look through
	nextEviction int              // index of the next to be looked at

	calls            map[uint64][]counterCall // without an answer yet, by the counter's name
	callProbability  float64                  // that the counter is called: 1 while it answers
	fastAnswers      float64                  // in a row, up to maxFastAnswers
	acceptedFraction float64                  // of the latest calls
}

// noWindow is the number of no window in use: windows are counted from 1970 on.
const noWindow int64 = 0

// customerState is what this gateway knows of a customer's quota.
type customerState struct {
	id           uint64
	plan         *Plan
	planIndex    int
	gateways     float64        // that serve the customer
	inFlight     int            // requests admitted and not settled
	windowLength time.Duration  // 0: the counter counts nothing for its plan
	windowOffset time.Duration  // of the windows' starts
	samples      [2]countSample // the latest of this window's count, and of the one before
	quotaEpoch   int            // counts the changes of its quota: a count of an earlier one says nothing

	available       float64 // units that the bucket is believed to hold, as of refilledAt
	uncounted       float64 // units that this gateway forwarded and no count has shown yet
	assumedByOthers float64 // units that others are only assumed to have used since the latest sample
	refilledAt      time.Duration

	pending           []pendingCharge // of answers, for the next call
	initializedWindow int64           // the latest that this gateway carried an overrun into
	ceilingAvailable  float64         // units of this gateway's own part of the ceiling
	usageReports      float64         // how many came, up to maxUsageReports
	usage             float64         // part of its rate that it uses, by the latest of these
	demandInFlight    float64         // attempts in flight of all gateways, as far as its first tries here tell
	blockedUntil      time.Duration   // the limit on attempts in flight is taken to be reached until then
}

// pendingCharge is units that a request took and that were not sent to the counter yet.
type pendingCharge struct {
	units float64
	at    time.Duration
}

// counterCall is a call that has no answer yet. Answers for a name come in the order of its calls.
type counterCall struct {
	request    *requestState // that waits for the answer; nil: none does
	customer   *customerState
	window     int64
	charges    []pendingCharge
	units      float64
	quotaEpoch int // of the customer when it was made
}

// nextCall takes the call that an answer for a name belongs to: the oldest.
func (a *admission) nextCall(name uint64) (c counterCall, found bool) {
	queue := a.calls[name]
	switch len(queue) {
	case 0:
		return c, false
	case 1:
		delete(a.calls, name)
	default:
		a.calls[name] = queue[1:]
	}
	return queue[0], true
}
