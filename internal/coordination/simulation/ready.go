package simulation

import (
	"github.com/fxamacker/cbor/v2"

	"harrierhoist/internal/coordination/consensus"
)

// handleReady writes, sends and applies, or crashes in the midst of it.
func (n *node) handleReady(ready consensus.Ready) bool {
	crashPoint := n.crashPoint
	if ready.Record == nil {
		crashPoint = 0
	}
	n.send(ready.EarlyMessages)
	if n.sim.bug == SendBeforeSync {
		n.send(ready.Messages)
	}
	if crashPoint == beforeWrite || crashPoint == beforeSync && n.sim.rng.IntN(2) == 0 || ready.Record != nil && n.diskFull {
		n.crash()
		return false
	}
	if ready.Record == nil {
		return n.finishReady(ready, 0)
	}
	if n.syncDelay > 0 {
		n.syncing = true
		incarnation := n.incarnation
		n.sim.after(n.syncDelay, func() {
			if !n.up || n.incarnation != incarnation {
				return // it died before the sync was over
			}
			n.syncing = false
			n.saveRecord(ready.Record)
			n.deferred = append([]func(){func() { n.finishReady(ready, crashPoint) }}, n.deferred...) // before what came meanwhile
			n.runDeferred()
		})
		return false
	}
	n.saveRecord(ready.Record)
	return n.finishReady(ready, crashPoint)
}

// finishReady goes on once the record is on disk.
func (n *node) finishReady(ready consensus.Ready, crashPoint int) bool {
	if crashPoint == beforeSync || crashPoint == beforeSend {
		n.crash()
		return false
	}
	if crashPoint == midSend {
		n.send(ready.Messages[:n.sim.rng.IntN(len(ready.Messages)+1)])
		n.crash()
		return false
	}
	if n.sim.bug != SendBeforeSync {
		n.send(ready.Messages)
	}
	done, err := n.consensus.Advance(ready)
	if err != nil {
		n.sim.violation("voter %d: %v", n.member.Number, err)
		n.crash()
		return false
	}
	for _, o := range done.Outcomes {
		if answer := n.proposals[o.Seq]; answer != nil {
			delete(n.proposals, o.Seq)
			answer(o)
		}
	}
	n.readQueue.HandleApplied(done, n.now())
	return true
}

func (n *node) saveRecord(record []byte) {
	var parts map[uint64]cbor.RawMessage
	if n.sim.bug == VoteWithoutSync && cbor.Unmarshal(record, &parts) == nil && parts[3] == nil && parts[2] == nil {
		n.unsynced = append(n.unsynced, record)
		return
	}
	n.synced = append(n.synced, record)
}

func (n *node) send(messages []consensus.Message) {
	for _, m := range messages {
		to := n.sim.node(m.To.Number)
		if to == nil {
			continue
		}
		n.sim.deliver(n.member.Number, m.To.Number, func() {
			to.execute(func() {
				if digests, err := to.consensus.HandleMessage(m.Body); err == nil {
					to.gatherer.AddFromVoter(digests)
				}
			})
		})
	}
}

func (s *simulation) node(number uint64) *node {
	if number == 0 || number > uint64(len(s.nodes)) {
		return nil
	}
	return s.nodes[number-1]
}

func (n *node) forwardDigests() {
	n.consensus.ProposeDiskIDs()
	status := n.consensus.Status()
	if status.Leader == 0 || status.Leader == status.Number {
		return
	}
	if m, ok, err := n.consensus.DigestMessage(n.gatherer.ForLeader(status.Term)); ok && err == nil {
		n.send([]consensus.Message{m})
	}
}
