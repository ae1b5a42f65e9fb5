package listener

import (
	"errors"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	closeTimeout      = time.Second           // how long a client has to close a connection that its last answer closed
	closePollInterval = 50 * time.Millisecond // between looks at whether such a connection was closed
)

// halfCloser is a connection whose sending half can be closed on its own.
type halfCloser interface{ CloseWrite() error }

// writeLast writes an answer during a drain, and closes the sending half with it if no other command is in flight. The end of
// the answer and of the connection leave in one segment: closed a moment later, the connection could cross the next request
// of a client that asks at once. The reader then waits for the client to close, or leaves what it still sends unread.
func (c *connection) writeLast(write func() error) error {
	c.setCork(1)
	err := write()
	c.mu.Lock()
	if !c.closed && err == nil && c.commands == 1 && c.IsQuiet() {
		c.closed, c.closedAt = true, time.Now()
	}
	isOver := c.closed && err == nil
	c.mu.Unlock()
	if half, ok := c.Conn.Conn.(halfCloser); isOver && ok && half.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(closeTimeout)) // fails on a closed connection only, where the reader has ended
		return nil
	}
	c.setCork(0)
	if isOver {
		_ = c.Close()
	}
	return err
}

// awaitClose reads nothing more, and waits until the client has closed a connection that the last answer has closed or is about
// to close, or until the client's time for that is over. Closing a connection with unread bytes resets it, and the system
// would discard what it still holds of the answer. Cost: a client that never closes keeps its slot for that time.
func (c *connection) awaitClose() {
	for {
		_ = c.SetReadDeadline(time.Now().Add(closePollInterval))
		if err := c.AwaitPeerClose(); !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		closedNow, isWaiting := c.closeAnswered()
		if half, ok := c.Conn.Conn.(halfCloser); closedNow && ok {
			_ = half.CloseWrite() // on an error the client sees the close when its time is over
		}
		if !isWaiting {
			return
		}
	}
}

// closeAnswered marks the connection closed if its last answer was written just before the drain began, without closing it.
// It reports that, and whether to wait on for the client to close.
func (c *connection) closeAnswered() (closedNow, isWaiting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	closedNow = c.commands == 0 && !c.closed
	if closedNow {
		c.closed, c.closedAt = true, time.Now()
	}
	waited := time.Since(c.closedAt)
	isWaiting = c.closedAt.IsZero() || waited < closeTimeout || waited < writeTimeout && c.HasUnacknowledged()
	return closedNow, isWaiting
}

// setCork makes the system hold back the last partial segment written (1), or send it (0). Where that is not possible, it is
// merely sent sooner.
func (c *connection) setCork(on int) {
	if socket, ok := c.Conn.Conn.(syscall.Conn); ok {
		if raw, err := socket.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) {
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_CORK, on)
			})
		}
	}
}
