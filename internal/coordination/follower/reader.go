package follower

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"
)

// GroupTable holds the group ID, drawn when the voters first started. Tables of another group are
// never accepted: their epochs say nothing about those cached.
const GroupTable = "group"

// Pace of the reads.
const (
	readsPerLease        = 4                      // a read waits for a lease divided by this
	initialBackoff       = 50 * time.Millisecond  // first pause after all voters failed in turn
	backoffGrowth        = 1.5                    // factor from one pause to the next
	backoffSpread        = 0.5                    // part of a pause by which the drawn one may differ
	maxBackoff           = time.Second            // longest pause
	preferredReadTimeout = 250 * time.Millisecond // what a trial of the preferred voter may take of the lease
)

// errForeignGroup means that the voters started anew with empty disks: their tables are not those
// that this process has followed.
var errForeignGroup = errors.New("tables of another group of voters")

// tableReader keeps a waiting read at one voter after another, and puts what it brings into the
// cache.
type tableReader struct {
	clock   func() time.Duration
	sources *sourceSelector
	cache   *tableCache
	logger  *zap.Logger

	foreignGroupLogged bool // a foreign group is logged once a process

	mu         sync.Mutex         // guards what follows
	cancelRead context.CancelFunc // ends the latest read; nil before the first
}

// run reads until the context ends.
func (r *tableReader) run(ctx context.Context) {
	retry := &backoff.ExponentialBackOff{
		InitialInterval:     initialBackoff,
		Multiplier:          backoffGrowth,
		RandomizationFactor: backoffSpread,
		MaxInterval:         maxBackoff,
	}
	retry.Reset()
	for ctx.Err() == nil {
		r.tryPreferred(ctx)
		source, session, timing := r.sources.current()
		if source != nil && r.readOnce(ctx, source, timing.Lease/readsPerLease, timing.Lease) == nil {
			retry.Reset()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		allFailed := r.sources.switchFrom(session)
		if source != nil && !allFailed {
			continue // the next source at once
		}
		if !sleep(ctx, retry.NextBackOff()) {
			return
		}
	}
}

// tryPreferred makes a short read at the preferred source after a while at another one. Without it
// a voter that was down for a moment would stay without followers, and the others with all of them.
func (r *tableReader) tryPreferred(ctx context.Context) {
	preferred, session, timing := r.sources.preferredDue()
	if preferred == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, preferredReadTimeout)
	defer cancel()
	if r.readOnce(ctx, preferred, 0, timing.Lease) == nil {
		r.sources.returnToPreferred(session)
	}
}

// readOnce makes one read. The lease counts from before the read was sent.
func (r *tableReader) readOnce(ctx context.Context, source Source, wait, lease time.Duration) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.Lock()
	r.cancelRead = cancel
	r.mu.Unlock()
	known := r.cache.knownEpochs()
	sent := r.clock()
	result, err := source.Read(ctx, known, wait)
	if err != nil {
		return err
	}
	return r.accept(result, sent, lease)
}

// interrupt ends the read that is waiting, if there is one. After a change of sources and timing the
// next one goes by these at once.
func (r *tableReader) interrupt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancelRead != nil {
		r.cancelRead()
	}
}

// isForeign decides whether a result is of another group of voters than the one that this process
// has followed from its start. Such voters started anew with empty disks: a table of theirs at
// epoch 3 is not older than one cached at epoch 57, it is another.
func (r *tableReader) isForeign(result ReadResult) bool {
	followed := r.cache.get(GroupTable)
	return !result.FromOwnVoter && followed.Epoch > 0 && !bytes.Equal(followed.Value, result.GroupID)
}

// accept puts the result of a read into the cache, with a lease from when it was sent, unless it is
// foreign. A process that has cached tables of one group accepts no other until it is restarted.
func (r *tableReader) accept(result ReadResult, sent, lease time.Duration) error {
	if r.isForeign(result) {
		if len(result.GroupID) > 0 && !r.foreignGroupLogged {
			r.foreignGroupLogged = true
			r.logger.Error(
				"follower: voters started anew with empty disks, ignoring them until this process is restarted",
			)
		}
		return errForeignGroup // also of a voter that does not know its group yet
	}
	r.cache.merge(result.Tables, sent, lease)
	return nil
}
