package counter

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/textproto"
	"slices"
	"time"

	"harrierhoist/policy"
)

// setReadDeadline sets until when the oldest answer may come: a connection with none for as long as one may take to come up
// is taken for dead. Answers come however late, so what was out on it may have been added.
func (s *shard) setReadDeadline(c *connection) {
	until := time.Time{}
	if len(c.pending) > 0 {
		until = c.pending[0].writtenAt.Add(s.timeout)
	}
	_ = c.socket.SetReadDeadline(until)
}

// writeCalls writes calls as they come, on a connection that it brings up when there is none. Those that come
// together go out together.
func (s *shard) writeCalls() {
	defer s.close()
	for {
		var request *call
		select {
		case <-s.ctx.Done():
			return
		case request = <-s.queue:
		}
		c := s.connect()
		if c == nil {
			s.failQueued(request)
			continue
		}
		s.writeCall(c, request)
		for len(s.queue) > 0 {
			s.writeCall(c, <-s.queue)
		}
		if c.text.W.Flush() != nil {
			s.disconnect(c, "write fails")
		}
	}
}

// writeCall writes a call.
func (s *shard) writeCall(c *connection, request *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != c { // it went down, or the counter moved, a moment ago
		request.done(0, policy.ConnectFailed)
		return
	}
	request.writtenAt = time.Now()
	if c.pending = append(c.pending, request); len(c.pending) == 1 {
		s.setReadDeadline(c)
	}
	_ = c.socket.SetWriteDeadline(request.writtenAt.Add(writeTimeout))
	_, _ = c.text.W.WriteString(request.text + "\r\n") // an error stays until the flush
}

// failQueued tells a call, and those that waited with it, that there is no connection.
func (s *shard) failQueued(request *call) {
	for {
		request.done(0, policy.ConnectFailed)
		select {
		case request = <-s.queue:
		default:
			return
		}
	}
}

// connect gives the connection, after bringing one up if need be; nil where none can be had. Where the counter moves
// meanwhile, nothing was sent yet, and a connection to the new address is brought up instead.
func (s *shard) connect() *connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.current == nil {
		ctx, stop := context.WithTimeout(s.ctx, s.timeout)
		addr := s.addr
		s.cancelDial = stop
		s.mu.Unlock()
		sock, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		s.mu.Lock()
		stopped := errors.Is(ctx.Err(), context.Canceled)
		s.cancelDial = nil
		stop()
		switch {
		case err == nil && !stopped:
			c := &connection{text: textproto.NewConn(sock), socket: sock}
			s.current, s.open[c] = c, struct{}{}
			s.goroutines.Go(func() { s.readAnswers(c) })
		case err == nil:
			_ = sock.Close()
		}
		if s.current == nil && (!stopped || s.ctx.Err() != nil) {
			return nil
		}
	}
	return s.current
}

// close ends the line; what waits on it is turned away.
func (s *shard) close() {
	s.mu.Lock()
	open := slices.Collect(maps.Keys(s.open))
	s.mu.Unlock()
	for _, c := range open {
		s.disconnect(c, "closed")
	}
	select {
	case request := <-s.queue:
		s.failQueued(request)
	default:
	}
}

// setAddress leaves the connection to the calls that are out on it; the last answer closes it.
func (s *shard) setAddress(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addr == addr {
		return
	}
	if s.cancelDial != nil { // a connection that still comes up at the old address is of no use
		s.cancelDial()
		s.cancelDial = nil
	}
	c := s.current
	s.addr, s.current = addr, nil
	if c != nil && len(c.pending) == 0 {
		c.closed = true
		_ = c.text.Close()
	}
}

// disconnect closes a connection, once. What was written on it may have been added.
func (s *shard) disconnect(c *connection, why string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
	if c.closed {
		return
	}
	c.closed = true
	_ = c.text.Close()
	if s.current == c {
		s.current = nil
	}
	if len(c.pending) > 0 && s.ctx.Err() == nil {
		s.losses.add(why, len(c.pending))
	}
	for _, request := range c.pending {
		request.done(0, policy.TimedOut)
	}
}
