// Package journal keeps a gateway's counts of debts in a file that outlives its process: three slots, each
// with a number, a length and a sum of its bytes. The one last synced is left alone until a later one is, and the two
// others are written in turn: a write cut off by the process's death or by loss of power leaves one before it whole.
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

	"harrierhoist/internal/settlement/account"
)

const (
	fileName     = "debts"
	slotSize     = 512 << 10 // bytes: 64 partners' pairs, with names of 64 letters
	slotCount    = 3
	headerSize   = 24              // bytes: number, length, sum
	syncInterval = 1 * time.Second // what the machine's loss of power may take
)

// Journal is one process's file. Its calls come from one goroutine.
type Journal struct {
	file       *os.File
	sequence   uint64 // of the latest record
	slot       int64  // its slot
	syncedSlot int64  // the slot of the latest that is synced
	syncedAt   time.Time
	ledgerID   string
	balances   []account.StoredBalance
}

var _ account.Store = (*Journal)(nil)

type record struct {
	LedgerID string                  `cbor:"1,keyasint"`
	Balances []account.StoredBalance `cbor:"2,keyasint"`
}

// Open opens the file in a folder, or makes it. Errors: one that another process holds; one of which no slot can
// be read though it holds something, as then what was owed is not known.
func Open(folder string) (*Journal, error) {
	path := filepath.Join(folder, fileName)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	j := &Journal{file: file}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: another process has it: %w", path, err), file.Close())
	}
	if err := j.recover(); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", path, err), file.Close())
	}
	return j, nil
}

// recover takes the later of the slots that are whole.
func (j *Journal) recover() error {
	hasData := false
	for i := range int64(slotCount) {
		buffer := make([]byte, slotSize)
		n, err := j.file.ReadAt(buffer, i*slotSize)
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		buffer = buffer[:n]
		hasData = hasData || slices.ContainsFunc(buffer, func(c byte) bool { return c != 0 })
		sequence, decoded, isComplete := decodeRecord(buffer)
		if isComplete && sequence > j.sequence {
			j.sequence, j.slot, j.syncedSlot, j.ledgerID, j.balances = sequence, i, i, decoded.LedgerID, decoded.Balances
		}
	}
	if hasData && j.sequence == 0 {
		return errors.New("none of its records is whole: remove it to begin anew")
	}
	return nil
}

func decodeRecord(buffer []byte) (sequence uint64, decoded record, isComplete bool) {
	if len(buffer) < headerSize {
		return 0, decoded, false
	}
	sequence = binary.LittleEndian.Uint64(buffer)
	length := binary.LittleEndian.Uint64(buffer[8:])
	if sequence == 0 || length > uint64(len(buffer)-headerSize) ||
		xxhash.Sum64(buffer[headerSize:headerSize+length])^sequence != binary.LittleEndian.Uint64(buffer[16:]) {
		return 0, decoded, false
	}
	return sequence, decoded, cbor.Unmarshal(buffer[headerSize:headerSize+length], &decoded) == nil
}

// Restored is what the file held when it was opened.
func (j *Journal) Restored() (string, []account.StoredBalance) { return j.ledgerID, j.balances }

// Write writes the counts into a slot that holds neither the latest nor the latest that is synced. They outlive the
// process once it returns, and the machine's loss of power once synced, at most a second later with the next write.
func (j *Journal) Write(ledgerID string, balances []account.StoredBalance) error {
	body, err := cbor.Marshal(record{ledgerID, balances})
	if err != nil {
		return err
	}
	if len(body) > slotSize-headerSize {
		return fmt.Errorf("%d bytes are too many for one record", len(body))
	}
	sequence := j.sequence + 1
	buffer := binary.LittleEndian.AppendUint64(nil, sequence)
	buffer = binary.LittleEndian.AppendUint64(buffer, uint64(len(body)))
	buffer = binary.LittleEndian.AppendUint64(buffer, xxhash.Sum64(body)^sequence)
	slot := (j.slot + 1) % slotCount
	if slot == j.syncedSlot {
		slot = (slot + 1) % slotCount
	}
	if _, err := j.file.WriteAt(append(buffer, body...), slot*slotSize); err != nil {
		return err
	}
	j.sequence, j.slot = sequence, slot
	if now := time.Now(); now.Sub(j.syncedAt) >= syncInterval {
		if err := j.file.Sync(); err != nil {
			return err
		}
		j.syncedAt, j.syncedSlot = now, slot
	}
	return nil
}

// Close syncs the file and gives it up.
func (j *Journal) Close() error { return errors.Join(j.file.Sync(), j.file.Close()) }
