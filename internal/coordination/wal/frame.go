package wal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"os"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// A frame is a header and a payload. Each is written twice in one write that is synced at once: a spoilt copy is found
// by its checksum, and the other one read. Without the second copy a byte flipped in the last frame could not be told
// from a write that a loss of power cut off, and what was acknowledged would be dropped without a word.
const (
	// Copies begin at whole blocks, so that a block that is lost spoils one copy only.
	blockSize  = 4096
	headerSize = 40
	frameMagic = 0x68682d6c6f673031 // "hh-log01"
)

// appendFrame writes both copies of a frame behind b, which ends at a block.
func appendFrame(b []byte, number uint64, payload []byte) []byte {
	for range 2 {
		offset := len(b)
		b = binary.BigEndian.AppendUint64(b, frameMagic)
		b = binary.BigEndian.AppendUint64(b, uint64(len(payload)))
		b = binary.BigEndian.AppendUint64(b, number)
		b = binary.BigEndian.AppendUint64(b, xxhash.Sum64(payload))
		b = binary.BigEndian.AppendUint64(b, xxhash.Sum64(b[offset:]))
		b = append(b, payload...)
		b = append(b, make([]byte, paddedSize(len(payload))-headerSize-len(payload))...)
	}
	return b
}

// paddedSize is the size of one copy.
func paddedSize(payload int) int {
	return (headerSize + payload + blockSize - 1) / blockSize * blockSize
}

// frame is one copy as read.
type frame struct {
	number  uint64
	payload []byte
}

// readFrame reads the copy that begins at b, if there is a whole one.
func readFrame(b []byte) (frame, bool) {
	if len(b) < headerSize || binary.BigEndian.Uint64(b) != frameMagic ||
		binary.BigEndian.Uint64(b[32:]) != xxhash.Sum64(b[:32]) {
		return frame{}, false
	}
	size := binary.BigEndian.Uint64(b[8:])
	if size > uint64(len(b)-headerSize) {
		return frame{}, false
	}
	f := frame{binary.BigEndian.Uint64(b[16:]), b[headerSize : headerSize+size]}
	return f, binary.BigEndian.Uint64(b[24:]) == xxhash.Sum64(f.payload)
}

// scanResult is what a log holds.
type scanResult struct {
	payloads [][]byte
	damaged  int // frames of which one copy is spoilt, and the unfinished one at the end
}

// readFrames reads a log. Every frame but the last was synced before the next was begun, so that one that is missing
// in the midst is an error; one that has no whole copy at the end was never acknowledged.
func readFrames(log []byte) (scanResult, error) {
	var scanned scanResult
	copies, last := 0, uint64(0) // last frame's copies
	tail := false                // blocks behind the last frame that are no copy
	for offset := 0; offset < len(log); {
		f, ok := readFrame(log[offset:])
		if !ok {
			tail = true
			offset += blockSize
			continue
		}
		offset += paddedSize(len(f.payload))
		switch f.number {
		case last: // its second copy; the first one was read
			copies++
		case last + 1:
			if last > 0 && copies < 2 {
				scanned.damaged++
			}
			scanned.payloads = append(scanned.payloads, bytes.Clone(f.payload))
			last, copies = f.number, 1
		default:
			return scanResult{}, fmt.Errorf("%w: frame %d follows frame %d", ErrCorrupt, f.number, last)
		}
		tail = false
	}
	if copies < 2 || tail {
		scanned.damaged++
	}
	return scanned, nil
}

// Append appends a record and returns once it is on disk. Error: ErrFailed, from then on at every call.
func (l *Log) Append(record []byte) error {
	if l.failure != nil {
		return l.failure
	}
	b, err := cbor.Marshal(entry{Record: record})
	if err != nil {
		return err
	}
	frames := appendFrame(nil, l.nextFrame, b)
	if err := l.writeAndSync(l.logFile, frames); err != nil {
		return err
	}
	l.nextFrame++
	l.size += int64(len(frames))
	return nil
}

// writeAndSync writes and syncs. A sync that failed once may say yes the next time though the bytes are gone.
func (l *Log) writeAndSync(f *os.File, b []byte) error {
	err := l.ops.Write(f, b)
	if err == nil {
		err = l.ops.Sync(f)
	}
	if err != nil {
		l.failure = fmt.Errorf("%w: %w", ErrWriteFailed, err)
	}
	return l.failure
}

// Rewrite puts one record in place of all that was saved. Error: ErrFailed, from then on at every call.
func (l *Log) Rewrite(record []byte) error { return l.replaceLog([][]byte{record}) }

// replaceLog makes the log anew in another file, and puts that in place of the old one once it is whole.
func (l *Log) replaceLog(records [][]byte) error {
	if l.failure != nil {
		return l.failure
	}
	entries := []entry{l.header}
	for _, r := range records {
		entries = append(entries, entry{Record: r})
	}
	var b []byte
	for i, decoded := range entries {
		payload, err := cbor.Marshal(decoded)
		if err != nil {
			return err
		}
		b = appendFrame(b, uint64(i+1), payload)
	}
	f, err := os.OpenFile(l.path(rewriteName), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		l.failure = fmt.Errorf("%w: %w", ErrWriteFailed, err)
		return l.failure
	}
	if err := l.writeAndSync(f, b); err != nil {
		return errors.Join(err, f.Close())
	}
	err = os.Rename(l.path(rewriteName), l.path(logName))
	if err == nil {
		err = l.syncFolder()
	}
	if err != nil {
		l.failure = fmt.Errorf("%w: %w", ErrWriteFailed, err)
		return errors.Join(l.failure, f.Close())
	}
	if l.logFile != nil {
		_ = l.logFile.Close() // the old log, whose bytes nobody needs
	}
	l.logFile, l.nextFrame, l.size = f, uint64(len(entries)+1), int64(len(b))
	return nil
}

// syncFolder has the names of files on disk too.
func (l *Log) syncFolder() error {
	f, err := os.Open(l.folder)
	if err != nil {
		return err
	}
	return errors.Join(l.ops.Sync(f), f.Close())
}
