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

// Command is what an attempt carries: the command as the client worded it, but for the time that we will wait.
type Command struct {
	Verb, Customer, ID        string
	ParamsBefore, ParamsAfter string // the list of names and values, up to the figure of the timeout and from behind it
	Body                      *resp.Bulk
}

// toWire gives the command with the milliseconds that are left to the deadline, 1 at least.
func (c *Command) toWire(deadline time.Time) *resp.Command {
	remainingMs := max(time.Until(deadline).Milliseconds(), 1)
	params := c.ParamsBefore + strconv.FormatInt(remainingMs, 10) + c.ParamsAfter
	return &resp.Command{Words: []string{c.Verb, c.Customer, c.ID, params}, Body: c.Body}
}

// Attempt sends a command to the server of a decision and waits for how that ends. A value comes only with Answered, and is
// the caller's to free. Cancelled before its first byte, an attempt writes nothing, however late its connection comes up;
// abandoned later, it closes its connection.
func (p *Pool) Attempt(decision dispatch.Decision, command *Command) (dispatch.Result, *resp.Bulk) {
	ctx, key := decision.Context, keyOf(decision.Server)
	startedAt := time.Now()
	if ctx.Err() != nil {
		return dispatch.Result{Outcome: policy.NotSent}, nil
	}
	conn, err := p.connections.acquire(ctx, key, decision.WriteDeadline)
	if err != nil {
		return dispatch.Result{Outcome: unsentOutcome(&decision, err)}, nil
	}
	if !time.Now().Before(decision.WriteDeadline) || !decision.Begin() {
		p.connections.returnUnwritten(key, conn)
		return dispatch.Result{Outcome: policy.NotSent}, nil
	}
	stopAbort := context.AfterFunc(ctx, conn.Abort)
	idleFor := time.Since(conn.lastUsed)
	reply, state := p.exchange(ctx, conn, command.toWire(decision.Deadline), decision.WriteDeadline, decision.Deadline)
	stillWanted := stopAbort()
	if !conn.lastUsed.IsZero() && stillWanted {
		p.connections.recordUse(idleFor, state == exchangeClosed || state == exchangeUnwritten)
	}
	if state == exchangeAnswered {
		result, value, wellFormed := p.parseReply(reply)
		if wellFormed && stillWanted {
			p.connections.putIdle(key, conn)
		} else {
			p.connections.close(conn) // of no use after a malformed answer; abandoned as it came, a good one counts all the same
		}
		return result, value
	}
	p.connections.close(conn)
	outcome := unansweredOutcome(&decision, state, stillWanted)
	if !stillWanted || state == exchangeTimedOut {
		// No answer: the machine may be gone without a word. Connections to it that were last used before are closed, as they
		// would be silent too; if it was one long request, they are made again.
		p.connections.closeIdleBefore(key, startedAt)
	}
	return dispatch.Result{Outcome: outcome}, nil
}

// unansweredOutcome is the outcome of an attempt whose exchange ended so, with no answer.
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

// isLocalFailure tells whether a connection did not come up for a cause on this machine: no connection to spare, no descriptor,
// memory, port or route. Cost: a server behind a route that is missing for good is not ejected; its attempts go elsewhere.
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

// unsentOutcome is the outcome of an attempt that never reached a server to its last byte. One that ran out of the time in
// which it could be retried says nothing of the server, nor does one for which we had no connection to spare: a good server
// would be ejected for it.
func unsentOutcome(decision *dispatch.Decision, err error) policy.Outcome {
	isTooLateForRetry := decision.WriteDeadline.Before(decision.Deadline) && !time.Now().Before(decision.WriteDeadline)
	if decision.Context.Err() != nil || isLocalFailure(err) || isTooLateForRetry {
		return policy.NotSent
	}
	return policy.ConnectFailed
}
