package follower

import (
	"sync"
	"time"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/statemachine"
)

// tableCache is what a process holds of the tables. It takes answers in any order, late or doubled ones too.
type tableCache struct {
	mu             sync.RWMutex
	tables         map[string]coordination.CachedTable
	confirmedUntil time.Duration // until when it is confirmed that tables not held were never written
	changed        chan struct{}
}

func newTableCache() *tableCache {
	return &tableCache{tables: map[string]coordination.CachedTable{}, changed: make(chan struct{})}
}

// knownEpochs are the epochs held.
func (c *tableCache) knownEpochs() map[string]uint64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	known := make(map[string]uint64, len(c.tables))
	for name, held := range c.tables {
		known[name] = held.Epoch
	}
	return known
}

// merge takes the answer to a read, and holds all until a time that counts from when it was sent. An epoch never goes
// back, nor does a lease. An answer that knows less than is held confirms it all the same: what is held was written
// after that answer was confirmed, so after the read was sent.
func (c *tableCache) merge(answer map[string]statemachine.Table, until time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := until > c.confirmedUntil && c.confirmedUntil == 0
	for name, e := range answer {
		if held := c.tables[name]; e.Epoch > held.Epoch {
			c.tables[name] = coordination.CachedTable{Name: name, Epoch: e.Epoch, Value: e.Value}
			changed = true
		}
	}
	c.confirmedUntil = max(c.confirmedUntil, until)
	for name, held := range c.tables {
		held.LeaseEnd = c.confirmedUntil
		c.tables[name] = held
	}
	if changed {
		c.wakeWaiters()
	}
}

// wakeWaiters wakes those who wait for a change. The lock is held.
func (c *tableCache) wakeWaiters() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// notifyLeaseChange wakes them because a lease ended or came back.
func (c *tableCache) notifyLeaseChange() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wakeWaiters()
}

func (c *tableCache) get(table string) coordination.CachedTable {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if held, ok := c.tables[table]; ok {
		return held
	}
	return coordination.CachedTable{Name: table, LeaseEnd: c.confirmedUntil}
}

func (c *tableCache) nextChange() <-chan struct{} {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.changed
}

// leaseEnd is when the latest confirmation ends.
func (c *tableCache) leaseEnd() time.Duration {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.confirmedUntil
}
