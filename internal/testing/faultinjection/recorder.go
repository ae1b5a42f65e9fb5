// Package drill starts several processes of the program on loopback, with emulated servers, a counter and clients
// around them and relays between them, and causes faults. What counts is what servers, clients and the counter saw.
package faultinjection

import (
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Result is how a client's task ended.
type Result uint8

// The ends of a task at its client.
const (
	Served Result = iota
	Rejected
	Terminated
	Disconnected // the connection ended first
	Unanswered   // no final answer in its patience and the time that a client waits besides
	resultCount
)

// Attempt is a task that came to a server.
type Attempt struct {
	ID, Server, Zone, Customer string

	Origin      string // the hall that it came in at, where the story gives each its own customers
	Class       string
	Units       float64
	ReceivedAt  time.Time
	IsCompleted bool // to its end
}

// Recorder is what servers and clients saw.
type Recorder struct {
	Zones []string // by number, as customers tell theirs: see Customer

	mu            sync.Mutex
	attempts      []Attempt
	results       map[string]Result
	resultCounts  [resultCount]int
	answeredTwice []string // ids that got a second final answer
}

// NewRecorder makes an empty one.
func NewRecorder() *Recorder { return &Recorder{results: map[string]Result{}} }

// zoneShift is where in a customer's number the number of its hall stands.
const zoneShift = 24

// CustomerID is the number of a customer whose tasks come in at the hall of a number.
func CustomerID(zone int, n uint64) uint64 { return uint64(zone)<<zoneShift | n }

// RecordAttempt tells of a push that a server took, and gives its place.
func (r *Recorder) RecordAttempt(attempt Attempt) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	attempt.ReceivedAt = time.Now()
	if n, err := strconv.ParseUint(attempt.Customer, 16, 64); err == nil && n>>zoneShift < uint64(len(r.Zones)) {
		attempt.Origin = r.Zones[n>>zoneShift]
	}
	r.attempts = append(r.attempts, attempt)
	return len(r.attempts) - 1
}

// RecordCompletion tells that the push at a place ran to its end.
func (r *Recorder) RecordCompletion(index int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[index].IsCompleted = true
}

// RecordResult tells how a client's task ended.
func (r *Recorder) RecordResult(id string, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.results[id]; known {
		r.answeredTwice = append(r.answeredTwice, id)
	}
	r.results[id] = result
	r.resultCounts[result]++
}

// ResultCounts are the numbers of tasks by how they ended.
func (r *Recorder) ResultCounts() [resultCount]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.resultCounts
}

// AttemptsByZone gives the pushes that came after a time, by the hall of their server.
func (r *Recorder) AttemptsByZone(from time.Time) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	zones := map[string]int{}
	for i := len(r.attempts) - 1; i >= 0 && r.attempts[i].ReceivedAt.After(from); i-- {
		zones[r.attempts[i].Zone]++
	}
	return zones
}

// AttemptsByRoute gives the pushes that came after a time, by the halls that their tasks came in at and were pushed to. The hall
// that a task came in at is told by its customer.
func (r *Recorder) AttemptsByRoute(from time.Time) map[[2]string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	flow := map[[2]string]int{}
	for i := len(r.attempts) - 1; i >= 0 && r.attempts[i].ReceivedAt.After(from); i-- {
		flow[[2]string{r.attempts[i].Origin, r.attempts[i].Zone}]++
	}
	return flow
}

// Attempts are all pushes so far.
func (r *Recorder) Attempts() []Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.attempts)
}

// Violations tells what broke the rules that hold whatever fails: a task without its final answer or with two, and an
// effectful task that ran to its end twice.
func (r *Recorder) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var wrong []string
	if n := r.resultCounts[Unanswered]; n > 0 {
		wrong = append(wrong, fmt.Sprintf("%d tasks without a final answer", n))
	}
	if len(r.answeredTwice) > 0 {
		wrong = append(wrong, fmt.Sprintf("%d tasks with two final answers", len(r.answeredTwice)))
	}
	ran := map[string]int{}
	for _, attempt := range r.attempts {
		if attempt.Class != "pay" {
			continue
		}
		if ran[attempt.ID]++; ran[attempt.ID] == 2 {
			wrong = append(wrong, "effectful task "+attempt.ID+" came to servers twice")
		}
	}
	return wrong
}
