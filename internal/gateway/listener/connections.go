package listener

import (
	"context"
	"sync"
	"time"
)

// Limits on idle connections and on slots.
const (
	// slotRetryInterval is the time between attempts to evict a connection while an accepted one
	// waits for a slot.
	slotRetryInterval = 20 * time.Millisecond
	// idleTimeout is the maximum idle time of a connection after an answer.
	idleTimeout = 10 * time.Second
	// silentTimeout is the maximum idle time of a connection on which no command has arrived.
	silentTimeout = 1500 * time.Millisecond
	// sweepInterval is the time between checks for connections that exceed idleTimeout or
	// silentTimeout.
	sweepInterval = 250 * time.Millisecond
)

// connectionTable holds the open connections, each of which occupies a slot. One more accepted
// connection may wait for a slot.
type connectionTable struct {
	slots chan struct{}  // one element for each occupied slot
	open  sync.WaitGroup // counts the connections in the table

	mu           sync.Mutex // protects the other fields; taken before connection.mu
	connections  map[*connection]struct{}
	stallChecked time.Time // time of the latest search for stalled commands
	readsAborted time.Time // time of the latest search that found any
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
			t.evictForSlot()
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
