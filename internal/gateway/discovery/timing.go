package discovery

import "time"

// Discovery notifies an agent on this machine of changes, or is polled through it. Whatever failed before, the full list is
// applied 5 s after the agent could give it, of the 6 s after which a missed change counts as known: docs/discovery-calls.md
// has the sums.

// Times where the agent is notified. A list counts as known from when the agent has it, whether we watch or not.
const (
	// A watch without a change ends after a time drawn from minWatch to maxWatch. It is waited for watchGrace longer; then
	// the full list is requested at once, and waited for listTimeout. An agent can fall silent as a watch begins: 1.5 + 0.4 +
	// 1 s is under 3 s, and leaves time for that call to be held too. Drawn at random, as one change answers the watches of
	// a whole fleet, which would all end at one moment from then on. Cost: three to four times the calls of a watch of 5 s.
	minWatch    = 1200 * time.Millisecond
	maxWatch    = 1500 * time.Millisecond
	watchGrace  = 400 * time.Millisecond // the agent is on this machine; a false alarm costs one full list
	listTimeout = time.Second            // of an answer that does not wait for a change, from the call on

	// While a call for the full list is unanswered another begins in parallel, after a time drawn from minStagger to
	// maxStagger; one that failed at once is followed by the next after a pause drawn from minPause to maxPause. Neither
	// grows. Guards against a drain that the agent knows while we still wait or pause after its outage: half a second is all
	// that a drain may leave. Cost: three to four calls a second to an agent that is silent, eight to one that refuses. One
	// that rejects calls forwards them to discovery, and gets the growing pauses below.
	minStagger       = 250 * time.Millisecond
	maxStagger       = 350 * time.Millisecond
	maxParallelCalls = int(listTimeout / minStagger) // and as many descriptors
	minPause         = 50 * time.Millisecond
	maxPause         = 200 * time.Millisecond // between two calls; it leaves them one watch
)

// Times where discovery is polled. It takes a call from every gateway only once in some seconds, and a call waits for its
// turn.
const (
	// A call for the full list is waited for polledListTimeout, and others begin behind it after a time drawn from
	// minPolledStagger to maxPolledStagger. Cost: an agent that is silent holds two or three connections.
	polledListTimeout = 2600 * time.Millisecond
	minPolledStagger  = 1300 * time.Millisecond
	maxPolledStagger  = 1700 * time.Millisecond

	// The first watch of a process that has a list of an earlier run ends after resumeWatch: clients come once it is answered. It
	// may wait for its turn for polledListTimeout.
	resumeWatch = 100 * time.Millisecond

	// A rejected call is repeated after a time drawn from minRejectedPause to maxRejectedPause, which does not grow: a gateway
	// without a watch that does not ask for longer counts as told at once. Rejected calls take of what discovery can do, so that
	// shorter pauses leave fewer turns: with 0.2 to 0.4 s gateways went without one for 20 s.
	minRejectedPause = 1100 * time.Millisecond
	maxRejectedPause = 1350 * time.Millisecond

	// A watch ends after a time drawn from minPolledWatch to maxPolledWatch: with minWatch the calls of a few gateways had
	// those of all others rejected or waiting, for 20 s on a day of six. 3.2 + 0.4 s to see silence and 2 s for a turn are
	// under the 6 s. Cost: silence is seen up to 1.7 s later than where the agent is notified.
	minPolledWatch = 2700 * time.Millisecond
	maxPolledWatch = 3200 * time.Millisecond

	// Silence has taken its time already, and is followed by a pause drawn from minSilencePause to maxSilencePause.
	minSilencePause = 400 * time.Millisecond
	maxSilencePause = 900 * time.Millisecond
)

// Pauses after calls that failed at once: they grow from firstBackoff by backoffGrowth to maxBackoff, each drawn within
// backoffSpread of its length; 2 s at most. Discovery rejects calls that would wait for too long; gateways that started
// together and called again at one moment kept it rejecting them all. Cost: in a long outage more calls than pauses of 8 s
// would make, with which a discovery that was back was found too late.
const (
	firstBackoff  = 500 * time.Millisecond
	backoffGrowth = 2.0
	maxBackoff    = 1333 * time.Millisecond
	backoffSpread = 0.5
)

// maxListBytes is the size of an answer beyond which it is no list.
const maxListBytes = 4 << 20

// timing has the times of calls for the full list, which hang on the mode.
type timing struct {
	listTimeout            time.Duration
	minStagger, maxStagger time.Duration
}

func timingOf(isPolled bool) timing {
	if isPolled {
		return timing{listTimeout: polledListTimeout, minStagger: minPolledStagger, maxStagger: maxPolledStagger}
	}
	return timing{listTimeout: listTimeout, minStagger: minStagger, maxStagger: maxStagger}
}
