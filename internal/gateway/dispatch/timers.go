package dispatch

import (
	"container/heap"
	"time"
)

// timerQueue holds the decision module's timers, and a runtime timer that wakes up RunTimers when
// the earliest is due.
type timerQueue struct {
	heap     timerHeap
	byToken  map[uint64]*timer
	wakeup   *time.Timer // fires when the earliest timer is due
	wakeupAt wakeupTime  // when wakeup fires
}

// wakeupTime is when the runtime timer fires, on the shared clock. The zero value means never.
type wakeupTime struct {
	at    time.Duration
	isSet bool
}

type timer struct {
	dueAt time.Duration
	token uint64
	index int // position in the heap
}

func newTimerQueue() *timerQueue {
	return &timerQueue{byToken: map[uint64]*timer{}, wakeup: time.NewTimer(time.Hour)}
}

// set adds a timer and replaces an earlier one with the same token. The module sets a timer again
// each time it fires, so two timers with one token would both repeat.
func (q *timerQueue) set(token uint64, dueAt time.Duration) {
	q.cancel(token)
	t := &timer{dueAt: dueAt, token: token}
	q.byToken[token] = t
	heap.Push(&q.heap, t)
}

// cancel removes a timer. Most requests complete long before their timeouts, and their timers would
// wake up the process unnecessarily.
func (q *timerQueue) cancel(token uint64) {
	if t := q.byToken[token]; t != nil {
		heap.Remove(&q.heap, t.index)
		delete(q.byToken, token)
	}
}

// popDue removes the earliest timer and returns its token, if the timer is due.
func (q *timerQueue) popDue(now time.Duration) (token uint64, ok bool) {
	if len(q.heap) == 0 || q.heap[0].dueAt > now {
		return 0, false
	}
	t := q.heap[0]
	heap.Pop(&q.heap)
	delete(q.byToken, t.token)
	return t.token, true
}

// scheduleWakeup schedules the wakeup for the earliest timer, unless it is scheduled for that time
// already: an unnecessary wakeup costs the process CPU time.
func (q *timerQueue) scheduleWakeup(c clock) {
	var next wakeupTime
	if len(q.heap) > 0 {
		next = wakeupTime{at: q.heap[0].dueAt, isSet: true}
	}
	if next.isSet && next != q.wakeupAt {
		q.wakeup.Reset(max(next.at-c.now(), 0))
	}
	q.wakeupAt = next
}

// handleWakeup records that the wakeup has fired.
func (q *timerQueue) handleWakeup() { q.wakeupAt = wakeupTime{} }

// timerHeap implements heap.Interface, with the earliest timer first.
type timerHeap []*timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].dueAt < h[j].dueAt }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	t, ok := x.(*timer)
	if !ok {
		return
	}
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface: it removes the last element.
func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = nil
	*h = (*h)[:len(*h)-1]
	return last
}
