// Package resp reads and writes RESP2 messages on net/textproto over net. A connection holds a buffer only from the first
// byte of a message to its last: a connection that waits holds none.
package resp

import (
	"bufio"
	"net"
	"net/textproto"
	"sync"
)

// Sizes in bytes.
const (
	bufferSize     = 4 << 10  // the one size of pooled buffers: most messages fit
	maxValueSize   = 64 << 10 // the largest value that the protocol allows
	maxWordSize    = 1 << 10  // the longest word that is not a value
	maxMessageSize = maxValueSize + 4*maxWordSize
)

// A ProtocolError says how a message of the peer violates the protocol. Nothing more can be read from that connection.
type ProtocolError string

func (e ProtocolError) Error() string { return string(e) }

// The pools. Readers and writers hold one buffer of bufferSize each.
var (
	readerPool = sync.Pool{New: func() any {
		in := &messageReader{}
		in.Reader = textproto.NewReader(bufio.NewReaderSize(in, bufferSize))
		return in
	}}
	writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}
	bufferPool = sync.Pool{New: func() any { return new([bufferSize]byte) }}
)

// messageReader is a textproto.Reader together with its source: the byte that waiting had to consume, if any, then the
// connection, limited to the size of one message. The limit bounds lines that never end.
type messageReader struct {
	*textproto.Reader
	conn        net.Conn
	peeked      []byte
	remaining   int  // bytes that the message may still have
	noReadAhead bool // read byte by byte, so that nothing behind the message is consumed
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

// Bulk is a value, held in pooled buffers.
type Bulk struct {
	parts []*[bufferSize]byte
	size  int
}

// Free returns the buffers to the pool. Freeing a nil value does nothing.
func (b *Bulk) Free() {
	if b == nil {
		return
	}
	for _, part := range b.parts {
		bufferPool.Put(part)
	}
	b.parts, b.size = nil, 0
}

// String returns the value as text.
func (b *Bulk) String() string {
	text := make([]byte, 0, b.size)
	for _, part := range b.parts {
		text = append(text, part[:min(b.size-len(text), bufferSize)]...)
	}
	return string(text)
}
