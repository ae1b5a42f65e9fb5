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

	confirmation confirmation
	requestSeq   uint64       // of the read index request that it waits for; 0: none
	requested    confirmation // what the answer to that request makes of it
}

// confirmation is what a majority confirmed for a pending read.
type confirmation uint8

const (
	// unconfirmed: nothing since the read arrived. It must not be answered.
	unconfirmed confirmation = iota
	// confirmed: this voter's state since the read arrived. The next change answers the read.
	confirmed
	// confirmedAfterDeadline: the state at the end of its wait. The read is answered, changed or
	// not.
	confirmedAfterDeadline
)

// needsRequest reports whether the read has to wait for a read index request that is yet to be
// made.
func (r *PendingRead) needsRequest(now time.Duration) bool {
	return r.requestSeq == 0 && (r.confirmation == unconfirmed || now >= r.Deadline)
}

// awaitRequest has the read wait for the request that is made now.
func (r *PendingRead) awaitRequest(seq uint64, now time.Duration) {
	r.requestSeq = seq
	r.requested = confirmed
	if now >= r.Deadline {
		r.requested = confirmedAfterDeadline
	}
}

// confirm takes notice that the request which the read waited for was answered.
func (r *PendingRead) confirm() {
	r.requestSeq = 0
	r.confirmation = r.requested
}

// readIndexRequest is a queue's request to the majority. The zero value stands for none.
type readIndexRequest struct {
	seq            uint64
	sentAt         time.Duration
	confirmedIndex uint64 // to be applied before reads are answered; 0: not answered yet
}

func (r readIndexRequest) isPending() bool { return r.seq != 0 }

// isLost decides whether a pending request is made again: it was not answered in time.
func (r readIndexRequest) isLost(now time.Duration) bool {
	isUnanswered := r.isPending() && r.confirmedIndex == 0
	return isUnanswered && now-r.sentAt > readIndexTimeout
}

// isComplete decides whether the reads that wait for the request are confirmed: it was answered,
// and this voter has applied the log up to the index of the answer.
func (r readIndexRequest) isComplete(appliedIndex uint64) bool {
	isAnswered := r.isPending() && r.confirmedIndex > 0
	return isAnswered && appliedIndex >= r.confirmedIndex
}

// ReadQueue holds the pending reads of one voter. Those that arrive while a read index request is
// on its way share the next one. A read is only answered with what a majority confirmed after its
// arrival, so a voter that is cut off from the others answers none. It is not safe for concurrent
// use.
type ReadQueue struct {
	node    *Node
	pending []*PendingRead   // in the order of their arrival
	request readIndexRequest // on its way, for all reads that wait for its sequence number
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
	if q.request.isPending() || q.node.Leader() == 0 || !slices.ContainsFunc(q.pending, needed) {
		return
	}
	q.request = readIndexRequest{seq: q.node.RequestReadIndex(), sentAt: now}
	for _, read := range q.pending {
		if needed(read) {
			read.awaitRequest(q.request.seq, now)
		}
	}
}

// Tick drops canceled reads, gives up a request that was lost, and makes the request that reads
// past their deadline need.
func (q *ReadQueue) Tick(now time.Duration) {
	q.pending = slices.DeleteFunc(q.pending, func(read *PendingRead) bool {
		return read.IsCanceled != nil && read.IsCanceled()
	})
	if q.request.isLost(now) {
		q.request = readIndexRequest{}
		for _, read := range q.pending {
			read.requestSeq = 0
		}
	}
	q.requestReadIndex(now)
}

// HandleApplied answers the reads that can be answered after Node.Advance.
func (q *ReadQueue) HandleApplied(applied AppliedResult, now time.Duration) {
	for _, readIndex := range applied.ReadIndexes {
		if readIndex.Seq == q.request.seq {
			q.request.confirmedIndex = max(readIndex.Index, 1)
		}
	}
	completed := uint64(0) // the request whose index is applied now; 0: none
	if q.request.isComplete(q.node.AppliedIndex()) {
		completed = q.request.seq
		q.request = readIndexRequest{}
	}
	if completed == 0 && !applied.StateChanged {
		return
	}
	q.pending = slices.DeleteFunc(q.pending, func(read *PendingRead) bool { return q.answer(read, completed) })
	q.requestReadIndex(now)
}

// answer responds to a read if it can, and reports whether it did. completed is the sequence number
// of the request that was just completed; 0: none.
func (q *ReadQueue) answer(read *PendingRead, completed uint64) bool {
	if completed != 0 && read.requestSeq == completed {
		read.confirm()
	}
	if read.confirmation == unconfirmed {
		return false
	}
	changed := q.node.State().ChangedSince(read.KnownEpochs)
	if len(changed) == 0 && read.confirmation != confirmedAfterDeadline {
		return false
	}
	read.Respond(changed)
	return true
}
