package dispatch

import (
	"container/heap"
	"time"
)

// timerQueue holds the timers that the decision module asked for, and the alarm that rings when the
// first is due.
type timerQueue struct {
	heap    timerHeap
	byToken map[uint64]*timer
	alarm   *time.Timer
	alarmAt alarmTime
}

// alarmTime is when the alarm rings, by the shared clock. The zero value is never.
type alarmTime struct {
	at    time.Duration
	isSet bool
}

type timer struct {
	dueAt time.Duration
	token uint64
	index int // in the heap
}

func newTimerQueue() *timerQueue {
	return &timerQueue{byToken: map[uint64]*timer{}, alarm: time.NewTimer(time.Hour)}
}

// set adds a timer. One that has the token already is replaced: the module sets a timer anew each
// time it comes due, and two with one token would run two chains of timers.
func (q *timerQueue) set(token uint64, dueAt time.Duration) {
	q.cancel(token)
	t := &timer{dueAt: dueAt, token: token}
	q.byToken[token] = t
	heap.Push(&q.heap, t)
}

// cancel removes a timer. Most requests complete long before their timeouts, and their timers would
// wake the process for nothing.
func (q *timerQueue) cancel(token uint64) {
	if t := q.byToken[token]; t != nil {
		heap.Remove(&q.heap, t.index)
		delete(q.byToken, token)
	}
}

// popDue takes the first timer, if it is due by now.
func (q *timerQueue) popDue(now time.Duration) (token uint64, ok bool) {
	if len(q.heap) == 0 || q.heap[0].dueAt > now {
		return 0, false
	}
	t := q.heap[0]
	heap.Pop(&q.heap)
	delete(q.byToken, t.token)
	return t.token, true
}

// arm sets the alarm for the first timer, unless it rings at that moment already: each ring that is
// not needed would wake the process.
func (q *timerQueue) arm(c clock) {
	var next alarmTime
	if len(q.heap) > 0 {
		next = alarmTime{at: q.heap[0].dueAt, isSet: true}
	}
	if next.isSet && next != q.alarmAt {
		q.alarm.Reset(max(next.at-c.now(), 0))
	}
	q.alarmAt = next
}

// handleAlarm notes that the alarm has rung.
func (q *timerQueue) handleAlarm() { q.alarmAt = alarmTime{} }

// timerHeap is a heap of timers, the first due on top.
type timerHeap []*timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].dueAt < h[j].dueAt }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push is for package heap.
func (h *timerHeap) Push(x any) {
	t, ok := x.(*timer)
	if !ok {
		return
	}
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop is for package heap: it removes the last.
func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = nil
	*h = (*h)[:len(*h)-1]
	return last
}
