package listener

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Limits on connections that send nothing.
const (
	// relaxedSlotShare is the part of the slots up to which idle connections are kept. The rest is
	// for bursts.
	relaxedSlotShare = 0.6
	// slotRetryInterval is the time between attempts to evict a connection for one that waits for a
	// slot.
	slotRetryInterval = 20 * time.Millisecond
	// minIdleBeforeEvict is how long a client that was answered keeps its slot in a flood: most
	// send their next request within it.
	minIdleBeforeEvict = 2 * time.Second
	// idleTimeout is how long a connection may be idle after an answer.
	idleTimeout = 10 * time.Second
	// silentTimeout is how long a connection may be idle before its first answer.
	silentTimeout = 1500 * time.Millisecond
	// sweepInterval is the time between searches for connections past these timeouts.
	sweepInterval = 250 * time.Millisecond
	// floodDivisor gives the part of the slots that new connections hold in a flood.
	floodDivisor = 2
)

// connectionTable holds the open connections. Each holds a slot; one more connection may have been
// accepted and wait for one.
type connectionTable struct {
	slots chan struct{}  // as many elements as slots are taken
	open  sync.WaitGroup // the connections in the table

	mu          sync.Mutex // protects connections; taken before connection.mu
	connections map[*connection]struct{}
}

func newConnectionTable(maxConnections int) *connectionTable {
	return &connectionTable{slots: make(chan struct{}, max(maxConnections, 1)), connections: map[*connection]struct{}{}}
}

// acquireSlot takes a slot for an accepted connection. If none is free, it evicts idle connections
// until one is. That is not done in advance: each connection that is closed may cross a request on
// its way. It returns false if stop was closed meanwhile.
func (t *connectionTable) acquireSlot(stop <-chan struct{}) bool {
	select {
	case t.slots <- struct{}{}:
		return true
	default:
	}
	for {
		t.evict(0)
		select {
		case t.slots <- struct{}{}:
			return true
		case <-stop:
			return false
		case <-time.After(slotRetryInterval): // connections that are new and stay silent become idle meanwhile
		}
	}
}

// add puts a connection that holds a slot into the table.
func (t *connectionTable) add(c *connection) {
	t.mu.Lock()
	t.connections[c] = struct{}{}
	t.mu.Unlock()
	t.open.Add(1)
}

// remove takes a connection out of the table and releases its slot.
func (t *connectionTable) remove(c *connection) {
	t.mu.Lock()
	delete(t.connections, c)
	t.mu.Unlock()
	<-t.slots
	t.open.Done()
}

// evictOverRelaxedLimit evicts an idle connection if more slots are taken than idle connections may
// hold.
func (t *connectionTable) evictOverRelaxedLimit() {
	if limit := int(relaxedSlotShare * float64(cap(t.slots))); len(t.slots) > limit {
		t.evict(limit)
	}
}

// evict closes one idle connection if more than limit connections are open, not counting new ones
// that were just accepted: a silent one if there is any, else the one that has been idle longest.
// While new ones hold over half of the slots, which is a flood, a connection on which a request was
// just answered is kept: the new ones become idle soon.
func (t *connectionTable) evict(limit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates, newCount := t.idleConnections()
	if len(t.connections)-newCount <= limit {
		return
	}
	slices.SortFunc(candidates, evictionCandidate.compare)
	isFlooded := newCount > cap(t.slots)/floodDivisor
	for _, candidate := range candidates {
		if isFlooded && candidate.isKeptInFlood() {
			return
		}
		if candidate.closeIfIdle() {
			return
		}
	}
}

// evictionCandidate is an idle connection.
type evictionCandidate struct {
	*connection
	activity  activity // activitySilent or activityResting
	idleSince time.Time
}

// isKeptInFlood reports whether the client was answered so recently that it keeps its slot in a
// flood of new connections.
func (e evictionCandidate) isKeptInFlood() bool {
	return e.activity == activityResting && time.Since(e.idleSince) < minIdleBeforeEvict
}

// compare orders the candidates: silent ones first, then by the time since which they have been
// idle.
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

// idleConnections returns the idle connections, and how many others are new and have sent nothing
// yet. The caller holds t.mu.
func (t *connectionTable) idleConnections() (candidates []evictionCandidate, newCount int) {
	for c := range t.connections {
		activity, since := c.currentActivity()
		switch activity {
		case activitySilent, activityResting:
			candidates = append(candidates, evictionCandidate{c, activity, since})
		case activityNew:
			newCount++
		case activityBusy:
		}
	}
	return candidates, newCount
}

// Sweep closes connections that have been idle or silent for too long, until the context ends.
func (l *Listener) Sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		l.connections.closeIdle(isDueInSweep)
	}
}

// isDueInSweep reports whether an idle connection is to be closed while the listener serves.
func isDueInSweep(idleTime time.Duration, activity activity) bool {
	return idleTime > idleTimeout || activity == activitySilent && idleTime > silentTimeout
}

// closeIdle closes the idle connections that are due, by how long they have been idle and whether
// they are silent or resting.
func (t *connectionTable) closeIdle(isDue func(idleTime time.Duration, activity activity) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.connections {
		activity, since := c.currentActivity()
		if activity.isIdle() && isDue(time.Since(since), activity) {
			c.closeIfIdle()
		}
	}
}

// giveUpBeforeRejected gives up the requests behind which rejections wait.
func (t *connectionTable) giveUpBeforeRejected() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.connections {
		if c.hasRejectedBehind() {
			c.giveUp()
		}
	}
}

// unansweredCommands returns how many commands have no answer yet.
func (t *connectionTable) unansweredCommands() (count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.connections {
		count += c.commandsInFlight()
	}
	return count
}
