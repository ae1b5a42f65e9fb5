// Package frame reads and writes the frames that the simulator and its adapter exchange. Package
// host calls it. A frame is little-endian: a header, then records, each of a code, the length of
// its body in bytes, and packed fields. The package knows the layouts and nothing of what they are
// for; it covers the whole format, also what no gateway asks for today. Spans and times are
// milliseconds in a frame and durations in this package's types.
package frame

import "fmt"

// Sizes in bytes.
const (
	batchHeaderSize  = 16 // size, clock, serial
	replyHeaderSize  = 12 // size, number of records, serial
	recordHeaderSize = 5  // code, size of the body
	endpointSize     = 23
	figureSize       = 4 // of a load report
	maxFrameSize     = 1 << 30
	maxTextSize      = 1<<16 - 1 // of a log line or an internal error: its length has 16 bits
	inputBufferSize  = 1 << 16   // of a reader
	readChunkSize    = 1 << 20   // by which a reader's buffer grows
)

// Offsets of fields in the header of a batch, in bytes.
const (
	clockOffset  = 4
	serialOffset = 12
)

// FormatError says where a frame is malformed.
type FormatError struct {
	Batch  int // counted from 1 in the order of arrival
	Offset int // in bytes from the start of the frame
	Reason string
}

func (e *FormatError) Error() string {
	return fmt.Sprintf("batch %d, byte %d: %s", e.Batch, e.Offset, e.Reason)
}
