package votersimulation

import (
	"time"

	"harrierhoist/internal/coordination/consensus"
	"harrierhoist/internal/coordination/statemachine"
)

// Times of a lease holder.
const (
	leaseCheckInterval = 50 * time.Millisecond
	readWait           = leaseDuration / 4     // for a change
	readTimeout        = leaseDuration * 3 / 4 // after which another voter is asked
	wallClockSetback   = 5 * time.Second       // by which a wall clock may be set back
)

// leaseHolder keeps a copy of the table under a lease, and acts on it.
type leaseHolder struct {
	sim          *simulation
	id           int
	voterIndex   int // of the voter that it asks
	epoch        uint64
	leaseEnd     time.Duration
	wallClockLag time.Duration
	attempt      int // tells late responses
}

func newLeaseHolder(s *simulation, id int) *leaseHolder {
	h := &leaseHolder{sim: s, id: id, voterIndex: id}
	s.after(0, h.read)
	s.every(leaseCheckInterval, h.checkLease)
	return h
}

// now is the clock on which the lease is measured.
func (h *leaseHolder) now() time.Duration {
	if h.sim.bug == LeaseByWallClock {
		if h.sim.rng.IntN(200) == 0 {
			h.wallClockLag += wallClockSetback
		}
		return h.sim.now() - h.wallClockLag
	}
	return h.sim.now()
}

// read waits for a change of the table at a voter.
func (h *leaseHolder) read() {
	h.attempt++
	attempt := h.attempt
	sentAt := h.now()
	known := h.epoch
	voter := h.sim.chooseNode(h.voterIndex)
	respond := func(changed map[string]statemachine.Table) {
		h.sim.network.deliver(outside, outside, func() { h.handleResponse(attempt, sentAt, known, changed) })
	}
	h.sim.network.deliver(outside, outside, func() {
		voter.execute(func() {
			voter.readQueue.Add(&consensus.PendingRead{
				KnownEpochs: map[string]uint64{tableName: known},
				Deadline:    voter.now() + readWait,
				Respond:     respond,
			}, voter.now())
		})
	})
	h.sim.after(readTimeout, func() {
		if h.attempt == attempt {
			h.voterIndex++
			h.read()
		}
	})
}

// handleResponse extends the lease. Also for a late response it counts from when the read was sent.
func (h *leaseHolder) handleResponse(attempt int, sentAt time.Duration, known uint64,
	changed map[string]statemachine.Table,
) {
	if h.sim.bug == LeaseFromResponse {
		sentAt = h.now()
	}
	if table, ok := changed[tableName]; ok {
		known = table.Epoch
	}
	switch {
	case known > h.epoch:
		h.epoch = known
		h.leaseEnd = sentAt + leaseDuration
	case known == h.epoch:
		h.leaseEnd = max(h.leaseEnd, sentAt+leaseDuration)
	}
	if h.attempt == attempt {
		h.read()
	}
}

// checkLease checks the invariant of leases: the epoch that a holder acts on was the latest at some
// moment within the last lease duration.
func (h *leaseHolder) checkLease() bool {
	if h.now() < h.leaseEnd || h.sim.bug == LeaseIgnored && h.epoch > 0 {
		if since, ok := h.sim.committedAt[h.epoch+1]; ok && since < h.sim.now()-leaseDuration {
			h.sim.violation("holder %d acts on an epoch that ended more than a lease ago", h.id)
		}
	}
	return h.sim.now() < runDuration
}
