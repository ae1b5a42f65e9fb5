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

	"harrierhoist/internal/debts/till"
)

const (
	name      = "debts"
	slot      = 512 << 10 // bytes: 64 partners' pairs, with names of 64 letters
	slots     = 3
	head      = 24              // bytes: number, length, sum
	syncEvery = 1 * time.Second // what the machine's loss of power may take
)

// Journal is one process's file. Its calls come from one goroutine.
type Journal struct {
	file   *os.File
	number uint64 // of the latest record
	at     int64  // its slot
	safe   int64  // the slot of the latest that is synced
	synced time.Time
	life   string
	kept   []till.Kept
}

var _ till.Disk = (*Journal)(nil)

type record struct {
	Life string      `cbor:"1,keyasint"`
	Kept []till.Kept `cbor:"2,keyasint"`
}

// Open opens the file in a folder, or makes it. Errors: one that another process holds; one of which no slot can
// be read though it holds something, as then what was owed is not known.
func Open(folder string) (*Journal, error) {
	path := filepath.Join(folder, name)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	j := &Journal{file: file}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: another process has it: %w", path, err), file.Close())
	}
	if err := j.read(); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", path, err), file.Close())
	}
	return j, nil
}

// read takes the later of the slots that are whole.
func (j *Journal) read() error {
	any := false
	for i := range int64(slots) {
		b := make([]byte, slot)
		n, err := j.file.ReadAt(b, i*slot)
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		b = b[:n]
		any = any || slices.ContainsFunc(b, func(c byte) bool { return c != 0 })
		number, r, whole := open(b)
		if whole && number > j.number {
			j.number, j.at, j.safe, j.life, j.kept = number, i, i, r.Life, r.Kept
		}
	}
	if any && j.number == 0 {
		return errors.New("none of its records is whole: remove it to begin anew")
	}
	return nil
}

func open(b []byte) (number uint64, r record, whole bool) {
	if len(b) < head {
		return 0, r, false
	}
	number = binary.LittleEndian.Uint64(b)
	length := binary.LittleEndian.Uint64(b[8:])
	if number == 0 || length > uint64(len(b)-head) ||
		xxhash.Sum64(b[head:head+length])^number != binary.LittleEndian.Uint64(b[16:]) {
		return 0, r, false
	}
	return number, r, cbor.Unmarshal(b[head:head+length], &r) == nil
}

// Life is what the file held when it was opened.
func (j *Journal) Life() (string, []till.Kept) { return j.life, j.kept }

// Write writes the counts into a slot that holds neither the latest nor the latest that is synced. They outlive the
// process once it returns, and the machine's loss of power once synced, at most a second later with the next write.
func (j *Journal) Write(life string, kept []till.Kept) error {
	body, err := cbor.Marshal(record{life, kept})
	if err != nil {
		return err
	}
	if len(body) > slot-head {
		return fmt.Errorf("%d bytes are too many for one record", len(body))
	}
	number := j.number + 1
	b := binary.LittleEndian.AppendUint64(nil, number)
	b = binary.LittleEndian.AppendUint64(b, uint64(len(body)))
	b = binary.LittleEndian.AppendUint64(b, xxhash.Sum64(body)^number)
	at := (j.at + 1) % slots
	if at == j.safe {
		at = (at + 1) % slots
	}
	if _, err := j.file.WriteAt(append(b, body...), at*slot); err != nil {
		return err
	}
	j.number, j.at = number, at
	if now := time.Now(); now.Sub(j.synced) >= syncEvery {
		if err := j.file.Sync(); err != nil {
			return err
		}
		j.synced, j.safe = now, at
	}
	return nil
}

// Close syncs the file and gives it up.
func (j *Journal) Close() error { return errors.Join(j.file.Sync(), j.file.Close()) }
