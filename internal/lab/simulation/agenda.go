// Package virtual plays a world in virtual time: servers, counter, discovery, network and clients are models, and
// every gateway is an instance of the decisions, in this process. A world and a seed give the same play to the last
// byte, whatever else runs. What it leaves out, against real gateways on sockets, stands in docs/lab.md.
package simulation

import (
	"container/heap"
	"time"
)

// event is something that happens at a time; those of one time happen in the order in which they were set.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push and Pop are for package heap.
func (a *agenda) Push(x any) { *a = append(*a, x.(event)) }

// Pop takes the last.
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	(*a)[len(*a)-1] = event{}
	*a = (*a)[:len(*a)-1]
	return last
}

// at sets an event; one in the past happens now.
func (e *engine) at(t time.Duration, run func()) {
	e.seq++
	heap.Push(&e.agenda, event{max(t, e.now), e.seq, run})
}

// after sets an event some time from now.
func (e *engine) after(d time.Duration, run func()) { e.at(e.now+d, run) }
