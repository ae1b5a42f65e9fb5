package consensus

import (
	"slices"
	"time"

	"harrierhoist/internal/coordination/statemachine"
)

// readIndexTimeout is after how long a confirmation is asked for again: a heartbeat or its answer was lost.
const readIndexTimeout = 100 * time.Millisecond

// PendingRead is a read that waits for news up to a time on the host's clock.
type PendingRead struct {
	KnownEpochs map[string]uint64                         // epochs that its caller has
	Deadline    time.Duration                             // it waits for news
	Respond     func(found map[string]statemachine.Table) // called once; it must not block

	// IsCanceled tells that nobody waits for the answer any more; nil: somebody always does.
	IsCanceled func() bool

	confirmed  bool   // what stands here was confirmed since it came
	requestSeq uint64 // of the confirmation that it waits for; 0: none
	final      bool   // that one began after its wait was over
}

// ReadQueue are those that wait at one voter. All that come while a confirmation is on its way share the next. What a
// majority confirmed after a read came answers it, so that a voter cut off from the others answers none.
type ReadQueue struct {
	node           *Node
	pending        []*PendingRead
	requestSeq     uint64 // of the confirmation on its way; 0: none
	requestedAt    time.Duration
	confirmedIndex uint64 // 0: not confirmed yet; else what must be applied
}

// NewReadQueue makes an empty one.
func NewReadQueue(n *Node) *ReadQueue { return &ReadQueue{node: n} }

// Add takes a read.
func (q *ReadQueue) Add(read *PendingRead, now time.Duration) {
	q.pending = append(q.pending, read)
	q.requestReadIndex(now)
}

// requestReadIndex begins a confirmation where reads wait for one and none is on its way.
func (q *ReadQueue) requestReadIndex(now time.Duration) {
	need := func(read *PendingRead) bool { return read.requestSeq == 0 && (!read.confirmed || now >= read.Deadline) }
	if q.requestSeq != 0 || q.node.Leader() == 0 || !slices.ContainsFunc(q.pending, need) {
		return
	}
	q.requestSeq, q.requestedAt, q.confirmedIndex = q.node.RequestReadIndex(), now, 0
	for _, read := range q.pending {
		if need(read) {
			read.requestSeq, read.final = q.requestSeq, now >= read.Deadline
		}
	}
}

// Tick looks after reads whose wait is over or whose caller has gone, and confirmations that were lost.
func (q *ReadQueue) Tick(now time.Duration) {
	q.pending = slices.DeleteFunc(q.pending, func(read *PendingRead) bool { return read.IsCanceled != nil && read.IsCanceled() })
	if q.requestSeq != 0 && q.confirmedIndex == 0 && now-q.requestedAt > readIndexTimeout {
		q.requestSeq = 0
		for _, read := range q.pending {
			read.requestSeq = 0
		}
	}
	q.requestReadIndex(now)
}

// HandleApplied answers reads after something was confirmed or applied.
func (q *ReadQueue) HandleApplied(applied AppliedResult, now time.Duration) {
	for _, c := range applied.ReadIndexes {
		if c.Seq == q.requestSeq {
			q.confirmedIndex = max(c.Index, 1)
		}
	}
	arrived, requestSeq := q.requestSeq != 0 && q.confirmedIndex > 0 && q.node.AppliedIndex() >= q.confirmedIndex, q.requestSeq
	if !arrived && !applied.StateChanged {
		return
	}
	if arrived {
		q.requestSeq = 0
	}
	q.pending = slices.DeleteFunc(q.pending, func(read *PendingRead) bool {
		done := false
		if arrived && read.requestSeq == requestSeq {
			read.confirmed, read.requestSeq, done = true, 0, read.final
		}
		if !read.confirmed {
			return false
		}
		found := q.node.State().ChangedSince(read.KnownEpochs)
		if len(found) == 0 && !done {
			return false
		}
		read.Respond(found)
		return true
	})
	q.requestReadIndex(now)
}
