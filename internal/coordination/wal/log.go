// Package disk keeps a voter's records on disk: what it must not forget, in the order in which it was saved. It finds
// torn and flipped bytes, a folder that was copied, and a log that is gone, and says so rather than give back less.
package wal

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
	// ErrCorrupt: something that was saved can't be read; the voter needs an empty folder and a new number.
	ErrCorrupt = errors.New("the log on disk is spoilt")
	// ErrCopied: the folder was copied from another, which may still be in use.
	ErrCopied = errors.New("the folder was copied from another")
	// ErrInUse: another process has it.
	ErrInUse = errors.New("the folder is in use")
	// ErrWriteFailed: a write or sync went wrong. What is on disk is not known from then on, so nothing more is saved.
	ErrWriteFailed = errors.New("the disk failed")
)

// The files of a folder.
const (
	logName     = "log"  // all that is saved
	rewriteName = "next" // a log being made anew
	idName      = "mark" // made once and never again: its inode tells a copy
	newIDName   = "new"  // a mark whose first log is not yet made
	lockName    = "lock"
)

// FileOps does what can go wrong on a disk; tests have hands that fail.
type FileOps interface {
	Write(f *os.File, b []byte) error
	Sync(f *os.File) error
}

// OSFileOps is the hand that does as told.
type OSFileOps struct{}

// Write writes all of b.
func (OSFileOps) Write(f *os.File, b []byte) error {
	_, err := f.Write(b)
	return err
}

// Sync returns once what was written is on disk.
func (OSFileOps) Sync(f *os.File) error { return f.Sync() }

// entry is what one frame of the log holds.
type entry struct {
	DiskID      string `cbor:"1,keyasint,omitempty"` // in the first
	Inode       uint64 `cbor:"2,keyasint,omitempty"` // of the mark's file, in the first
	Incarnation uint64 `cbor:"3,keyasint,omitempty"` // a start, or in the first: starts so far
	Record      []byte `cbor:"4,keyasint,omitempty"`
}

// Log is one voter's folder. Not safe for use by several goroutines at once.
type Log struct {
	folder    string
	ops       FileOps
	lockFile  *os.File
	logFile   *os.File
	header    entry // without a record
	nextFrame uint64
	size      int64
	records   [][]byte
	repaired  int
	failure   error
	nonce     uint64
}

// Open opens a folder, and makes it where there is none.
func Open(folder string) (*Log, error) { return OpenWith(folder, OSFileOps{}) }

// OpenWith opens a folder whose writes go through a hand. Errors: ErrSpoilt, ErrCopied, ErrUsed, ErrFailed, or what the
// system says.
func OpenWith(folder string, ops FileOps) (*Log, error) {
	l := &Log{folder: folder, ops: ops}
	if err := l.open(); err != nil {
		_ = l.Close()
		return nil, fmt.Errorf("%s: %w", folder, err)
	}
	return l, nil
}

func (l *Log) open() error {
	if err := os.MkdirAll(l.folder, 0o700); err != nil {
		return err
	}
	var err error
	if l.lockFile, err = os.OpenFile(l.path(lockName), os.O_CREATE|os.O_RDWR, 0o600); err != nil {
		return err
	}
	if err := unix.Flock(int(l.lockFile.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return fmt.Errorf("%w: %w", ErrInUse, err)
	}
	var drawn [8]byte
	_, _ = rand.Read(drawn[:]) // never fails
	l.nonce = binary.BigEndian.Uint64(drawn[:])
	_ = os.Remove(l.path(rewriteName)) // one that was never put in place
	inode, err := l.inode(idName)
	if errors.Is(err, os.ErrNotExist) {
		return l.create()
	}
	if err != nil {
		return err
	}
	return l.load(inode)
}

func (l *Log) path(name string) string { return filepath.Join(l.folder, name) }

func (l *Log) inode(name string) (uint64, error) {
	var s unix.Stat_t
	if err := unix.Stat(l.path(name), &s); err != nil {
		return 0, &os.PathError{Op: "stat", Path: l.path(name), Err: err}
	}
	return s.Ino, nil
}

// create begins a folder. One that a crash left half made has acknowledged nothing, and is begun again.
func (l *Log) create() error {
	if _, err := l.inode(newIDName); err != nil {
		if _, err := l.inode(logName); err == nil {
			return fmt.Errorf("%w: there is a log without its mark", ErrCorrupt)
		}
	}
	var drawn [16]byte
	_, _ = rand.Read(drawn[:]) // never fails
	l.header = entry{DiskID: hex.EncodeToString(drawn[:]), Incarnation: 1}
	f, err := os.Create(l.path(newIDName))
	if err != nil {
		return err
	}
	defer f.Close()
	if err := errors.Join(l.ops.Write(f, []byte(l.header.DiskID+"\n")), l.ops.Sync(f)); err != nil {
		return fmt.Errorf("%w: %w", ErrWriteFailed, err)
	}
	if l.header.Inode, err = l.inode(newIDName); err != nil {
		return err
	}
	if err := l.replaceLog(nil); err != nil {
		return err
	}
	if err := os.Rename(l.path(newIDName), l.path(idName)); err != nil {
		return err
	}
	return l.syncFolder()
}

// load reads what a folder holds and writes down that a new life begins.
func (l *Log) load(inode uint64) error {
	all, err := os.ReadFile(l.path(logName))
	if errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("%w: there is a mark without its log", ErrCorrupt)
	}
	if err != nil {
		return err
	}
	scanned, err := readFrames(all)
	if err != nil {
		return err
	}
	for i, b := range scanned.payloads {
		var decoded entry
		if err := cbor.Unmarshal(b, &decoded); err != nil {
			return fmt.Errorf("%w: frame %d: %w", ErrCorrupt, i, err)
		}
		if i == 0 {
			l.header = entry{DiskID: decoded.DiskID, Inode: decoded.Inode}
		}
		l.header.Incarnation = max(l.header.Incarnation, decoded.Incarnation)
		if decoded.Record != nil {
			l.records = append(l.records, decoded.Record)
		}
	}
	switch {
	case l.header.DiskID == "":
		return fmt.Errorf("%w: its first frame can't be read", ErrCorrupt)
	case l.header.Inode != inode:
		return ErrCopied
	}
	l.repaired = scanned.damaged
	l.header.Incarnation++
	return l.replaceLog(l.records)
}

// DiskID is drawn when the folder is made: 32 hex digits.
func (l *Log) DiskID() string { return l.header.DiskID }

// Incarnation is how often the folder was opened, and a number drawn at this opening.
func (l *Log) Incarnation() (count, nonce uint64) { return l.header.Incarnation, l.nonce }

// Records are those saved since the folder was made or rewritten, as found when it was opened.
func (l *Log) Records() [][]byte { return l.records }

// Repaired is how many spoilt copies of frames, or ends of an unfinished write, were found when it was opened. Each frame
// stands twice, so that nothing of them is missing.
func (l *Log) Repaired() int { return l.repaired }

// Size is the log's, in bytes.
func (l *Log) Size() int64 { return l.size }

// Close gives the folder back.
func (l *Log) Close() error {
	var err error
	if l.logFile != nil {
		err = l.logFile.Close()
	}
	if l.lockFile != nil {
		err = errors.Join(err, l.lockFile.Close())
	}
	l.logFile, l.lockFile = nil, nil
	l.failure = errors.Join(ErrWriteFailed, os.ErrClosed)
	return err
}
