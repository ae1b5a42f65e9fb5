package counter

import (
	"fmt"
	"time"

	"harrierhoist/policy"
)

// writeCalls writes queued calls on a connection, which it sets up when there is none. Calls that
// are queued together are written together.
func (s *shard) writeCalls() {
	defer s.close()
	for {
		var next *call
		select {
		case <-s.ctx.Done():
			return
		case next = <-s.queue:
		}
		conn := s.connect()
		if conn == nil {
			s.failQueued(next)
			continue
		}
		s.writeCall(conn, next)
		for len(s.queue) > 0 {
			s.writeCall(conn, <-s.queue)
		}
		if err := conn.text.W.Flush(); err != nil {
			s.disconnect(conn, fmt.Errorf("%w: %w", errWriteFailed, err))
		}
	}
}

func (s *shard) writeCall(conn *connection, next *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != conn { // it was closed, or the address was changed, since connect returned it
		next.done(0, policy.ConnectFailed)
		return
	}
	next.writtenAt = time.Now()
	conn.pending = append(conn.pending, next)
	if len(conn.pending) == 1 {
		s.setReadDeadline(conn)
	}
	// It fails on a closed connection alone, as the flush does.
	_ = conn.socket.SetWriteDeadline(next.writtenAt.Add(writeTimeout))
	_, _ = conn.text.W.WriteString(next.text + "\r\n") // an error stays until the flush
}

// failQueued fails a call and those queued behind it, as there is no connection.
func (s *shard) failQueued(next *call) {
	for {
		next.done(0, policy.ConnectFailed)
		select {
		case next = <-s.queue:
		default:
			return
		}
	}
}
