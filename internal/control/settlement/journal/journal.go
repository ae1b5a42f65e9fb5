// Package journal stores a gateway's balances in a file that outlives its process. Package runtime
// opens it, and package account writes and restores balances by it.
//
// The file has three slots, each for a record with a sequence number, a length and a checksum. The
// record last synced is left alone until a later one is synced, and the two other slots are written
// in turn: a write that is cut off, by the process's death or by loss of power, leaves an earlier
// record complete.
package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"

	"harrierhoist/internal/control/settlement/account"
)

// Layout of the file. It is stored: it never changes.
const (
	fileName  = "debts"
	slotCount = 3
	firstSlot = 1         // of the first record
	slotSize  = 512 << 10 // bytes: the pairs of 64 partners with names of 64 letters

	// A record's header: sequence number, length of the body, checksum of the body xor the sequence
	// number; 8 bytes each, little-endian.
	lengthOffset   = 8
	checksumOffset = 16
	headerSize     = 24
)

const (
	syncInterval    = time.Second // between syncs, and so what loss of power may lose
	filePermissions = 0o600
	firstSequence   = 1 // of the very first record
)

// ErrNoCompleteRecord is the error of a file that holds something, and no complete record: what was
// owed is not known.
var ErrNoCompleteRecord = errors.New("none of its records is whole: remove it to begin anew")

// Journal is the file of one process. It is not safe for use by several goroutines at once.
type Journal struct {
	file       *os.File
	sequence   uint64                  // of the latest record
	slot       int64                   // of the latest record
	syncedSlot int64                   // of the latest record that is synced
	syncedAt   time.Time               // zero: not yet by this process
	ledgerID   string                  // when opened
	balances   []account.StoredBalance // when opened
}

var _ account.Store = (*Journal)(nil)

// record is the body of a record.
type record struct {
	LedgerID string                  `cbor:"1,keyasint"`
	Balances []account.StoredBalance `cbor:"2,keyasint"`
}

// Open opens the file in a folder, or creates it. It fails where another process has it
// (unix.EWOULDBLOCK), and with ErrNoCompleteRecord.
func Open(folder string) (*Journal, error) {
	path := filepath.Join(folder, fileName)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, filePermissions)
	if err != nil {
		return nil, err // it names the file
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: another process has it: %w", path, err), file.Close())
	}
	j := &Journal{file: file}
	if err := j.load(); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", path, err), file.Close())
	}
	return j, nil
}

// load takes the latest of the complete records, and decides whether a file without one is refused:
// it begins anew where it holds nothing, or nothing but a part of its very first record.
func (j *Journal) load() error {
	slotsWithData := 0
	isFirstCutOff := false
	for slot := range int64(slotCount) {
		buffer, err := j.readSlot(slot)
		if err != nil {
			return err
		}
		if isEmpty(buffer) {
			continue
		}
		slotsWithData++
		if slot == firstSlot {
			isFirstCutOff = isFirstRecordCutOff(buffer)
		}
		if sequence, r, isComplete := decodeRecord(buffer); isComplete && sequence > j.sequence {
			j.takeRecord(slot, sequence, r)
		}
	}
	isNew := slotsWithData == 0 || slotsWithData == 1 && isFirstCutOff
	if j.sequence == 0 && !isNew {
		return ErrNoCompleteRecord
	}
	return nil
}

// readSlot returns what the file has of a slot.
func (j *Journal) readSlot(slot int64) ([]byte, error) {
	buffer := make([]byte, slotSize)
	n, err := j.file.ReadAt(buffer, slot*slotSize)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return buffer[:n], nil
}

// isEmpty reports whether nothing was ever written to a slot.
func isEmpty(buffer []byte) bool {
	return !slices.ContainsFunc(buffer, func(c byte) bool { return c != 0 })
}

