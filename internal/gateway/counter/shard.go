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

// shard has a part of the names: the calls for them, in order, and the connection that new calls are written to.
type shard struct {
	timeout    time.Duration
	losses     *lossLog
	queue      chan *call
	ctx        context.Context // ends with the counter's client
	goroutines *sync.WaitGroup

	mu         sync.Mutex // also guards the connections
	addr       string
	current    *connection              // nil: none is up
	open       map[*connection]struct{} // current, and those to earlier addresses with pending calls
	cancelDial context.CancelFunc       // of the dial under way; nil: none is
}

// connection is one connection and the calls that were written to it. Whoever closes it sets closed.
type connection struct {
	text    *textproto.Conn
	socket  net.Conn
	pending []*call // written and not answered, oldest first
	closed  bool
}

// connect returns the current connection, after dialing if there is none; nil where none can be had. Where the address
// changes during the dial nothing was sent yet, and the new address is dialed instead.
func (s *shard) connect() *connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.current == nil {
		ctx, cancel := context.WithTimeout(s.ctx, s.timeout)
		addr := s.addr
		s.cancelDial = cancel
		s.mu.Unlock()
		socket, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		s.mu.Lock()
		canceled := errors.Is(ctx.Err(), context.Canceled)
		s.cancelDial = nil
		cancel()
		switch {
		case err == nil && !canceled:
			conn := &connection{text: textproto.NewConn(socket), socket: socket}
			s.current, s.open[conn] = conn, struct{}{}
			s.goroutines.Go(func() { s.readAnswers(conn) })
		case err == nil:
			_ = socket.Close() // nothing was sent on it
		}
		if s.current == nil && (!canceled || s.ctx.Err() != nil) {
			return nil
		}
	}
	return s.current
}

// setAddress leaves the current connection to its pending calls; their last answer closes it.
func (s *shard) setAddress(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addr == addr {
		return
	}
	if s.cancelDial != nil { // a connection to the old address is of no use any more
		s.cancelDial()
		s.cancelDial = nil
	}
	conn := s.current
	s.addr, s.current = addr, nil
	if conn != nil && len(conn.pending) == 0 {
		conn.closed = true
		_ = conn.text.Close() // nothing is pending on it
	}
}

// setReadDeadline bounds the wait for the oldest answer: a connection with none for as long as a dial may take is taken for
// dead. As answers come however late, its pending calls may have been added.
func (s *shard) setReadDeadline(conn *connection) {
	deadline := time.Time{}
	if len(conn.pending) > 0 {
		deadline = conn.pending[0].writtenAt.Add(s.timeout)
	}
	_ = conn.socket.SetReadDeadline(deadline) // fails on a closed connection alone, which reads find out
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
