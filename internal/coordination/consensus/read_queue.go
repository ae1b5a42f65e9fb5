package consensus

import (
	"slices"
	"time"

	"harrierhoist/internal/coordination/statemachine"
)

// readIndexTimeout is after how long a read index request that was not answered is made again: a
// heartbeat or its response was lost.
const readIndexTimeout = 100 * time.Millisecond

// PendingRead is a read that waits for changed tables until a deadline on the host's clock.
type PendingRead struct {
	KnownEpochs map[string]uint64 // what the caller has, by table; see statemachine.State.ChangedSince
	Deadline    time.Duration
	Respond     func(changed map[string]statemachine.Table) // called once; it must not block
	// IsCanceled reports that nobody waits for the response any more; nil: somebody always does.
	IsCanceled func() bool

	confirmed  bool   // a majority confirmed this voter's state since the read arrived
	requestSeq uint64 // of the read index request that it waits for; 0: none
	final      bool   // that request was made after the deadline
}

// needsRequest reports whether the read has to wait for a read index request that is yet to be
// made.
func (r *PendingRead) needsRequest(now time.Duration) bool {
	return r.requestSeq == 0 && (!r.confirmed || now >= r.Deadline)
}

// ReadQueue holds the pending reads of one voter. Those that arrive while a read index request is
// on its way share the next one. A read is only answered with what a majority confirmed after its
// arrival, so a voter that is cut off from the others answers none. It is not safe for concurrent
// use.
type ReadQueue struct {
	node           *Node
	pending        []*PendingRead
	requestSeq     uint64 // of the request on its way; 0: none
	requestedAt    time.Duration
	confirmedIndex uint64 // to be applied before reads are answered; 0: the request is not answered yet
}

// NewReadQueue makes an empty queue of reads from a node.
func NewReadQueue(node *Node) *ReadQueue { return &ReadQueue{node: node} }

// Add takes a read.
func (q *ReadQueue) Add(read *PendingRead, now time.Duration) {
	q.pending = append(q.pending, read)
	q.requestReadIndex(now)
}

// requestReadIndex makes a request if a read needs one and none is on its way.
func (q *ReadQueue) requestReadIndex(now time.Duration) {
	needed := func(read *PendingRead) bool { return read.needsRequest(now) }
	if q.requestSeq != 0 || q.node.Leader() == 0 || !slices.ContainsFunc(q.pending, needed) {
		return
	}
	q.requestSeq = q.node.RequestReadIndex()
	q.requestedAt = now
	q.confirmedIndex = 0
	for _, read := range q.pending {
		if needed(read) {
			read.requestSeq = q.requestSeq
			read.final = now >= read.Deadline
		}
	}
}

// Tick drops canceled reads, gives up a request that was lost, and makes the request that reads
// past their deadline need.
func (q *ReadQueue) Tick(now time.Duration) {
	q.pending = slices.DeleteFunc(q.pending, func(read *PendingRead) bool {
		return read.IsCanceled != nil && read.IsCanceled()
	})
	if q.requestSeq != 0 && q.confirmedIndex == 0 && now-q.requestedAt > readIndexTimeout {
		q.requestSeq = 0
		for _, read := range q.pending {
			read.requestSeq = 0
		}
	}
	q.requestReadIndex(now)
}

// HandleApplied answers the reads that can be answered after Node.Advance.
func (q *ReadQueue) HandleApplied(applied AppliedResult, now time.Duration) {
	for _, readIndex := range applied.ReadIndexes {
		if readIndex.Seq == q.requestSeq {
			q.confirmedIndex = max(readIndex.Index, 1)
		}
	}
	completed := uint64(0) // the request whose index is applied now; 0: none
	if q.requestSeq != 0 && q.confirmedIndex > 0 && q.node.AppliedIndex() >= q.confirmedIndex {
		completed = q.requestSeq
		q.requestSeq = 0
	}
	if completed == 0 && !applied.StateChanged {
		return
	}
	q.pending = slices.DeleteFunc(q.pending, func(read *PendingRead) bool { return q.answer(read, completed) })
	q.requestReadIndex(now)
}

// answer responds to a read if it can, and reports whether it did.
func (q *ReadQueue) answer(read *PendingRead, completed uint64) bool {
	expired := false
	if completed != 0 && read.requestSeq == completed {
		read.confirmed = true
		read.requestSeq = 0
		expired = read.final
	}
	if !read.confirmed {
		return false
	}
	changed := q.node.State().ChangedSince(read.KnownEpochs)
	if len(changed) == 0 && !expired {
		return false
	}
	read.Respond(changed)
	return true
}
