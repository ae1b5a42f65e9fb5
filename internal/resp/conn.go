package resp

import (
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Conn is one connection, used by one reader and one writer at a time.
type Conn struct {
	net.Conn
	rawConn    syscall.RawConn       // nil where there is no descriptor
	readable   func(fd uintptr) bool // stood, made once: a wait allocates nothing for it
	peekError  error                 // how the wait ended
	peekBuffer [1]byte
	reader     *messageReader // nil while nothing is being read
}

// NewConn speaks RESP2 on a connection.
func NewConn(conn net.Conn) *Conn {
	c := &Conn{Conn: conn}
	c.readable = c.isReadable
	if sock, ok := conn.(syscall.Conn); ok {
		c.rawConn, _ = sock.SyscallConn()
	}
	return c
}

// Await waits for the next message. The reader's buffer is taken from the pool when its first byte is there. That byte
// is left where it stands: until the message is read, Quiet sees it, and an end of the connection says it was not read.
func (c *Conn) Await() error {
	if c.reader == nil {
		first, err := c.waitReadable()
		if err != nil {
			return err
		}
		c.reader = readerPool.Get().(*messageReader)
		c.reader.conn, c.reader.peeked = c.Conn, first
		c.reader.R.Reset(c.reader)
	}
	c.reader.remaining = maxMessageSize
	return nil
}

// waitReadable waits until a byte stands in the system. Without a descriptor it has to be read, and is given back.
func (c *Conn) waitReadable() (first []byte, err error) {
	if c.rawConn == nil {
		_, err = io.ReadFull(c.Conn, c.peekBuffer[:])
		return c.peekBuffer[:], err
	}
	if err = c.rawConn.Read(c.readable); err != nil {
		return nil, err
	}
	return nil, c.peekError
}

// isReadable looks, in the wait, whether a byte or the end has come.
func (c *Conn) isReadable(fd uintptr) bool {
	n, err := peek(int(fd), c.peekBuffer[:])
	switch c.peekError = nil; {
	case err == unix.EAGAIN:
		return false
	case err != nil:
		c.peekError = os.NewSyscallError("recvfrom", err)
	case n == 0:
		c.peekError = io.EOF
	}
	return true
}

// releaseIfDrained gives the reader back, unless it has read on into the next message.
func (c *Conn) releaseIfDrained() {
	if c.reader != nil && c.reader.R.Buffered() == 0 && len(c.reader.peeked) == 0 {
		c.releaseReader()
	}
}

func (c *Conn) releaseReader() {
	if c.reader != nil {
		c.reader.conn, c.reader.peeked, c.reader.noReadAhead = nil, nil, false
		readerPool.Put(c.reader)
		c.reader = nil
	}
}

// closeReading ends reading for good.
func (c *Conn) closeReading(err error) error {
	c.releaseReader()
	if err == io.ErrUnexpectedEOF {
		return io.EOF
	}
	return err
}

// IsQuiet tells, without waiting, that the connection stands and nothing has come on it that was not read.
func (c *Conn) IsQuiet() bool {
	quiet := false
	c.withDescriptor(func(fd int) {
		_, err := peek(fd, make([]byte, 1))
		quiet = err == unix.EAGAIN
	})
	return quiet
}

// peek looks for a byte, without waiting, and leaves it where it stands; none and no error is the end.
func peek(fd int, first []byte) (n int, err error) {
	for {
		if n, _, err = unix.Recvfrom(fd, first, unix.MSG_PEEK|unix.MSG_DONTWAIT); err != unix.EINTR {
			return n, err
		}
	}
}

// StopReadAhead has no more read, until the connection is drained, than the message in hand needs.
func (c *Conn) StopReadAhead() {
	if c.reader != nil {
		c.reader.noReadAhead = true
	}
}

// withDescriptor lends the descriptor, if the connection has one and is open.
func (c *Conn) withDescriptor(use func(fd int)) {
	if c.rawConn != nil {
		_ = c.rawConn.Control(func(fd uintptr) { use(int(fd)) })
	}
}

// IsDrained tells, to whoever reads, that nothing was read on behind the last message.
func (c *Conn) IsDrained() bool { return c.reader == nil }

// CloseAfterError ends the connection after a message that could not be read: closed with that still coming, it would be
// reset, and the other side might never see the answer. What comes is thrown away, for so long at most, and no
// more than a message: reading on from one who has 60 MB to send would cost more than it is owed.
func (c *Conn) CloseAfterError(most time.Duration) {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(most))
		part := bufferPool.Get().(*[bufferSize]byte)
		for left := maxMessageSize; left > 0; {
			n, err := c.Read(part[:])
			if left -= n; err != nil {
				break
			}
		}
		bufferPool.Put(part)
	}
	_ = c.Close()
}

// Reset closes the connection by a reset: what crosses that was not read, and the other side can tell. Closed in
// order, the system would confirm what still comes in that moment, as if it had been read.
func (c *Conn) Reset() {
	if tcp, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Abort makes whoever reads or writes stop at once.
func (c *Conn) Abort() { _ = c.SetDeadline(time.Unix(1, 0)) }
