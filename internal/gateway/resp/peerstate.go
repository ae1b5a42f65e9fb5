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

// PeerState is what this machine's system knows about the peer of a connection. Times have an
// accuracy of a few milliseconds.
type PeerState struct {
	ReceivedAgo time.Duration // time since the latest bytes arrived at this machine
	IsClosed    bool          // the peer has closed its sending half or reset the connection, or this side has closed
	// OpenAt is the latest time at which the peer is known to have been open; zero if it is closed or
	// none is known.
	OpenAt time.Time
	// HasUnacknowledged reports whether written bytes are not acknowledged yet.
	HasUnacknowledged bool
}

// PeerState returns the state of the peer. It does not block. It detects a close even if bytes that
// arrived before it are unread. While the receive window may be full, the peer's system may hold back
// a close. The peer is then known to have been open when it received the latest bytes written, if
// it has acknowledged all: the system of a closed peer answers bytes with a reset. On a connection
// without a TCP state, the peer always counts as open, and only a read detects the close.
func (c *Conn) PeerState() PeerState {
	now := time.Now()
	state := PeerState{OpenAt: now, IsClosed: c.rawConn != nil} // there is no descriptor once this side has closed
	c.withDescriptor(func(fd int) { state = peerStateOf(fd, now) })
	if state.IsClosed {
		state.OpenAt = time.Time{}
	}
	return state
}

// peerStateOf returns the state of the peer of an open connection. It reads the TCP state last: what
// was read before holds only if the connection was open after it.
func peerStateOf(fd int, now time.Time) PeerState {
	state := PeerState{OpenAt: now}
	mayHide := mayHideClose(fd)
	info, err := tcpInfo(fd)
	if err != nil {
		return state
	}
	state.ReceivedAgo = time.Duration(info.Last_data_recv) * time.Millisecond
	state.HasUnacknowledged = hasUnacknowledged(info)
	if mayHide {
		state.OpenAt = acknowledgedAt(now, info)
		info, err = tcpInfo(fd) // the system reads the TCP state before the other fields
	}
	state.IsClosed = err == nil && slices.Contains(peerClosedStates, info.State)
	return state
}

// acknowledgedAt returns the time at which the latest bytes were sent if the peer's system has
// acknowledged all, and zero otherwise.
func acknowledgedAt(now time.Time, info *unix.TCPInfo) time.Time {
	if hasUnacknowledged(info) {
		return time.Time{}
	}
	return now.Add(-time.Duration(info.Last_data_sent) * time.Millisecond)
}

// IsPeerClosed reports whether the peer is known to have closed, see PeerState.
func (c *Conn) IsPeerClosed() bool { return c.PeerState().IsClosed }

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
			pending = hasUnacknowledged(info)
		}
	})
	return pending
}

func hasUnacknowledged(info *unix.TCPInfo) bool { return info.Unacked > 0 || info.Notsent_bytes > 0 }

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

// IsAtEnd reports whether the peer has closed its sending half or reset the connection, and all bytes that
// arrived before have been read. It does not block. It returns false on a connection without a
// descriptor. Only the reading goroutine may call it.
func (c *Conn) IsAtEnd() bool {
	isAtEnd := false
	c.withDescriptor(func(fd int) {
		n, err := peek(fd, make([]byte, 1))
		isAtEnd = n <= 0 && !errors.Is(err, unix.EAGAIN)
	})
	return isAtEnd && c.IsDrained()
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
