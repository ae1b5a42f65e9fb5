package load

import (
	"context"
	"fmt"
	"strings"
	"time"

	"harrierhoist/internal/gateway/resp"
	"harrierhoist/internal/lab/emulation"
	"harrierhoist/internal/lab/invariants"
	"harrierhoist/internal/lab/scenario"
)

// answerSlack is how long after its deadline a request's answer is waited for.
const answerSlack = 50 * time.Millisecond

// The verbs of the client protocol.
const (
	verbQuery  = "SVC.QUERY"  // of idempotent requests
	verbSubmit = "SVC.SUBMIT" // of all others; a body follows
)

// outcome is what came of a request.
type outcome uint8

const (
	served outcome = iota
	wrongAnswer
	rejected
	terminated
	disconnected
)

// send sends a request and waits for its answer.
func (r *run) send(ctx context.Context, req request) outcome {
	class := &r.Scenario.Classes[req.class]
	deadline := r.start.Add(req.due + class.Timeout.D())
	left := time.Until(deadline)
	if left <= 0 {
		return disconnected
	}
	conn, err := r.conns.acquire(ctx, req.gateway, left)
	if err != nil {
		return disconnected
	}
	command := r.command(req, class, left)
	r.recordAccepted(req, left)
	reply, err := exchange(conn, deadline.Add(answerSlack), command)
	if err != nil {
		_ = conn.Close() // it failed before
		return disconnected
	}
	r.conns.release(req.gateway, conn)
	result := outcomeOf(req, reply)
	if r.Recorder != nil {
		r.Recorder.Record(func(checker *invariants.Checker, at time.Duration) {
			checker.RequestAnswered(at, req.id, result != wrongAnswer)
		})
	}
	return result
}

// outcomeOf judges an answer and frees its value.
func outcomeOf(req request, reply *resp.Reply) outcome {
	switch {
	case reply.Value != nil:
		defer reply.Value.Free()
		if reply.Value.String() != emulation.Value(req.id) {
			return wrongAnswer
		}
		return served
	case reply.Kind == '-' && strings.HasPrefix(reply.Line, "BUSY"):
		return rejected
	}
	return terminated
}

// command is a request on the wire. The time left until its deadline is d, in ms; k is its
// idempotency key.
func (r *run) command(req request, class *scenario.TrafficClass, left time.Duration) *resp.Command {
	verb := verbSubmit
	key := ""
	switch class.Effect {
	case scenario.EffectIdempotent:
		verb = verbQuery
	case scenario.EffectKeyed:
		key = fmt.Sprintf("k=%016x,", req.id)
	}
	arguments := fmt.Sprintf("c=%s,t=%s,d=%d,%sunits=%g,spread=%d,first=0", class.Name, r.Scenario.Plans[req.plan].Name,
		left.Milliseconds(), key, req.units, len(r.Gateways))
	words := []string{verb, fmt.Sprintf("%016x", req.customer), fmt.Sprintf("%016x", req.id), arguments}
	if verb == verbSubmit {
		words = append(words, "body")
	}
	return &resp.Command{Words: words}
}

func (r *run) recordAccepted(req request, left time.Duration) {
	if r.Recorder == nil {
		return
	}
	classes := r.Scenario.PolicySettings(0).Classes
	r.Recorder.Record(func(checker *invariants.Checker, at time.Duration) {
		checker.RequestAccepted(invariants.Request{
			ID:         req.id,
			Key:        req.id,
			Customer:   req.customer,
			Class:      classes[req.class],
			Plan:       req.plan,
			Units:      req.units,
			AcceptedAt: at,
			Deadline:   at + left,
		})
	})
}

func exchange(conn *resp.Conn, deadline time.Time, command *resp.Command) (*resp.Reply, error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, err
	}
	if err := conn.WriteCommand(command); err != nil {
		return nil, err
	}
	if err := conn.Await(); err != nil {
		return nil, err
	}
	return conn.ReadReply()
}
