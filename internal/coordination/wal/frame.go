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
	blockSize  = 4096
	headerSize = 40
	frameMagic = 0x68682d6c6f673031 // "hh-log01"
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
	for range 2 {
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

// readFrame reads the copy that begins at b, if there is an undamaged one.
func readFrame(b []byte) (frame, bool) {
	if len(b) < headerSize || binary.BigEndian.Uint64(b) != frameMagic ||
		binary.BigEndian.Uint64(b[headerSumAt:]) != xxhash.Sum64(b[:headerSumAt]) {
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
	damaged  int // frames with one damaged copy, and a torn write at the end
}

// readFrames reads a log. Every frame but the last was synced before the next was begun, so a
// missing one in between is an error; one without an undamaged copy at the end was never
// acknowledged.
func readFrames(log []byte) (scanResult, error) {
	var scanned scanResult
	copies := 0
	last := uint64(0)    // of the last frame
	damagedTail := false // blocks after the last frame that are no copy
	for offset := 0; offset < len(log); {
		f, ok := readFrame(log[offset:])
		if !ok {
			damagedTail = true
			offset += blockSize
			continue
		}
		offset += paddedSize(len(f.payload))
		switch f.number {
		case last: // the second copy of a frame whose first one was read
			copies++
		case last + 1:
			if last > 0 && copies < 2 {
				scanned.damaged++
			}
			scanned.payloads = append(scanned.payloads, bytes.Clone(f.payload))
			last = f.number
			copies = 1
		default:
			return scanResult{}, fmt.Errorf("%w: frame %d follows frame %d", ErrCorrupt, f.number, last)
		}
		damagedTail = false
	}
	if copies < 2 || damagedTail {
		scanned.damaged++
	}
	return scanned, nil
}
