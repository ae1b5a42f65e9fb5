// Package resp reads and writes RESP2 messages on net/textproto over net. Listener and upstream,
// and the laboratory's servers and clients, speak it. A connection holds a buffer only from the
// first byte of a message to its last: a connection that waits holds none.
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

// terminator ends lines and values.
const terminator = "\r\n"

// A ProtocolError says how a message of the peer violates the protocol. Nothing more can be read
// from that connection.
type ProtocolError string

func (e ProtocolError) Error() string { return string(e) }

// pool holds values that are free for reuse.
type pool[T any] struct {
	free   sync.Pool
	create func() T
}

// get returns a free value, or a new one.
func (p *pool[T]) get() T {
	if value, ok := p.free.Get().(T); ok {
		return value
	}
	return p.create()
}

// put frees a value.
func (p *pool[T]) put(value T) { p.free.Put(value) }

// The pools. Readers and writers hold one buffer of bufferSize each.
var (
	readerPool = pool[*messageReader]{create: newMessageReader}
	writerPool = pool[*bufio.Writer]{create: func() *bufio.Writer { return bufio.NewWriterSize(nil, bufferSize) }}
	bufferPool = pool[*[bufferSize]byte]{create: func() *[bufferSize]byte { return new([bufferSize]byte) }}
)

// messageReader is a textproto.Reader together with its source: the byte that waiting had to
// consume, if any, then the connection, limited to the size of one message. The limit bounds lines
// that never end.
type messageReader struct {
	*textproto.Reader
	conn        net.Conn
	peeked      []byte
	remaining   int  // bytes that the message may still have
	noReadAhead bool // read byte by byte, so that nothing behind the message is consumed
}

func newMessageReader() *messageReader {
	in := &messageReader{}
	in.Reader = textproto.NewReader(bufio.NewReaderSize(in, bufferSize))
	return in
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
		bufferPool.put(part)
	}
	b.parts = nil
	b.size = 0
}

// String returns the value as text.
func (b *Bulk) String() string {
	text := make([]byte, 0, b.size)
	for _, part := range b.parts {
		text = append(text, part[:min(b.size-len(text), bufferSize)]...)
	}
	return string(text)
}
