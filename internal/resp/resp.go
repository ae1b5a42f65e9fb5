// Package resp speaks RESP2, on net/textproto over net. A connection holds buffers only from the first byte
// of a message to its last: one that waits holds none.
package resp

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	bufferSize  = 4 << 10  // the one size of buffers: most messages fit
	valueMost   = 64 << 10 // the largest value, as the protocol says
	wordMost    = 1 << 10  // the longest word that is not a value
	messageMost = valueMost + 4*wordMost
)

// A BadMessage says what is wrong with what the other side sent. No more can be read from it then.
type BadMessage string

func (b BadMessage) Error() string { return string(b) }

// The pools. Readers and writers hold one buffer of the one size each.
var (
	readers = sync.Pool{New: func() any {
		in := &reader{}
		in.Reader = textproto.NewReader(bufio.NewReaderSize(in, bufferSize))
		return in
	}}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}
	buffers = sync.Pool{New: func() any { return new([bufferSize]byte) }}
)

// reader is a textproto.Reader and where it reads from: the byte that the wait ended with, then the
// connection, but no more than a message may hold. That bounds lines without an end.
type reader struct {
	*textproto.Reader
	conn  net.Conn
	first []byte
	left  int
}

// Read feeds the buffered reader.
func (in *reader) Read(p []byte) (int, error) {
	if len(in.first) > 0 {
		n := copy(p, in.first)
		in.first = in.first[n:]
		return n, nil
	}
	if in.left <= 0 {
		return 0, BadMessage("message too long")
	}
	n, err := in.conn.Read(p[:min(len(p), in.left)])
	in.left -= n
	return n, err
}

// Bulk is a value, in as many buffers as it needs.
type Bulk struct {
	parts []*[bufferSize]byte
	size  int
}

// Free gives the buffers back. A nil value has none.
func (b *Bulk) Free() {
	if b == nil {
		return
	}
	for _, part := range b.parts {
		buffers.Put(part)
	}
	b.parts, b.size = nil, 0
}

// String is the value as text.
func (b *Bulk) String() string {
	text := make([]byte, 0, b.size)
	for _, part := range b.parts {
		text = append(text, part[:min(b.size-len(text), bufferSize)]...)
	}
	return string(text)
}

// Conn is one connection, used by one reader and one writer at a time.
type Conn struct {
	net.Conn
	raw  syscall.RawConn // nil where there is no descriptor
	wait [1]byte
	in   *reader // nil while nothing is being read
}

// NewConn speaks RESP2 on a connection.
func NewConn(conn net.Conn) *Conn {
	c := &Conn{Conn: conn}
	if sock, ok := conn.(syscall.Conn); ok {
		c.raw, _ = sock.SyscallConn()
	}
	return c
}

// Await waits for the next message. The reader's buffer is taken from the pool when its first byte is there.
func (c *Conn) Await() error {
	if c.in == nil {
		if _, err := io.ReadFull(c.Conn, c.wait[:]); err != nil {
			return err
		}
		c.in = readers.Get().(*reader)
		c.in.conn, c.in.first = c.Conn, c.wait[:]
		c.in.R.Reset(c.in)
	}
	c.in.left = messageMost
	return nil
}

// rest gives the reader back, unless it has read on into the next message.
func (c *Conn) rest() {
	if c.in != nil && c.in.R.Buffered() == 0 && len(c.in.first) == 0 {
		c.drop()
	}
}

func (c *Conn) drop() {
	if c.in != nil {
		c.in.conn, c.in.first = nil, nil
		readers.Put(c.in)
		c.in = nil
	}
}

// fail ends reading for good.
func (c *Conn) fail(err error) error {
	c.drop()
	if err == io.ErrUnexpectedEOF {
		return io.EOF
	}
	return err
}

