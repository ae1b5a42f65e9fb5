package wal

import (
	"errors"
	"fmt"
	"os"

	"github.com/fxamacker/cbor/v2"
)

// Append appends a record and returns once it is on disk. After ErrWriteFailed every later call
// fails too.
func (l *Log) Append(record []byte) error {
	if l.failure != nil {
		return l.failure
	}
	payload, err := cbor.Marshal(entry{Record: record})
	if err != nil {
		return err
	}
	frames := appendFrame(nil, l.nextFrame, payload)
	if err := l.writeAndSync(l.logFile, frames); err != nil {
		return err
	}
	l.nextFrame++
	l.size += int64(len(frames))
	return nil
}

// Rewrite replaces all records by one and returns once that is on disk. After ErrWriteFailed every
// later call fails too.
func (l *Log) Rewrite(record []byte) error { return l.replaceLog([][]byte{record}) }

// replaceLog writes a new log to another file, and puts that in place of the old one once it is
// complete.
func (l *Log) replaceLog(records [][]byte) error {
	if l.failure != nil {
		return l.failure
	}
	entries := []entry{l.header}
	for _, record := range records {
		entries = append(entries, entry{Record: record})
	}
	var frames []byte
	for i, e := range entries {
		payload, err := cbor.Marshal(e)
		if err != nil {
			return err
		}
		frames = appendFrame(frames, uint64(i+1), payload)
	}
	f, err := os.OpenFile(l.path(rewriteName), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return l.fail(err)
	}
	if err := l.writeAndSync(f, frames); err != nil {
		return errors.Join(err, f.Close())
	}
	err = os.Rename(l.path(rewriteName), l.path(logName))
	if err == nil {
		err = l.syncFolder()
	}
	if err != nil {
		return errors.Join(l.fail(err), f.Close())
	}
	if l.logFile != nil {
		_ = l.logFile.Close() // the old log, whose content nobody needs
	}
	l.logFile = f
	l.nextFrame = uint64(len(entries) + 1)
	l.size = int64(len(frames))
	return nil
}

// writeAndSync writes and syncs. After a failed sync the next one may succeed though the bytes are
// lost, so the log fails for good.
func (l *Log) writeAndSync(f *os.File, b []byte) error {
	err := l.ops.Write(f, b)
	if err == nil {
		err = l.ops.Sync(f)
	}
	if err != nil {
		return l.fail(err)
	}
	return nil
}

// fail records a failure, so that all later writes fail, and returns it.
func (l *Log) fail(err error) error {
	l.failure = fmt.Errorf("%w: %w", ErrWriteFailed, err)
	return l.failure
}

// syncFolder makes created and renamed files durable.
func (l *Log) syncFolder() error {
	f, err := os.Open(l.folder)
	if err != nil {
		return err
	}
	return errors.Join(l.ops.Sync(f), f.Close())
}
