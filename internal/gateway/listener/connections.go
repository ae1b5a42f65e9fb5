package listener

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Limits on idle connections and on slots.
const (
	// idleSlotFraction is the fraction of the slots above which idle connections are evicted. The
	// rest is reserved for bursts.
	idleSlotFraction = 0.6
	// slotRetryInterval is the time between attempts to evict a connection while an accepted one
	// waits for a slot.
	slotRetryInterval = 20 * time.Millisecond
	// minIdleInFlood is how long a connection is protected from eviction after its last answer
	// while there is a flood of new connections. Most clients send their next request within that
	// time.
	minIdleInFlood = 2 * time.Second
	// idleTimeout is the maximum idle time of a connection after an answer.
	idleTimeout = 10 * time.Second
	// silentTimeout is the maximum idle time of a connection on which no command has arrived.
	silentTimeout = 1500 * time.Millisecond
	// sweepInterval is the time between checks for connections that exceed idleTimeout or
	// silentTimeout.
	sweepInterval = 250 * time.Millisecond
	// floodSlotDivisor defines a flood: new connections, and those that hold commands but no request,
	// hold more than 1/floodSlotDivisor of the slots.
	floodSlotDivisor = 2
	// stallTimeout is how long nothing of a command may arrive while its slot is needed.
	stallTimeout = 250 * time.Millisecond
	// stallCheckInterval is the minimum time between two searches for stalled commands.
	stallCheckInterval = 10 * time.Millisecond
)

// connectionTable holds the open connections, each of which occupies a slot. One more accepted
// connection may wait for a slot.
type connectionTable struct {
	slots chan struct{}  // one element for each occupied slot
	open  sync.WaitGroup // counts the connections in the table

	mu           sync.Mutex // protects the other fields; taken before connection.mu
	connections  map[*connection]struct{}
	stallChecked time.Time // time of the latest search for stalled commands
	hasAborted   bool      // whether that search found any
}

func newConnectionTable(maxConnections int) *connectionTable {
	return &connectionTable{slots: make(chan struct{}, max(maxConnections, 1)), connections: map[*connection]struct{}{}}
}

// acquireSlot acquires a slot for an accepted connection. If none is free, it evicts idle
// connections until one is. It evicts nothing while a slot is free, because a request may be in
// transit on the evicted connection. It returns false if stop is closed first.
func (t *connectionTable) acquireSlot(stop <-chan struct{}) bool {
	select {
	case t.slots <- struct{}{}:
		return true
	default:
	}
	for {
		if !t.abortStalledReads(time.Now()) {
			t.evict(0)
		}
		select {
		case t.slots <- struct{}{}:
			return true
		case <-stop:
			return false
		case <-time.After(slotRetryInterval): // new connections that stay silent become idle in the meantime
		}
	}
}

// add adds a connection that holds a slot.
func (t *connectionTable) add(c *connection) {
	t.mu.Lock()
	t.connections[c] = struct{}{}
	t.mu.Unlock()
	t.open.Add(1)
}

// remove removes a connection and releases its slot.
func (t *connectionTable) remove(c *connection) {
	t.mu.Lock()
	delete(t.connections, c)
	t.mu.Unlock()
	<-t.slots
	t.open.Done()
}

// evictAboveIdleLimit evicts an idle connection if more slots are occupied than idleSlotFraction
// allows.
func (t *connectionTable) evictAboveIdleLimit() {
	limit := int(idleSlotFraction * float64(cap(t.slots)))
	if len(t.slots) > limit && !t.abortStalledReads(time.Now()) {
		t.evict(limit)
	}
}

// abortStalledReads aborts the reading of all stalled commands. It reports whether there were any now or
// in the search before, whose slots may not be released yet.
func (t *connectionTable) abortStalledReads(now time.Time) (hasAborted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.stallChecked) < stallCheckInterval {
		return t.hasAborted
	}
	t.stallChecked = now
	for c := range t.connections {
		if c.abortStalledRead(now) {
			hasAborted = true
		}
	}
	t.hasAborted = hasAborted
	return hasAborted
}

// evict closes one idle connection if more than limit connections are open, not counting those of a
// possible flood. It prefers silent connections to answered ones, and then the one that has been idle longest. In a
// flood, a connection that was answered less than minIdleInFlood ago is kept: the new
// connections become idle soon, and can be evicted then.
func (t *connectionTable) evict(limit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates, floodCount := t.idleConnections()
	if len(t.connections)-floodCount <= limit {
		return
	}
	slices.SortFunc(candidates, evictionCandidate.compare)
	isFlooded := floodCount > cap(t.slots)/floodSlotDivisor
	for _, candidate := range candidates {
		if isFlooded && candidate.keepsSlotInFlood() {
			return
		}
		if candidate.closeIfIdle() {
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
			if c.holdsNoRequest() {
				floodCount++
			}
		}
	}
	return candidates, floodCount
}

// Sweep closes connections that exceed idleTimeout or silentTimeout. It blocks until ctx is done.
func (l *Listener) Sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		l.pauses.tick(time.Now())
		l.connections.closeIdle(shouldCloseInSweep)
	}
}

// shouldCloseInSweep reports whether Sweep closes a connection that has been idle for idleTime.
func shouldCloseInSweep(idleTime time.Duration, activity activity) bool {
	return idleTime > idleTimeout || activity == activitySilent && idleTime > silentTimeout
}

// closeIdle closes the idle connections for which shouldClose returns true.
func (t *connectionTable) closeIdle(shouldClose func(idleTime time.Duration, activity activity) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for c := range t.connections {
		activity, since := c.currentActivity(now)
		if activity.isIdle() && shouldClose(time.Since(since), activity) {
			c.closeIfIdle()
		}
	}
}

// abortBlockingRequests aborts the requests in flight on connections where they delay the answers
// of rejected commands.
func (t *connectionTable) abortBlockingRequests() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.connections {
		if c.hasBlockedRejections() {
			c.abortRequests()
		}
	}
}

// abortAll aborts all requests in flight.
func (t *connectionTable) abortAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.connections {
		c.abortRequests()
	}
}

// unansweredCommands returns the number of commands that have no answer yet.
func (t *connectionTable) unansweredCommands() (count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.connections {
		count += c.commandsInFlight()
	}
	return count
}
