package discovery

import "time"

// docs/capacity.md explains the limits on these times.

// Times that apply if the agent is notified of changes. The comments name those that apply in both
// modes.
const (
	minWatchWait = 1200 * time.Millisecond
	maxWatchWait = 1500 * time.Millisecond
	watchGrace   = 400 * time.Millisecond // time beyond the wait until a watch times out; in both modes

	// promptAnswerLimit is the time within which an answer to a watch counts as immediate. An agent
	// that waits for a change takes longer to answer that there was none.
	promptAnswerLimit = minWatchWait / 2

	// listTimeout is the timeout of a call for the full list, including its complete answer. In
	// both modes it is also the timeout of a dial.
	listTimeout = time.Second

	minStagger       = 250 * time.Millisecond // delay between the starts of parallel calls for the full list
	maxStagger       = 350 * time.Millisecond
	maxParallelCalls = int(listTimeout / minStagger)

	// Short pauses apply in both modes. A polled discovery requires a new turn for a watch that
	// begins later than maxShortPause after the answer to the previous watch.
	minShortPause = 50 * time.Millisecond
	maxShortPause = 200 * time.Millisecond
)

// Times that apply if discovery is polled. It accepts a call from each gateway only once every few
// seconds.
const (
	// polledListTimeout is the timeout of a call for the full list, and of a resumed watch.
	polledListTimeout = 2600 * time.Millisecond

	minPolledStagger = 1300 * time.Millisecond
	maxPolledStagger = 1700 * time.Millisecond

	// resumedWatchWait is the time that a resumed watch, which is the first call of a process,
	// waits for a change. It is short because clients wait for its answer.
	resumedWatchWait = 100 * time.Millisecond

	minRejectedPause = 1100 * time.Millisecond
	maxRejectedPause = 1350 * time.Millisecond

	minPolledWatchWait = 2700 * time.Millisecond
	maxPolledWatchWait = 3200 * time.Millisecond

	minTimeoutPause = 400 * time.Millisecond
	maxTimeoutPause = 900 * time.Millisecond
)

// Exponential backoff between calls, in both modes.
const (
	initialBackoff    = 500 * time.Millisecond
	backoffMultiplier = 2.0 // ratio of each pause to the previous one
	maxBackoff        = 1333 * time.Millisecond
	backoffJitter     = 0.5 // maximum random deviation of a pause, as a fraction of it
)

// Maximum sizes of an answer and of its header in bytes.
const (
	maxListBytes   = 4 << 20
	maxHeaderBytes = 64 << 10
)

// fullListTiming contains the times of calls for the full list in one mode.
type fullListTiming struct {
	listTimeout            time.Duration
	minStagger, maxStagger time.Duration
}

func fullListTimingFor(isPolled bool) fullListTiming {
	if isPolled {
		return fullListTiming{
			listTimeout: polledListTimeout, minStagger: minPolledStagger, maxStagger: maxPolledStagger,
		}
	}
	return fullListTiming{listTimeout: listTimeout, minStagger: minStagger, maxStagger: maxStagger}
}

// maxCalls returns the maximum number of parallel calls for the full list.
func (t fullListTiming) maxCalls() int { return int(t.listTimeout / t.minStagger) }
