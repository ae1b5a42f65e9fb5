package votersimulation

import (
	"math/rand/v2"
	"time"

	"harrierhoist/internal/lab/virtualtime"
)

// outside is the network address of clients, lease holders and reporters; voters have their
// numbers.
const outside = 0

// What can happen to any message.
const (
	normalMaxDelay       = 2 * time.Millisecond
	minDelayDivisor      = 20 // of the longest delay
	duplicateProbability = 0.02
	stragglerProbability = 0.01
	maxStragglerDelay    = time.Second
)

// network carries messages, and may lose, duplicate and delay them.
type network struct {
	clock       *virtualtime.Scheduler
	rng         *rand.Rand
	lossRate    float64
	maxDelay    time.Duration
	partitioned map[link]bool
}

// link is one direction between two voters.
type link struct{ from, to uint64 }

func newNetwork(clock *virtualtime.Scheduler, rng *rand.Rand) *network {
	return &network{clock: clock, rng: rng, maxDelay: normalMaxDelay, partitioned: map[link]bool{}}
}

// deliver has a message arrive, unless it is lost.
func (n *network) deliver(from, to uint64, arrive func()) {
	if n.partitioned[link{from, to}] || n.rng.Float64() < n.lossRate {
		return
	}
	copies := 1
	if n.rng.Float64() < duplicateProbability {
		copies = 2
	}
	for range copies {
		delay := n.maxDelay/minDelayDivisor + time.Duration(n.rng.Int64N(int64(n.maxDelay)))
		if n.rng.Float64() < stragglerProbability {
			delay += time.Duration(n.rng.Int64N(int64(maxStragglerDelay)))
		}
		n.clock.After(delay, arrive)
	}
}

// heal restores the normal network.
func (n *network) heal() {
	clear(n.partitioned)
	n.lossRate = 0
	n.maxDelay = normalMaxDelay
}
