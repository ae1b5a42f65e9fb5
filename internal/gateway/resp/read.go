package resp

import (
	"errors"
	"io"
)

// The type bytes of RESP2 values that begin with a length.
const (
	kindArray = '*'
	kindBulk  = '$'
)

// Command is a client's command: an array of words, optionally followed by a value.
type Command struct {
	Words         []string
	Body          *Bulk // value; nil if there is none or it was discarded
	BodyDiscarded bool  // whether there was a value and it was discarded
}

// ReadCommand reads a command of at most maxWords words and one value. Await must have returned nil
// before. ReadCommand calls reserve with the size of a value in bytes before it reads the value. If
// reserve returns false, there is no memory for the value, and it is discarded as it arrives. A nil
// reserve accepts all values. The error is a ProtocolError if the peer violates the protocol, and
// io.EOF if the connection ends within the command. After an error nothing more can be read from
// the connection.
func (c *Conn) ReadCommand(maxWords int, reserve func(size int) bool) (*Command, error) {
	length, err := c.readHeader(kindArray)
	if err != nil {
		return nil, c.releaseAfterError(err)
	}
	if length < 1 || length > maxWords+1 {
		return nil, c.releaseAfterError(ProtocolError("wrong number of words"))
	}
	cmd := &Command{Words: make([]string, 0, maxWords)}
	for i := range length {
		if err := c.readElement(cmd, i < maxWords, reserve); err != nil {
			return nil, c.releaseAfterError(err)
		}
	}
	c.releaseIfDrained()
	return cmd, nil
}

// readElement reads the next element of a command: a word if isWord, otherwise the value.
func (c *Conn) readElement(cmd *Command, isWord bool, reserve func(size int) bool) error {
	size, err := c.readHeader(kindBulk)
	if err != nil {
		return err
	}
	switch {
	case size < 0:
		return ProtocolError("a word is missing")
	case isWord:
		word, err := c.readWord(size)
		cmd.Words = append(cmd.Words, word)
		return err
	case reserve == nil || size > maxValueSize || reserve(size): // readBulk rejects a value that is too long
		cmd.Body, err = c.readBulk(size)
		return err
	default:
		cmd.BodyDiscarded = true
		return c.discard(size)
	}
}

// Reply is a server's reply: a status, error or integer line, or a value with optional attributes.
type Reply struct {
	Kind       byte     // RESP2 type byte
	Line       string   // first line of the reply without the type byte
	Value      *Bulk    // value; nil if it is null or the reply has none
	Attributes []string // strings that follow the value in an array; "" for null
}

// ReadReply reads a reply. Await must have returned nil before. It returns the same
// kinds of error as ReadCommand.
func (c *Conn) ReadReply() (*Reply, error) {
	r, err := c.readReply()
	if err != nil {
		r.Value.Free()
		return nil, c.releaseAfterError(err)
	}
	c.releaseIfDrained()
	return r, nil
}

func (c *Conn) readReply() (*Reply, error) {
	r := &Reply{}
	text, err := c.readLine()
	if err != nil || len(text) == 0 {
		return r, errors.Join(err, ProtocolError("an empty line"))
	}
	line := string(text)
	r.Kind = line[0]
	r.Line = line[1:]
	switch r.Kind {
	case '+', '-', ':':
		return r, nil
	case kindBulk:
		size, err := parseLength(r.Line)
		if err != nil {
			return r, err
		}
		return r, c.readReplyValue(r, size)
	case kindArray:
		return r, c.readReplyArray(r)
	default:
		return r, ProtocolError("an unknown kind of reply")
	}
}

// readReplyArray reads the value and the attributes of an array whose length is in r.Line.
func (c *Conn) readReplyArray(r *Reply) error {
	length, err := parseLength(r.Line)
	if err != nil {
		return err
	}
	if length < 1 {
		return ProtocolError("an array with no value")
	}
	if length > maxAttributes+1 {
		return ProtocolError("too many attributes")
	}
	size, err := c.readHeader(kindBulk)
	if err != nil {
		return err
	}
	if err := c.readReplyValue(r, size); err != nil {
		return err
	}
	for range length - 1 {
		attribute, err := c.readAttribute()
		r.Attributes = append(r.Attributes, attribute)
		if err != nil {
			return err
		}
	}
	return nil
}

// readReplyValue reads the value of a reply. A negative size means null.
func (c *Conn) readReplyValue(r *Reply, size int) (err error) {
	if size >= 0 {
		r.Value, err = c.readBulk(size)
	}
	return err
}

// readAttribute reads an attribute. It returns "" for null.
func (c *Conn) readAttribute() (string, error) {
	size, err := c.readHeader(kindBulk)
	if err != nil || size < 0 {
		return "", err
	}
	return c.readWord(size)
}

func (c *Conn) readWord(size int) (string, error) {
	if size > maxWordSize {
		return "", ProtocolError("word too long")
	}
	word := make([]byte, size+len(terminator))
	if _, err := io.ReadFull(c.reader.R, word); err != nil {
		return "", err
	}
	return string(word[:size]), checkTerminator(word[size:])
}

// readBulk reads a value of size bytes. On an error it returns the value's buffers to the pool.
func (c *Conn) readBulk(size int) (*Bulk, error) {
	if size > maxValueSize {
		return nil, ProtocolError("value too long")
	}
	b := &Bulk{size: size}
	var err error
	for remaining := size; remaining > 0 && err == nil; remaining -= bufferSize {
		part := bufferPool.get()
		b.parts = append(b.parts, part)
		_, err = io.ReadFull(c.reader.R, part[:min(remaining, bufferSize)])
	}
	if err == nil {
		err = c.readTerminator()
	}
	if err != nil {
		b.Free()
		return nil, err
	}
	return b, nil
}

// discard reads a value of size bytes and drops it.
func (c *Conn) discard(size int) error {
	if _, err := c.reader.R.Discard(size); err != nil {
		return err
	}
	return c.readTerminator()
}

func (c *Conn) readTerminator() error {
	var end [len(terminator)]byte
	if _, err := io.ReadFull(c.reader.R, end[:]); err != nil {
		return err
	}
	return checkTerminator(end[:])
}

func checkTerminator(end []byte) error {
	if string(end) != terminator {
		return ProtocolError("a value does not end where it says")
	}
	return nil
}
