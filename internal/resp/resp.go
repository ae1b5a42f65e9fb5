// Package resp speaks RESP2, on net/textproto over net. A connection holds buffers only from the first byte
// of a message to its last: one that waits holds none.
package resp

import (
	"bufio"
	"net"
	"net/textproto"
	"sync"
)

const (
	bufferSize     = 4 << 10  // the one size of buffers: most messages fit
	maxValueSize   = 64 << 10 // the largest value, as the protocol says
	maxWordSize    = 1 << 10  // the longest word that is not a value
	maxMessageSize = maxValueSize + 4*maxWordSize
)

// A BadMessage says what is wrong with what the other side sent. No more can be read from it then.
type ProtocolError string

func (b ProtocolError) Error() string { return string(b) }

// The pools. Readers and writers hold one buffer of the one size each.
var (
	readerPool = sync.Pool{New: func() any {
		in := &messageReader{}
		in.Reader = textproto.NewReader(bufio.NewReaderSize(in, bufferSize))
		return in
	}}
	writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}
	bufferPool = sync.Pool{New: func() any { return new([bufferSize]byte) }}
)

// messageReader is a textproto.Reader and where it reads from: the byte that the wait had to read, if any, then the
// connection, but no more than a message may hold. That bounds lines without an end.
type messageReader struct {
	*textproto.Reader
	conn        net.Conn
	peeked      []byte
	remaining   int
	noReadAhead bool // byte by byte: nothing behind the message is read on
}

// Read feeds the buffered reader.
func (in *messageReader) Read(p []byte) (int, error) {
	if len(in.peeked) > 0 {
		n := copy(p, in.peeked)
		in.peeked = in.peeked[n:]
		return n, nil
	}
	if in.remaining <= 0 {
		return 0, ProtocolError("message too long")
	}
	if in.noReadAhead {
		p = p[:1]
	}
	n, err := in.conn.Read(p[:min(len(p), in.remaining)])
	in.remaining -= n
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
		bufferPool.Put(part)
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
