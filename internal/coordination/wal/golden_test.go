package wal

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"harrierhoist/internal/testing/golden"
)

const (
	goldenDiskID = "00112233445566778899aabbccddeeff"
	goldenInode  = 4711
)

// goldenRecords are records of a voter, with a snapshot among them, and some of the sizes around a
// block's.
func goldenRecords(t *testing.T) (all [][]byte) {
	t.Helper()
	for line := range strings.Lines(string(golden.Read(t, "records.hex"))) {
		record, err := hex.DecodeString(strings.TrimSpace(line))
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, record)
	}
	for _, size := range []int{1, blockSize - headerSize - 4, blockSize - headerSize - 3, 2 * blockSize} {
		all = append(all, bytes.Repeat([]byte{byte(size), 0x5a}, size)[:size])
	}
	return all
}

// goldenLog is a folder without a log, whose disk ID and inode a test sets.
func goldenLog(t *testing.T) *Log {
	t.Helper()
	l := &Log{folder: t.TempDir(), ops: OSFileOps{}}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// readLog returns the bytes of a folder's log.
func readLog(t *testing.T, folder string) []byte {
	t.Helper()
	log, err := os.ReadFile(filepath.Join(folder, logName))
	if err != nil {
		t.Fatal(err)
	}
	return log
}

// The same records make the same log, byte for byte.
func TestGolden_logIsWritten(t *testing.T) {
	voterLog := goldenLog(t)
	voterLog.header = entry{DiskID: goldenDiskID, Inode: goldenInode, Incarnation: 1}
	if err := voterLog.replaceLog(nil); err != nil {
		t.Fatal(err)
	}
	for _, r := range goldenRecords(t) {
		if err := voterLog.Append(r); err != nil {
			t.Fatal(err)
		}
	}
	want := golden.Read(t, "log")
	if got := readLog(t, voterLog.folder); !bytes.Equal(got, want) || voterLog.Size() != int64(len(want)) {
		t.Errorf("%d bytes, %x; size %d", len(got), sha256.Sum256(got), voterLog.Size())
	}
}

// A log that the version before wrote is read, and rewritten at its opening as that version did.
func TestGolden_logIsRead(t *testing.T) {
	voterLog := goldenLog(t)
	if err := os.WriteFile(filepath.Join(voterLog.folder, logName), golden.Read(t, "log"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := voterLog.load(goldenInode + 1); !errors.Is(err, ErrCopied) {
		t.Errorf("with another inode: %v", err)
	}
	voterLog = &Log{folder: voterLog.folder, ops: OSFileOps{}}
	t.Cleanup(func() { _ = voterLog.Close() })
	if err := voterLog.load(goldenInode); err != nil {
		t.Fatal(err)
	}
	records, id, repaired := voterLog.Records(), voterLog.DiskID(), voterLog.Repaired()
	if incarnation, _ := voterLog.Incarnation(); !slices.EqualFunc(records, goldenRecords(t), bytes.Equal) ||
		incarnation != 2 || id != goldenDiskID || repaired != 0 {
		t.Errorf("%d records, incarnation %d, disk ID %s, %d repaired", len(records), incarnation, id, repaired)
	}
	if got := fmt.Sprintf("%x", sha256.Sum256(readLog(t, voterLog.folder))); got != goldenReopened {
		t.Errorf("after its opening %s", got)
	}
	if err := voterLog.Rewrite(goldenRecords(t)[0]); err != nil {
		t.Fatal(err)
	}
	if got := fmt.Sprintf("%x", sha256.Sum256(readLog(t, voterLog.folder))); got != goldenRewritten {
		t.Errorf("after it was rewritten %s", got)
	}
}

// A folder has its disk ID as text in a file of its own, as in the version before.
func TestGolden_filesOfAFolder(t *testing.T) {
	folder := t.TempDir()
	voterLog, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = voterLog.Close() })
	id, err := os.ReadFile(filepath.Join(folder, "mark"))
	if err != nil || string(id) != voterLog.DiskID()+"\n" {
		t.Errorf("file %q of a disk %s, %v", id, voterLog.DiskID(), err)
	}
	files, err := os.ReadDir(folder)
	var names []string
	for _, f := range files {
		names = append(names, f.Name())
	}
	if err != nil || !slices.Equal(names, []string{"lock", "log", "mark"}) {
		t.Errorf("files %v, %v", names, err)
	}
}

const (
	goldenReopened  = "3e7905e66050d4c8fd94fee787589a24470c6d8f540563a27e35bae8715d76e0"
	goldenRewritten = "68329608b685fd104f8669cce44c19cda1dac548b96fc2a7e658b63bdc85cc00"
)
