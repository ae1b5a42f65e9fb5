package counter

import (
	"fmt"
	"time"

	"harrierhoist/policy"
)

// writeCalls writes queued calls to the current connection, and connects if there is none. Calls
// that are queued at the same time are flushed together.
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
	if s.current != conn { // it was closed, or the address has changed, since connect returned
		next.done(0, policy.ConnectFailed)
		return
	}
	next.writtenAt = time.Now()
	conn.pending = append(conn.pending, next)
	if len(conn.pending) == 1 {
		s.setReadDeadline(conn)
	}
	// SetWriteDeadline fails only on a closed connection, where the flush fails as well.
	_ = conn.socket.SetWriteDeadline(next.writtenAt.Add(writeTimeout))
	_, _ = conn.text.W.WriteString(next.line + "\r\n") // Flush returns the error, too
}

// failQueued fails a call and all queued calls because there is no connection.
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
