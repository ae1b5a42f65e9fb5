package resp

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// halfCloser is implemented by connections whose sending half can be closed separately.
type halfCloser interface{ CloseWrite() error }

// Conn is a connection that carries RESP2 messages. One goroutine may read from it while another
// writes to it.
type Conn struct {
	net.Conn
	rawConn    syscall.RawConn       // nil if the connection has no descriptor
	readable   func(fd uintptr) bool // method value of isReadable, stored so that waiting does not allocate
	peekError  error                 // error found by the latest call of isReadable: io.EOF, a system error or nil
	peekBuffer [1]byte
	reader     *messageReader // nil while no message is being read
	lastRead   atomic.Int64   // time of the latest read within a message, in Unix nanoseconds
}

// NewConn returns a connection that speaks RESP2 over conn.
func NewConn(conn net.Conn) *Conn {
	c := &Conn{Conn: conn}
	c.readable = c.isReadable
	if sock, ok := conn.(syscall.Conn); ok {
		c.rawConn, _ = sock.SyscallConn() // fails only on a closed connection, where reads fail as well
	}
	return c
}

// Await blocks until the next message begins to arrive. It must be called before each message is
// read. On a connection with a descriptor, Await consumes no byte. Until the message is read,
// IsIdle therefore returns false, and closing the connection sends a reset, which tells the peer
// that the message was not read. Neither holds for a message that was read ahead with the previous
// one. Await returns io.EOF if the peer has closed its sending half, and otherwise the error that a
// read would return.
func (c *Conn) Await() error {
	if c.reader == nil {
		first, err := c.waitReadable()
		if err != nil {
			return err
		}
		c.reader = readerPool.get()
		c.reader.conn = c
		c.reader.peeked = first
		c.reader.R.Reset(c.reader)
	}
	c.reader.remaining = maxMessageSize
	return nil
}

// waitReadable waits until a byte can be read. On a connection without a descriptor it has to
// consume that byte and returns it as first.
func (c *Conn) waitReadable() (first []byte, err error) {
	if c.rawConn == nil {
		_, err = io.ReadFull(c.Conn, c.peekBuffer[:])
		return c.peekBuffer[:], err
	}
	err = c.rawConn.Read(c.readable)
	if err != nil {
		return nil, err
	}
	return nil, c.peekError
}

// LastRead returns the time of the latest read within a message.
func (c *Conn) LastRead() time.Time { return time.Unix(0, c.lastRead.Load()) }

// HasArrived reports whether the next size bytes of the message that is being read have arrived. It
// returns false on a connection without a descriptor. Only the reading goroutine may call it.
func (c *Conn) HasArrived(size int) bool {
	unread := 0
	c.withDescriptor(func(fd int) {
		if count, err := unix.IoctlGetInt(fd, unix.SIOCINQ); err == nil {
			unread = count
		}
	})
	return c.reader != nil && c.reader.R.Buffered()+unread >= size
}

// releaseIfDrained returns the reader to its pool unless it holds bytes of the next message.
func (c *Conn) releaseIfDrained() {
	if c.reader != nil && c.reader.R.Buffered() == 0 && len(c.reader.peeked) == 0 {
		c.releaseReader()
	}
}

func (c *Conn) releaseReader() {
	if c.reader == nil {
		return
	}
	c.reader.conn = nil
	c.reader.peeked = nil
	c.reader.noReadAhead = false
	readerPool.put(c.reader)
	c.reader = nil
}

// releaseAfterError releases the reader after err and returns the error for the caller. The result
// is io.EOF if the connection ended within a message, and otherwise err.
func (c *Conn) releaseAfterError(err error) error {
	c.releaseReader()
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return io.EOF
	}
	return err
}

// StopReadAhead makes the reader consume no further byte after the current message. It has effect
// until IsDrained returns true. Only the reading goroutine may call it.
func (c *Conn) StopReadAhead() {
	if c.reader != nil {
		c.reader.noReadAhead = true
	}
}

// IsDrained reports whether the reader holds no bytes. It returns false if bytes after the last
// message were read ahead, and between Await and the end of the message. Only the reading goroutine
// may call it.
func (c *Conn) IsDrained() bool { return c.reader == nil }

// CloseAfterError closes the connection after a message that could not be read. An immediate close
// while the rest of the message arrives would reset the connection, and the peer might not receive
// the reply. CloseAfterError therefore closes the sending half first. It then discards incoming
// bytes until the peer closes, the timeout expires or the size of one message is reached.
func (c *Conn) CloseAfterError(timeout time.Duration) {
	if half, ok := c.Conn.(halfCloser); ok && half.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(timeout))
		part := bufferPool.get()
		for remaining := maxMessageSize; remaining > 0; {
			n, err := c.Read(part[:])
			remaining -= n
			if err != nil {
				break
			}
		}
		bufferPool.put(part)
	}
	_ = c.Close()
}

// Reset closes the connection with a TCP reset, which tells the peer that its latest bytes were not
// read. With an orderly close, the system would acknowledge bytes that arrive during the close as
// if they had been read.
func (c *Conn) Reset() {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Abort makes pending and later reads and writes fail immediately with os.ErrDeadlineExceeded.
func (c *Conn) Abort() { _ = c.SetDeadline(time.Unix(1, 0)) }
