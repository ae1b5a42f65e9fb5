// Package follower keeps a process's copy of the tables, each with a lease, by a waiting read at
// one voter, and sends that voter the process's digests. Package node runs one in every process,
// voters too; the parts of the process look tables up in it, and never wait for another process.
package follower

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
)

// Source is a voter as a follower sees it: its process's own, or a remote one.
type Source interface {
	// Name is that of the voter's process.
	Name() string
	// SendDigest hands over a digest, within a timeout of its own.
	SendDigest(ctx context.Context, d observation.Digest) error
	// Read is that of coordination.Voter; it gives up a little after the wait.
	Read(ctx context.Context, known map[string]uint64, wait time.Duration) (ReadResult, error)
}

// ReadResult is the result of a read.
type ReadResult struct {
	Tables       map[string]statemachine.Table
	GroupID      []byte // drawn when the voters first started; nil where the voter does not know it yet
	FromOwnVoter bool   // of this process's own voter, which started when this process did
}

// Timing is how often a follower talks to its voter.
type Timing struct {
	Lease          time.Duration // how long a table may be used after the read that confirmed it was sent
	DigestInterval time.Duration // between two digests
}

// Follower is one process's part in the coordination. It implements coordination.Client.
type Follower struct {
	clock    func() time.Duration
	sources  *sourceSelector
	cache    *tableCache
	counters *counterRegistry
	reader   *tableReader
	sender   *digestSender
	watcher  *leaseWatcher
}

var _ coordination.Client = (*Follower)(nil)

// New makes a follower for one incarnation of a process. It prefers the sources in the order given.
// Leases are counted on the clock, which must be monotonic.
func New(process string, incarnation uint64, sources []Source, timing Timing, clock func() time.Duration,
	logger *zap.Logger,
) *Follower {
	f := &Follower{
		clock:    clock,
		sources:  &sourceSelector{clock: clock, sources: sources, timing: timing},
		cache:    newTableCache(),
		counters: &counterRegistry{},
	}
	f.reader = &tableReader{clock: clock, sources: f.sources, cache: f.cache, logger: logger}
	f.sender = &digestSender{
		process: process, incarnation: incarnation, clock: clock, sources: f.sources, counters: f.counters,
	}
	f.watcher = &leaseWatcher{clock: clock, sources: f.sources, cache: f.cache, logger: logger}
	return f
}

// Reconfigure replaces sources and timing. A shorter lease holds at once, also for tables that were
// read under the longer one.
func (f *Follower) Reconfigure(sources []Source, timing Timing) {
	f.sources.reconfigure(sources, timing)
	f.cache.limitLease(timing.Lease)
	f.reader.interrupt()
}

// Run sends and reads until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var goroutines sync.WaitGroup
	goroutines.Go(func() { f.sender.run(ctx) })
	goroutines.Go(func() { f.reader.run(ctx) })
	goroutines.Go(func() { f.watcher.watchLease(ctx) })
	goroutines.Go(func() { f.watcher.logEpochs(ctx) })
	goroutines.Wait()
}

// Now implements coordination.Client.
func (f *Follower) Now() time.Duration { return f.clock() }

// Cached implements coordination.Client.
func (f *Follower) Cached(table string) coordination.CachedTable { return f.cache.get(table) }

// Changed implements coordination.Client.
func (f *Follower) Changed() <-chan struct{} { return f.cache.nextChange() }

// RegisterCounters implements coordination.Client.
func (f *Follower) RegisterCounters(counts func(add func(name string, n uint64))) {
	f.counters.register(counts)
}

// RegisterExactCounters implements coordination.Client.
func (f *Follower) RegisterExactCounters(counts func(add func(name string, n uint64))) {
	f.counters.registerExact(counts)
}

// sleep waits, and reports whether the context has not ended meanwhile.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
