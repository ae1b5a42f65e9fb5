package dispatch

import "time"

// timerHeap is a heap of the times at which the module wants to be woken.
type timerHeap []*timer

type timer struct {
	dueAt time.Duration
	token uint64
	index int // in the heap
}

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].dueAt < h[j].dueAt }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push and Pop are for package heap.
func (h *timerHeap) Push(x any) {
	x.(*timer).index = len(*h)
	*h = append(*h, x.(*timer))
}

// Pop takes the last.
func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = nil
	*h = (*h)[:len(*h)-1]
	return last
}
