package listener

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// tappedConn is a connection as the listener sees it. Its hooks can hold the listener between two
// of its steps; nil hooks do nothing.
type tappedConn struct {
	*net.TCPConn
	afterWait        func()                            // a wait has ended: a byte has arrived, or the end
	write            func(p []byte) (n int, err error) // in place of a write
	beforeCloseWrite func()
	beforeReset      func()
	beforeClose      func()
	onReadDeadline   func(deadline time.Time) // zero: the command was read, or given up
	readBytes        atomic.Int64
}

func (c *tappedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	runHook(c.afterWait) // for a wait that reads
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

// SetLinger is called before a reset only.
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

// tappedRawConn runs the connection's hook after a wait that does not read.
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

// once returns a hook that acts the first time only.
func once(act func()) func() {
	var o sync.Once
	return func() { o.Do(act) }
}

// tappedListener accepts connections as tappedConn.
type tappedListener struct {
	*net.TCPListener
	setHooks atomic.Pointer[func(*tappedConn)] // called with each connection accepted from here on; nil: none is
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
