package follow

import (
	"context"
	"maps"
	"time"

	"go.uber.org/zap"
)

const (
	backWithin = 32              // the part of a lease within which it is seen that it is back
	heldEvery  = 5 * time.Second // between two lines on what is held: a table may change every second
)

// watch says once when the lease is over and once when it is back, and wakes those who hold tables.
func (f *Follower) watch(ctx context.Context) {
	began := f.clock()
	over := false
	for {
		_, _, timing := f.source()
		until := f.shelf.until()
		left := max(until, began+timing.Lease) - f.clock()
		switch {
		case left <= 0 && !over:
			over = true
			f.log.Warn("no voter confirms what is held in common: its lease is over", zap.Bool("ever", until > 0))
			f.shelf.turn()
		case left > 0 && over:
			over = false
			f.log.Info("what is held in common is confirmed again")
			f.shelf.turn()
		}
		next := timing.Lease / backWithin
		if left > 0 {
			next = left
		}
		if !pause(ctx, next) {
			return
		}
	}
}

// sayHeld says which tables are held, by epoch, after they changed.
func (f *Follower) sayHeld(ctx context.Context) {
	said := map[string]uint64{}
	for {
		changed := f.Changed()
		if known := f.shelf.known(); !maps.Equal(known, said) {
			said = known
			f.log.Info("held in common", zap.Any("epochs", known))
			if !pause(ctx, heldEvery) {
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
