package follower

import (
	"math"
	"sync"
	"time"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/statemachine"
)

// tableCache is a process's copy of the tables. It accepts results in any order, late and duplicate
// ones too. It may be used by several goroutines at once.
type tableCache struct {
	mu             sync.RWMutex                        // guards what follows
	tables         map[string]coordination.CachedTable // by name; no epoch ever goes back
	confirmedAt    time.Duration                       // when the latest read that arrived was sent
	confirmedUntil time.Duration                       // end of the lease of all tables; 0: none was ever read
	leaseLimit     time.Duration                       // longest lease from when a read was sent
	changed        chan struct{}                       // closed and replaced with each change
}

func newTableCache() *tableCache {
	return &tableCache{
		tables:     map[string]coordination.CachedTable{},
		leaseLimit: math.MaxInt64,
		changed:    make(chan struct{}),
	}
}

// knownEpochs returns the epochs of the tables in the cache.
func (c *tableCache) knownEpochs() map[string]uint64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	known := make(map[string]uint64, len(c.tables))
	for name, cached := range c.tables {
		known[name] = cached.Epoch
	}
	return known
}

// merge adds the tables that a read returned, and extends the lease of all tables to a lease after the
// read was sent, on the follower's clock. The lease is the one in force when the read was sent, or the
// limit if that is shorter. Neither an epoch nor a lease goes back. A result behind the cache extends
// the lease too: what is cached was written after the read was sent.
func (c *tableCache) merge(tables map[string]statemachine.Table, sent, lease time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	leaseEnd := sent + min(lease, c.leaseLimit)
	isFirstLease := c.confirmedUntil == 0 && leaseEnd > 0
	changed := isFirstLease
	for name, table := range tables {
		if cached := c.tables[name]; table.Epoch > cached.Epoch {
			c.tables[name] = coordination.CachedTable{Name: name, Epoch: table.Epoch, Value: table.Value}
			changed = true
		}
	}
	c.confirmedAt = max(c.confirmedAt, sent)
	c.setLeaseEnd(max(c.confirmedUntil, leaseEnd))
	if changed {
		c.wakeWaiters()
	}
}

// limitLease sets the longest lease from when a read was sent, and shortens the lease of all tables to
// that. It never extends a lease: other processes may still count on the shorter one.
func (c *tableCache) limitLease(lease time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaseLimit = lease
	if leaseEnd := c.confirmedAt + lease; leaseEnd < c.confirmedUntil {
		c.setLeaseEnd(leaseEnd)
		c.wakeWaiters()
	}
}

// setLeaseEnd sets the end of the lease of all tables. The caller holds the lock.
func (c *tableCache) setLeaseEnd(leaseEnd time.Duration) {
	c.confirmedUntil = leaseEnd
	for name, cached := range c.tables {
		cached.LeaseEnd = leaseEnd
		c.tables[name] = cached
	}
}

// wakeWaiters wakes those that wait for a change. The caller holds the lock.
func (c *tableCache) wakeWaiters() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// notifyLeaseChange wakes those that wait for a change, as the lease expired or was renewed.
func (c *tableCache) notifyLeaseChange() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wakeWaiters()
}

// get returns a table with its lease; at epoch 0 where it is not in the cache.
func (c *tableCache) get(table string) coordination.CachedTable {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if cached, ok := c.tables[table]; ok {
		return cached
	}
	return coordination.CachedTable{Name: table, LeaseEnd: c.confirmedUntil}
}

// nextChange returns a channel that is closed at the next change.
func (c *tableCache) nextChange() <-chan struct{} {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.changed
}

// leaseEnd returns when the lease of all tables ends; 0: none was ever read.
func (c *tableCache) leaseEnd() time.Duration {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.confirmedUntil
}
