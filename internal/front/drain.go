package front

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	askAgain  = 250 * time.Millisecond // who was answered within this asks on: its next answer ends its connection
	drainLook = 50 * time.Millisecond  // how often connections that have been idle for longer are looked for
	partTime  = time.Second            // a client has so long to close a connection that its last answer ended
)

// Drain keeps taking for a while, then takes no new connections, ends each with an answer, or where it stays idle, and
// waits until everything held is answered.
func (f *Front) Drain(l net.Listener) {
	time.Sleep(keepTaking)
	_ = l.Close()
	f.closing.Store(true)
	<-f.served
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		f.gone.Wait()
	}()
	for {
		f.clear()
		select {
		case <-gone:
			return
		case <-time.After(drainLook):
		}
	}
}

// clear closes the connections that have been idle for a while. Guards against the end of one crossing a task on its
// way, which is lost then: a client that was just answered is likely to be sending its next. Harm: a connection that
// goes idle as the drain begins is held for so much longer.
func (f *Front) clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.clients {
		if since, _, idle := c.idle(); idle && time.Since(since) >= askAgain {
			c.leave()
		}
	}
}

// last writes an answer in a front that closes, and ends the connection with it if nothing else is in hand on it. The
// end of the answer and the end of the connection go out in one: ended a moment after it, the connection could cross
// the next task of a client that asks at once. The reader sees the client close, or send on and then be reset.
func (c *client) last(write func() error) error {
	c.cork(1)
	err := write()
	c.mu.Lock()
	c.over = c.over || err == nil && c.busy == 1 && c.conn.Quiet()
	over := c.over
	c.mu.Unlock()
	if half, ok := c.conn.Conn.(interface{ CloseWrite() error }); over && err == nil && ok && half.CloseWrite() == nil {
		_ = c.conn.SetReadDeadline(time.Now().Add(partTime))
		return nil
	}
	c.cork(0)
	if over && err == nil {
		_ = c.conn.Close()
	}
	return err
}

// cork has the system keep back the last bytes written, or let them go. Without it they are merely sent sooner.
func (c *client) cork(on int) {
	if sock, ok := c.conn.Conn.(syscall.Conn); ok {
		if raw, err := sock.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) {
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_CORK, on)
			})
		}
	}
}