// takeRecord makes a record that was read from a slot the latest. It counts as synced: its slot is
// left alone until the first write of this process, which is synced.
func (j *Journal) takeRecord(slot int64, sequence uint64, r record) {
	j.sequence = sequence
	j.slot = slot
	j.syncedSlot = slot
	j.ledgerID = r.LedgerID
	j.balances = r.Balances
}

// isFirstRecordCutOff reports whether a slot holds a part of the very first record, as a process
// leaves it that is killed while it writes. Nothing was reported from it. A record of full length
// that is corrupt is something else.
func isFirstRecordCutOff(buffer []byte) bool {
	sequence := make([]byte, lengthOffset)
	copy(sequence, buffer)
	if binary.LittleEndian.Uint64(sequence) != firstSequence {
		return false
	}
	if len(buffer) < headerSize {
		return true
	}
	length := binary.LittleEndian.Uint64(buffer[lengthOffset:])
	return length > uint64(len(buffer)-headerSize)
}

// decodeRecord reads a slot; a record that was cut off or corrupted is not complete.
func decodeRecord(buffer []byte) (sequence uint64, r record, isComplete bool) {
	if len(buffer) < headerSize {
		return 0, r, false
	}
	sequence = binary.LittleEndian.Uint64(buffer)
	length := binary.LittleEndian.Uint64(buffer[lengthOffset:])
	if sequence == 0 || length > uint64(len(buffer)-headerSize) {
		return 0, r, false
	}
	body := buffer[headerSize : headerSize+length]
	if xxhash.Sum64(body)^sequence != binary.LittleEndian.Uint64(buffer[checksumOffset:]) {
		return 0, r, false
	}
	return sequence, r, cbor.Unmarshal(body, &r) == nil
}

// encodeRecord returns a record as stored.
func encodeRecord(sequence uint64, r record) ([]byte, error) {
	body, err := cbor.Marshal(r)
	if err != nil {
		return nil, err
	}
	if len(body) > slotSize-headerSize {
		return nil, fmt.Errorf("%d bytes are too many for one record", len(body))
	}
	buffer := binary.LittleEndian.AppendUint64(nil, sequence)
	buffer = binary.LittleEndian.AppendUint64(buffer, uint64(len(body)))
	buffer = binary.LittleEndian.AppendUint64(buffer, xxhash.Sum64(body)^sequence)
	return append(buffer, body...), nil
}

// Restored returns what the file had when it was opened.
func (j *Journal) Restored() (ledgerID string, balances []account.StoredBalance) {
	return j.ledgerID, j.balances
}

// Write writes the balances. They outlive the process once it returns, and loss of power once
// synced: by this write, or by the first one that comes syncInterval after the last sync.
func (j *Journal) Write(ledgerID string, balances []account.StoredBalance) error {
	sequence := j.sequence + 1
	buffer, err := encodeRecord(sequence, record{ledgerID, balances})
	if err != nil {
		return err
	}
	slot := j.nextSlot()
	if _, err := j.file.WriteAt(buffer, slot*slotSize); err != nil {
		return err
	}
	j.sequence = sequence
	j.slot = slot
	now := time.Now()
	if !j.isSyncDue(now) {
		return nil
	}
	if err := j.file.Sync(); err != nil {
		return err
	}
	j.syncedAt = now
	j.syncedSlot = slot
	return nil
}

// nextSlot decides which slot is written: one that has neither the latest record nor the latest
// that is synced.
func (j *Journal) nextSlot() int64 {
	slot := (j.slot + 1) % slotCount
	if slot == j.syncedSlot {
		slot = (slot + 1) % slotCount
	}
	return slot
}

// isSyncDue decides whether a write is synced: the first of the process, and the first one that
// comes syncInterval after the last sync.
func (j *Journal) isSyncDue(now time.Time) bool { return now.Sub(j.syncedAt) >= syncInterval }

// Close syncs and closes the file, which lets another process open it.
func (j *Journal) Close() error { return errors.Join(j.file.Sync(), j.file.Close()) }
