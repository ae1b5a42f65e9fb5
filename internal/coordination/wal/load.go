package wal

import (
	"errors"
	"fmt"
	"os"

	"github.com/fxamacker/cbor/v2"
)

// load reads a folder's log and writes it anew, with the number of the incarnation that begins and
// both copies of every frame.
func (l *Log) load(inode uint64) error {
	log, err := os.ReadFile(l.path(logName))
	if errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("%w: there is a mark without its log", ErrCorrupt)
	}
	if err != nil {
		return err
	}
	scanned, err := readFrames(log)
	if err != nil {
		return err
	}
	if err := l.decodeEntries(scanned.payloads); err != nil {
		return err
	}
	if err := l.checkHeader(inode); err != nil {
		return err
	}
	l.repaired = scanned.damaged
	l.header.Incarnation++
	return l.replaceLog(l.records)
}

// checkHeader decides whether the folder may be used: the log's first frame is there, and names the
// inode that the disk ID's file still has.
func (l *Log) checkHeader(inode uint64) error {
	switch {
	case l.header.DiskID == "":
		return fmt.Errorf("%w: its first frame can't be read", ErrCorrupt)
	case l.header.Inode != inode:
		return ErrCopied
	}
	return nil
}

// decodeEntries takes the header and the records from the log's frames.
func (l *Log) decodeEntries(payloads [][]byte) error {
	for i, payload := range payloads {
		var decoded entry
		if err := cbor.Unmarshal(payload, &decoded); err != nil {
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
	return nil
}
