package resp

import (
	"os"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// peerClosedStates are the states of the system's TCP in which the other side has ended the connection, or it was reset; what came
// before may still wait to be read. Of linux/tcp_states.h.
var peerClosedStates = []uint8{
	unix.BPF_TCP_CLOSE, unix.BPF_TCP_CLOSE_WAIT, unix.BPF_TCP_LAST_ACK, unix.BPF_TCP_CLOSING,
	unix.BPF_TCP_TIME_WAIT,
}

// PeerState tells without waiting how long ago the latest bytes came to this machine, to a few milliseconds (they may have
// waited for a place, or while this process stood still), and whether the other side has gone. A read sees its end
// only behind all that came before it, which may be more than is read on with requests in hand. An end that itself
// stands outside, behind a full window, nobody can see. Where the system tells no state the end is seen as it is read.
func (c *Conn) PeerState() (age time.Duration, gone bool) {
	gone = c.rawConn != nil // closed on this side, there is no descriptor to ask
	c.withDescriptor(func(fd int) {
		gone = false
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		age = time.Duration(info.Last_data_recv) * time.Millisecond
		gone = slices.Contains(peerClosedStates, info.State)
	})
	return age, gone
}

// IsPeerClosed tells without waiting whether the other side has gone.
func (c *Conn) IsPeerClosed() bool {
	_, gone := c.PeerState()
	return gone
}

// AwaitPeerClose waits, reading nothing, until the other side has closed or reset the connection. Behind bytes that stand there
// only the system's state tells.
func (c *Conn) AwaitPeerClose() error {
	if c.rawConn == nil {
		return os.ErrInvalid
	}
	return c.rawConn.Read(func(fd uintptr) bool {
		n, err := peek(int(fd), make([]byte, 1))
		if err != nil || n == 0 {
			return err != unix.EAGAIN
		}
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		return err == nil && slices.Contains(peerClosedStates, info.State)
	})
}

// HasUnacknowledged tells that the other side's system has not confirmed all that was written. A reset would throw that away.
func (c *Conn) HasUnacknowledged() bool {
	unsent := false
	c.withDescriptor(func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			unsent = info.Unacked > 0 || info.Notsent_bytes > 0
		}
	})
	return unsent
}
