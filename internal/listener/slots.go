package listener

import (
	"context"
	"slices"
	"time"
)

// acquireSlot takes a place for a connection that has come; where none is free, another loses its own. It is not asked
// before: each connection that closes may cross a task on its way. False: the front has ended.
func (f *Listener) acquireSlot() bool {
	select {
	case f.slots <- struct{}{}:
		return true
	default:
	}
	for {
		f.evict(0)
		select {
		case f.slots <- struct{}{}:
			return true
		case <-f.drainDone:
			return false
		case <-time.After(slotRetryInterval): // who had just connected and stays mum is idle by and by
		}
	}
}

// evict ends one idle connection, if there are more than so many besides those that have just come: one that never
// asked anything if there is any, else the one that has been idle longest. Only while most places are held by those
// that have just come and say nothing yet, which is a flood, a client that was answered a moment ago keeps its own:
// they are idle like others in no time.
func (f *Listener) evict(easy int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	type idler struct {
		*client
		since time.Time
		mum   bool
	}
	var all []idler
	young := 0
	for c := range f.clients {
		since, mum, idle := c.idleState()
		if mum && !idle {
			young++
		}
		if idle {
			all = append(all, idler{c, since, mum})
		}
	}
	if len(f.clients)-young <= easy {
		return
	}
	slices.SortFunc(all, func(a, b idler) int {
		if a.mum != b.mum {
			return map[bool]int{true: -1, false: 1}[a.mum]
		}
		return a.since.Compare(b.since)
	})
	for _, c := range all {
		if young > cap(f.slots)/2 && !c.mum && time.Since(c.since) < minIdleBeforeEvict {
			return
		}
		if c.closeIfIdle() {
			return
		}
	}
}

// Sweep ends connections in time that say nothing, or ask nothing more, until the context ends.
func (f *Listener) Sweep(ctx context.Context) {
	every := time.NewTicker(sweepInterval)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
		f.mu.Lock()
		for c := range f.clients {
			since, mum, idle := c.idleState()
			if quiet := time.Since(since); idle && (quiet > idleTimeout || mum && quiet > silentTimeout) {
				c.closeIfIdle()
			}
		}
		f.mu.Unlock()
	}
}
