// Package wal is a voter's write-ahead log: the records that it must not forget, on disk, in the
// order in which they were appended. Package node opens it, and package voter appends to it and
// rewrites it. It notices torn writes, flipped bytes, a folder that was copied and a log that is
// missing, and returns an error rather than fewer records than were acknowledged.
package wal

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// Errors of a Log.
var (
	// ErrCorrupt means that something that was appended cannot be read; the voter needs an empty
	// folder and a new number.
	ErrCorrupt = errors.New("the log on disk is corrupt")
	// ErrCopied means that the folder was copied from another one, which may still be in use.
	ErrCopied = errors.New("the folder was copied from another")
	// ErrInUse means that another process has the folder open.
	ErrInUse = errors.New("the folder is in use")
	// ErrWriteFailed means that a write or sync failed. What is on disk is not known from then on,
	// so nothing more is written.
	ErrWriteFailed = errors.New("the disk failed")
)

// The files of a folder.
const (
	logName     = "log"  // all records
	rewriteName = "next" // a log that is being rewritten
	idName      = "mark" // the disk ID; made once and never again, so that its inode tells a copy
	newIDName   = "new"  // a disk ID whose first log is not complete yet
	lockName    = "lock"
)

// Permissions of a folder and of its files: they are read by their owner alone.
const (
	folderMode = 0o700
	fileMode   = 0o600
)

// Sizes of what is drawn at random.
const (
	diskIDBytes = 16
	nonceBytes  = 8
)

// entry is the payload of one frame of the log. The first one holds no record.
type entry struct {
	DiskID      string `cbor:"1,keyasint,omitempty"` // in the first
	Inode       uint64 `cbor:"2,keyasint,omitempty"` // of the disk ID's file, in the first
	Incarnation uint64 `cbor:"3,keyasint,omitempty"` // in the first: how often the folder was opened
	Record      []byte `cbor:"4,keyasint,omitempty"`
}

// Log is one voter's folder. It is not safe for concurrent use.
type Log struct {
	folder   string
	ops      FileOps
	lockFile *os.File // holds the folder's lock while it is open
	logFile  *os.File // the log, to append to; nil until it was written at the opening
	failure  error    // nil until a write or sync fails; then every later call returns it

	header   entry    // the log's first entry
	nonce    uint64   // drawn at this opening
	records  [][]byte // as found at the opening
	repaired int      // damaged copies and torn ends found at the opening

	nextFrame uint64 // number of the frame that is appended next, from 1
	size      int64  // of the log, in bytes
}

// Open opens a folder, and creates it if it does not exist. For errors see OpenWith.
func Open(folder string) (*Log, error) { return OpenWith(folder, OSFileOps{}) }

// OpenWith opens a folder and writes to it through ops. Errors: ErrCorrupt, ErrCopied, ErrInUse,
// ErrWriteFailed, or the system's.
func OpenWith(folder string, ops FileOps) (*Log, error) {
	l := &Log{folder: folder, ops: ops}
	if err := l.open(); err != nil {
		_ = l.Close() // the first error says more
		return nil, fmt.Errorf("%s: %w", folder, err)
	}
	return l, nil
}

// open locks the folder, and creates its files or loads them.
func (l *Log) open() error {
	if err := os.MkdirAll(l.folder, folderMode); err != nil {
		return err
	}
	var err error
	l.lockFile, err = os.OpenFile(l.path(lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return err
	}
	if err := unix.Flock(int(l.lockFile.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return fmt.Errorf("%w: %w", ErrInUse, err)
	}
	var drawn [nonceBytes]byte
	_, _ = rand.Read(drawn[:]) // never fails
	l.nonce = binary.BigEndian.Uint64(drawn[:])
	_ = os.Remove(l.path(rewriteName)) // a rewrite that was not completed; usually there is none
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

// inode returns the inode number of one of the folder's files. A copy of the folder has others.
func (l *Log) inode(name string) (uint64, error) {
	var stat unix.Stat_t
	if err := unix.Stat(l.path(name), &stat); err != nil {
		return 0, &os.PathError{Op: "stat", Path: l.path(name), Err: err}
	}
	return stat.Ino, nil
}

// create makes a new folder's files. A folder that a crash left half made has acknowledged nothing,
// and is made again.
func (l *Log) create() error {
	if _, err := l.inode(newIDName); err != nil {
		if _, err := l.inode(logName); err == nil {
			return fmt.Errorf("%w: there is a log without its mark", ErrCorrupt)
		}
	}
	if err := l.writeNewID(); err != nil {
		return err
	}
	var err error
	l.header.Inode, err = l.inode(newIDName)
	if err != nil {
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

// writeNewID draws a disk ID and writes it to its preliminary file.
func (l *Log) writeNewID() error {
	var drawn [diskIDBytes]byte
	_, _ = rand.Read(drawn[:]) // never fails
	l.header = entry{DiskID: hex.EncodeToString(drawn[:]), Incarnation: 1}
	f, err := os.Create(l.path(newIDName))
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // it is synced, or the open fails
	if err := errors.Join(l.ops.Write(f, []byte(l.header.DiskID+"\n")), l.ops.Sync(f)); err != nil {
		return fmt.Errorf("%w: %w", ErrWriteFailed, err)
	}
	return nil
}

// DiskID returns what was drawn when the folder was made: 32 hex digits.
func (l *Log) DiskID() string { return l.header.DiskID }

// Incarnation returns how often the folder was opened, and a nonce drawn at this opening.
func (l *Log) Incarnation() (count, nonce uint64) { return l.header.Incarnation, l.nonce }

// Records returns what was appended since the folder was made or rewritten, as found when it was
// opened.
func (l *Log) Records() [][]byte { return l.records }

// Repaired returns how many damaged copies of frames, or ends of a torn write, were found when the
// folder was opened. Every frame is written twice, so no record is missing for them.
func (l *Log) Repaired() int { return l.repaired }

// Size returns the size of the log in bytes.
func (l *Log) Size() int64 { return l.size }

// Close releases the folder.
func (l *Log) Close() error {
	var err error
	if l.logFile != nil {
		err = l.logFile.Close()
	}
	if l.lockFile != nil {
		err = errors.Join(err, l.lockFile.Close())
	}
	l.logFile = nil
	l.lockFile = nil
	l.failure = errors.Join(ErrWriteFailed, os.ErrClosed)
	return err
}
