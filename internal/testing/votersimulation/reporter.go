package votersimulation

import (
	"fmt"

	"harrierhoist/internal/coordination/observation"
)

// countName is the count that reporters send.
const countName = "attempts"

// maxGrowth is how much a reporter counts at most between two digests.
const maxGrowth = 99

// reporter is a process that counts and sends digests to a voter.
type reporter struct {
	sim        *simulation
	name       string
	voterIndex int
	count      uint64
	serial     uint64
	session    uint64
}

func newReporter(s *simulation, id int) *reporter {
	r := &reporter{sim: s, name: fmt.Sprint("g", id), voterIndex: id}
	s.every(forwardInterval, r.report)
	return r
}

// report sends the next digest; at times it switches to another voter first, as if there had been
// no response.
func (r *reporter) report() bool {
	r.count += uint64(r.sim.rng.IntN(maxGrowth + 1))
	r.serial++
	if r.sim.rng.IntN(10) == 0 {
		r.voterIndex++
		if r.sim.bug != DigestsCountedTwice {
			r.session++
		}
	}
	voter := r.sim.chooseNode(r.voterIndex)
	digest := observation.Digest{
		Process:     r.name,
		Incarnation: 1,
		Serial:      r.serial,
		Session:     r.session,
		Counts:      map[string]uint64{countName: r.count},
	}
	r.sim.network.deliver(outside, outside, func() {
		voter.execute(func() { voter.gatherer.AddFromProcesses([]observation.Digest{digest}) })
	})
	return r.sim.now() < runDuration
}
