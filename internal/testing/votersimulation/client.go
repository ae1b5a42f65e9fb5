package votersimulation

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"harrierhoist/internal/coordination/consensus"
	"harrierhoist/internal/coordination/statemachine"
)

// tableName is the table that clients write and lease holders act on.
const tableName = "plan"

// Calls of clients.
const (
	callTimeout    = 400 * time.Millisecond
	retryDelay     = 20 * time.Millisecond // after a voter that does not lead
	maxCallPause   = 400 * time.Millisecond
	maxClientStart = time.Second
	maxCalls       = 25 // of a client in a run: short histories can be searched
)

// call is one call of a client, as it goes into the history.
type call struct {
	write  bool
	epoch  uint64 // write: the table's current epoch
	value  string
	answer answer
}

// answer is what came back.
type answer struct {
	known   bool // false: there was no answer until the end
	applied bool
	epoch   uint64
	value   string
}

// client makes one call after the other, and repeats it under the same number until it has an
// answer.
type client struct {
	sim        *simulation
	id         int
	voterIndex int // of the voter that it asks

	epoch      uint64 // of the table, as last answered
	callNumber uint64
	attempt    int // tells late answers
	call       call
	startedAt  time.Duration
	pending    bool
}

func newClient(s *simulation, id int) *client {
	c := &client{sim: s, id: id, voterIndex: id}
	s.after(s.drawDuration(maxClientStart), c.startNext)
	return c
}

func (c *client) startNext() {
	if c.callNumber >= maxCalls || c.sim.now() > runDuration-2*callTimeout {
		return
	}
	c.callNumber++
	c.call = call{write: c.sim.rng.IntN(3) > 0, epoch: c.epoch, value: fmt.Sprintf("%d-%d", c.id, c.callNumber)}
	c.startedAt = c.sim.now()
	c.pending = true
	c.send(c.callNumber)
}

func (c *client) send(number uint64) {
	if !c.pending || c.callNumber != number {
		return
	}
	c.attempt++
	attempt := c.attempt
	request := c.call
	voter := c.sim.chooseNode(c.voterIndex)
	respond := func(a answer) {
		c.sim.network.deliver(outside, outside, func() { c.handleAnswer(number, attempt, a) })
	}
	c.sim.network.deliver(outside, outside, func() {
		voter.execute(func() { voter.serveCall(c.id, number, attempt, request, respond) })
	})
	c.sim.after(callTimeout, func() {
		if c.pending && c.callNumber == number && c.attempt == attempt {
			c.voterIndex++
			c.send(number)
		}
	})
}

func (c *client) handleAnswer(number uint64, attempt int, a answer) {
	isOfEarlierAttempt := !a.known && c.attempt != attempt
	if !c.pending || c.callNumber != number || isOfEarlierAttempt {
		return
	}
	if !a.known { // the voter does not lead
		c.voterIndex++
		c.sim.after(retryDelay, func() { c.send(number) })
		return
	}
	c.pending = false
	c.epoch = a.epoch
	c.call.answer = a
	c.sim.report.Answered++
	c.record(a, int64(c.sim.now()))
	c.sim.traceEvent("%+v", c.call)
	c.sim.after(c.sim.drawDuration(maxCallPause), c.startNext)
}

// recordPending puts a call without an answer into the history: it may have been applied at any
// time, or never.
func (c *client) recordPending() {
	if c.pending {
		c.record(answer{}, math.MaxInt64)
	}
}

func (c *client) record(a answer, returnedAt int64) {
	c.sim.history = append(c.sim.history, porcupine.Operation{
		ClientId: c.id,
		Input:    c.call,
		Output:   a,
		Call:     int64(c.startedAt),
		Return:   returnedAt,
	})
}

// serveCall is the voter's end of a client's call.
func (n *node) serveCall(client int, number uint64, attempt int, request call, respond func(answer)) {
	if !request.write {
		n.serveRead(respond)
		return
	}
	if n.sim.bug == CommandAppliedTwice {
		number = number*1000 + uint64(attempt)
	}
	seq, err := n.consensus.Propose(statemachine.Command{
		Kind:     statemachine.Write,
		Proposer: fmt.Sprint(client),
		Number:   number,
		Table:    tableName,
		Epoch:    request.epoch,
		Value:    []byte(request.value),
	})
	if err != nil {
		respond(answer{})
		return
	}
	n.proposals[seq] = func(outcome consensus.Outcome) {
		respond(answer{known: true, applied: outcome.Result.Applied, epoch: outcome.Result.Epoch})
	}
}

func (n *node) serveRead(respond func(answer)) {
	respondWith := func(table statemachine.Table) {
		respond(answer{known: true, epoch: table.Epoch, value: string(table.Value)})
	}
	if n.sim.bug == ReadWithoutQuorum {
		respondWith(n.consensus.State().Table(tableName))
		return
	}
	n.readQueue.Add(&consensus.PendingRead{
		Deadline: n.now(),
		Respond:  func(changed map[string]statemachine.Table) { respondWith(changed[tableName]) },
	}, n.now())
}
