package wal

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// mustAppend opens a folder, appends records and closes it.
func mustAppend(tb testing.TB, folder string, records ...string) {
	tb.Helper()
	l, err := Open(folder)
	if err != nil {
		tb.Fatal(err)
	}
	for _, record := range records {
		if err := l.Append([]byte(record)); err != nil {
			tb.Fatal(err)
		}
	}
	if err := l.Close(); err != nil {
		tb.Fatal(err)
	}
}

// readRecords opens a folder, reads its records and closes it.
func readRecords(folder string) ([]string, error) {
	l, err := Open(folder)
	if err != nil {
		return nil, err
	}
	var records []string
	for _, record := range l.Records() {
		records = append(records, string(record))
	}
	return records, l.Close()
}

// sampleRecords are of one block, of several, and a last one that was acknowledged like the others.
func sampleRecords() []string {
	return []string{"one", strings.Repeat("two", 3000), "three", strings.Repeat("\x04", 5000), "last"}
}

func TestLog_recordsSurviveEachOpening(t *testing.T) {
	folder := t.TempDir()
	mustAppend(t, folder, sampleRecords()...)
	mustAppend(t, folder, "more")
	if got, err := readRecords(folder); err != nil || !slices.Equal(got, append(sampleRecords(), "more")) {
		t.Fatalf("%d records, %v", len(got), err)
	}
	l, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	if n, _ := l.Incarnation(); n != 4 || len(l.DiskID()) != 32 || l.Repaired() != 0 {
		t.Errorf("incarnation %d, disk ID %q, %d repaired", n, l.DiskID(), l.Repaired())
	}
	if err := l.Rewrite([]byte("base")); err != nil || !bytes.Equal(l.records[0], []byte("one")) {
		t.Error(err)
	}
	if _, err := Open(folder); !errors.Is(err, ErrInUse) {
		t.Errorf("opened twice: %v", err)
	}
}

// A power failure cuts the last write off at any byte, or loses any of its blocks: what was
// acknowledged before it is read, and the folder remains usable.
func TestLog_tornWriteLeavesAcknowledgedRecords(t *testing.T) {
	folder := t.TempDir()
	mustAppend(t, folder, sampleRecords()[:4]...)
	complete := readLog(t, folder)
	acknowledged, err := readFrames(complete)
	if err != nil {
		t.Fatal(err)
	}
	count := len(acknowledged.payloads)
	next := appendFrame(bytes.Clone(complete), uint64(count+1), bytes.Repeat([]byte("x"), 9000))
	rng := rand.New(rand.NewPCG(3, 4))
	for i := range 500 {
		truncated := bytes.Clone(next[:len(complete)+rng.IntN(len(next)-len(complete))])
		for offset := len(complete); i%2 == 0 && offset < len(truncated); offset += blockSize {
			if rng.IntN(2) == 0 {
				clear(truncated[offset:min(offset+blockSize, len(truncated))])
			}
		}
		scanned, err := readFrames(truncated)
		hasAllAcknowledged := len(scanned.payloads) >= count &&
			slices.EqualFunc(scanned.payloads[:count], acknowledged.payloads, bytes.Equal)
		if err != nil || !hasAllAcknowledged || len(scanned.payloads) > count+1 {
			t.Fatalf("round %d: %d frames, %v", i, len(scanned.payloads), err)
		}
	}
	if err := os.WriteFile(filepath.Join(folder, logName), next[:len(complete)+100], fileMode); err != nil {
		t.Fatal(err)
	}
	mustAppend(t, folder, "after")
	if got, err := readRecords(folder); err != nil || !slices.Equal(got, append(sampleRecords()[:4], "after")) {
		t.Errorf("%d records, %v", len(got), err)
	}
}

// A folder that was copied may be in use elsewhere; one whose log or disk ID is missing has lost
// what it acknowledged.
func TestOpen_copiedOrEmptiedFolderIsRejected(t *testing.T) {
	folder := t.TempDir()
	mustAppend(t, folder, "one")
	for _, test := range []struct {
		name   string
		remove string // a file of the copy; "": none
		want   error
	}{
		{"copied", "", ErrCopied},
		{"without its log", logName, ErrCorrupt},
		{"without its disk ID", idName, ErrCorrupt},
	} {
		t.Run(test.name, func(t *testing.T) {
			other := filepath.Join(t.TempDir(), "copy")
			if err := os.CopyFS(other, os.DirFS(folder)); err != nil {
				t.Fatal(err)
			}
			if test.remove != "" {
				if err := os.Remove(filepath.Join(other, test.remove)); err != nil {
					t.Fatal(err)
				}
			}
			if _, err := Open(other); !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}

// faultyFileOps fails at the nth write or sync.
type faultyFileOps struct {
	OSFileOps
	writes, syncs int
	failAt        int
	failSync      bool // instead of the write
}

func (o *faultyFileOps) Write(f *os.File, b []byte) error {
	o.writes++
	if !o.failSync && o.writes == o.failAt {
		_, _ = f.Write(b[:len(b)/3]) // part of it is on disk all the same
		return errors.New("no space left on device")
	}
	return o.OSFileOps.Write(f, b)
}

func (o *faultyFileOps) Sync(f *os.File) error {
	o.syncs++
	if o.failSync && o.syncs == o.failAt {
		return errors.New("input/output error")
	}
	return o.OSFileOps.Sync(f)
}

// After a failed sync the next one succeeds though the bytes are lost. So nothing is appended after
// a failure, and what was appended before is there at the next opening, whichever write or sync
// failed, those that create the folder included.
func TestLog_nothingIsAppendedAfterAFailure(t *testing.T) {
	for failAt := 1; failAt < 9; failAt++ {
		for _, failSync := range []bool{false, true} {
			t.Run(fmt.Sprintf("at %d, sync %v", failAt, failSync), func(t *testing.T) {
				folder := t.TempDir()
				acknowledged := appendUntilFailure(t, folder, &faultyFileOps{failAt: failAt, failSync: failSync})
				got, err := readRecords(folder)
				if err != nil || len(got) < acknowledged || len(got) > acknowledged+1 {
					t.Errorf("%d of %d records, %v", len(got), acknowledged, err)
				}
			})
		}
	}
}

// appendUntilFailure appends records, and returns how many were acknowledged. After a failure every
// call must fail.
func appendUntilFailure(t *testing.T, folder string, ops FileOps) (acknowledged int) {
	t.Helper()
	l, err := OpenWith(folder, ops)
	if err != nil {
		return 0
	}
	defer func() { _ = l.Close() }()
	for i := range 9 {
		switch err := l.Append([]byte(fmt.Sprint("record ", i))); {
		case err == nil && l.failure == nil:
			acknowledged++
		case !errors.Is(err, ErrWriteFailed):
			t.Fatalf("%v after a failure", err)
		}
	}
	return acknowledged
}
