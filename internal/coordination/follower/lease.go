package follower

import (
	"context"
	"maps"
	"time"

	"go.uber.org/zap"
)

const (
	leasePollDivisor = 32              // an expired lease is looked at this many times in the length of a lease
	epochLogInterval = 5 * time.Second // shortest time between two lines on the epochs
)

// leaseWatcher logs what becomes of the lease and of the tables, and wakes those that wait for a
// change of the lease.
type leaseWatcher struct {
	clock   func() time.Duration
	sources *sourceSelector
	cache   *tableCache
	logger  *zap.Logger
}

// watchLease logs once when the lease expires and once when it is renewed, until the context ends.
// A process that has never read a table counts as expired one lease after its start.
func (w *leaseWatcher) watchLease(ctx context.Context) {
	started := w.clock()
	expired := false
	for {
		changed := w.cache.nextChange()
		_, _, timing := w.sources.current()
		leaseEnd := w.cache.leaseEnd()
		left := max(leaseEnd, started+timing.Lease) - w.clock()
		switch {
		case left <= 0 && !expired:
			expired = true
			w.logger.Warn("follower: lease expired, no voter confirms the tables", zap.Bool("ever", leaseEnd > 0))
			w.cache.notifyLeaseChange()
		case left > 0 && expired:
			expired = false
			w.logger.Info("follower: lease renewed, the tables are confirmed again")
			w.cache.notifyLeaseChange()
		}
		if !sleepOrChange(ctx, leaseCheckPause(left, timing.Lease), changed) {
			return
		}
	}
}

// sleepOrChange waits for a change, or until the pause is over: a change may have shortened the lease.
// It reports whether the context has not ended meanwhile.
func sleepOrChange(ctx context.Context, pause time.Duration, changed <-chan struct{}) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}

// leaseCheckPause returns when the lease is looked at again: when it can expire, or soon where it
// has expired, as it may be renewed at any moment.
func leaseCheckPause(left, lease time.Duration) time.Duration {
	if left > 0 {
		return left
	}
	return lease / leasePollDivisor
}

// logEpochs logs the epochs of the tables after they changed, until the context ends.
func (w *leaseWatcher) logEpochs(ctx context.Context) {
	logged := map[string]uint64{}
	for {
		changed := w.cache.nextChange()
		if known := w.cache.knownEpochs(); !maps.Equal(known, logged) {
			logged = known
			w.logger.Info("follower: tables changed", zap.Any("epochs", known))
			if !sleep(ctx, epochLogInterval) {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
