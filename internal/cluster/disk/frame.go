package disk

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
	block      = 4096
	headerSize = 40
	magic      = 0x68682d6c6f673031 // "hh-log01"
)

// appendFrame writes both copies of a frame behind b, which ends at a block.
func appendFrame(b []byte, number uint64, payload []byte) []byte {
	for range 2 {
		at := len(b)
		b = binary.BigEndian.AppendUint64(b, magic)
		b = binary.BigEndian.AppendUint64(b, uint64(len(payload)))
		b = binary.BigEndian.AppendUint64(b, number)
		b = binary.BigEndian.AppendUint64(b, xxhash.Sum64(payload))
		b = binary.BigEndian.AppendUint64(b, xxhash.Sum64(b[at:]))
		b = append(b, payload...)
		b = append(b, make([]byte, padded(len(payload))-headerSize-len(payload))...)
	}
	return b
}

// padded is the size of one copy.
func padded(payload int) int { return (headerSize + payload + block - 1) / block * block }

// frame is one copy as read.
type frame struct {
	number  uint64
	payload []byte
}

// readFrame reads the copy that begins at b, if there is a whole one.
func readFrame(b []byte) (frame, bool) {
	if len(b) < headerSize || binary.BigEndian.Uint64(b) != magic ||
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

// found is what a log holds.
type found struct {
	payloads [][]byte
	bad      int // frames of which one copy is spoilt, and the unfinished one at the end
}

// readFrames reads a log. Every frame but the last was synced before the next was begun, so that one that is missing
// in the midst is an error; one that has no whole copy at the end was never acknowledged.
func readFrames(log []byte) (found, error) {
	var got found
	copies, last := 0, uint64(0) // last frame's copies
	tail := false                // blocks behind the last frame that are no copy
	for at := 0; at < len(log); {
		f, ok := readFrame(log[at:])
		if !ok {
			tail = true
			at += block
			continue
		}
		at += padded(len(f.payload))
		switch f.number {
		case last: // its second copy; the first one was read
			copies++
		case last + 1:
			if last > 0 && copies < 2 {
				got.bad++
			}
			got.payloads = append(got.payloads, bytes.Clone(f.payload))
			last, copies = f.number, 1
		default:
			return found{}, fmt.Errorf("%w: frame %d follows frame %d", ErrSpoilt, f.number, last)
		}
		tail = false
	}
	if copies < 2 || tail {
		got.bad++
	}
	return got, nil
}

// Save appends a record and returns once it is on disk. Error: ErrFailed, from then on at every call.
func (d *Disk) Save(record []byte) error {
	if d.failed != nil {
		return d.failed
	}
	b, err := cbor.Marshal(page{Record: record})
	if err != nil {
		return err
	}
	frames := appendFrame(nil, d.next, b)
	if err := d.put(d.file, frames); err != nil {
		return err
	}
	d.next++
	d.size += int64(len(frames))
	return nil
}

// put writes and syncs. A sync that failed once may say yes the next time though the bytes are gone.
func (d *Disk) put(f *os.File, b []byte) error {
	err := d.hand.Write(f, b)
	if err == nil {
		err = d.hand.Sync(f)
	}
	if err != nil {
		d.failed = fmt.Errorf("%w: %w", ErrFailed, err)
	}
	return d.failed
}

// Rewrite puts one record in place of all that was saved. Error: ErrFailed, from then on at every call.
func (d *Disk) Rewrite(record []byte) error { return d.rewrite([][]byte{record}) }

// rewrite makes the log anew in another file, and puts that in place of the old one once it is whole.
func (d *Disk) rewrite(records [][]byte) error {
	if d.failed != nil {
		return d.failed
	}
	pages := []page{d.first}
	for _, r := range records {
		pages = append(pages, page{Record: r})
	}
	var b []byte
	for i, p := range pages {
		payload, err := cbor.Marshal(p)
		if err != nil {
			return err
		}
		b = appendFrame(b, uint64(i+1), payload)
	}
	f, err := os.OpenFile(d.path(nextName), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		d.failed = fmt.Errorf("%w: %w", ErrFailed, err)
		return d.failed
	}
	if err := d.put(f, b); err != nil {
		return errors.Join(err, f.Close())
	}
	err = os.Rename(d.path(nextName), d.path(logName))
	if err == nil {
		err = d.syncFolder()
	}
	if err != nil {
		d.failed = fmt.Errorf("%w: %w", ErrFailed, err)
		return errors.Join(d.failed, f.Close())
	}
	if d.file != nil {
		_ = d.file.Close() // the old log, whose bytes nobody needs
	}
	d.file, d.next, d.size = f, uint64(len(pages)+1), int64(len(b))
	return nil
}

// syncFolder has the names of files on disk too.
func (d *Disk) syncFolder() error {
	f, err := os.Open(d.folder)
	if err != nil {
		return err
	}
	return errors.Join(d.hand.Sync(f), f.Close())
}
