package resp

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// halfCloser is a connection whose sending half can be closed on its own.
type halfCloser interface{ CloseWrite() error }

// Conn is one connection. One goroutine may read from it while another writes to it.
type Conn struct {
	net.Conn
	rawConn    syscall.RawConn       // nil if the connection has no descriptor
	readable   func(fd uintptr) bool // isReadable, made once so that waiting does not allocate
	peekError  error                 // result of the latest wait
	peekBuffer [1]byte
	reader     *messageReader // nil while no message is being read
}

// NewConn returns a connection that speaks RESP2 over conn.
func NewConn(conn net.Conn) *Conn {
	c := &Conn{Conn: conn}
	c.readable = c.isReadable
	if sock, ok := conn.(syscall.Conn); ok {
		c.rawConn, _ = sock.SyscallConn() // fails on a closed connection only, where reading fails as well
	}
	return c
}

// Await waits for the next message and takes a reader from the pool when its first byte has
// arrived. It consumes no byte: until the message is read, IsQuiet reports it, and closing the
// connection resets it, which tells the peer that it was not read.
func (c *Conn) Await() error {
	if c.reader == nil {
		first, err := c.waitReadable()
		if err != nil {
			return err
		}
		c.reader = readerPool.get()
		c.reader.conn = c.Conn
		c.reader.peeked = first
		c.reader.R.Reset(c.reader)
	}
	c.reader.remaining = maxMessageSize
	return nil
}

// waitReadable waits until a byte can be read. Without a descriptor it has to read that byte, and
// returns it.
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

// releaseIfDrained returns the reader to the pool, unless it has read ahead into the next message.
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

// closeReading ends reading for good and returns the error that the caller is to see.
func (c *Conn) closeReading(err error) error {
	c.releaseReader()
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return io.EOF
	}
	return err
}

// StopReadAhead makes the reader consume no byte behind the current message, until the connection
// is drained.
func (c *Conn) StopReadAhead() {
	if c.reader != nil {
		c.reader.noReadAhead = true
	}
}

// IsDrained reports whether nothing was read ahead of the last message. Only the reading goroutine
// may call it.
func (c *Conn) IsDrained() bool { return c.reader == nil }

// CloseAfterError closes the connection after a message that could not be read. Closed while the
// rest of that message arrives, the connection would be reset, and the peer might never see the
// answer. So the sending half is closed first, and what arrives is discarded for at most the
// timeout, and at most for the size of one message.
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

// Reset closes the connection by a TCP reset, which tells the peer that what it sent meanwhile was
// not read. On an orderly close the system would acknowledge bytes that arrive in that moment, as
// if they had been read.
func (c *Conn) Reset() {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Abort makes pending and later reads and writes fail at once with os.ErrDeadlineExceeded.
func (c *Conn) Abort() { _ = c.SetDeadline(time.Unix(1, 0)) }
