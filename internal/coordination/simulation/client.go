package simulation

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"harrierhoist/internal/coordination/consensus"
	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
)

const (
	tableName   = "plan"
	countName   = "pushes"
	callTimeout = 400 * time.Millisecond // of a client with one call
	maxCalls    = 25                     // of a client in a run: histories stay short enough to be searched
)

// call is one call of a client, as it goes into the history.
type call struct {
	write  bool
	epoch  uint64 // write: that the table must stand at
	value  string
	answer answer
}

// answer is what came back.
type answer struct {
	known   bool // false: nothing came until the end
	applied bool
	epoch   uint64
	value   string
}

// client makes one call after the other, and asks again under the same number until it has an answer.
type client struct {
	sim        *simulation
	id         int
	callNumber uint64
	voterIndex int // which voter it asks
	epoch      uint64
	attempt    int // tells late answers
	call       call
	startedAt  time.Duration
	pending    bool
}

func newClient(s *simulation, id int) *client {
	c := &client{sim: s, id: id, voterIndex: id}
	s.after(time.Duration(s.rng.Int64N(int64(time.Second))), c.startNext)
	return c
}

func (c *client) startNext() {
	if c.callNumber >= maxCalls || c.sim.now > runDuration-2*callTimeout {
		return
	}
	c.callNumber++
	c.call = call{write: c.sim.rng.IntN(3) > 0, epoch: c.epoch, value: fmt.Sprintf("%d-%d", c.id, c.callNumber)}
	c.startedAt, c.pending = c.sim.now, true
	c.send(c.callNumber)
}

func (c *client) send(number uint64) {
	if !c.pending || c.callNumber != number {
		return
	}
	c.attempt++
	attempt := c.attempt
	nodes := c.sim.nodes
	n := nodes[c.voterIndex%len(nodes)]
	respond := func(a answer) {
		c.sim.deliver(0, 0, func() { c.handleAnswer(number, attempt, a) })
	}
	request := c.call
	c.sim.deliver(0, 0, func() { n.execute(func() { n.serveCall(c, number, attempt, request, respond) }) })
	c.sim.after(callTimeout, func() {
		if c.pending && c.callNumber == number && c.attempt == attempt {
			c.voterIndex++
			c.send(number)
		}
	})
}

// serveCall is a voter's end of a call.
func (n *node) serveCall(c *client, number uint64, attempt int, request call, respond func(answer)) {
	if !request.write {
		if n.sim.bug == ReadWithoutQuorum {
			e := n.consensus.State().Table(tableName)
			respond(answer{known: true, epoch: e.Epoch, value: string(e.Value)})
			return
		}
		n.readQueue.Add(&consensus.PendingRead{Deadline: n.now(), Respond: func(found map[string]statemachine.Table) {
			respond(answer{known: true, epoch: found[tableName].Epoch, value: string(found[tableName].Value)})
		}}, n.now())
		return
	}
	if n.sim.bug == CommandAppliedTwice {
		number = number*1000 + uint64(attempt)
	}
	seq, err := n.consensus.Propose(statemachine.Command{Kind: statemachine.Write, Proposer: fmt.Sprint(c.id), Number: number, Table: tableName,
		Epoch: request.epoch, Value: []byte(request.value)})
	if err != nil {
		respond(answer{})
		return
	}
	n.proposals[seq] = func(o consensus.Outcome) {
		respond(answer{known: true, applied: o.Result.Applied, epoch: o.Result.Epoch})
	}
}

func (c *client) handleAnswer(number uint64, attempt int, a answer) {
	if !c.pending || c.callNumber != number || !a.known && c.attempt != attempt {
		return
	}
	if !a.known { // it doesn't lead
		c.voterIndex++
		c.sim.after(20*time.Millisecond, func() { c.send(number) })
		return
	}
	c.pending, c.epoch = false, a.epoch
	c.call.answer = a
	c.sim.report.Answered++
	c.sim.history = append(c.sim.history, porcupine.Operation{ClientId: c.id, Input: c.call, Output: a,
		Call: int64(c.startedAt), Return: int64(c.sim.now)})
	c.sim.traceEvent("%+v", c.call)
	c.sim.after(time.Duration(c.sim.rng.Int64N(int64(400*time.Millisecond))), c.startNext)
}

