package follower

import (
	"context"
	"maps"
	"time"

	"go.uber.org/zap"
)

const (
	leasePollDivisor = 32              // the part of a lease within which it is seen that it is back
	epochLogInterval = 5 * time.Second // between two lines on what is held: a table may change every second
)

// watchLease says once when the lease is over and once when it is back, and wakes those who hold tables.
func (f *Follower) watchLease(ctx context.Context) {
	began := f.clock()
	over := false
	for {
		_, _, timing := f.currentSource()
		until := f.cache.leaseEnd()
		left := max(until, began+timing.Lease) - f.clock()
		switch {
		case left <= 0 && !over:
			over = true
			f.logger.Warn("no voter confirms what is held in common: its lease is over", zap.Bool("ever", until > 0))
			f.cache.notifyLeaseChange()
		case left > 0 && over:
			over = false
			f.logger.Info("what is held in common is confirmed again")
			f.cache.notifyLeaseChange()
		}
		next := timing.Lease / leasePollDivisor
		if left > 0 {
			next = left
		}
		if !sleep(ctx, next) {
			return
		}
	}
}

// logEpochs says which tables are held, by epoch, after they changed.
func (f *Follower) logEpochs(ctx context.Context) {
	logged := map[string]uint64{}
	for {
		changed := f.Changed()
		if known := f.cache.knownEpochs(); !maps.Equal(known, logged) {
			logged = known
			f.logger.Info("held in common", zap.Any("epochs", known))
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
