package counter

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/textproto"
	"slices"
	"sync"
	"time"

	"harrierhoist/policy"
)

// Reasons for closing a connection, besides network errors.
var (
	errMalformedAnswer  = errors.New("malformed answer")
	errUnexpectedAnswer = errors.New("answer without a call")
	errAnswerTimeout    = errors.New("no answer in time")
	errWriteFailed      = errors.New("write failed")
	errAddressChanged   = errors.New("the counter's address has changed")
	errClosed           = errors.New("closed")
)

// shard handles the calls for a part of the names, in order, on one connection at a time. Only
// writeCalls writes to connections; each connection has a goroutine that reads its answers,
// readAnswers.
type shard struct {
	timeout    time.Duration
	losses     *lossLog
	queue      chan *call
	ctx        context.Context // cancelled when the client is closed
	goroutines *sync.WaitGroup

	mu          sync.Mutex // also guards the fields of the connections
	addr        string
	current     *connection              // receives new calls; nil: not connected
	connections map[*connection]struct{} // with a running reader: current, and earlier ones with pending calls
	cancelDial  context.CancelFunc       // cancels the dial in progress; nil: none
}

// connection is a connection and the calls that were written to it.
type connection struct {
	text    *textproto.Conn
	socket  net.Conn
	pending []*call // calls written and not answered yet, oldest first
	closed  bool    // set with mu held, by the function that closes the connection
}

// dialOutcome is the outcome of a dial.
type dialOutcome uint8

// Outcomes of a dial.
const (
	dialFailed dialOutcome = iota
	dialConnected
	dialCancelled // the address has changed, or the client is closed
)

// connect returns the current connection, and dials if there is none. It returns nil if the counter
// cannot be reached. If the address changes during the dial, it dials the new address instead.
func (s *shard) connect() *connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.current == nil {
		socket, outcome := s.dial()
		switch {
		case outcome == dialConnected:
			s.setCurrent(socket)
		case outcome == dialFailed || s.ctx.Err() != nil:
			return nil
		}
	}
	return s.current
}

// dial dials the address. The caller must hold mu, which is released during the dial.
func (s *shard) dial() (net.Conn, dialOutcome) {
	ctx, cancel := context.WithTimeout(s.ctx, s.timeout)
	defer cancel()
	addr := s.addr
	s.cancelDial = cancel
	s.mu.Unlock()
	socket, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	s.mu.Lock()
	s.cancelDial = nil
	isCancelled := errors.Is(ctx.Err(), context.Canceled)
	switch {
	case err == nil && isCancelled:
		_ = socket.Close() // nothing was sent on it
		return nil, dialCancelled
	case isCancelled:
		return nil, dialCancelled
	case err != nil:
		return nil, dialFailed
	default:
		return socket, dialConnected
	}
}

// setCurrent makes a connection of socket the current one and starts to read from it. The caller
// must hold mu.
func (s *shard) setCurrent(socket net.Conn) {
	conn := &connection{text: textproto.NewConn(socket), socket: socket}
	s.current = conn
	s.connections[conn] = struct{}{}
	s.goroutines.Go(func() { s.readAnswers(conn) })
}

// setAddress changes the address of new calls and cancels a dial to the previous one. The current
// connection stays open for its pending calls; deliver closes it after their last answer.
func (s *shard) setAddress(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addr == addr {
		return
	}
	if s.cancelDial != nil {
		s.cancelDial()
		s.cancelDial = nil
	}
	conn := s.current
	s.addr = addr
	s.current = nil
	if conn != nil && len(conn.pending) == 0 {
		conn.closed = true
		_ = conn.text.Close() // nothing is pending on it
	}
}

// setReadDeadline sets the read deadline of the connection to its readDeadline.
func (s *shard) setReadDeadline(conn *connection) {
	// SetReadDeadline fails only on a closed connection, where reads fail as well.
	_ = conn.socket.SetReadDeadline(conn.readDeadline(s.timeout))
}

// readDeadline returns the time at which the connection is closed for lack of an answer: its oldest
// pending call has then waited for timeout, which also limits a dial. The zero time means never.
func (c *connection) readDeadline(timeout time.Duration) time.Time {
	if len(c.pending) == 0 {
		return time.Time{}
	}
	return c.pending[0].writtenAt.Add(timeout)
}

// disconnect closes a connection for the given reason, and ends its pending calls with TimedOut,
// because their units may have been added. It does not close a connection twice.
func (s *shard) disconnect(conn *connection, reason error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, conn)
	if conn.closed {
		return
	}
	conn.closed = true
	_ = conn.text.Close() // the given reason is the one to report
	if s.current == conn {
		s.current = nil
	}
	if len(conn.pending) > 0 && s.ctx.Err() == nil {
		s.losses.add(reason, len(conn.pending))
	}
	for _, pending := range conn.pending {
		pending.done(0, policy.TimedOut)
	}
}

// close closes all connections and fails the queued calls.
func (s *shard) close() {
	s.mu.Lock()
	open := slices.Collect(maps.Keys(s.connections))
	s.mu.Unlock()
	for _, conn := range open {
		s.disconnect(conn, errClosed)
	}
	select {
	case first := <-s.queue:
		s.failQueued(first)
	default:
	}
}
