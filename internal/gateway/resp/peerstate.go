package resp

import (
	"errors"
	"io"
	"os"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// peerClosedStates lists the TCP states (linux/tcp_states.h) of a connection that was reset or
// whose peer has closed its sending half. Bytes that arrived before may still be unread.
var peerClosedStates = []uint8{
	unix.BPF_TCP_CLOSE,
	unix.BPF_TCP_CLOSE_WAIT,
	unix.BPF_TCP_LAST_ACK,
	unix.BPF_TCP_CLOSING,
	unix.BPF_TCP_TIME_WAIT,
}

// PeerState returns the time since the latest bytes arrived at this machine, with an accuracy of a
// few milliseconds, and whether the peer has closed its sending half or reset the connection. It
// does not block. It detects a close even if bytes that arrived before it are unread, but not a
// close that the peer cannot send yet because the receive window is full. If this side has closed
// the connection, closed is true. On a connection without a TCP state, PeerState returns zero and
// false; there, only a read detects the close.
func (c *Conn) PeerState() (age time.Duration, closed bool) {
	closed = c.rawConn != nil // stays true if this side has closed the connection: there is no descriptor then
	c.withDescriptor(func(fd int) {
		closed = false
		info, err := tcpInfo(fd)
		if err != nil {
			return
		}
		age = time.Duration(info.Last_data_recv) * time.Millisecond
		closed = slices.Contains(peerClosedStates, info.State)
	})
	return age, closed
}

// IsPeerClosed returns the second result of PeerState.
func (c *Conn) IsPeerClosed() bool {
	_, closed := c.PeerState()
	return closed
}

// AwaitPeerClose blocks until the peer has closed its sending half or reset the connection. It
// consumes no bytes. It returns os.ErrInvalid on a connection without a descriptor, and otherwise
// the errors of syscall.RawConn, for example at the read deadline.
func (c *Conn) AwaitPeerClose() error {
	if c.rawConn == nil {
		return os.ErrInvalid
	}
	return c.rawConn.Read(func(fd uintptr) bool {
		n, err := peek(int(fd), make([]byte, 1))
		if err != nil || n == 0 {
			return !errors.Is(err, unix.EAGAIN)
		}
		info, err := tcpInfo(int(fd)) // while bytes are unread, only the TCP state shows a close
		return err == nil && slices.Contains(peerClosedStates, info.State)
	})
}

// HasUnacknowledged reports whether written bytes are unsent or not yet acknowledged by the peer's
// system. A reset would discard them.
func (c *Conn) HasUnacknowledged() bool {
	pending := false
	c.withDescriptor(func(fd int) {
		if info, err := tcpInfo(fd); err == nil {
			pending = info.Unacked > 0 || info.Notsent_bytes > 0
		}
	})
	return pending
}

// IsIdle reports whether the connection is open and has no unread bytes. It does not block. It
// returns false on a connection without a descriptor.
func (c *Conn) IsIdle() bool {
	idle := false
	c.withDescriptor(func(fd int) {
		_, err := peek(fd, make([]byte, 1))
		idle = errors.Is(err, unix.EAGAIN)
	})
	return idle
}

// isReadable reports whether a read would return immediately, with a byte, the end of input or an
// error. It stores io.EOF or the error in peekError.
func (c *Conn) isReadable(fd uintptr) bool {
	n, err := peek(int(fd), c.peekBuffer[:])
	c.peekError = nil
	switch {
	case errors.Is(err, unix.EAGAIN):
		return false
	case err != nil:
		c.peekError = os.NewSyscallError("recvfrom", err)
	case n == 0:
		c.peekError = io.EOF
	}
	return true
}

// withDescriptor calls use with the connection's descriptor, unless the connection has none or is
// closed.
func (c *Conn) withDescriptor(use func(fd int)) {
	if c.rawConn != nil {
		// Control fails only on a closed connection, and does not call use then.
		_ = c.rawConn.Control(func(fd uintptr) { use(int(fd)) })
	}
}

// peek reads up to len(first) bytes without blocking and without consuming them. It returns
// unix.EAGAIN if none has arrived, and 0 without an error at the end of input.
func peek(fd int, first []byte) (n int, err error) {
	for {
		n, _, err = unix.Recvfrom(fd, first, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if !errors.Is(err, unix.EINTR) {
			return n, err
		}
	}
}

func tcpInfo(fd int) (*unix.TCPInfo, error) {
	return unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
}
