// Package coordination defines the types that are shared by the packages below it, which replicate
// a few small tables among a group of voters, and by those that compute or read the tables. The
// deciders of control implement its Controller; gateways read tables through its Client.
package coordination

import (
	"context"
	"time"

	"harrierhoist/internal/coordination/statemachine"
)

// CachedTable is this process's copy of a table and the lease under which it may act on it.
type CachedTable struct {
	Name  string
	Epoch uint64 // 0: never written, or never received
	Value []byte
	// LeaseEnd is on this process's monotonic clock, see Client.Now. The lease counts from the
	// moment at which the read that brought or confirmed the value was sent, never from the arrival
	// of its response.
	LeaseEnd time.Duration
}

// Client is what a process uses of the replicated tables. No method waits for another process, and
// all of them are safe for concurrent use.
type Client interface {
	// Now returns the time on the monotonic clock of the leases.
	Now() time.Duration
	// Cached returns the last known value of a table with its lease, which may have expired.
	Cached(table string) CachedTable
	// Changed returns a channel that is closed at the next change of any table or of the validity
	// of any lease.
	Changed() <-chan struct{}
	// RegisterCounters adds a function that is called before each digest is sent; it reports this
	// process's counters, cumulative since its start.
	RegisterCounters(counts func(add func(name string, n uint64)))
	// RegisterExactCounters is the same for counters that are forwarded to the leader per process
	// instead of as sums.
	RegisterExactCounters(counts func(add func(name string, n uint64)))
}

// FollowTables calls update at once, at every change of a table or a lease, and at every interval,
// until the context ends.
func FollowTables(ctx context.Context, client Client, interval time.Duration, update func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		changed := client.Changed() // taken first, so that a change during the update causes another one
		update()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

// ControllerInput is what a controller computes its table from.
type ControllerInput struct {
	// Sums are the counters of all processes, summed up. They never decrease while the same process
	// leads.
	Sums map[string]uint64
	// Totals returns the committed totals of a table.
	Totals func(table string) map[string]uint64
	// Table returns the committed value of a table.
	Table func(table string) statemachine.Table
	// LeadingSince is when this process became the leader, on the clock of Controller.Decide.
	LeadingSince time.Duration
}

// Controller computes the next value of one table from the counters of all processes. The leader
// runs it; state that has to outlive a leader must be part of the value. A Controller does no I/O
// and reads no clock.
type Controller interface {
	// Table returns the name of the table that it writes.
	Table() string
	// Decide returns the table's next value, or write == false to leave it as it is. If another
	// write is applied first the value is dropped, and Decide is called again with the new state.
	Decide(now time.Duration, input ControllerInput) (value []byte, write bool)
}
