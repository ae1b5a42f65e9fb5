package frame

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Reader reads batches.
type Reader struct {
	input  *bufio.Reader
	begun  int
	buffer []byte
}

// NewReader reads batches from an input.
func NewReader(input io.Reader) *Reader {
	return &Reader{input: bufio.NewReaderSize(input, inputBufferSize)}
}

// BatchesBegun is the number of batches begun so far.
func (r *Reader) BatchesBegun() int { return r.begun }

// Next reads a batch, which is valid until the next call. Its errors are io.EOF where the input
// ends between frames, and a *FormatError.
func (r *Reader) Next() (*Batch, error) {
	var sizeField [4]byte
	n, err := io.ReadFull(r.input, sizeField[:])
	if errors.Is(err, io.EOF) {
		return nil, io.EOF
	}
	r.begun++
	if err != nil {
		return nil, r.truncated(n, err)
	}
	size := int(binary.LittleEndian.Uint32(sizeField[:]))
	if size < batchHeaderSize || size > maxFrameSize {
		return nil, &FormatError{Batch: r.begun, Reason: fmt.Sprintf("a frame cannot be %d bytes long", size)}
	}
	// The buffer grows as the bytes come, so that a wrong length alone claims no memory.
	r.buffer = append(r.buffer[:0], sizeField[:]...)
	for len(r.buffer) < size {
		filled := len(r.buffer)
		r.buffer = append(r.buffer, make([]byte, min(size-filled, readChunkSize))...)
		if n, err := io.ReadFull(r.input, r.buffer[filled:]); err != nil {
			return nil, r.truncated(filled+n, err)
		}
	}
	batch, err := Decode(r.buffer)
	var malformed *FormatError
	if errors.As(err, &malformed) {
		malformed.Batch = r.begun
	}
	return batch, err
}

func (r *Reader) truncated(offset int, err error) error {
	reason := err.Error()
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		reason = "the input ends inside a frame"
	}
	return &FormatError{Batch: r.begun, Offset: offset, Reason: reason}
}
