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
	exchangeMalformed                      // an answer began and is none, or did not go on
	exchangeAnswered
)

// exchange sends a command, by the write deadline, and waits for the reply until the deadline. Once that has begun, the rest
// must follow in the time that a connection may take to come up: servers write an answer in one go.
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

// setDeadline bounds reads and writes, unless the exchange was abandoned meanwhile: that has set a deadline in the past,
// which this one has undone. On a connection that is broken no deadline can be set; what is done on it next fails at once.
func setDeadline(ctx context.Context, conn *connection, deadline time.Time) {
	_ = conn.SetDeadline(deadline)
	if ctx.Err() != nil {
		conn.Abort()
	}
}
