package listener

import (
	"errors"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	closeTimeout      = time.Second           // how long a client has to close after its last answer
	closePollInterval = 50 * time.Millisecond // between checks whether it has closed
)

// halfCloser is a connection whose sending half can be closed on its own.
type halfCloser interface{ CloseWrite() error }

// writeLast writes an answer during a drain, and closes the sending half with it if no other
// command is in flight. The end of the answer and of the connection leave in one segment: closed a
// moment later, the connection could cross the next request of a client that asks at once. The
// reader then waits for the client to close, or leaves what it still sends unread.
func (c *connection) writeLast(write func() error) error {
	c.setCork(1)
	err := write()
	c.mu.Lock()
	if err == nil && c.isLastAnswer() {
		c.state.halfClose(time.Now())
	}
	isOver := c.state.isClosed() && err == nil
	c.mu.Unlock()
	if half, ok := c.Conn.Conn.(halfCloser); isOver && ok && half.CloseWrite() == nil {
		// SetReadDeadline fails on a closed connection only, where the reader has ended.
		_ = c.SetReadDeadline(time.Now().Add(closeTimeout))
		return nil
	}
	c.setCork(0)
	if isOver {
		_ = c.Close()
	}
	return err
}

// isLastAnswer reports whether the answer just written is to the only command in flight, with no
// byte of another one waiting to be read. The caller holds c.mu.
func (c *connection) isLastAnswer() bool {
	return !c.state.isClosed() && c.state.commands == 1 && c.IsQuiet()
}

// awaitClose reads nothing more, and waits until the client has closed a connection that the last
// answer has closed or is about to close, or until the client's time for that is over. Closing a
// connection with unread bytes resets it, and the system would discard what it still holds of the
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
				_ = half.CloseWrite() // on an error the client sees the close when its time is over
			}
		case stopWaiting:
			return
		case keepWaiting:
		}
	}
}

// takeCloseStep decides what awaitClose does next. Where the last answer was written just before
// the drain began, nothing has closed the sending half: it is marked as closed here, and the caller
// closes it.
func (c *connection) takeCloseStep() closeStep {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	step := c.state.nextCloseStep(now, c.HasUnacknowledged)
	if step == closeSendingHalf {
		c.state.halfClose(now)
	}
	return step
}

// setCork makes the system hold back the last partial segment written (1), or send it (0). Where
// that is not possible, it is merely sent sooner.
func (c *connection) setCork(on int) {
	if socket, ok := c.Conn.Conn.(syscall.Conn); ok {
		if raw, err := socket.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) {
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_CORK, on)
			})
		}
	}
}
