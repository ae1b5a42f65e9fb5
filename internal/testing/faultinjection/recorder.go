// Package faultinjection starts several processes of the program on loopback, with fake servers, a
// counter, discovery and clients around them and proxies between them, and injects faults. What
// counts is what servers, clients and the counter see.
package faultinjection

import (
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Result is how a client's request ended.
type Result uint8

// The results of a request.
const (
	Served Result = iota
	Rejected
	Terminated
	Disconnected // the connection ended before an answer
	Unanswered   // no answer within the timeout and answerGrace
	resultCount
)

// Attempt is a request as it came to a server.
type Attempt struct {
	ID, Server, Zone, Customer string

	Origin      string // the zone that it came in at, where each zone has customers of its own
	Class       string
	Units       float64
	ReceivedAt  time.Time
	IsCompleted bool
}

// Route is the zone that a request came in at, and the zone of an attempt of it.
type Route [2]string

// Recorder records what servers and clients see. It may be used by several goroutines at once.
type Recorder struct {
	Zones []string // by number; see CustomerID

	mu            sync.Mutex
	attempts      []Attempt // in the order in which they came
	results       map[string]Result
	resultCounts  [resultCount]int
	answeredTwice []string // IDs
}

// NewRecorder makes an empty recorder.
func NewRecorder(zones []string) *Recorder {
	return &Recorder{Zones: zones, results: map[string]Result{}}
}

// zoneShift is where the zone's number begins in a customer's.
const zoneShift = 24

// CustomerID returns the number of a customer whose requests come in at a zone.
func CustomerID(zone int, n uint64) uint64 { return uint64(zone)<<zoneShift | n }

// RecordAttempt records an attempt that a server accepted, and returns its index.
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

// RecordCompletion records that a server completed the attempt of an index.
func (r *Recorder) RecordCompletion(index int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[index].IsCompleted = true
}

// RecordResult records how a client's request ended.
func (r *Recorder) RecordResult(id string, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.results[id]; known {
		r.answeredTwice = append(r.answeredTwice, id)
	}
	r.results[id] = result
	r.resultCounts[result]++
}

// ResultCounts returns the number of requests by result.
func (r *Recorder) ResultCounts() [resultCount]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.resultCounts
}

// AttemptsByRoute returns the number of attempts that came after a time, by route.
func (r *Recorder) AttemptsByRoute(since time.Time) map[Route]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[Route]int{}
	for i := len(r.attempts) - 1; i >= 0 && r.attempts[i].ReceivedAt.After(since); i-- {
		counts[Route{r.attempts[i].Origin, r.attempts[i].Zone}]++
	}
	return counts
}

// Attempts returns all attempts so far.
func (r *Recorder) Attempts() []Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.attempts)
}

// Violations returns what broke the rules that hold whatever fails: a request without an answer or
// with two, and a non-idempotent request that came to servers twice.
func (r *Recorder) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var violations []string
	if n := r.resultCounts[Unanswered]; n > 0 {
		violations = append(violations, fmt.Sprintf("%d requests without an answer", n))
	}
	if n := len(r.answeredTwice); n > 0 {
		violations = append(violations, fmt.Sprintf("%d requests with two answers", n))
	}
	attempts := map[string]int{}
	for _, attempt := range r.attempts {
		if attempt.Class != NonIdempotentClass {
			continue
		}
		attempts[attempt.ID]++
		if attempts[attempt.ID] == 2 {
			violations = append(violations, "non-idempotent request "+attempt.ID+" came to servers twice")
		}
	}
	return violations
}
