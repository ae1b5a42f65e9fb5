// Package play plays several voters, their clients and the holders of leases in virtual time: cores, reads and evidence
// are the real ones, while disk, messages and clocks are drawn from a seed, with all that goes wrong with them. The same
// seed gives the same run, event by event.
package play

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
	None              Bug = iota
	VoteWithoutSync       // the disk says a vote is synced; a crash forgets it
	SendBeforeSync        // messages go out before what they speak of is on disk
	AppliedTwice          // a command is asked for again under a new number
	LeaseByWallClock      // a lease ends by a clock that is set back
	LeaseFromAnswer       // a lease counts from when the answer came
	LeaseIgnored          // a holder goes on after its lease
	EvidenceTwice         // a process that turns to another voter does not say so
	ReadWithoutQuorum     // a voter answers reads from what it has
)

// Times of a run.
const (
	tick      = 25 * time.Millisecond
	lease     = 2 * time.Second
	troubled  = 6 * time.Second // faults are drawn until then; then all heals
	length    = 14 * time.Second
	passEvery = 200 * time.Millisecond
)

// Report is what a run came to.
type Report struct {
	Problems []string // what the checks found; none: all held
	Done     int      // calls answered
	Events   int
	Trace    uint64        // of all events: two runs of a seed have the same
	Without  time.Duration // time in which no voter led and knew it, until the end of the faults
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

// world is one run.
type world struct {
	bug      Bug
	chance   *rand.Rand
	now      time.Duration
	agenda   agenda
	seq      int
	nodes    []*node
	clients  []*client
	holders  []*holder
	teller   []*teller
	loss     float64            // of messages
	slow     time.Duration      // most delay of a message
	cut      map[[2]uint64]bool // from, to
	commits  map[uint64]time.Duration
	top      uint64 // highest epoch applied anywhere
	leads    map[uint64]uint64
	history  []porcupine.Operation
	trace    *xxhash.Digest
	report   Report
	problems map[string]bool
	replaced bool // a voter, once a run
}

// Run plays one seed with three or five voters and a bug.
func Run(seed uint64, bug Bug) Report {
	w := newWorld(seed, bug, 3+2*int(seed%2))
	w.at(0, w.trouble)
	w.run(length)
	w.check()
	return w.report
}

func newWorld(seed uint64, bug Bug, voters int) *world {
	w := &world{bug: bug, chance: rand.New(rand.NewPCG(seed, 29)), cut: map[[2]uint64]bool{}, slow: 2 * time.Millisecond,
		commits: map[uint64]time.Duration{}, leads: map[uint64]uint64{}, trace: xxhash.New(), problems: map[string]bool{}}
	for i := range voters {
		w.nodes = append(w.nodes, newNode(w, uint64(i+1)))
	}
	first := w.first()
	for _, n := range w.nodes {
		n.start(first)
	}
	for i := range 3 {
		w.clients = append(w.clients, newClient(w, i))
	}
	for i := range 2 {
		w.holders = append(w.holders, newHolder(w, i))
		w.teller = append(w.teller, newTeller(w, i))
	}
	return w
}

func (w *world) run(until time.Duration) {
	for len(w.agenda) > 0 && w.agenda[0].at <= until {
		e := heap.Pop(&w.agenda).(event)
		w.now = e.at
		w.report.Events++
		w.note("%d %d", e.at, e.seq)
		e.do()
	}
}

func (w *world) note(format string, args ...any) { _, _ = fmt.Fprintf(w.trace, format, args...) }

// at has something done after a while.
func (w *world) at(after time.Duration, do func()) {
	w.seq++
	heap.Push(&w.agenda, event{w.now + after, w.seq, do})
}

// every has something done again and again until it says no.
func (w *world) every(d time.Duration, do func() bool) {
	var again func()
	again = func() {
		if do() {
			w.at(d, again)
		}
	}
	w.at(time.Duration(w.chance.Int64N(int64(d))), again)
}

// carry takes a message over a way that may lose, double and delay it. Calls of clients have the number 0.
func (w *world) carry(from, to uint64, do func()) {
	if w.cut[[2]uint64{from, to}] || w.chance.Float64() < w.loss {
		return
	}
	copies := 1
	if w.chance.Float64() < 0.02 {
		copies = 2
	}
	for range copies {
		late := w.slow/20 + time.Duration(w.chance.Int64N(int64(w.slow)))
		if w.chance.Float64() < 0.01 {
			late += time.Duration(w.chance.Int64N(int64(time.Second))) // held back on the way
		}
		w.at(late, do)
	}
}

func (w *world) problem(format string, args ...any) {
	what := fmt.Sprintf(format, args...)
	if !w.problems[what] {
		w.problems[what] = true
		w.report.Problems = append(w.report.Problems, fmt.Sprintf("%v: %s", w.now, what))
	}
}

// live are the voters that are members or about to be.
func (w *world) live() []*node {
	var all []*node
	for _, n := range w.nodes {
		if !n.lost {
			all = append(all, n)
		}
	}
	return all
}

func (w *world) pick() *node { l := w.live(); return l[w.chance.IntN(len(l))] }

func (w *world) leader() *node {
	for _, n := range w.live() {
		if n.up && !n.asleep && n.core.Settled() {
			return n
		}
	}
	return nil
}
