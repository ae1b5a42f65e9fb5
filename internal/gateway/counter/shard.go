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

// Reasons why a connection ends, besides errors of the network.
var (
	errMalformed      = errors.New("malformed answer")
	errUnexpected     = errors.New("answer without a call")
	errSilent         = errors.New("no answer in time")
	errWriteFailed    = errors.New("write failed")
	errAddressChanged = errors.New("the counter's address has changed")
	errClosed         = errors.New("closed")
)

// shard has a part of the names: the calls for them, in order, and the connection that new calls
// are written to. writeCalls is its one writer; each connection has its reader, readAnswers.
type shard struct {
	timeout    time.Duration
	losses     *lossLog
	queue      chan *call
	ctx        context.Context // ends with the counter's client
	goroutines *sync.WaitGroup

	mu         sync.Mutex // held for the connections' fields too
	addr       string
	current    *connection              // nil: none is up
	open       map[*connection]struct{} // whose reader runs: current, and earlier ones with pending calls
	cancelDial context.CancelFunc       // of the dial under way; nil: none is
}

// connection is one connection and the calls that were written to it.
type connection struct {
	text    *textproto.Conn
	socket  net.Conn
	pending []*call // written and not answered, oldest first
	closed  bool    // set with the lock held, by its one close
}

// dialOutcome is how a dial ended.
type dialOutcome uint8

// The outcomes of a dial.
const (
	dialFailed dialOutcome = iota
	dialConnected
	dialCancelled // the address has changed, or the client is closed
)

// connect returns the current connection, after dialing if there is none; nil where the counter
// cannot be reached. Where the address changes during the dial, the new one is dialed instead.
func (s *shard) connect() *connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.current == nil {
		socket, outcome := s.dial()
		switch {
		case outcome == dialConnected:
			s.use(socket)
		case outcome == dialFailed || s.ctx.Err() != nil:
			return nil
		}
	}
	return s.current
}

// dial dials the address. Its caller holds the lock, which is released during the dial.
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

// use makes a connection of a socket the current one. Its caller holds the lock.
func (s *shard) use(socket net.Conn) {
	conn := &connection{text: textproto.NewConn(socket), socket: socket}
	s.current = conn
	s.open[conn] = struct{}{}
	s.goroutines.Go(func() { s.readAnswers(conn) })
}

// setAddress ends a dial to the old address and leaves the current connection to its pending calls;
// their last answer closes it (deliver).
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

// setReadDeadline has the connection's reader give up at its readDeadline.
func (s *shard) setReadDeadline(conn *connection) {
	// It fails on a closed connection alone, as reads do.
	_ = conn.socket.SetReadDeadline(conn.readDeadline(s.timeout))
}

// readDeadline decides when a connection is given up as silent: once its oldest pending call has
// waited for the timeout, which bounds a dial too. The zero time is never.
func (c *connection) readDeadline(timeout time.Duration) time.Time {
	if len(c.pending) == 0 {
		return time.Time{}
	}
	return c.pending[0].writtenAt.Add(timeout)
}

// disconnect closes a connection, once. Its pending calls may have been added.
func (s *shard) disconnect(conn *connection, reason error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, conn)
	if conn.closed {
		return
	}
	conn.closed = true
	_ = conn.text.Close() // the reason to report is the other one
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

// close closes all connections and fails what is queued.
func (s *shard) close() {
	s.mu.Lock()
	open := slices.Collect(maps.Keys(s.open))
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
