package upstream

import (
	"context"
	"errors"
	"os"
	"time"

	"harrierhoist/internal/gateway/resp"
)

// exchangeState is the stage at which an exchange ended.
type exchangeState uint8

const (
	exchangeUnwritten exchangeState = iota // the command's last byte was not written
	exchangeTimedOut                       // no byte of an answer arrived before the deadline or an abort
	exchangeClosed                         // the connection broke before an answer began
	exchangeMalformed                      // the answer is malformed or incomplete
	exchangeAnswered                       // a reply was read; parseReply interprets it
)

// lostConnection reports whether the connection is considered lost: the command could not be
// written, or the connection broke before an answer began.
func (s exchangeState) lostConnection() bool { return s == exchangeClosed || s == exchangeUnwritten }

// exchange writes a command by writeDeadline and waits for the reply until deadline. Once a reply
// has begun, the rest of it must arrive within connectTimeout, because servers write a reply
// without pausing. The reply is nil unless the state is exchangeAnswered.
func (p *Pool) exchange(
	ctx context.Context, conn *connection, command *resp.Command, writeDeadline, deadline time.Time,
) (*resp.Reply, exchangeState) {
	setDeadline(ctx, conn, writeDeadline)
	if conn.WriteCommand(command) != nil { // on any error, the last byte was not written
		return nil, exchangeUnwritten
	}
	if writeDeadline.Before(deadline) {
		setDeadline(ctx, conn, deadline)
	}
	if err := conn.Await(); errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, exchangeTimedOut
	} else if err != nil {
		return nil, exchangeClosed
	}
	if replyDeadline := time.Now().Add(p.connectTimeout); replyDeadline.Before(deadline) {
		setDeadline(ctx, conn, replyDeadline)
	}
	reply, err := conn.ReadReply()
	if err != nil {
		return nil, exchangeMalformed
	}
	return reply, exchangeAnswered
}

// setDeadline sets the read and write deadlines of a connection. Abort works by setting deadlines
// in the past, which this call may overwrite, so setDeadline aborts again if the context is done.
// The error of SetDeadline is ignored: it fails only on a broken connection, where the next read or
// write fails too.
func setDeadline(ctx context.Context, conn *connection, deadline time.Time) {
	_ = conn.SetDeadline(deadline)
	if ctx.Err() != nil {
		conn.Abort()
	}
}
