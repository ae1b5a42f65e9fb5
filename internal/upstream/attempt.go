package upstream

import (
	"context"
	"errors"
	"os"
	"strconv"
	"time"

	"harrierhoist/internal/dispatch"
	"harrierhoist/internal/resp"
	"harrierhoist/policy"
)

// Command is what a push carries: the command as the client worded it, but for the time that we will wait.
type Command struct {
	Verb, Customer, ID        string
	ParamsBefore, ParamsAfter string // the list of names and values, up to the patience's figure and from behind it
	Body                      *resp.Bulk
}

func (command *Command) toWire(deadline time.Time) *resp.Command {
	remainingMs := max(time.Until(deadline).Milliseconds(), 1)
	params := command.ParamsBefore + strconv.FormatInt(remainingMs, 10) + command.ParamsAfter
	return &resp.Command{Words: []string{command.Verb, command.Customer, command.ID, params}, Body: command.Body}
}

// Attempt sends a task to a server and waits for how that ends; a value comes only with Answered and is the
// caller's to free. Called off before its first byte it writes nothing, however late its connection comes up; given up
// later, it closes its connection.
func (p *Pool) Attempt(decision dispatch.Decision, command *Command) (dispatch.Result, *resp.Bulk) {
	ctx, key, deadline := decision.Context, keyOf(decision.Server), decision.Deadline
	startedAt := time.Now()
	if ctx.Err() != nil {
		return dispatch.Result{Outcome: policy.NotSent}, nil
	}
	conn, err := p.acquire(ctx, key, decision.WriteDeadline)
	if err != nil {
		return dispatch.Result{Outcome: unsentOutcome(&decision, err)}, nil
	}
	if !time.Now().Before(decision.WriteDeadline) || !decision.Begin() {
		p.returnUnwritten(key, conn)
		return dispatch.Result{Outcome: policy.NotSent}, nil
	}
	stopAbort := context.AfterFunc(ctx, conn.Abort)
	idleFor := time.Since(conn.lastUsed)
	reply, state := p.exchange(ctx, conn, command.toWire(deadline), decision.WriteDeadline, deadline)
	stillWanted := stopAbort()
	if !conn.lastUsed.IsZero() && stillWanted {
		p.mu.Lock()
		p.idleLosses.record(time.Now(), idleFor, state == exchangeClosed || state == exchangeUnwritten)
		p.mu.Unlock()
	}
	if state == exchangeAnswered {
		result, value, good := p.parseReply(reply)
		if good && stillWanted {
			p.putIdle(key, conn)
		} else {
			p.closeConnection(conn) // of no use after a spoilt answer; given up as it came, a good one counts all the same
		}
		return result, value
	}
	p.closeConnection(conn)
	result := dispatch.Result{Outcome: policy.Reset}
	switch {
	case state == exchangeUnwritten:
		result.Outcome = unsentOutcome(&decision, nil)
	case !stillWanted:
		result.Outcome = policy.Cancelled
	case state == exchangeTimedOut:
		result.Outcome = policy.TimedOut
	}
	if !stillWanted || state == exchangeTimedOut {
		// No answer: the machine may be gone without a word. Connections to it that were last used before are
		// dropped, as they would be silent too; if it was one long task, they are made again.
		p.closeIdleBefore(key, startedAt)
	}
	return result, nil
}

// exchangeState is how far an exchange came.
type exchangeState uint8

const (
	exchangeUnwritten exchangeState = iota // the command's last byte was not written
	exchangeTimedOut                       // no answer by the deadline
	exchangeClosed                         // the connection ended before an answer
	exchangeMalformed                      // an answer began and is none, or did not go on
	exchangeAnswered
)

// exchange sends a command, by a time, and waits for the reply until another. Once that has begun, the rest must follow
// in the time that a connection may take to come up: servers write an answer in one go.
func (p *Pool) exchange(ctx context.Context, conn *connection, command *resp.Command, writeDeadline, deadline time.Time) (*resp.Reply, exchangeState) {
	setDeadline := func(t time.Time) {
		_ = conn.SetDeadline(t)
		if ctx.Err() != nil { // given up meanwhile, which the limit has undone
			conn.Abort()
		}
	}
	setDeadline(writeDeadline)
	if conn.WriteCommand(command) != nil {
		return nil, exchangeUnwritten
	}
	if writeDeadline.Before(deadline) {
		setDeadline(deadline)
	}
	if err := conn.Await(); errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, exchangeTimedOut
	} else if err != nil {
		return nil, exchangeClosed
	}
	if replyDeadline := time.Now().Add(p.connectTimeout); replyDeadline.Before(deadline) {
		setDeadline(replyDeadline)
	}
	reply, err := conn.ReadReply()
	if err != nil {
		return nil, exchangeMalformed
	}
	return reply, exchangeAnswered
}

// unsentOutcome is the outcome of a push that never reached a server whole. One that ran out of the time in which it could be
// repeated says nothing of the server, nor does one for which we had no place: a good server would be set aside for it.
func unsentOutcome(decision *dispatch.Decision, err error) policy.Outcome {
	if decision.Context.Err() != nil || errors.Is(err, errPoolExhausted) || decision.WriteDeadline.Before(decision.Deadline) && !time.Now().Before(decision.WriteDeadline) {
		return policy.NotSent
	}
	return policy.ConnectFailed
}
