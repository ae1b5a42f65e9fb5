// Package cluster names what its parts and the processes' deciders pass to each other: the types between the
// packages below it and those that use what the processes hold in common. It does nothing itself.
package coordination

import (
	"time"

	"harrierhoist/internal/coordination/statemachine"
)

// CachedTable is a table as this process holds it.
type CachedTable struct {
	Name  string
	Epoch uint64 // 0: never written, or never heard of
	Value []byte
	// LeaseEnd is when the lease on it ends, on this process's monotonic clock (time since it started). It counts from
	// when the read that brought or confirmed it was sent, never from when its answer came.
	LeaseEnd time.Duration
}

// Client is what a process asks of what all hold in common. No call waits for another process, and all of them may
// be made by several goroutines at once.
type Client interface {
	// Now is the monotonic clock that leases are told on.
	Now() time.Duration
	// Cached gives a table as last heard, with its lease, which may be over.
	Cached(table string) CachedTable
	// Changed gives a channel that is closed with the next change of any table or of the right to hold one.
	Changed() <-chan struct{}
	// RegisterCounters has a function called before each digest: it gives the counts of this process since its start.
	RegisterCounters(counts func(add func(name string, n uint64)))
	// RegisterExactCounters is the same for counts that are passed on process by process.
	RegisterExactCounters(counts func(add func(name string, n uint64)))
}

// ControllerInput is what a decider goes by: sums of evidence over all processes, and totals from the log.
type ControllerInput struct {
	Sums         map[string]uint64                     // grow only while one process leads
	Totals       func(table string) map[string]uint64  // of the committed state
	Table        func(table string) statemachine.Table // the committed state
	LeadingSince time.Duration                         // when this process began to lead, on the same clock as now
}

// Controller turns what all processes saw into the next value of its table. One runs at the leader; what it must not
// forget with a leader stands in the value. It is free of I/O and clocks.
type Controller interface {
	// Table is the table that it writes.
	Table() string
	// Decide gives the table's next value, or write false where it is to stay. A value that loses against another
	// write is not written; Decide is then asked again with what stands.
	Decide(now time.Duration, seen ControllerInput) (value []byte, write bool)
}
