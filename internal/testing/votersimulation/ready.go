package votersimulation

import (
	"github.com/fxamacker/cbor/v2"

	"harrierhoist/internal/coordination/consensus"
)

// crashPoint is where a crash comes while a record is written and messages are sent.
type crashPoint int

const (
	noCrash     crashPoint = iota
	beforeWrite            // nothing of the record is on disk
	beforeSync             // the record may be on disk after the crash, or not
	beforeSend             // the record is on disk, no message is sent
	midSend                // some of the messages are sent
	crashPoints = midSend
)

// Compaction of a node's records.
const (
	maxRecords      = 40 // after which they are replaced by a checkpoint: few, so that runs do it
	retainedEntries = 10
)

// The fields of a consensus record that tell whether it only holds a vote; see its encoding.
const (
	recordSnapshot = 2
	recordEntries  = 3
)

// processReady does what the consensus node has ready, and checks what came of it.
func (n *node) processReady() {
	for n.up && !n.syncing {
		ready, ok, err := n.consensus.Ready()
		if err != nil {
			n.violation(err)
		}
		if !ok || !n.handleReady(ready) {
			break
		}
	}
	if n.up && !n.syncing && len(n.synced)+len(n.unsynced) > maxRecords {
		if err := n.consensus.Compact(retainedEntries); err != nil {
			n.violation(err)
		}
		n.writeCheckpoint(n.consensus)
	}
	n.checkInvariants()
}

// handleReady writes, sends and applies, or crashes in between. It returns false if the node cannot
// go on now.
func (n *node) handleReady(ready consensus.Ready) bool {
	crashAt := n.crashPoint
	if ready.Record == nil {
		crashAt = noCrash
	}
	n.send(ready.EarlyMessages)
	if n.sim.bug == SendBeforeSync {
		n.send(ready.Messages)
	}
	losesWrite := crashAt == beforeWrite || crashAt == beforeSync && n.sim.rng.IntN(2) == 0
	failsToWrite := ready.Record != nil && n.diskFull
	if losesWrite || failsToWrite {
		n.crash()
		return false
	}
	if ready.Record == nil {
		return n.finishReady(ready, noCrash)
	}
	if n.syncDelay > 0 {
		n.syncLater(ready, crashAt)
		return false
	}
	n.saveRecord(ready.Record)
	return n.finishReady(ready, crashAt)
}

// syncLater writes a record to a slow disk.
func (n *node) syncLater(ready consensus.Ready, crashAt crashPoint) {
	n.syncing = true
	incarnation := n.incarnation
	n.sim.after(n.syncDelay, func() {
		if !n.up || n.incarnation != incarnation {
			return // it crashed before the sync was complete
		}
		n.syncing = false
		n.saveRecord(ready.Record)
		finish := func() { n.finishReady(ready, crashAt) }
		n.deferred = append([]func(){finish}, n.deferred...) // before what arrived meanwhile
		n.runDeferred()
	})
}

// finishReady goes on once the record is on disk.
func (n *node) finishReady(ready consensus.Ready, crashAt crashPoint) bool {
	switch crashAt {
	case beforeSync, beforeSend:
		n.crash()
		return false
	case midSend:
		n.send(ready.Messages[:n.sim.rng.IntN(len(ready.Messages)+1)])
		n.crash()
		return false
	case noCrash, beforeWrite:
	}
	if n.sim.bug != SendBeforeSync {
		n.send(ready.Messages)
	}
	applied, err := n.consensus.Advance(ready)
	if err != nil {
		n.violation(err)
		n.crash()
		return false
	}
	for _, outcome := range applied.Outcomes {
		if respond := n.proposals[outcome.Seq]; respond != nil {
			delete(n.proposals, outcome.Seq)
			respond(outcome)
		}
	}
	n.readQueue.HandleApplied(applied, n.now())
	return true
}

func (n *node) saveRecord(record []byte) {
	if n.sim.bug == VoteWithoutSync && isVote(record) {
		n.unsynced = append(n.unsynced, record)
		return
	}
	n.synced = append(n.synced, record)
}

// isVote reports whether a record holds neither entries nor a snapshot.
func isVote(record []byte) bool {
	var fields map[uint64]cbor.RawMessage
	return cbor.Unmarshal(record, &fields) == nil && fields[recordEntries] == nil && fields[recordSnapshot] == nil
}

// writeCheckpoint replaces all records by one.
func (n *node) writeCheckpoint(from *consensus.Node) {
	checkpoint, err := from.Checkpoint()
	if err != nil {
		n.violation(err)
	}
	n.synced = [][]byte{checkpoint}
	n.unsynced = nil
}
