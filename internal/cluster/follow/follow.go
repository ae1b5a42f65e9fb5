// Package follow is how any process takes part in what all hold in common, voters too: it sends its evidence to one
// voter and holds the latest tables by a waiting read, each with a lease. Nobody who asks it waits.
package follow

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"harrierhoist/internal/cluster"
	"harrierhoist/internal/cluster/evidence"
	"harrierhoist/internal/cluster/tables"
)

// Source is a voter as a follower sees it, its own or one at the end of a link.
type Source interface {
	Name() string
	// Tell hands over a digest, within a time of its own.
	Tell(ctx context.Context, d evidence.Digest) error
	// Read is cluster.Voter's; it gives up a little after the wait.
	Read(ctx context.Context, known map[string]uint64, wait time.Duration) (Answer, error)
}

// Answer is what a read gives.
type Answer struct {
	Tables map[string]tables.Entry
	Group  []byte // the mark of the tables' beginning, nil where the voter does not know it yet
	Own    bool   // of this process's own voter: it began when this process did
}

// Timing is how often a follower talks.
type Timing struct {
	Lease       time.Duration // that a table holds after the read that confirmed it was sent
	DigestEvery time.Duration
}

// How a follower goes about it.
const (
	waits      = 4                      // a read waits for this part of a lease: two may fail before it is over
	pauseFirst = 50 * time.Millisecond  // after all voters failed in turn; then longer by half, each drawn
	pauseMost  = time.Second            // once they are back, all followers are within about that
	homeAfter  = time.Minute            // at another voter, before the one of its own is tried again
	homeWithin = 250 * time.Millisecond // that a try may take from the lease
)

// Follower holds what one process knows. It implements cluster.Commons.
type Follower struct {
	process     string
	incarnation uint64
	clock       func() time.Duration
	log         *zap.Logger
	shelf       *shelf
	counts      counts

	mu      sync.Mutex
	timing  Timing
	sources []Source
	at      int           // the source in use
	session uint64        // grows with each turn to another
	left    time.Duration // when the first source was left
	alien   bool          // it was said that the voters' tables are of another beginning
}

// New makes a follower of a process in one of its lives, that takes the sources in the order given.
func New(process string, incarnation uint64, sources []Source, timing Timing, clock func() time.Duration,
	log *zap.Logger) *Follower {
	return &Follower{process: process, incarnation: incarnation, clock: clock, log: log, shelf: newShelf(),
		sources: sources, timing: timing}
}

var _ cluster.Commons = (*Follower)(nil)

// Order puts sources in the order in which a process takes them: it begins at one by the hash of its name, so that
// a fleet is spread over them.
func Order(process string, sources []Source) []Source {
	if len(sources) == 0 {
		return nil
	}
	at := int(xxhash.Sum64String(process) % uint64(len(sources)))
	return append(append([]Source{}, sources[at:]...), sources[:at]...)
}

// Move puts other sources and another timing in place.
func (f *Follower) Move(sources []Source, timing Timing) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sources, f.timing, f.at = sources, timing, 0
	f.session++
}

// Run sends and reads until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var all sync.WaitGroup
	all.Go(func() { f.tell(ctx) })
	all.Go(func() { f.read(ctx) })
	all.Go(func() { f.watch(ctx) })
	all.Go(func() { f.sayHeld(ctx) })
	all.Wait()
}

// Now implements cluster.Commons.
func (f *Follower) Now() time.Duration { return f.clock() }

// Held implements cluster.Commons.
func (f *Follower) Held(table string) cluster.Held { return f.shelf.get(table) }

// Changed implements cluster.Commons.
func (f *Follower) Changed() <-chan struct{} { return f.shelf.wait() }

// Witness implements cluster.Commons.
func (f *Follower) Witness(counts func(add func(name string, n uint64))) {
	f.counts.witness(&f.counts.merged, counts)
}

// WitnessExact implements cluster.Commons.
func (f *Follower) WitnessExact(counts func(add func(name string, n uint64))) {
	f.counts.witness(&f.counts.exact, counts)
}

// source gives the source in use.
func (f *Follower) source() (s Source, session uint64, timing Timing) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.sources) == 0 {
		return nil, f.session, f.timing
	}
	return f.sources[f.at], f.session, f.timing
}

// turn goes over to the next source, if the one that failed is still in use. It tells whether all had their turn.
func (f *Follower) turn(session uint64) (round bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if session != f.session || len(f.sources) == 0 {
		return false
	}
	if f.at == 0 {
		f.left = f.clock()
	}
	f.session++
	f.at = (f.at + 1) % len(f.sources)
	return f.at == 0
}

// read holds a waiting read at one voter after another.
func (f *Follower) read(ctx context.Context) {
	between := &backoff.ExponentialBackOff{InitialInterval: pauseFirst, Multiplier: 1.5, RandomizationFactor: 0.5,
		MaxInterval: pauseMost}
	between.Reset()
	for ctx.Err() == nil {
		f.home(ctx)
		s, session, timing := f.source()
		if s != nil && f.ask(ctx, s, timing.Lease/waits, timing.Lease) == nil {
			between.Reset()
			continue
		}
		if ctx.Err() != nil || !f.turn(session) && s != nil {
			continue // the next one at once
		}
		if !pause(ctx, between.NextBackOff()) {
			return
		}
	}
}

// home tries the first source again after a while at another: else a voter that was down for a moment would stay
// without followers, and the others with all of them. The harm is one short read, at a lease that is not yet short.
func (f *Follower) home(ctx context.Context) {
	f.mu.Lock()
	due := f.at != 0 && f.clock()-f.left > homeAfter
	var first Source
	var lease time.Duration
	if due {
		first, lease, f.left = f.sources[0], f.timing.Lease, f.clock()
	}
	session := f.session
	f.mu.Unlock()
	if !due {
		return
	}
	short, cancel := context.WithTimeout(ctx, homeWithin)
	defer cancel()
	if f.ask(short, first, 0, lease) != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.session == session {
		f.at, f.session = 0, session+1
	}
}

// ask makes one read. The lease counts from before it was sent.
func (f *Follower) ask(ctx context.Context, s Source, wait, lease time.Duration) error {
	known := f.shelf.known()
	sent := f.clock()
	answer, err := s.Read(ctx, known, wait)
	if err != nil {
		return err
	}
	return f.take(answer, sent+lease)
}

// pause waits, and tells whether the context goes on.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
