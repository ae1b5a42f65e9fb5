package rulesimulation

import (
	"container/heap"
	"time"
)

// scheduledEvent is what happens at a time. Events of the same time happen in the order in which they were scheduled.
type scheduledEvent struct {
	at       time.Duration
	sequence int
	do       func()
}

// eventQueue is a heap.Interface of events, the earliest first.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is for package heap.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

// Pop is for package heap.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// after schedules an action.
func (s *Simulation) after(delay time.Duration, action func()) {
	s.sequence++
	heap.Push(&s.queue, scheduledEvent{s.now + delay, s.sequence, action})
}

// run lets virtual time pass until a moment.
func (s *Simulation) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		next := heap.Pop(&s.queue).(scheduledEvent)
		s.now = next.at
		next.do()
	}
	s.now = until
}
