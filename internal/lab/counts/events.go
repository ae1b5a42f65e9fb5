package counts

import "time"

type event struct {
	at  time.Duration
	nth int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].nth < e[j].nth
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push and Pop are for package heap.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop takes the last.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
