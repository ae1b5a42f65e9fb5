// Package virtualtime schedules events in virtual time, for simulations that have to run faster
// than time passes and to repeat exactly. The simulations of the laboratory and of the tests call
// it.
//
// Events run one after the other on the caller's goroutine, ordered by their time and, at the same
// time, by the order in which they were scheduled.
package virtualtime

import (
	"cmp"
	"container/heap"
	"time"
)

// Scheduler is a clock that advances from event to event. The zero value is ready for use and
// starts at time 0. It is not safe for concurrent use.
type Scheduler struct {
	// BeforeEvent is called before each event with its time and its sequence number, which counts
	// from 1 in the order of scheduling; nil: nothing is called. It serves traces of a run.
	BeforeEvent func(at time.Duration, sequence uint64)
	// TieBreak is called for each event that is scheduled: events of the same time run in the order
	// of these numbers, and then of scheduling; nil: of scheduling alone. It serves simulations
	// that draw the order of simultaneous events.
	TieBreak func() uint64

	now          time.Duration
	lastSequence uint64
	events       eventHeap
}

// event is a scheduled action.
type event struct {
	at       time.Duration
	tie      uint64
	sequence uint64
	action   func()
}

// New makes a scheduler that starts at the given time.
func New(start time.Duration) *Scheduler { return &Scheduler{now: start} }

// Now returns the time of the event that is running, or that ran last.
func (s *Scheduler) Now() time.Duration { return s.now }

// Scheduled returns how many events were scheduled so far, including those that ran.
func (s *Scheduler) Scheduled() uint64 { return s.lastSequence }

// At schedules an action. An action in the past runs at the current time, after all that is
// scheduled for it already.
func (s *Scheduler) At(at time.Duration, action func()) {
	s.lastSequence++
	tie := uint64(0)
	if s.TieBreak != nil {
		tie = s.TieBreak()
	}
	heap.Push(&s.events, event{max(at, s.now), tie, s.lastSequence, action})
}

// After schedules an action for some time from now.
func (s *Scheduler) After(delay time.Duration, action func()) { s.At(s.now+delay, action) }

// Every schedules an action again and again, interval apart and for the first time after the given
// delay, until it returns false.
func (s *Scheduler) Every(first, interval time.Duration, action func() (again bool)) {
	var run func()
	run = func() {
		if action() {
			s.After(interval, run)
		}
	}
	s.After(first, run)
}

// Next returns the time of the next event; ok is false if none is scheduled.
func (s *Scheduler) Next() (at time.Duration, ok bool) {
	if len(s.events) == 0 {
		return 0, false
	}
	return s.events[0].at, true
}

// Step advances the clock to the next event and runs it. It returns false if none is scheduled.
func (s *Scheduler) Step() bool {
	if len(s.events) == 0 {
		return false
	}
	next := s.events[0]
	heap.Pop(&s.events)
	s.now = next.at
	if s.BeforeEvent != nil {
		s.BeforeEvent(next.at, next.sequence)
	}
	next.action()
	return true
}

// RunUntil runs all events up to and including those at the given time. The clock then stands at
// the last of them, so that a run in several parts equals one in a single part; see AdvanceTo.
func (s *Scheduler) RunUntil(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		s.Step()
	}
}

// AdvanceTo runs all events up to and including those at the given time, and sets the clock to it.
// The clock never goes back.
func (s *Scheduler) AdvanceTo(at time.Duration) {
	s.RunUntil(at)
	s.now = max(s.now, at)
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	a := h[i]
	b := h[j]
	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.tie, b.tie), cmp.Compare(a.sequence, b.sequence)) < 0
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(e any) {
	if added, ok := e.(event); ok {
		*h = append(*h, added)
	}
}

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{} // the action may refer to much memory
	*h = (*h)[:last]
	return e
}