// Quiet tells, without waiting, that the connection stands and nothing has come on it that was not read.
func (c *Conn) Quiet() bool {
	quiet := false
	c.control(func(fd int) {
		var peek [1]byte
		_, _, err := unix.Recvfrom(fd, peek[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
	})
	return quiet
}

// Age is how long ago the latest bytes came to this machine, to a few milliseconds: they may have waited for a
// place, or while this process stood still.
func (c *Conn) Age() time.Duration {
	age := time.Duration(0)
	c.control(func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return age
}

// control lends the descriptor, if the connection has one and is open.
func (c *Conn) control(use func(fd int)) {
	if c.raw != nil {
		_ = c.raw.Control(func(fd uintptr) { use(int(fd)) })
	}
}

// Drained tells, to whoever reads, that nothing was read on behind the last message.
func (c *Conn) Drained() bool { return c.in == nil }

// Part ends the connection after a message that could not be read: closed with that still coming, it would be
// reset, and the other side might never see the answer. What comes is thrown away, for so long at most, and no
// more than a message: reading on from one who has 60 MB to send would cost more than it is owed.
func (c *Conn) Part(most time.Duration) {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(most))
		part := buffers.Get().(*[bufferSize]byte)
		for left := messageMost; left > 0; {
			n, err := c.Read(part[:])
			if left -= n; err != nil {
				break
			}
		}
		buffers.Put(part)
	}
	_ = c.Close()
}

// Break closes the connection by a reset: what crosses that was not read, and the other side can tell. Closed in
// order, the system would confirm what still comes in that moment, as if it had been read.
func (c *Conn) Break() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Abort makes whoever reads or writes stop at once.
func (c *Conn) Abort() { _ = c.SetDeadline(time.Unix(1, 0)) }

// Command is an array of words and perhaps a value behind them.
type Command struct {
	Words []string
	Body  *Bulk
}

// ReadCommand reads a command of at most so many words and one value more, after Await.
func (c *Conn) ReadCommand(words int) (*Command, error) {
	n, err := c.header('*')
	if err != nil {
		return nil, c.fail(err)
	}
	if n < 1 || n > words+1 {
		return nil, c.fail(BadMessage("wrong number of words"))
	}
	cmd := &Command{Words: make([]string, 0, words)}
	for i := range n {
		size, err := c.header('$')
		switch {
		case err != nil:
		case size < 0:
			err = BadMessage("a word is missing")
		case i < words:
			var word string
			word, err = c.word(size)
			cmd.Words = append(cmd.Words, word)
		default:
			cmd.Body, err = c.bulk(size)
		}
		if err != nil {
			return nil, c.fail(err)
		}
	}
	c.rest()
	return cmd, nil
}

// Reply is what comes back: a line (of a status or an error), or a value and the notes behind it.
type Reply struct {
	Kind  byte // as in RESP2
	Line  string
	Value *Bulk    // nil where it is null
	Notes []string // empty where they are null
}

// ReadReply reads a reply, after Await.
func (c *Conn) ReadReply() (*Reply, error) {
	r, err := c.reply()
	if err != nil {
		r.Value.Free()
		return nil, c.fail(err)
	}
	c.rest()
	return r, nil
}

func (c *Conn) reply() (*Reply, error) {
	r := &Reply{}
	line, err := c.in.ReadLine()
	if err != nil || line == "" {
		return r, errors.Join(err, BadMessage("an empty line"))
	}
	r.Kind, r.Line = line[0], line[1:]
	n, size := 1, -1
	switch r.Kind {
	case '+', '-', ':':
		return r, nil
	case '$':
		size, err = number(r.Line)
	case '*':
		if n, err = number(r.Line); err == nil && n < 1 {
			err = BadMessage("an array with no value")
		}
		if err == nil {
			size, err = c.header('$')
		}
	default:
		err = BadMessage("an unknown kind of reply")
	}
	if err == nil && size >= 0 {
		r.Value, err = c.bulk(size)
	}
	for ; err == nil && n > 1; n-- {
		var note string
		if size, err = c.header('$'); err == nil && size >= 0 {
			note, err = c.word(size)
		}
		r.Notes = append(r.Notes, note)
	}
	return r, err
}

// header reads a line of a kind and a number; -1 means null.
func (c *Conn) header(kind byte) (int, error) {
	line, err := c.in.ReadLineBytes()
	if err != nil {
		return 0, err
	}
	if len(line) < 2 || line[0] != kind {
		return 0, BadMessage(fmt.Sprintf("no line of kind %c", kind))
	}
	return number(string(line[1:]))
}

// number reads a length in the one form in which it is written.
func number(text string) (int, error) {
	n, err := strconv.Atoi(text)
	if err != nil || n < -1 || strconv.Itoa(n) != text {
		return 0, BadMessage("a length is no number")
	}
	return n, nil
}

func (c *Conn) word(size int) (string, error) {
	if size > wordMost {
		return "", BadMessage("word too long")
	}
	word := make([]byte, size+2)
	if _, err := io.ReadFull(c.in.R, word); err != nil {
		return "", err
	}
	return string(word[:size]), ended(word[size:])
}

// bulk reads a value; if that fails its buffers are back in the pool.
func (c *Conn) bulk(size int) (*Bulk, error) {
	if size > valueMost {
		return nil, BadMessage("value too long")
	}
	b := &Bulk{size: size}
	var err error
	for left := size; left > 0 && err == nil; left -= bufferSize {
		part := buffers.Get().(*[bufferSize]byte)
		b.parts = append(b.parts, part)
		_, err = io.ReadFull(c.in.R, part[:min(left, bufferSize)])
	}
	var end [2]byte
	if err == nil {
		_, err = io.ReadFull(c.in.R, end[:])
	}
	if err == nil {
		err = ended(end[:])
	}
	if err != nil {
		b.Free()
		return nil, err
	}
	return b, nil
}

func ended(end []byte) error {
	if string(end) != "\r\n" {
		return BadMessage("a value does not end where it says")
	}
	return nil
}

// WriteCommand writes a command in one go if it fits a buffer. An error means that its last byte was not.
func (c *Conn) WriteCommand(cmd *Command) error {
	return c.write(func(w *bufio.Writer) {
		n := len(cmd.Words)
		if cmd.Body != nil {
			n++
		}
		head(w, '*', n)
		for _, word := range cmd.Words {
			head(w, '$', len(word))
			_, _ = w.WriteString(word)
			_, _ = w.WriteString("\r\n")
		}
		if cmd.Body != nil {
			value(w, cmd.Body)
		}
	})
}

// WriteLine writes a status or an error, whose first byte is its kind.
func (c *Conn) WriteLine(line string) error {
	return c.write(func(w *bufio.Writer) {
		_, _ = w.WriteString(line)
		_, _ = w.WriteString("\r\n")
	})
}

// WriteValue writes a value.
func (c *Conn) WriteValue(b *Bulk) error {
	return c.write(func(w *bufio.Writer) { value(w, b) })
}

// write lends a writer; its errors stay with it until the flush.
func (c *Conn) write(fill func(*bufio.Writer)) error {
	w := writers.Get().(*bufio.Writer)
	w.Reset(c.Conn)
	fill(w)
	err := w.Flush()
	w.Reset(nil)
	writers.Put(w)
	return err
}

func value(w *bufio.Writer, b *Bulk) {
	head(w, '$', b.size)
	left := b.size
	for _, part := range b.parts {
		_, _ = w.Write(part[:min(left, bufferSize)])
		left -= bufferSize
	}
	_, _ = w.WriteString("\r\n")
}

func head(w *bufio.Writer, kind byte, n int) {
	_ = w.WriteByte(kind)
	_, _ = w.Write(strconv.AppendInt(w.AvailableBuffer(), int64(n), 10))
	_, _ = w.WriteString("\r\n")
}
