package listener

import (
	"errors"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	closeTimeout      = time.Second           // a client has so long to close a connection that its last answer ended
	closePollInterval = 50 * time.Millisecond // how often it is looked for what ended
)

// answerLast writes an answer in a front that closes, and ends the connection with it if nothing else is in hand on it. The
// end of the answer and the end of the connection go out in one: ended a moment after it, the connection could cross
// the next task of a client that asks at once. The reader sees the client close, or lingers over what was sent on.
func (c *client) answerLast(write func() error) error {
	c.setCork(1)
	err := write()
	c.mu.Lock()
	if !c.closed && err == nil && c.commands == 1 && c.conn.IsQuiet() {
		c.closed, c.closedAt = true, time.Now()
	}
	over := c.closed
	c.mu.Unlock()
	if half, ok := c.conn.Conn.(interface{ CloseWrite() error }); over && err == nil && ok && half.CloseWrite() == nil {
		_ = c.conn.SetReadDeadline(time.Now().Add(closeTimeout))
		return nil
	}
	c.setCork(0)
	if over && err == nil {
		_ = c.conn.Close()
	}
	return err
}

// awaitClose reads nothing more, and waits until the client has closed a connection whose last answer has ended it, or is
// about to; or until it has had its time for that. A close over what came and is not read resets the connection, and
// the system would throw away what it still holds of the answer. Harm: a client that never closes keeps its place so long.
func (c *client) awaitClose() {
	for {
		_ = c.conn.SetReadDeadline(time.Now().Add(closePollInterval))
		if err := c.conn.AwaitPeerClose(); !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		c.mu.Lock()
		last := c.commands == 0 && !c.closed // answered just before the front closed
		if last {
			c.closed, c.closedAt = true, time.Now()
		}
		past := time.Since(c.closedAt)
		waits := c.closedAt.IsZero() || past < closeTimeout || past < writeTimeout && c.conn.HasUnacknowledged()
		c.mu.Unlock()
		if half, ok := c.conn.Conn.(interface{ CloseWrite() error }); last && ok {
			_ = half.CloseWrite()
		}
		if !waits {
			return
		}
	}
}

// setCork has the system keep back the last bytes written, or let them go. Without it they are merely sent sooner.
func (c *client) setCork(on int) {
	if sock, ok := c.conn.Conn.(syscall.Conn); ok {
		if raw, err := sock.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) {
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_CORK, on)
			})
		}
	}
}
