package gate

import "time"

// wakes is a heap of the times at which the module wants to be woken.
type wakes []*wake

type wake struct {
	at    time.Duration
	token uint64
	place int // in the heap
}

func (w wakes) Len() int           { return len(w) }
func (w wakes) Less(i, j int) bool { return w[i].at < w[j].at }
func (w wakes) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].place, w[j].place = i, j
}

// Push and Pop are for package heap.
func (w *wakes) Push(x any) {
	x.(*wake).place = len(*w)
	*w = append(*w, x.(*wake))
}

// Pop takes the last.
func (w *wakes) Pop() any {
	last := (*w)[len(*w)-1]
	(*w)[len(*w)-1] = nil
	*w = (*w)[:len(*w)-1]
	return last
}
