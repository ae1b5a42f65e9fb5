package listener

import (
	"errors"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	closeTimeout      = time.Second           // time for the client to close the connection after its last answer
	closePollInterval = 50 * time.Millisecond // time between checks whether the client has closed the connection
)

// halfCloser is a connection whose sending half can be closed separately.
type halfCloser interface{ CloseWrite() error }

// writeLast writes the answers of as many commands during a drain. If no other command is in flight,
// it also closes the sending half, so that the answer and the FIN leave in one segment: a FIN sent
// later could cross the client's next request. The reader then waits for the client to close the
// connection, and leaves unread what the client still sends.
func (c *connection) writeLast(commands int, write func() error) error {
	c.setCork(1)
	err := write()
	c.mu.Lock()
	if err == nil && c.areLastAnswers(commands) {
		c.state.markHalfClosed(time.Now())
	}
	shouldClose := c.state.isClosed() && err == nil
	c.mu.Unlock()
	if half, ok := c.Conn.Conn.(halfCloser); shouldClose && ok && half.CloseWrite() == nil {
		// SetReadDeadline fails only on a closed connection, whose reader has ended.
		_ = c.SetReadDeadline(time.Now().Add(closeTimeout))
		return nil
	}
	c.setCork(0)
	if shouldClose {
		_ = c.Close()
	}
	return err
}

// areLastAnswers reports whether the answers just written belong to all commands in flight, and no
// unread byte of a further command has arrived. The caller must hold c.mu.
func (c *connection) areLastAnswers(commands int) bool {
	return !c.state.isClosed() && c.state.inFlight == commands && c.IsIdle()
}

// awaitClose waits, without reading, until the client closes the connection or its time for that
// has passed. It is called when the last answer has closed the sending half or is about to. Closing
// a connection with unread bytes resets it, and the system then discards the unsent part of the
// answer.
func (c *connection) awaitClose() {
	for {
		_ = c.SetReadDeadline(time.Now().Add(closePollInterval))
		if err := c.AwaitPeerClose(); !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		switch c.takeCloseStep() {
		case closeSendingHalf:
			if half, ok := c.Conn.Conn.(halfCloser); ok {
				_ = half.CloseWrite() // after an error, awaitClose still returns once the client's time has passed
			}
		case stopWaiting:
			return
		case keepWaiting:
		}
	}
}

// takeCloseStep returns what awaitClose does next. If the last answer was written just before the
// drain began, the sending half is still open: takeCloseStep marks it as closed, and the caller
// closes it.
func (c *connection) takeCloseStep() closeStep {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	step := c.state.nextCloseStep(now, c.HasUnacknowledged)
	if step == closeSendingHalf {
		c.state.markHalfClosed(now)
	}
	return step
}

// setCork makes the system hold back the last partial segment written (1), or send it (0). A
// connection without that option sends the segment without delay.
func (c *connection) setCork(on int) {
	if socket, ok := c.Conn.Conn.(syscall.Conn); ok {
		if raw, err := socket.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) {
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_CORK, on)
			})
		}
	}
}
