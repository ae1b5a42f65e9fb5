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

// Command is the command that an attempt sends: the client's own words, except for the timeout,
// which is computed when the attempt is sent.
type Command struct {
	Verb, Customer, ID string
	ParamsBefore       string     // parameter list up to the value of the timeout
	ParamsAfter        string     // parameter list after the value of the timeout
	Body               *resp.Bulk // nil if the command has no body
}

// decimal is the base of the numbers in commands.
const decimal = 10

// toWire returns the command to send. Its timeout is the time left until the deadline in
// milliseconds, at least 1.
func (c *Command) toWire(deadline time.Time) *resp.Command {
	remaining := max(time.Until(deadline), time.Millisecond)
	params := c.ParamsBefore + strconv.FormatInt(remaining.Milliseconds(), decimal) + c.ParamsAfter
	return &resp.Command{Words: []string{c.Verb, c.Customer, c.ID, params}, Body: c.Body}
}

// Attempt sends a command to the server of a decision and blocks until the attempt has an outcome.
// The returned value is non-nil if and only if the outcome is Answered; the caller must free it. If
// the decision's context is cancelled before the first byte is written, nothing is written, even if
// the connection is established later. If it is cancelled later, the connection is closed.
func (p *Pool) Attempt(decision dispatch.Decision, command *Command) (dispatch.Result, *resp.Bulk) {
	ctx := decision.Context
	key := endpointKeyOf(decision.Server)
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
	stillWanted := stopAbort() // false if the context was done before the exchange ended
	if conn.wasIdle() && stillWanted {
		p.connections.recordUse(idleFor, state.lostConnection())
	}
	if state == exchangeAnswered {
		// The answer counts even if the attempt was cancelled before it was read. The connection is
		// then not reused, because the abort would affect the next attempt on it.
		result, value, wellFormed := p.parseReply(reply)
		if wellFormed && stillWanted {
			p.connections.putIdle(key, conn)
		} else {
			p.connections.close(conn)
		}
		return result, value
	}
	p.connections.close(conn)
	outcome := unansweredOutcome(&decision, state, stillWanted)
	if !stillWanted || state == exchangeTimedOut {
		// No complete answer arrived before the deadline or the cancellation. The server may have
		// failed without closing its connections, so those last used before this attempt may be
		// dead too.
		p.connections.closeIdleBefore(key, startedAt)
	}
	return dispatch.Result{Outcome: outcome}, nil
}

// unansweredOutcome returns the outcome of an attempt without an answer. If the last byte of its
// command was not written, the command never ran; otherwise it may have run.
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

// isLocalFailure reports whether a connection could not be established because of this machine: the
// pool is exhausted, or there is no free file descriptor, memory, local port or route. Such a
// failure says nothing about the server's health.
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

// unsentOutcome returns the outcome of an attempt whose last byte was not written. err is the error
// from acquiring its connection, nil if it had one. The outcome is NotSent, which does not count
// against the server, if the attempt was cancelled, if the failure was on this machine, or if the
// attempt passed a write deadline that was set to leave time for a retry.
func unsentOutcome(decision *dispatch.Decision, err error) policy.Outcome {
	if decision.Context.Err() != nil || isLocalFailure(err) || isTooLateForRetry(decision) {
		return policy.NotSent
	}
	return policy.ConnectFailed
}

// isTooLateForRetry reports whether the decision's write deadline was set to leave time for a retry
// and has passed. A write deadline leaves time for a retry if it is before the deadline.
func isTooLateForRetry(decision *dispatch.Decision) bool {
	return decision.WriteDeadline.Before(decision.Deadline) && !time.Now().Before(decision.WriteDeadline)
}
