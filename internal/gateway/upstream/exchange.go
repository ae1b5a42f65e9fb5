package upstream

import (
	"context"
	"errors"
	"os"
	"time"

	"harrierhoist/internal/gateway/resp"
)

// exchangeState is how far an exchange came.
type exchangeState uint8

const (
	exchangeUnwritten exchangeState = iota // the command's last byte was not written
	exchangeTimedOut                       // no answer by the deadline
	exchangeClosed                         // the connection ended before an answer
	exchangeMalformed                      // an answer began that is malformed or incomplete
	exchangeAnswered                       // a reply was read; parseReply says what it means
)

// lostConnection reports whether the connection was lost before any byte of an answer: while the
// command was written, or after it.
func (s exchangeState) lostConnection() bool { return s == exchangeClosed || s == exchangeUnwritten }

// exchange sends a command, by the write deadline, and waits for the reply until the deadline. The
// rest of a reply that has begun must follow within connectTimeout, as servers write an answer at
// once.
func (p *Pool) exchange(
	ctx context.Context, conn *connection, command *resp.Command, writeDeadline, deadline time.Time,
) (*resp.Reply, exchangeState) {
	setDeadline(ctx, conn, writeDeadline)
	if conn.WriteCommand(command) != nil { // whatever the error, its last byte is not out
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

// setDeadline bounds reads and writes. An abort sets a deadline in the past, which this call may
// have replaced, so it aborts again if the context has ended. On a broken connection SetDeadline
// fails, and so does the next read or write.
func setDeadline(ctx context.Context, conn *connection, deadline time.Time) {
	_ = conn.SetDeadline(deadline)
	if ctx.Err() != nil {
		conn.Abort()
	}
}
