package resp

import (
	"errors"
	"fmt"
	"io"
	"strconv"
)

// Command is an array of words and perhaps a value behind them.
type Command struct {
	Words     []string
	Body      *Bulk
	Discarded bool // there was a value, which was not held
}

// ReadCommand reads a command of at most so many words and one value more, after Await. A value is read only if there is
// room for its size, else it is thrown away as it comes; without a function there always is.
func (c *Conn) ReadCommand(words int, room func(size int) bool) (*Command, error) {
	n, err := c.readHeader('*')
	if err != nil {
		return nil, c.closeReading(err)
	}
	if n < 1 || n > words+1 {
		return nil, c.closeReading(ProtocolError("wrong number of words"))
	}
	cmd := &Command{Words: make([]string, 0, words)}
	for i := range n {
		size, err := c.readHeader('$')
		switch {
		case err != nil:
		case size < 0:
			err = ProtocolError("a word is missing")
		case i < words:
			var word string
			word, err = c.readWord(size)
			cmd.Words = append(cmd.Words, word)
		case room == nil || size > maxValueSize || room(size):
			cmd.Body, err = c.readBulk(size)
		default:
			cmd.Discarded = true
			err = c.discard(size)
		}
		if err != nil {
			return nil, c.closeReading(err)
		}
	}
	c.releaseIfDrained()
	return cmd, nil
}

// Reply is what comes back: a line (of a status or an error), or a value and the notes behind it.
type Reply struct {
	Kind       byte // as in RESP2
	Line       string
	Value      *Bulk    // nil where it is null
	Attributes []string // empty where they are null
}

// ReadReply reads a reply, after Await.
func (c *Conn) ReadReply() (*Reply, error) {
	r, err := c.readReply()
	if err != nil {
		r.Value.Free()
		return nil, c.closeReading(err)
	}
	c.releaseIfDrained()
	return r, nil
}

func (c *Conn) readReply() (*Reply, error) {
	r := &Reply{}
	line, err := c.reader.ReadLine()
	if err != nil || line == "" {
		return r, errors.Join(err, ProtocolError("an empty line"))
	}
	r.Kind, r.Line = line[0], line[1:]
	n, size := 1, -1
	switch r.Kind {
	case '+', '-', ':':
		return r, nil
	case '$':
		size, err = parseLength(r.Line)
	case '*':
		if n, err = parseLength(r.Line); err == nil && n < 1 {
			err = ProtocolError("an array with no value")
		}
		if err == nil {
			size, err = c.readHeader('$')
		}
	default:
		err = ProtocolError("an unknown kind of reply")
	}
	if err == nil && size >= 0 {
		r.Value, err = c.readBulk(size)
	}
	for ; err == nil && n > 1; n-- {
		var note string
		if size, err = c.readHeader('$'); err == nil && size >= 0 {
			note, err = c.readWord(size)
		}
		r.Attributes = append(r.Attributes, note)
	}
	return r, err
}

// readHeader reads a line of a kind and a number; -1 means null.
func (c *Conn) readHeader(kind byte) (int, error) {
	line, err := c.reader.ReadLineBytes()
	if err != nil {
		return 0, err
	}
	if len(line) < 2 || line[0] != kind {
		return 0, ProtocolError(fmt.Sprintf("no line of kind %c", kind))
	}
	return parseLength(string(line[1:]))
}

// parseLength reads a length in the one form in which it is written.
func parseLength(text string) (int, error) {
	n, err := strconv.Atoi(text)
	if err != nil || n < -1 || strconv.Itoa(n) != text {
		return 0, ProtocolError("a length is no number")
	}
	return n, nil
}

func (c *Conn) readWord(size int) (string, error) {
	if size > maxWordSize {
		return "", ProtocolError("word too long")
	}
	word := make([]byte, size+2)
	if _, err := io.ReadFull(c.reader.R, word); err != nil {
		return "", err
	}
	return string(word[:size]), checkTerminator(word[size:])
}

// readBulk reads a value; if that fails its buffers are back in the pool.
func (c *Conn) readBulk(size int) (*Bulk, error) {
	if size > maxValueSize {
		return nil, ProtocolError("value too long")
	}
	b := &Bulk{size: size}
	var err error
	for left := size; left > 0 && err == nil; left -= bufferSize {
		part := bufferPool.Get().(*[bufferSize]byte)
		b.parts = append(b.parts, part)
		_, err = io.ReadFull(c.reader.R, part[:min(left, bufferSize)])
	}
	var end [2]byte
	if err == nil {
		_, err = io.ReadFull(c.reader.R, end[:])
	}
	if err == nil {
		err = checkTerminator(end[:])
	}
	if err != nil {
		b.Free()
		return nil, err
	}
	return b, nil
}

// discard reads a value and keeps none of it.
func (c *Conn) discard(size int) error {
	if _, err := c.reader.R.Discard(size); err != nil {
		return err
	}
	var end [2]byte
	if _, err := io.ReadFull(c.reader.R, end[:]); err != nil {
		return err
	}
	return checkTerminator(end[:])
}

func checkTerminator(end []byte) error {
	if string(end) != "\r\n" {
		return ProtocolError("a value does not end where it says")
	}
	return nil
}