// recordPending puts a call that has no answer into the history: it may have been done at any time, or not.
func (c *client) recordPending() {
	if c.pending {
		c.sim.history = append(c.sim.history, porcupine.Operation{ClientId: c.id, Input: c.call, Output: answer{},
			Call: int64(c.startedAt), Return: math.MaxInt64})
	}
}

// leaseHolder holds the table by a lease, and acts by it.
type leaseHolder struct {
	sim          *simulation
	id           int
	voterIndex   int
	epoch        uint64
	leaseEnd     time.Duration
	wallClockLag time.Duration // how far its wall clock was set back
	attempt      int
}

func newLeaseHolder(s *simulation, id int) *leaseHolder {
	h := &leaseHolder{sim: s, id: id, voterIndex: id}
	s.after(0, h.read)
	s.every(50*time.Millisecond, h.checkLease)
	return h
}

func (h *leaseHolder) clock() time.Duration {
	if h.sim.bug == LeaseByWallClock {
		if h.sim.rng.IntN(200) == 0 {
			h.wallClockLag += 5 * time.Second
		}
		return h.sim.now - h.wallClockLag
	}
	return h.sim.now
}

// read asks for news and waits for a quarter of the lease.
func (h *leaseHolder) read() {
	h.attempt++
	attempt, sent, known := h.attempt, h.clock(), h.epoch
	n := h.sim.nodes[h.voterIndex%len(h.sim.nodes)]
	got := func(found map[string]statemachine.Table) {
		h.sim.deliver(0, 0, func() { h.handleAnswer(attempt, sent, known, found) })
	}
	h.sim.deliver(0, 0, func() {
		n.execute(func() {
			n.readQueue.Add(&consensus.PendingRead{KnownEpochs: map[string]uint64{tableName: known}, Deadline: n.now() + leaseDuration/4, Respond: got}, n.now())
		})
	})
	h.sim.after(leaseDuration*3/4, func() {
		if h.attempt == attempt {
			h.voterIndex++
			h.read()
		}
	})
}

// handleAnswer takes what a read brought. One that is late still counts from when it was sent.
func (h *leaseHolder) handleAnswer(attempt int, sent time.Duration, known uint64, found map[string]statemachine.Table) {
	if h.sim.bug == LeaseFromResponse {
		sent = h.clock()
	}
	if e, ok := found[tableName]; ok {
		known = e.Epoch
	}
	switch {
	case known > h.epoch:
		h.epoch, h.leaseEnd = known, sent+leaseDuration
	case known == h.epoch:
		h.leaseEnd = max(h.leaseEnd, sent+leaseDuration)
	}
	if h.attempt == attempt {
		h.read()
	}
}

// checkLease checks the rule of a lease: what a holder acts by was the latest at some moment within the lease's length.
func (h *leaseHolder) checkLease() bool {
	if h.clock() < h.leaseEnd || h.sim.bug == LeaseIgnored && h.epoch > 0 {
		if since, ok := h.sim.committedAt[h.epoch+1]; ok && since < h.sim.now-leaseDuration {
			h.sim.violation("holder %d acts by an epoch that ended more than a lease ago", h.id)
		}
	}
	return h.sim.now < runDuration
}

// reporter is a process that counts and tells voters.
type reporter struct {
	sim        *simulation
	voterIndex int
	count      uint64
	serial     uint64
	session    uint64
	name       string
}

func newReporter(s *simulation, id int) *reporter {
	r := &reporter{sim: s, voterIndex: id, name: fmt.Sprint("g", id)}
	s.every(forwardInterval, r.report)
	return r
}

func (r *reporter) report() bool {
	r.count += uint64(r.sim.rng.IntN(100))
	r.serial++
	if r.sim.rng.IntN(10) == 0 { // no answer from this one
		r.voterIndex++
		if r.sim.bug != DigestsCountedTwice {
			r.session++
		}
	}
	n := r.sim.nodes[r.voterIndex%len(r.sim.nodes)]
	d := observation.Digest{Process: r.name, Incarnation: 1, Serial: r.serial, Session: r.session,
		Counts: map[string]uint64{countName: r.count}}
	r.sim.deliver(0, 0, func() { n.execute(func() { n.gatherer.AddFromProcesses([]observation.Digest{d}) }) })
	return r.sim.now < runDuration
}
