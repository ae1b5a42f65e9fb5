package follower

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"
)

// GroupTable holds the group ID, drawn when the voters first started. Tables of another group are
// never accepted: their epochs say nothing about those cached.
const GroupTable = "group"

// Pace of the reads.
const (
	readsPerLease        = 4                      // a read waits for this part of a lease: two may fail before it ends
	initialBackoff       = 50 * time.Millisecond  // after all voters failed in turn; it grows, with jitter
	backoffGrowth        = 1.5                    // from one pause to the next
	backoffSpread        = 0.5                    // part of a pause by which the drawn one may differ
	maxBackoff           = time.Second            // once the voters are back, all followers are within about that
	preferredReadTimeout = 250 * time.Millisecond // what a trial of the preferred voter may take from the lease
)

// errForeignGroup: the voters started anew, and what they hold is not what this process has
// followed.
var errForeignGroup = errors.New("tables of another group of voters")

// tableReader keeps a waiting read at one voter after another, and puts what it brings into the
// cache.
type tableReader struct {
	clock   func() time.Duration
	sources *sourceSelector
	cache   *tableCache
	logger  *zap.Logger

	foreignGroupLogged bool // once a process
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
		if ctx.Err() != nil || !r.sources.switchFrom(session) && source != nil {
			continue // the next source at once
		}
		if !sleep(ctx, retry.NextBackOff()) {
			return
		}
	}
}

// tryPreferred reads at the preferred source again after a while at another: else a voter that was
// down for a moment would stay without followers, and the others with all of them. The harm is one
// short read, at a lease that is not yet short.
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
	known := r.cache.knownEpochs()
	sent := r.clock()
	result, err := source.Read(ctx, known, wait)
	if err != nil {
		return err
	}
	return r.accept(result, sent+lease)
}

// accept puts a result of the voters that this process has followed from its start into the cache.
// It refuses voters that lost all their disks and started anew: a table of theirs at epoch 3 is not
// older than one cached at 57, it is another. A process that had cached something must be restarted.
func (r *tableReader) accept(result ReadResult, leaseEnd time.Duration) error {
	followed := r.cache.get(GroupTable)
	if !result.FromOwnVoter && followed.Epoch > 0 && !bytes.Equal(followed.Value, result.GroupID) {
		if len(result.GroupID) > 0 && !r.foreignGroupLogged {
			r.foreignGroupLogged = true
			r.logger.Error(
				"follower: voters started anew with empty disks, ignoring them until this process is restarted",
			)
		}
		return errForeignGroup // a voter that does not know its group yet will know it soon
	}
	r.cache.merge(result.Tables, leaseEnd)
	return nil
}
