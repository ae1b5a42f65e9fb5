// Package disk keeps a voter's records on disk: what it must not forget, in the order in which it was saved. It finds
// torn and flipped bytes, a folder that was copied, and a log that is gone, and says so rather than give back less.
package disk

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"
)

// Errors of a Disk.
var (
	// ErrSpoilt: something that was saved can't be read; the voter needs an empty folder and a new number.
	ErrSpoilt = errors.New("the log on disk is spoilt")
	// ErrCopied: the folder was copied from another, which may still be in use.
	ErrCopied = errors.New("the folder was copied from another")
	// ErrUsed: another process has it.
	ErrUsed = errors.New("the folder is in use")
	// ErrFailed: a write or sync went wrong. What is on disk is not known from then on, so nothing more is saved.
	ErrFailed = errors.New("the disk failed")
)

// The files of a folder.
const (
	logName  = "log"  // all that is saved
	nextName = "next" // a log being made anew
	markName = "mark" // made once and never again: its inode tells a copy
	newName  = "new"  // a mark whose first log is not yet made
	lockName = "lock"
)

// Hand does what can go wrong on a disk; tests have hands that fail.
type Hand interface {
	Write(f *os.File, b []byte) error
	Sync(f *os.File) error
}

// Bare is the hand that does as told.
type Bare struct{}

// Write writes all of b.
func (Bare) Write(f *os.File, b []byte) error {
	_, err := f.Write(b)
	return err
}

// Sync returns once what was written is on disk.
func (Bare) Sync(f *os.File) error { return f.Sync() }

// page is what one frame of the log holds.
type page struct {
	Mark   string `cbor:"1,keyasint,omitempty"` // in the first
	Inode  uint64 `cbor:"2,keyasint,omitempty"` // of the mark's file, in the first
	Life   uint64 `cbor:"3,keyasint,omitempty"` // a start, or in the first: starts so far
	Record []byte `cbor:"4,keyasint,omitempty"`
}

// Disk is one voter's folder. Not safe for use by several goroutines at once.
type Disk struct {
	folder  string
	hand    Hand
	lock    *os.File
	file    *os.File
	first   page // without a record
	next    uint64
	size    int64
	records [][]byte
	healed  int
	failed  error
	nonce   uint64
}

// Open opens a folder, and makes it where there is none.
func Open(folder string) (*Disk, error) { return OpenWith(folder, Bare{}) }

// OpenWith opens a folder whose writes go through a hand. Errors: ErrSpoilt, ErrCopied, ErrUsed, ErrFailed, or what the
// system says.
func OpenWith(folder string, hand Hand) (*Disk, error) {
	d := &Disk{folder: folder, hand: hand}
	if err := d.open(); err != nil {
		_ = d.Close()
		return nil, fmt.Errorf("%s: %w", folder, err)
	}
	return d, nil
}

func (d *Disk) open() error {
	if err := os.MkdirAll(d.folder, 0o700); err != nil {
		return err
	}
	var err error
	if d.lock, err = os.OpenFile(d.path(lockName), os.O_CREATE|os.O_RDWR, 0o600); err != nil {
		return err
	}
	if err := unix.Flock(int(d.lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return fmt.Errorf("%w: %w", ErrUsed, err)
	}
	var drawn [8]byte
	_, _ = rand.Read(drawn[:]) // never fails
	d.nonce = binary.BigEndian.Uint64(drawn[:])
	_ = os.Remove(d.path(nextName)) // one that was never put in place
	inode, err := d.inode(markName)
	if errors.Is(err, os.ErrNotExist) {
		return d.make()
	}
	if err != nil {
		return err
	}
	return d.load(inode)
}

func (d *Disk) path(name string) string { return filepath.Join(d.folder, name) }

func (d *Disk) inode(name string) (uint64, error) {
	var s unix.Stat_t
	if err := unix.Stat(d.path(name), &s); err != nil {
		return 0, &os.PathError{Op: "stat", Path: d.path(name), Err: err}
	}
	return s.Ino, nil
}

// make begins a folder. One that a crash left half made has acknowledged nothing, and is begun again.
func (d *Disk) make() error {
	if _, err := d.inode(newName); err != nil {
		if _, err := d.inode(logName); err == nil {
			return fmt.Errorf("%w: there is a log without its mark", ErrSpoilt)
		}
	}
	var drawn [16]byte
	_, _ = rand.Read(drawn[:]) // never fails
	d.first = page{Mark: hex.EncodeToString(drawn[:]), Life: 1}
	f, err := os.Create(d.path(newName))
	if err != nil {
		return err
	}
	defer f.Close()
	if err := errors.Join(d.hand.Write(f, []byte(d.first.Mark+"\n")), d.hand.Sync(f)); err != nil {
		return fmt.Errorf("%w: %w", ErrFailed, err)
	}
	if d.first.Inode, err = d.inode(newName); err != nil {
		return err
	}
	if err := d.rewrite(nil); err != nil {
		return err
	}
	if err := os.Rename(d.path(newName), d.path(markName)); err != nil {
		return err
	}
	return d.syncFolder()
}

// load reads what a folder holds and writes down that a new life begins.
func (d *Disk) load(inode uint64) error {
	all, err := os.ReadFile(d.path(logName))
	if errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("%w: there is a mark without its log", ErrSpoilt)
	}
	if err != nil {
		return err
	}
	got, err := readFrames(all)
	if err != nil {
		return err
	}
	for i, b := range got.payloads {
		var p page
		if err := cbor.Unmarshal(b, &p); err != nil {
			return fmt.Errorf("%w: frame %d: %w", ErrSpoilt, i, err)
		}
		if i == 0 {
			d.first = page{Mark: p.Mark, Inode: p.Inode}
		}
		d.first.Life = max(d.first.Life, p.Life)
		if p.Record != nil {
			d.records = append(d.records, p.Record)
		}
	}
	switch {
	case d.first.Mark == "":
		return fmt.Errorf("%w: its first frame can't be read", ErrSpoilt)
	case d.first.Inode != inode:
		return ErrCopied
	}
	d.healed = got.bad
	d.first.Life++
	return d.rewrite(d.records)
}

// Mark is drawn when the folder is made: 32 hex digits.
func (d *Disk) Mark() string { return d.first.Mark }

// Life is how often the folder was opened, and a number drawn at this opening.
func (d *Disk) Life() (count, nonce uint64) { return d.first.Life, d.nonce }

// Records are those saved since the folder was made or rewritten, as found when it was opened.
func (d *Disk) Records() [][]byte { return d.records }

// Healed is how many spoilt copies of frames, or ends of an unfinished write, were found when it was opened. Each frame
// stands twice, so that nothing of them is missing.
func (d *Disk) Healed() int { return d.healed }

// Size is the log's, in bytes.
func (d *Disk) Size() int64 { return d.size }

// Close gives the folder back.
func (d *Disk) Close() error {
	var err error
	if d.file != nil {
		err = d.file.Close()
	}
	if d.lock != nil {
		err = errors.Join(err, d.lock.Close())
	}
	d.file, d.lock = nil, nil
	d.failed = errors.Join(ErrFailed, os.ErrClosed)
	return err
}
