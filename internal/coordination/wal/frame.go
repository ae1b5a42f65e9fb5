package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// A frame is a header and a payload. Each is written twice, in one write that is synced at once: a
// damaged copy is found by its checksum, and the other one is read. Without the second copy a byte
// flipped in the last frame could not be told from a write that a power failure cut off, and an
// acknowledged record would be dropped silently.
const (
	// blockSize is the unit at which copies begin, so that a lost block damages one copy only.
	blockSize      = 4096 // bytes
	headerSize     = 40   // bytes
	copiesPerFrame = 2
	frameMagic     = 0x68682d6c6f673031 // "hh-log01"
)

// Where the fields of a header begin; all are 64 bits, big endian. The last one sums up those
// before it.
const (
	payloadSizeAt = 8
	numberAt      = 16
	payloadSumAt  = 24
	headerSumAt   = 32
)

// appendFrame appends both copies of a frame to b, which ends at a block boundary.
func appendFrame(b []byte, number uint64, payload []byte) []byte {
	for range copiesPerFrame {
		start := len(b)
		b = binary.BigEndian.AppendUint64(b, frameMagic)
		b = binary.BigEndian.AppendUint64(b, uint64(len(payload)))
		b = binary.BigEndian.AppendUint64(b, number)
		b = binary.BigEndian.AppendUint64(b, xxhash.Sum64(payload))
		b = binary.BigEndian.AppendUint64(b, xxhash.Sum64(b[start:]))
		b = append(b, payload...)
		b = append(b, make([]byte, paddedSize(len(payload))-headerSize-len(payload))...)
	}
	return b
}

// paddedSize returns the size in bytes of one copy of a frame with a payload of that size.
func paddedSize(payload int) int {
	return (headerSize + payload + blockSize - 1) / blockSize * blockSize
}

// frame is one copy as read.
type frame struct {
	number  uint64 // from 1
	payload []byte
}

// hasHeader reports whether an undamaged header begins at b.
func hasHeader(b []byte) bool {
	if len(b) < headerSize || binary.BigEndian.Uint64(b) != frameMagic {
		return false
	}
	return binary.BigEndian.Uint64(b[headerSumAt:]) == xxhash.Sum64(b[:headerSumAt])
}

// readFrame reads the copy that begins at b, if there is an undamaged one.
func readFrame(b []byte) (frame, bool) {
	if !hasHeader(b) {
		return frame{}, false
	}
	size := binary.BigEndian.Uint64(b[payloadSizeAt:])
	if size > uint64(len(b)-headerSize) {
		return frame{}, false
	}
	f := frame{binary.BigEndian.Uint64(b[numberAt:]), b[headerSize : headerSize+size]}
	return f, binary.BigEndian.Uint64(b[payloadSumAt:]) == xxhash.Sum64(f.payload)
}

// scanResult is what a log holds.
type scanResult struct {
	payloads [][]byte
	damaged  int // frames with one damaged copy; a damaged or torn end counts as one more
}

// readFrames reads a log. Every frame but the last was synced before the next was begun, so a
// missing one in between is an error; one without an undamaged copy at the end was never
// acknowledged.
func readFrames(log []byte) (scanResult, error) {
	var scanner frameScanner
	for offset := 0; offset < len(log); {
		f, ok := readFrame(log[offset:])
		if !ok {
			scanner.isTailDamaged = true
			offset += blockSize
			continue
		}
		offset += paddedSize(len(f.payload))
		if err := scanner.addCopy(f); err != nil {
			return scanResult{}, err
		}
	}
	return scanner.finish(), nil
}

// frameScanner puts together the frames of a log from their undamaged copies.
type frameScanner struct {
	result        scanResult
	lastNumber    uint64 // of the last frame read; 0: none yet
	copies        int    // undamaged copies of that frame so far
	isTailDamaged bool   // blocks were skipped since the last undamaged copy
}

// addCopy takes the next undamaged copy: the second one of the last frame, or one of the next
// frame.
func (s *frameScanner) addCopy(f frame) error {
	switch f.number {
	case s.lastNumber:
		s.copies++
	case s.lastNumber + 1:
		if s.lastNumber > 0 && s.copies < copiesPerFrame {
			s.result.damaged++
		}
		s.result.payloads = append(s.result.payloads, bytes.Clone(f.payload))
		s.lastNumber = f.number
		s.copies = 1
	default:
		return fmt.Errorf("%w: frame %d follows frame %d", ErrCorrupt, f.number, s.lastNumber)
	}
	s.isTailDamaged = false
	return nil
}

// finish ends the scan at the end of the log. A last frame without its second copy and skipped
// blocks behind it count as one.
func (s *frameScanner) finish() scanResult {
	if s.copies < copiesPerFrame || s.isTailDamaged {
		s.result.damaged++
	}
	return s.result
}
