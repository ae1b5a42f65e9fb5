package listener

import (
	"slices"
	"time"
)

// Limits on slots, above which connections are closed for others.
const (
	// idleSlotFraction is the fraction of the slots above which idle connections are evicted. The
	// rest is reserved for bursts.
	idleSlotFraction = 0.6
	// minIdleInFlood is how long a connection is protected from eviction after its last answer
	// while there is a flood of new connections. Most clients send their next request within that
	// time.
	minIdleInFlood = 2 * time.Second
	// floodSlotDivisor defines a flood: new connections, and those that hold commands but no request,
	// hold more than 1/floodSlotDivisor of the slots.
	floodSlotDivisor = 2
	// stallTimeout is how long nothing of a command may arrive while its slot is needed.
	stallTimeout = 250 * time.Millisecond
	// stallCheckInterval is the minimum time between two searches for stalled commands.
	stallCheckInterval = 10 * time.Millisecond
)

// evictAboveIdleLimit evicts an idle connection if more slots are occupied than idleSlotFraction
// allows.
func (t *connectionTable) evictAboveIdleLimit() {
	limit := int(idleSlotFraction * float64(cap(t.slots)))
	if len(t.slots) > limit && !t.abortStalledReads(time.Now()) {
		t.evictAbove(limit)
	}
}

// abortStalledReads aborts the reading of all stalled commands. It reports whether slots are about to be
// released for that: their readers have to end first.
func (t *connectionTable) abortStalledReads(now time.Time) (willReleaseSlots bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.stallChecked) >= stallCheckInterval {
		t.stallChecked = now
		for c := range t.connections {
			if c.abortStalledRead(now) {
				t.readsAborted = now
			}
		}
	}
	return now.Sub(t.readsAborted) < stallCheckInterval
}

// evictForSlot closes one idle connection, unless one is about to release its slot.
func (t *connectionTable) evictForSlot() {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates, floodCount := t.idleConnections()
	t.evictOne(candidates, floodCount, 1)
}

// evictAbove closes one idle connection if more than limit connections are open, not counting those of a
// possible flood.
func (t *connectionTable) evictAbove(limit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates, floodCount := t.idleConnections()
	if excess := len(t.connections) - floodCount - limit; excess > 0 {
		t.evictOne(candidates, floodCount, excess)
	}
}

// evictOne closes one of the candidates, unless as many as the excess belong to clients that have left:
// these release their slots within moments. It prefers silent connections to answered ones, and then
// the one that has been idle longest. In a flood, a connection that was answered less than minIdleInFlood
// ago is kept: the new connections become idle soon, and can be evicted then. The caller must hold t.mu.
func (t *connectionTable) evictOne(candidates []evictionCandidate, floodCount, excess int) {
	slices.SortFunc(candidates, evictionCandidate.compare)
	isFlooded := floodCount > cap(t.slots)/floodSlotDivisor
	for _, candidate := range candidates {
		if isFlooded && candidate.keepsSlotInFlood() {
			return
		}
		if candidate.closeIfIdle() {
			return
		}
		if candidate.IsPeerClosed() {
			excess--
		}
		if excess == 0 {
			return
		}
	}
}

// evictionCandidate is an idle connection that may be evicted.
type evictionCandidate struct {
	*connection
	activity  activity // activitySilent or activityIdleAnswered
	idleSince time.Time
}

// keepsSlotInFlood reports whether the last answer is too recent for the connection to be evicted
// in a flood.
func (e evictionCandidate) keepsSlotInFlood() bool {
	return e.activity == activityIdleAnswered && time.Since(e.idleSince) < minIdleInFlood
}

// compare orders candidates for eviction: silent ones come first, and then those that have been
// idle longer.
func (e evictionCandidate) compare(other evictionCandidate) int {
	switch e.activity {
	case other.activity:
		return e.idleSince.Compare(other.idleSince)
	case activitySilent:
		return -1
	default:
		return 1
	}
}

// idleConnections returns the idle connections, and the number of those that count as a flood if they are
// many: new ones, and those that hold commands but no request. The caller must hold t.mu.
func (t *connectionTable) idleConnections() (candidates []evictionCandidate, floodCount int) {
	now := time.Now()
	for c := range t.connections {
		activity, since := c.currentActivity(now)
		switch activity {
		case activitySilent, activityIdleAnswered:
			candidates = append(candidates, evictionCandidate{c, activity, since})
		case activityNew:
			floodCount++
		case activityBusy:
			if c.holdsNoRequest(now) {
				floodCount++
			}
		}
	}
	return candidates, floodCount
}
