package dispatch

import (
	"container/heap"
	"time"
)

// timerQueue holds the timers that the gateway asked for, and the alarm that rings when the first is due.
type timerQueue struct {
	heap    timerHeap
	byToken map[uint64]*timer
	alarm   *time.Timer
	alarmAt time.Duration // when the alarm rings; 0: never
}

type timer struct {
	dueAt time.Duration
	token uint64
	index int // in the heap
}

func newTimerQueue() *timerQueue {
	return &timerQueue{byToken: map[uint64]*timer{}, alarm: time.NewTimer(time.Hour)}
}

// set asks for a timer. One that has the token already is replaced: two of them would each come due, and the gateway, which
// asks anew at each, would run two chains of timers from then on.
func (q *timerQueue) set(token uint64, dueAt time.Duration) {
	q.cancel(token)
	t := &timer{dueAt: dueAt, token: token}
	q.byToken[token] = t
	heap.Push(&q.heap, t)
}

// cancel takes a timer back. Most requests complete long before their timeouts: left in, their timers would be a good part
// of all the times that the process wakes.
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
	t := heap.Pop(&q.heap).(*timer)
	delete(q.byToken, t.token)
	return t.token, true
}

// arm sets the alarm for the first timer. It is left as it is where it rings at that moment anyway: each ring that is not
// needed would wake the whole process.
func (q *timerQueue) arm(c clock) {
	next := time.Duration(0)
	if len(q.heap) > 0 {
		next = q.heap[0].dueAt
	}
	if next != 0 && next != q.alarmAt {
		q.alarm.Reset(max(next-c.now(), 0))
	}
	q.alarmAt = next
}

// timerHeap is a heap of timers, the first due on top.
type timerHeap []*timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].dueAt < h[j].dueAt }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push is for package heap.
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop is for package heap: it takes the last.
func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = nil
	*h = (*h)[:len(*h)-1]
	return last
}
