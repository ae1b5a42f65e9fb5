// Package resp reads and writes RESP2 messages on network connections. It is based on net/textproto
// and is used by listener, by upstream and by the laboratory's servers and clients. A connection
// holds a read buffer only from the first byte of a message to its last. An idle connection holds
// none.
package resp

import (
	"bufio"
	"net/textproto"
	"sync"
	"time"
)

// Sizes in bytes.
const (
	bufferSize     = 4 << 10  // size of all pooled buffers; most messages fit into one
	maxValueSize   = 64 << 10 // longest value that the protocol allows
	maxWordSize    = 1 << 10  // longest word of a command and longest attribute of a reply
	maxMessageSize = maxValueSize + 4*maxWordSize
)

// maxAttributes is the maximum number of attributes of a reply.
const maxAttributes = 16

// terminator follows each line and each value.
const terminator = "\r\n"

// ProtocolError describes how a message of the peer violates the protocol. Nothing more can be read
// from the connection.
type ProtocolError string

func (e ProtocolError) Error() string { return string(e) }

// pool is a typed sync.Pool.
type pool[T any] struct {
	free   sync.Pool
	create func() T
}

// get returns a pooled value, or a new one if the pool is empty.
func (p *pool[T]) get() T {
	if value, ok := p.free.Get().(T); ok {
		return value
	}
	return p.create()
}

// put returns a value to the pool. The caller must not use it any more.
func (p *pool[T]) put(value T) { p.free.Put(value) }

// Each pooled reader and writer has one buffer of bufferSize.
var (
	readerPool = pool[*messageReader]{create: newMessageReader}
	writerPool = pool[*bufio.Writer]{create: func() *bufio.Writer { return bufio.NewWriterSize(nil, bufferSize) }}
	bufferPool = pool[*[bufferSize]byte]{create: func() *[bufferSize]byte { return new([bufferSize]byte) }}
)

// messageReader is a textproto.Reader whose input is the Read method of the messageReader itself.
// Read returns the byte that waitReadable consumed, if any, and then bytes of the connection, up to
// maxMessageSize bytes per message. A line without end therefore cannot use unlimited memory.
type messageReader struct {
	*textproto.Reader
	conn        *Conn
	peeked      []byte // byte that waitReadable consumed; empty if there is none
	remaining   int    // number of bytes that may still be read from conn for this message
	noReadAhead bool   // whether to read single bytes, so that no byte after the message is consumed
}

func newMessageReader() *messageReader {
	r := &messageReader{}
	r.Reader = textproto.NewReader(bufio.NewReaderSize(r, bufferSize))
	return r
}

// Read implements io.Reader for the buffered reader.
func (r *messageReader) Read(p []byte) (int, error) {
	if len(r.peeked) > 0 {
		n := copy(p, r.peeked)
		r.peeked = r.peeked[n:]
		return n, nil
	}
	if r.remaining <= 0 {
		return 0, ProtocolError("message too long")
	}
	if r.noReadAhead {
		p = p[:1]
	}
	n, err := r.conn.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	r.conn.lastRead.Store(time.Now().UnixNano())
	return n, err
}

// Bulk is a value in pooled buffers. Its owner must call Free once the value is no longer used.
type Bulk struct {
	parts []*[bufferSize]byte
	size  int // length of the value in bytes
}

// Free returns the buffers to the pool and empties the value. On a nil Bulk it does nothing.
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

// String returns a copy of the value.
func (b *Bulk) String() string {
	text := make([]byte, 0, b.size)
	for _, part := range b.parts {
		text = append(text, part[:min(b.size-len(text), bufferSize)]...)
	}
	return string(text)
}
