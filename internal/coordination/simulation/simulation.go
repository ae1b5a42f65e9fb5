// Package play plays several voters, their clients and the holders of leases in virtual time: cores, reads and evidence
// are the real ones, while disk, messages and clocks are drawn from a seed, with all that goes wrong with them. The same
// seed gives the same run, event by event.
package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cespare/xxhash/v2"
)

// Bug is a fault planted in the surroundings of the cores, which the checks must find.
type Bug int

// The planted bugs.
const (
	NoBug               Bug = iota
	VoteWithoutSync         // the disk says a vote is synced; a crash forgets it
	SendBeforeSync          // messages go out before what they speak of is on disk
	CommandAppliedTwice     // a command is asked for again under a new number
	LeaseByWallClock        // a lease ends by a clock that is set back
	LeaseFromResponse       // a lease counts from when the answer came
	LeaseIgnored            // a holder goes on after its lease
	DigestsCountedTwice     // a process that turns to another voter does not say so
	ReadWithoutQuorum       // a voter answers reads from what it has
)

// Times of a run.
const (
	tickInterval    = 25 * time.Millisecond
	leaseDuration   = 2 * time.Second
	faultsUntil     = 6 * time.Second // faults are drawn until then; then all heals
	runDuration     = 14 * time.Second
	forwardInterval = 200 * time.Millisecond
)

// Report is what a run came to.
type Report struct {
	Violations []string // what the checks found; none: all held
	Answered   int      // calls answered
	Events     int
	Trace      uint64        // of all events: two runs of a seed have the same
	Without    time.Duration // time in which no voter led and knew it, until the end of the faults
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, k int) bool {
	return a[i].at < a[k].at || a[i].at == a[k].at && a[i].seq < a[k].seq
}
func (a agenda) Swap(i, k int) { a[i], a[k] = a[k], a[i] }
func (a *agenda) Push(e any)   { *a = append(*a, e.(event)) }
func (a *agenda) Pop() any {
	last := len(*a) - 1
	e := (*a)[last]
	*a = (*a)[:last]
	return e
}

// simulation is one run.
type simulation struct {
	bug          Bug
	rng          *rand.Rand
	now          time.Duration
	agenda       agenda
	seq          int
	nodes        []*node
	clients      []*client
	leaseHolders []*leaseHolder
	reporters    []*reporter
	lossRate     float64            // of messages
	maxDelay     time.Duration      // most delay of a message
	partitioned  map[[2]uint64]bool // from, to
	committedAt  map[uint64]time.Duration
	highestEpoch uint64 // highest epoch applied anywhere
	leaderOfTerm map[uint64]uint64
	history      []porcupine.Operation
	trace        *xxhash.Digest
	report       Report
	reported     map[string]bool
	replaced     bool // a voter, once a run
}

// Run plays one seed with three or five voters and a bug.
func Run(seed uint64, bug Bug) Report {
	s := newSimulation(seed, bug, 3+2*int(seed%2))
	s.after(0, s.injectFault)
	s.runUntil(runDuration)
	s.checkEndState()
	return s.report
}

func newSimulation(seed uint64, bug Bug, voters int) *simulation {
	s := &simulation{bug: bug, rng: rand.New(rand.NewPCG(seed, 29)), partitioned: map[[2]uint64]bool{}, maxDelay: 2 * time.Millisecond,
		committedAt: map[uint64]time.Duration{}, leaderOfTerm: map[uint64]uint64{}, trace: xxhash.New(), reported: map[string]bool{}}
	for i := range voters {
		s.nodes = append(s.nodes, newNode(s, uint64(i+1)))
	}
	first := s.initialMembers()
	for _, n := range s.nodes {
		n.start(first)
	}
	for i := range 3 {
		s.clients = append(s.clients, newClient(s, i))
	}
	for i := range 2 {
		s.leaseHolders = append(s.leaseHolders, newLeaseHolder(s, i))
		s.reporters = append(s.reporters, newReporter(s, i))
	}
	return s
}

func (s *simulation) runUntil(until time.Duration) {
	for len(s.agenda) > 0 && s.agenda[0].at <= until {
		e := heap.Pop(&s.agenda).(event)
		s.now = e.at
		s.report.Events++
		s.traceEvent("%d %d", e.at, e.seq)
		e.do()
	}
}

func (s *simulation) traceEvent(format string, args ...any) {
	_, _ = fmt.Fprintf(s.trace, format, args...)
}

// after has something done after a while.
func (s *simulation) after(after time.Duration, action func()) {
	s.seq++
	heap.Push(&s.agenda, event{s.now + after, s.seq, action})
}

// every has something done again and again until it says no.
func (s *simulation) every(d time.Duration, do func() bool) {
	var again func()
	again = func() {
		if do() {
			s.after(d, again)
		}
	}
	s.after(time.Duration(s.rng.Int64N(int64(d))), again)
}

// deliver takes a message over a way that may lose, double and delay it. Calls of clients have the number 0.
func (s *simulation) deliver(from, to uint64, action func()) {
	if s.partitioned[[2]uint64{from, to}] || s.rng.Float64() < s.lossRate {
		return
	}
	copies := 1
	if s.rng.Float64() < 0.02 {
		copies = 2
	}
	for range copies {
		late := s.maxDelay/20 + time.Duration(s.rng.Int64N(int64(s.maxDelay)))
		if s.rng.Float64() < 0.01 {
			late += time.Duration(s.rng.Int64N(int64(time.Second))) // held back on the way
		}
		s.after(late, action)
	}
}

func (s *simulation) violation(format string, args ...any) {
	what := fmt.Sprintf(format, args...)
	if !s.reported[what] {
		s.reported[what] = true
		s.report.Violations = append(s.report.Violations, fmt.Sprintf("%v: %s", s.now, what))
	}
}

// activeNodes are the voters that are members or about to be.
func (s *simulation) activeNodes() []*node {
	var all []*node
	for _, n := range s.nodes {
		if !n.diskLost {
			all = append(all, n)
		}
	}
	return all
}

func (s *simulation) randomNode() *node { l := s.activeNodes(); return l[s.rng.IntN(len(l))] }

func (s *simulation) leader() *node {
	for _, n := range s.activeNodes() {
		if n.up && !n.suspended && n.consensus.IsEstablishedLeader() {
			return n
		}
	}
	return nil
}
