// Package follow is how any process takes part in what all hold in common, voters too: it sends its evidence to one
// voter and holds the latest tables by a waiting read, each with a lease. Nobody who asks it waits.
package follower

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
)

// Source is a voter as a follower sees it, its own or one at the end of a link.
type Source interface {
	Name() string
	// SendDigest hands over a digest, within a time of its own.
	SendDigest(ctx context.Context, d observation.Digest) error
	// Read is cluster.Voter's; it gives up a little after the wait.
	Read(ctx context.Context, known map[string]uint64, wait time.Duration) (ReadResult, error)
}

// ReadResult is what a read gives.
type ReadResult struct {
	Tables       map[string]statemachine.Table
	GroupID      []byte // the mark of the tables' beginning, nil where the voter does not know it yet
	FromOwnVoter bool   // of this process's own voter: it began when this process did
}

// Timing is how often a follower talks.
type Timing struct {
	Lease          time.Duration // that a table holds after the read that confirmed it was sent
	DigestInterval time.Duration
}

// How a follower goes about it.
const (
	readsPerLease          = 4                      // a read waits for this part of a lease: two may fail before it is over
	initialBackoff         = 50 * time.Millisecond  // after all voters failed in turn; then longer by half, each drawn
	maxBackoff             = time.Second            // once they are back, all followers are within about that
	preferredRetryInterval = time.Minute            // at another voter, before the one of its own is tried again
	preferredReadTimeout   = 250 * time.Millisecond // that a try may take from the lease
)

// Follower holds what one process knows. It implements cluster.Commons.
type Follower struct {
	process     string
	incarnation uint64
	clock       func() time.Duration
	logger      *zap.Logger
	cache       *tableCache
	counters    counterRegistry

	mu                 sync.Mutex
	timing             Timing
	sources            []Source
	current            int           // the source in use
	session            uint64        // grows with each turn to another
	preferredLeftAt    time.Duration // when the first source was left
	foreignGroupLogged bool          // it was said that the voters' tables are of another beginning
}

// New makes a follower of a process in one of its lives, that takes the sources in the order given.
func New(process string, incarnation uint64, sources []Source, timing Timing, clock func() time.Duration,
	logger *zap.Logger) *Follower {
	return &Follower{process: process, incarnation: incarnation, clock: clock, logger: logger, cache: newTableCache(),
		sources: sources, timing: timing}
}

var _ coordination.Client = (*Follower)(nil)

// PreferenceOrder puts sources in the order in which a process takes them: it begins at one by the hash of its name, so that
// a fleet is spread over them.
func PreferenceOrder(process string, sources []Source) []Source {
	if len(sources) == 0 {
		return nil
	}
	at := int(xxhash.Sum64String(process) % uint64(len(sources)))
	return append(append([]Source{}, sources[at:]...), sources[:at]...)
}

// Reconfigure puts other sources and another timing in place.
func (f *Follower) Reconfigure(sources []Source, timing Timing) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sources, f.timing, f.current = sources, timing, 0
	f.session++
}

// Run sends and reads until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var all sync.WaitGroup
	all.Go(func() { f.sendDigests(ctx) })
	all.Go(func() { f.readTables(ctx) })
	all.Go(func() { f.watchLease(ctx) })
	all.Go(func() { f.logEpochs(ctx) })
	all.Wait()
}

// Now implements cluster.Commons.
func (f *Follower) Now() time.Duration { return f.clock() }

// Cached implements cluster.Commons.
func (f *Follower) Cached(table string) coordination.CachedTable { return f.cache.get(table) }

// Changed implements cluster.Commons.
func (f *Follower) Changed() <-chan struct{} { return f.cache.nextChange() }

// RegisterCounters implements cluster.Commons.
func (f *Follower) RegisterCounters(counts func(add func(name string, n uint64))) {
	f.counters.register(&f.counters.merged, counts)
}

// RegisterExactCounters implements cluster.Commons.
func (f *Follower) RegisterExactCounters(counts func(add func(name string, n uint64))) {
	f.counters.register(&f.counters.exact, counts)
}

// currentSource gives the source in use.
func (f *Follower) currentSource() (source Source, session uint64, timing Timing) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.sources) == 0 {
		return nil, f.session, f.timing
	}
	return f.sources[f.current], f.session, f.timing
}

// switchSource goes over to the next source, if the one that failed is still in use. It tells whether all had their turn.
func (f *Follower) switchSource(session uint64) (round bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if session != f.session || len(f.sources) == 0 {
		return false
	}
	if f.current == 0 {
		f.preferredLeftAt = f.clock()
	}
	f.session++
	f.current = (f.current + 1) % len(f.sources)
	return f.current == 0
}

// readTables holds a waiting read at one voter after another.
func (f *Follower) readTables(ctx context.Context) {
	retry := &backoff.ExponentialBackOff{InitialInterval: initialBackoff, Multiplier: 1.5, RandomizationFactor: 0.5,
		MaxInterval: maxBackoff}
	retry.Reset()
	for ctx.Err() == nil {
		f.returnToPreferred(ctx)
		source, session, timing := f.currentSource()
		if source != nil && f.readOnce(ctx, source, timing.Lease/readsPerLease, timing.Lease) == nil {
			retry.Reset()
			continue
		}
		if ctx.Err() != nil || !f.switchSource(session) && source != nil {
			continue // the next one at once
		}
		if !sleep(ctx, retry.NextBackOff()) {
			return
		}
	}
}

// returnToPreferred tries the first source again after a while at another: else a voter that was down for a moment would stay
// without followers, and the others with all of them. The harm is one short read, at a lease that is not yet short.
func (f *Follower) returnToPreferred(ctx context.Context) {
	f.mu.Lock()
	due := f.current != 0 && f.clock()-f.preferredLeftAt > preferredRetryInterval
	var first Source
	var lease time.Duration
	if due {
		first, lease, f.preferredLeftAt = f.sources[0], f.timing.Lease, f.clock()
	}
	session := f.session
	f.mu.Unlock()
	if !due {
		return
	}
	short, cancel := context.WithTimeout(ctx, preferredReadTimeout)
	defer cancel()
	if f.readOnce(short, first, 0, lease) != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.session == session {
		f.current, f.session = 0, session+1
	}
}

// readOnce makes one read. The lease counts from before it was sent.
func (f *Follower) readOnce(ctx context.Context, source Source, wait, lease time.Duration) error {
	known := f.cache.knownEpochs()
	sent := f.clock()
	result, err := source.Read(ctx, known, wait)
	if err != nil {
		return err
	}
	return f.accept(result, sent+lease)
}

// sleep waits, and tells whether the context goes on.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
