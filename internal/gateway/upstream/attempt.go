package upstream

import (
	"context"
	"errors"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/internal/gateway/resp"
	"harrierhoist/policy"
)

// Command is what an attempt carries: the command in the client's words, except for the timeout.
type Command struct {
	Verb, Customer, ID string
	ParamsBefore       string // the list of names and values, up to the figure of the timeout
	ParamsAfter        string // the list from behind that figure
	Body               *resp.Bulk
}

// decimal is the base of the numbers in commands.
const decimal = 10

// toWire returns the command with the milliseconds that are left to the deadline, at least 1.
func (c *Command) toWire(deadline time.Time) *resp.Command {
	remaining := max(time.Until(deadline), time.Millisecond)
	params := c.ParamsBefore + strconv.FormatInt(remaining.Milliseconds(), decimal) + c.ParamsAfter
	return &resp.Command{Words: []string{c.Verb, c.Customer, c.ID, params}, Body: c.Body}
}

// Attempt sends a command to the server of a decision and waits for how that ends. A value comes
// only with Answered, and the caller frees it. Cancelled before its first byte, an attempt writes
// nothing, however late its connection comes up; cancelled later, it closes its connection.
func (p *Pool) Attempt(decision dispatch.Decision, command *Command) (dispatch.Result, *resp.Bulk) {
	ctx := decision.Context
	key := keyOf(decision.Server)
	startedAt := time.Now()
	if ctx.Err() != nil {
		return dispatch.Result{Outcome: policy.NotSent}, nil
	}
	conn, err := p.connections.acquire(ctx, key, decision.WriteDeadline)
	if err != nil {
		return dispatch.Result{Outcome: unsentOutcome(&decision, err)}, nil
	}
	if !time.Now().Before(decision.WriteDeadline) || !decision.BeginSend() {
		p.connections.returnUnwritten(key, conn)
		return dispatch.Result{Outcome: policy.NotSent}, nil
	}
	stopAbort := context.AfterFunc(ctx, conn.Abort)
	idleFor := time.Since(conn.lastUsed)
	reply, state := p.exchange(ctx, conn, command.toWire(decision.Deadline), decision.WriteDeadline, decision.Deadline)
	stillWanted := stopAbort()
	if conn.wasIdle() && stillWanted {
		p.connections.recordUse(idleFor, state.lostConnection())
	}
	if state == exchangeAnswered {
		result, value, wellFormed := p.parseReply(reply)
		if wellFormed && stillWanted {
			p.connections.putIdle(key, conn)
		} else {
			p.connections.close(conn) // an answer that came while it was cancelled counts all the same
		}
		return result, value
	}
	p.connections.close(conn)
	outcome := unansweredOutcome(&decision, state, stillWanted)
	if !stillWanted || state == exchangeTimedOut {
		// The machine may be gone without a word, and the older connections to it silent too.
		p.connections.closeIdleBefore(key, startedAt)
	}
	return dispatch.Result{Outcome: outcome}, nil
}

// unansweredOutcome returns the outcome of an attempt that has no answer, by how far its exchange
// came: with its last byte unwritten it never ran, else it may have run.
func unansweredOutcome(decision *dispatch.Decision, state exchangeState, stillWanted bool) policy.Outcome {
	switch {
	case state == exchangeUnwritten:
		return unsentOutcome(decision, nil)
	case !stillWanted:
		return policy.Cancelled
	case state == exchangeTimedOut:
		return policy.TimedOut
	default:
		return policy.Reset
	}
}

// isLocalFailure reports whether a connection did not come up for a cause on this machine: no
// connection to spare, no descriptor, memory, port or route. It says nothing about the server.
func isLocalFailure(err error) bool {
	for _, cause := range []error{
		errPoolExhausted, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EADDRNOTAVAIL, unix.ENETUNREACH,
	} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// unsentOutcome returns the outcome of an attempt whose last byte was not written; err is that of
// its dial, nil where it had a connection. A server is not to be ejected for a cancelled attempt,
// a failure on this machine, or an attempt that passed its write deadline.
func unsentOutcome(decision *dispatch.Decision, err error) policy.Outcome {
	if decision.Context.Err() != nil || isLocalFailure(err) || isTooLateForRetry(decision) {
		return policy.NotSent
	}
	return policy.ConnectFailed
}

// isTooLateForRetry reports whether the write deadline, which leaves time for a retry, has passed.
func isTooLateForRetry(decision *dispatch.Decision) bool {
	return decision.WriteDeadline.Before(decision.Deadline) && !time.Now().Before(decision.WriteDeadline)
}
