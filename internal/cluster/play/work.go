package play

import (
	"github.com/fxamacker/cbor/v2"

	"harrierhoist/internal/cluster/core"
)

// handle writes, sends and applies, or crashes in the midst of it.
func (n *node) handle(r core.Ready) bool {
	doomed := n.doomed
	if r.Record == nil {
		doomed = 0
	}
	n.send(r.Early)
	if n.w.bug == SendBeforeSync {
		n.send(r.Messages)
	}
	if doomed == beforeWrite || doomed == beforeSync && n.w.chance.IntN(2) == 0 || r.Record != nil && n.full {
		n.crash()
		return false
	}
	if r.Record == nil {
		return n.finish(r, 0)
	}
	if n.slow > 0 {
		n.writing = true
		life := n.life
		n.w.at(n.slow, func() {
			if !n.up || n.life != life {
				return // it died before the sync was over
			}
			n.writing = false
			n.save(r.Record)
			n.queue = append([]func(){func() { n.finish(r, doomed) }}, n.queue...) // before what came meanwhile
			n.catchUp()
		})
		return false
	}
	n.save(r.Record)
	return n.finish(r, doomed)
}

// finish goes on once the record is on disk.
func (n *node) finish(r core.Ready, doomed int) bool {
	if doomed == beforeSync || doomed == beforeSend {
		n.crash()
		return false
	}
	if doomed == midSend {
		n.send(r.Messages[:n.w.chance.IntN(len(r.Messages)+1)])
		n.crash()
		return false
	}
	if n.w.bug != SendBeforeSync {
		n.send(r.Messages)
	}
	done, err := n.core.Done(r)
	if err != nil {
		n.w.problem("voter %d: %v", n.member.Number, err)
		n.crash()
		return false
	}
	for _, o := range done.Results {
		if answer := n.proposed[o.Seq]; answer != nil {
			delete(n.proposed, o.Seq)
			answer(o)
		}
	}
	n.reads.Done(done, n.now())
	return true
}

func (n *node) save(record []byte) {
	var parts map[uint64]cbor.RawMessage
	if n.w.bug == VoteWithoutSync && cbor.Unmarshal(record, &parts) == nil && parts[3] == nil && parts[2] == nil {
		n.loose = append(n.loose, record)
		return
	}
	n.disk = append(n.disk, record)
}

func (n *node) send(messages []core.Message) {
	for _, m := range messages {
		to := n.w.node(m.To.Number)
		if to == nil {
			continue
		}
		n.w.carry(n.member.Number, m.To.Number, func() {
			to.do(func() {
				if digests, err := to.core.Step(m.Body); err == nil {
					to.gather.TakeOver(digests)
				}
			})
		})
	}
}

func (w *world) node(number uint64) *node {
	if number == 0 || number > uint64(len(w.nodes)) {
		return nil
	}
	return w.nodes[number-1]
}

func (n *node) pass() {
	n.core.Mark()
	s := n.core.Status()
	if s.Leader == 0 || s.Leader == s.Number {
		return
	}
	if m, ok, err := n.core.Evidence(n.gather.Pass(s.Term)); ok && err == nil {
		n.send([]core.Message{m})
	}
}
