package listener

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// tappedConn is the listener side of a connection. Its hooks can block the listener between two
// steps; nil hooks do nothing.
type tappedConn struct {
	*net.TCPConn
	afterWait        func()                            // called when a byte or the end of the stream has arrived
	write            func(p []byte) (n int, err error) // replaces Write
	beforeCloseWrite func()
	beforeReset      func()
	beforeClose      func()
	onReadDeadline   func(deadline time.Time) // the zero time means that a command was read or reading failed
	readBytes        atomic.Int64
}

func (c *tappedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	runHook(c.afterWait) // a wait may consist of a read
	c.readBytes.Add(int64(n))
	return n, err
}

func (c *tappedConn) Write(p []byte) (int, error) {
	if c.write != nil {
		return c.write(p)
	}
	return c.TCPConn.Write(p)
}

func (c *tappedConn) CloseWrite() error {
	runHook(c.beforeCloseWrite)
	return c.TCPConn.CloseWrite()
}

// SetLinger runs beforeReset. The listener calls it only before a reset.
func (c *tappedConn) SetLinger(seconds int) error {
	runHook(c.beforeReset)
	return c.TCPConn.SetLinger(seconds)
}

func (c *tappedConn) Close() error {
	runHook(c.beforeClose)
	return c.TCPConn.Close()
}

func (c *tappedConn) SetReadDeadline(deadline time.Time) error {
	if c.onReadDeadline != nil {
		c.onReadDeadline(deadline)
	}
	return c.TCPConn.SetReadDeadline(deadline)
}

func (c *tappedConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return tappedRawConn{raw, c}, err
}

// tappedRawConn runs the connection's afterWait hook after a wait that does not read.
type tappedRawConn struct {
	syscall.RawConn
	conn *tappedConn
}

func (r tappedRawConn) Read(f func(fd uintptr) bool) error {
	err := r.RawConn.Read(f)
	if err == nil {
		runHook(r.conn.afterWait)
	}
	return err
}

func runHook(hook func()) {
	if hook != nil {
		hook()
	}
}

// runOnce returns a hook that runs act only on the first call.
func runOnce(act func()) func() {
	var o sync.Once
	return func() { o.Do(act) }
}

// tappedListener returns each accepted connection as a tappedConn.
type tappedListener struct {
	*net.TCPListener
	setHooks atomic.Pointer[func(*tappedConn)] // called with each new connection; nil: no call
	accepted chan *tappedConn
}

func (l *tappedListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	tapped := &tappedConn{TCPConn: conn.(*net.TCPConn)}
	if setHooks := l.setHooks.Load(); setHooks != nil && *setHooks != nil {
		(*setHooks)(tapped)
	}
	l.accepted <- tapped
	return tapped, nil
}
