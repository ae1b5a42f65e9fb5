package discovery

import "time"

// docs/capacity.md has what bounds these times.

// Times where the agent is notified of changes.
const (
	minWatchWait = 1200 * time.Millisecond
	maxWatchWait = 1500 * time.Millisecond
	watchGrace   = 400 * time.Millisecond // beyond the watch, until it is given up; in both modes

	// promptAnswer is the time from a watch's call below which an answer without a change did not
	// wait.
	promptAnswerLimit = minWatchWait / 2

	listTimeout = time.Second // from a call for the full list to its whole answer; of a dial, in both modes

	minStagger       = 250 * time.Millisecond // between parallel calls for the full list
	maxStagger       = 350 * time.Millisecond
	maxParallelCalls = int(listTimeout / minStagger)

	minShortPause = 50 * time.Millisecond
	maxShortPause = 200 * time.Millisecond // calls no further apart count as one watch
)

// Times where discovery is polled, which takes a gateway's call only once in some seconds.
const (
	polledListTimeout = 2600 * time.Millisecond // of a call for the full list, and of the first watch of a process
	minPolledStagger  = 1300 * time.Millisecond
	maxPolledStagger  = 1700 * time.Millisecond

	resumedWatchWait = 100 * time.Millisecond // the first watch of a process, which clients wait for to be answered

	minRejectedPause = 1100 * time.Millisecond
	maxRejectedPause = 1350 * time.Millisecond

	minPolledWatchWait = 2700 * time.Millisecond
	maxPolledWatchWait = 3200 * time.Millisecond

	minTimeoutPause = 400 * time.Millisecond
	maxTimeoutPause = 900 * time.Millisecond
)

// Growing pauses.
const (
	initialBackoff    = 500 * time.Millisecond
	backoffMultiplier = 2.0 // each pause by the one before
	maxBackoff        = 1333 * time.Millisecond
	backoffJitter     = 0.5 // part of a pause by which it is drawn shorter or longer
)

// maxListBytes is the size of an answer beyond which it is no list.
const maxListBytes = 4 << 20

// timing has the times of calls for the full list in one mode.
type fullListTiming struct {
	listTimeout            time.Duration
	minStagger, maxStagger time.Duration
}

func fullListTimingFor(isPolled bool) fullListTiming {
	if isPolled {
		return fullListTiming{listTimeout: polledListTimeout, minStagger: minPolledStagger, maxStagger: maxPolledStagger}
	}
	return fullListTiming{listTimeout: listTimeout, minStagger: minStagger, maxStagger: maxStagger}
}

// maxCalls is how many calls for the full list may be out at once.
func (t fullListTiming) maxCalls() int { return int(t.listTimeout / t.minStagger) }
