package resp

import (
	"errors"
	"io"
	"os"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// peerClosedStates are the TCP states (linux/tcp_states.h) in which the peer has closed its sending
// half or the connection was reset. Bytes that arrived before may still be unread.
var peerClosedStates = []uint8{
	unix.BPF_TCP_CLOSE,
	unix.BPF_TCP_CLOSE_WAIT,
	unix.BPF_TCP_LAST_ACK,
	unix.BPF_TCP_CLOSING,
	unix.BPF_TCP_TIME_WAIT,
}

// PeerState returns, without waiting, how long ago the latest bytes arrived at this machine, to a
// few milliseconds, and whether the peer has closed the connection. It sees a close behind unread
// bytes, but none that waits behind a full receive window. On connections without a TCP state, only
// reading reports the close.
func (c *Conn) PeerState() (age time.Duration, closed bool) {
	closed = c.rawConn != nil // stays so if this side has closed: then there is no descriptor to ask
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

// IsPeerClosed reports, without waiting, whether the peer has closed the connection.
func (c *Conn) IsPeerClosed() bool {
	_, closed := c.PeerState()
	return closed
}

// AwaitPeerClose waits until the peer has closed or reset the connection, and reads nothing. It
// returns os.ErrInvalid on a connection without a descriptor, and otherwise fails as a read does,
// for example at the read deadline.
func (c *Conn) AwaitPeerClose() error {
	if c.rawConn == nil {
		return os.ErrInvalid
	}
	return c.rawConn.Read(func(fd uintptr) bool {
		n, err := peek(int(fd), make([]byte, 1))
		if err != nil || n == 0 {
			return !errors.Is(err, unix.EAGAIN)
		}
		info, err := tcpInfo(int(fd)) // behind unread bytes, only the state tells
		return err == nil && slices.Contains(peerClosedStates, info.State)
	})
}

// HasUnacknowledged reports whether the peer's system has not yet acknowledged all that was
// written. A reset would discard it.
func (c *Conn) HasUnacknowledged() bool {
	pending := false
	c.withDescriptor(func(fd int) {
		if info, err := tcpInfo(fd); err == nil {
			pending = info.Unacked > 0 || info.Notsent_bytes > 0
		}
	})
	return pending
}

// IsQuiet reports, without waiting, whether the connection is open and has no unread bytes.
func (c *Conn) IsQuiet() bool {
	quiet := false
	c.withDescriptor(func(fd int) {
		_, err := peek(fd, make([]byte, 1))
		quiet = errors.Is(err, unix.EAGAIN)
	})
	return quiet
}

// isReadable reports whether a byte, the end or an error has arrived, and keeps the latter two in
// peekError.
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

// withDescriptor calls use with the descriptor, if the connection has one and is open.
func (c *Conn) withDescriptor(use func(fd int)) {
	if c.rawConn != nil {
		// Control fails on a closed connection only, and does not call use then.
		_ = c.rawConn.Control(func(fd uintptr) { use(int(fd)) })
	}
}

// peek reads a byte without waiting and without consuming it. No byte and no error means the end.
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
