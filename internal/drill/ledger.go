// Package drill starts several processes of the program on loopback, with emulated servers, a counter and clients
// around them and relays between them, and causes faults. What counts is what servers, clients and the counter saw.
package drill

import (
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Final is how a client's task ended.
type Final uint8

// The ends of a task at its client.
const (
	Honoured Final = iota
	Rejected
	Terminated
	Broken // the connection ended first
	Lost   // no final answer in its patience and the time that a client waits besides
	finals
)

// Pushed is a task that came to a server.
type Pushed struct {
	ID, Server, Hall, Customer string

	From  string // the hall that it came in at, where the story gives each its own customers
	Lane  string
	Units float64
	At    time.Time
	Ran   bool // to its end
}

// Ledger is what servers and clients saw.
type Ledger struct {
	Halls []string // by number, as customers tell theirs: see Customer

	mu     sync.Mutex
	pushes []Pushed
	ends   map[string]Final
	counts [finals]int
	twice  []string // ids that got a second final answer
}

// NewLedger makes an empty one.
func NewLedger() *Ledger { return &Ledger{ends: map[string]Final{}} }

// hallBits is where in a customer's number the number of its hall stands.
const hallBits = 24

// Customer is the number of a customer whose tasks come in at the hall of a number.
func Customer(hall int, n uint64) uint64 { return uint64(hall)<<hallBits | n }

// Came tells of a push that a server took, and gives its place.
func (l *Ledger) Came(p Pushed) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.At = time.Now()
	if n, err := strconv.ParseUint(p.Customer, 16, 64); err == nil && n>>hallBits < uint64(len(l.Halls)) {
		p.From = l.Halls[n>>hallBits]
	}
	l.pushes = append(l.pushes, p)
	return len(l.pushes) - 1
}

// Ran tells that the push at a place ran to its end.
func (l *Ledger) Ran(place int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pushes[place].Ran = true
}

// Ended tells how a client's task ended.
func (l *Ledger) Ended(id string, how Final) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.ends[id]; known {
		l.twice = append(l.twice, id)
	}
	l.ends[id] = how
	l.counts[how]++
}

// Ends are the numbers of tasks by how they ended.
func (l *Ledger) Ends() [finals]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// Since gives the pushes that came after a time, by the hall of their server.
func (l *Ledger) Since(from time.Time) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	halls := map[string]int{}
	for i := len(l.pushes) - 1; i >= 0 && l.pushes[i].At.After(from); i-- {
		halls[l.pushes[i].Hall]++
	}
	return halls
}

// Flow gives the pushes that came after a time, by the halls that their tasks came in at and were pushed to. The hall
// that a task came in at is told by its customer.
func (l *Ledger) Flow(from time.Time) map[[2]string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	flow := map[[2]string]int{}
	for i := len(l.pushes) - 1; i >= 0 && l.pushes[i].At.After(from); i-- {
		flow[[2]string{l.pushes[i].From, l.pushes[i].Hall}]++
	}
	return flow
}

// Pushes are all pushes so far.
func (l *Ledger) Pushes() []Pushed {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.pushes)
}

// Wrong tells what broke the rules that hold whatever fails: a task without its final answer or with two, and an
// effectful task that ran to its end twice.
func (l *Ledger) Wrong() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var wrong []string
	if n := l.counts[Lost]; n > 0 {
		wrong = append(wrong, fmt.Sprintf("%d tasks without a final answer", n))
	}
	if len(l.twice) > 0 {
		wrong = append(wrong, fmt.Sprintf("%d tasks with two final answers", len(l.twice)))
	}
	ran := map[string]int{}
	for _, p := range l.pushes {
		if p.Lane != "pay" {
			continue
		}
		if ran[p.ID]++; ran[p.ID] == 2 {
			wrong = append(wrong, "effectful task "+p.ID+" came to servers twice")
		}
	}
	return wrong
}
