// Package votersimulation runs several voters, their clients and the holders of leases in virtual
// time. Its own tests call it. Consensus, reads and the merging of digests are the real ones;
// disks, messages and clocks are simulated, and draw their faults from a seed. The same seed gives
// the same run, event by event.
package votersimulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cespare/xxhash/v2"

	"harrierhoist/internal/lab/virtualtime"
)

// Times of a run.
const (
	tickInterval    = 25 * time.Millisecond
	leaseDuration   = 2 * time.Second
	faultsUntil     = 6 * time.Second // faults are injected until then; afterwards everything recovers
	runDuration     = 14 * time.Second
	forwardInterval = 200 * time.Millisecond
)

// Who takes part in a run besides the voters.
const (
	clientCount      = 3
	leaseHolderCount = 2 // and as many reporters
)

// Report is the result of a run.
type Report struct {
	Violations []string // of an invariant; none: all held
	Answered   int      // calls of clients
	Events     int
	Trace      uint64 // hash of all events: two runs of a seed have the same
}

// simulation is one run.
type simulation struct {
	bug     Bug
	rng     *rand.Rand
	clock   *virtualtime.Scheduler
	network *network

	nodes        []*node // by number, from 1
	clients      []*client
	leaseHolders []*leaseHolder
	reporters    []*reporter
	replaced     bool // a voter; once a run

	committedAt  map[uint64]time.Duration // by epoch of the table
	highestEpoch uint64                   // applied by any voter
	leaderOfTerm map[uint64]uint64
	history      []porcupine.Operation

	trace    *xxhash.Digest
	report   Report
	reported map[string]bool // violations
}

// Run simulates one seed, with three voters if it is even and five if it is odd, and with a bug.
func Run(seed uint64, bug Bug) Report {
	sim := newSimulation(seed, bug, 3+2*int(seed%2))
	sim.after(0, sim.injectFault)
	sim.runUntil(runDuration)
	sim.checkEndState()
	return sim.report
}

func newSimulation(seed uint64, bug Bug, voters int) *simulation {
	rng := rand.New(rand.NewPCG(seed, 29))
	clock := virtualtime.New(0)
	sim := &simulation{
		bug:          bug,
		rng:          rng,
		clock:        clock,
		network:      newNetwork(clock, rng),
		committedAt:  map[uint64]time.Duration{},
		leaderOfTerm: map[uint64]uint64{},
		trace:        xxhash.New(),
		reported:     map[string]bool{},
	}
	clock.BeforeEvent = func(at time.Duration, sequence uint64) {
		sim.report.Events++
		sim.traceEvent("%d %d", at, sequence)
	}
	for i := range voters {
		sim.nodes = append(sim.nodes, newNode(sim, uint64(i+1)))
	}
	initialMembers := sim.initialMembers()
	for _, n := range sim.nodes {
		n.start(initialMembers)
	}
	for i := range clientCount {
		sim.clients = append(sim.clients, newClient(sim, i))
	}
	for i := range leaseHolderCount {
		sim.leaseHolders = append(sim.leaseHolders, newLeaseHolder(sim, i))
		sim.reporters = append(sim.reporters, newReporter(sim, i))
	}
	return sim
}

func (s *simulation) now() time.Duration { return s.clock.Now() }

func (s *simulation) runUntil(until time.Duration) { s.clock.RunUntil(until) }

func (s *simulation) after(delay time.Duration, action func()) { s.clock.After(delay, action) }

// every runs an action again and again until it returns false, at first after a part of the
// interval that is drawn.
func (s *simulation) every(interval time.Duration, action func() bool) {
	s.clock.Every(s.drawDuration(interval), interval, action)
}

// drawDuration draws from 0 up to but not including the limit.
func (s *simulation) drawDuration(limit time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(limit)))
}

func (s *simulation) traceEvent(format string, args ...any) {
	_, _ = fmt.Fprintf(s.trace, format, args...) // a hash never fails
}

// violation reports what broke, each only once.
func (s *simulation) violation(format string, args ...any) {
	what := fmt.Sprintf(format, args...)
	if !s.reported[what] {
		s.reported[what] = true
		s.report.Violations = append(s.report.Violations, fmt.Sprintf("%v: %s", s.now(), what))
	}
}

// activeNodes are the voters that are members or about to be.
func (s *simulation) activeNodes() []*node {
	var active []*node
	for _, n := range s.nodes {
		if !n.diskLost {
			active = append(active, n)
		}
	}
	return active
}

func (s *simulation) randomNode() *node {
	active := s.activeNodes()
	return active[s.rng.IntN(len(active))]
}

// leader is a voter that leads and can work; nil: none.
func (s *simulation) leader() *node {
	for _, n := range s.activeNodes() {
		if n.up && !n.suspended && n.consensus.IsEstablishedLeader() {
			return n
		}
	}
	return nil
}

// nodeByNumber returns the voter with a number; nil: there is none.
func (s *simulation) nodeByNumber(number uint64) *node {
	if number == 0 || number > uint64(len(s.nodes)) {
		return nil
	}
	return s.nodes[number-1]
}

// chooseNode returns the voter that a client asks. Clients know all voters, also those that are not
// members.
func (s *simulation) chooseNode(index int) *node { return s.nodes[index%len(s.nodes)] }
