// Package journal stores a gateway's balances in a file, so that they survive a restart of the
// process. Package runtime opens the file; package account reads and writes it through
// account.Store.
//
// The file has three slots. Each holds one record with a sequence number, a length and a checksum.
// The slot of the last synced record is not overwritten until a later record is synced; until then,
// writes alternate between the other two slots. A write that is interrupted, by a crash of the
// process or by a power failure, therefore leaves an earlier record complete.
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

// Layout of the file. It must not change, as existing files have it.
const (
	fileName  = "debts"
	slotCount = 3
	firstSlot = 1         // slot of the first record of a new file
	slotSize  = 512 << 10 // bytes; holds all pairs of 64 partners with names of 64 characters

	// A record's header consists of the sequence number, the length of the body, and the checksum
	// of the body xor the sequence number. Each has 8 bytes, little-endian.
	lengthOffset   = 8
	checksumOffset = 16
	headerSize     = 24
)

const (
	syncInterval    = time.Second // minimum time between syncs; a power failure may lose the debts of that time
	filePermissions = 0o600
	firstSequence   = 1 // sequence number of the first record of a new file
)

// ErrNoCompleteRecord is returned by Open for a file that has data but no complete record. The
// debts that were stored in it are unknown.
var ErrNoCompleteRecord = errors.New("none of its records is whole: remove it to begin anew")

// Journal is the open file of one process. It implements account.Store. It is not safe for
// concurrent use.
type Journal struct {
	file            *os.File
	latestSequence  uint64                  // sequence number of the latest record; 0 if there is none
	latestSlot      int64                   // slot of the latest record
	syncedSlot      int64                   // slot of the last synced record
	syncedAt        time.Time               // time of the last sync; zero before the first of this process
	initialLedgerID string                  // ledger ID in the file when it was opened
	initialBalances []account.StoredBalance // balances in the file when it was opened
}

var _ account.Store = (*Journal)(nil)

// record is the body of a stored record.
type record struct {
	LedgerID string                  `cbor:"1,keyasint"`
	Balances []account.StoredBalance `cbor:"2,keyasint"`
}

// Open opens or creates the file in a folder, locks it and reads the latest record. It does not
// wait for the lock: the error wraps unix.EWOULDBLOCK if another Journal has the file open. The
// error wraps ErrNoCompleteRecord if the file has data but no complete record.
func Open(folder string) (*Journal, error) {
	path := filepath.Join(folder, fileName)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, filePermissions)
	if err != nil {
		return nil, err // an *os.PathError, which names the file
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

// load reads all slots and adopts the complete record with the highest sequence number. A file
// without a complete record is treated as new if it is empty, or if its only data is a truncated
// first record. Otherwise load returns ErrNoCompleteRecord.
func (j *Journal) load() error {
	usedSlots := 0
	isFirstTruncated := false
	for slot := range int64(slotCount) {
		buffer, err := j.readSlot(slot)
		if err != nil {
			return err
		}
		if isEmpty(buffer) {
			continue
		}
		usedSlots++
		if slot == firstSlot {
			isFirstTruncated = isTruncatedFirstRecord(buffer)
		}
		if sequence, r, isComplete := decodeRecord(buffer); isComplete && sequence > j.latestSequence {
			j.adoptRecord(slot, sequence, r)
		}
	}
	isNew := usedSlots == 0 || usedSlots == 1 && isFirstTruncated
	if j.latestSequence == 0 && !isNew {
		return ErrNoCompleteRecord
	}
	return nil
}

// readSlot returns the bytes of a slot. The result is shorter than slotSize if the file ends within
// the slot.
func (j *Journal) readSlot(slot int64) ([]byte, error) {
	buffer := make([]byte, slotSize)
	n, err := j.file.ReadAt(buffer, slot*slotSize)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return buffer[:n], nil
}

// isEmpty reports whether a slot has never been written: it has no bytes, or only zeros.
func isEmpty(buffer []byte) bool {
	return !slices.ContainsFunc(buffer, func(c byte) bool { return c != 0 })
}

// adoptRecord makes a record that was read from a slot the latest one. It may treat the record as
// synced: the first write of this process goes to another slot and is synced itself.
func (j *Journal) adoptRecord(slot int64, sequence uint64, r record) {
	j.latestSequence = sequence
	j.latestSlot = slot
	j.syncedSlot = slot
	j.initialLedgerID = r.LedgerID
	j.initialBalances = r.Balances
}

// isTruncatedFirstRecord reports whether a slot holds only the beginning of the first record, as
// left by a process that was killed during the write. No debt of that record has been reported, so
// it may be discarded. It returns false for a corrupt record of full length.
func isTruncatedFirstRecord(buffer []byte) bool {
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

// decodeRecord decodes the record in a slot. isComplete is false if the slot is empty, or if the
// record is truncated or corrupt.
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

// encodeRecord returns a record's stored form. It fails if the record does not fit into a slot.
func encodeRecord(sequence uint64, r record) ([]byte, error) {
	body, err := cbor.Marshal(r)
	if err != nil {
		return nil, err
	}
	if len(body) > slotSize-headerSize {
		return nil, fmt.Errorf("record body of %d bytes does not fit into a slot", len(body))
	}
	buffer := binary.LittleEndian.AppendUint64(nil, sequence)
	buffer = binary.LittleEndian.AppendUint64(buffer, uint64(len(body)))
	buffer = binary.LittleEndian.AppendUint64(buffer, xxhash.Sum64(body)^sequence)
	return append(buffer, body...), nil
}

// InitialState implements account.Store.
func (j *Journal) InitialState() (ledgerID string, balances []account.StoredBalance) {
	return j.initialLedgerID, j.initialBalances
}

// Write implements account.Store. When it returns, the record survives a crash of the process. It
// survives a power failure once synced, by this call or by the first one that comes syncInterval or
// more after the previous sync.
func (j *Journal) Write(ledgerID string, balances []account.StoredBalance) error {
	sequence := j.latestSequence + 1
	buffer, err := encodeRecord(sequence, record{ledgerID, balances})
	if err != nil {
		return err
	}
	slot := j.nextSlot()
	if _, err := j.file.WriteAt(buffer, slot*slotSize); err != nil {
		return err
	}
	j.latestSequence = sequence
	j.latestSlot = slot
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

// nextSlot returns the slot for the next record. It holds neither the latest record nor the last
// synced one.
func (j *Journal) nextSlot() int64 {
	slot := (j.latestSlot + 1) % slotCount
	if slot == j.syncedSlot {
		slot = (slot + 1) % slotCount
	}
	return slot
}

// isSyncDue reports whether a write at now must be synced. That is the case for the first write of
// the process, and for the first one that comes syncInterval or more after the previous sync.
func (j *Journal) isSyncDue(now time.Time) bool { return now.Sub(j.syncedAt) >= syncInterval }

// Close syncs and closes the file, and releases its lock.
func (j *Journal) Close() error { return errors.Join(j.file.Sync(), j.file.Close()) }
