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

func mustSave(t testing.TB, folder string, records ...string) {
	t.Helper()
	l, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range records {
		if err := l.Append([]byte(r)); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
}

func readRecords(folder string) ([]string, error) {
	l, err := Open(folder)
	if err != nil {
		return nil, err
	}
	defer l.Close()
	var all []string
	for _, r := range l.Records() {
		all = append(all, string(r))
	}
	return all, nil
}

// sampleRecords of one block, of several, and a last one that was acknowledged like the others.
func sampleRecords() []string {
	return []string{"one", strings.Repeat("two", 3000), "three", strings.Repeat("\x04", 5000), "last"}
}

func TestLog_recordsSurviveEachOpening(t *testing.T) {
	folder := t.TempDir()
	mustSave(t, folder, sampleRecords()...)
	mustSave(t, folder, "more")
	if got, err := readRecords(folder); err != nil || !slices.Equal(got, append(sampleRecords(), "more")) {
		t.Fatalf("%d records, %v", len(got), err)
	}
	l, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if n, _ := l.Incarnation(); n != 4 || len(l.DiskID()) != 32 || l.Repaired() != 0 {
		t.Errorf("life %d, mark %q, %d healed", n, l.DiskID(), l.Repaired())
	}
	if err := l.Rewrite([]byte("base")); err != nil || !bytes.Equal(l.records[0], []byte("one")) {
		t.Error(err)
	}
	if _, err := Open(folder); !errors.Is(err, ErrInUse) {
		t.Errorf("opened twice: %v", err)
	}
}

// Bytes flip, blocks are lost: all that was saved comes back from the other copies, or the log is refused. Less, or
// anything else, never comes back, at the end of the log no more than in its midst.
func TestReadFrames_damageIsRepairedOrRejected(t *testing.T) {
	made := t.TempDir()
	mustSave(t, made, sampleRecords()...)
	log, err := os.ReadFile(filepath.Join(made, logName))
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	healed, refused := 0, 0
	for i := range 3000 {
		damaged := bytes.Clone(log)
		switch offset := rng.IntN(len(log)); i % 4 {
		case 0: // a byte
			damaged[offset] ^= byte(1 + rng.IntN(255))
		case 1: // a block of zeros, or of something else
			clear(damaged[offset/blockSize*blockSize : offset/blockSize*blockSize+blockSize])
		case 2: // a header
			damaged[offset/blockSize*blockSize+rng.IntN(headerSize)] ^= 1 << rng.IntN(8)
		case 3: // two places
			damaged[offset] ^= 0x40
			damaged[rng.IntN(len(log))] ^= 0x04
		}
		scanned, err := readFrames(damaged)
		if err != nil {
			refused++
			continue
		}
		expected, _ := readFrames(log)
		last := len(scanned.payloads) == len(expected.payloads)-1 // both copies of the last: like a write cut off
		if !slices.EqualFunc(scanned.payloads, expected.payloads[:len(scanned.payloads)], bytes.Equal) || !last &&
			len(scanned.payloads) != len(expected.payloads) || last && i%4 != 3 {
			t.Fatalf("round %d: %d frames of %d came back", i, len(scanned.payloads), len(expected.payloads))
		}
		healed++
	}
	if healed < 2000 || refused == 0 {
		t.Errorf("%d healed, %d refused", healed, refused)
	}
}

// A loss of power cuts the last write off at any byte, or leaves any of its blocks out: what was acknowledged before it
// comes back, and the folder works on.
func TestLog_tornWriteLeavesAcknowledgedRecords(t *testing.T) {
	made := t.TempDir()
	mustSave(t, made, sampleRecords()[:4]...)
	complete, _ := os.ReadFile(filepath.Join(made, logName))
	expectedFrames, _ := readFrames(complete)
	next := appendFrame(bytes.Clone(complete), uint64(len(expectedFrames.payloads)+1), bytes.Repeat([]byte("x"), 9000))
	rng := rand.New(rand.NewPCG(3, 4))
	for i := range 500 {
		truncated := bytes.Clone(next[:len(complete)+rng.IntN(len(next)-len(complete))])
		for offset := len(complete); i%2 == 0 && offset < len(truncated); offset += blockSize {
			if rng.IntN(2) == 0 {
				clear(truncated[offset:min(offset+blockSize, len(truncated))])
			}
		}
		scanned, err := readFrames(truncated)
		if err != nil || len(scanned.payloads) < len(expectedFrames.payloads) || len(scanned.payloads) > len(expectedFrames.payloads)+1 ||
			!slices.EqualFunc(scanned.payloads[:len(expectedFrames.payloads)], expectedFrames.payloads, bytes.Equal) {
			t.Fatalf("round %d: %d frames, %v", i, len(scanned.payloads), err)
		}
	}
	if err := os.WriteFile(filepath.Join(made, logName), next[:len(complete)+100], 0o600); err != nil {
		t.Fatal(err)
	}
	mustSave(t, made, "after")
	if got, err := readRecords(made); err != nil || !slices.Equal(got, append(sampleRecords()[:4], "after")) {
		t.Errorf("%d records, %v", len(got), err)
	}
}

// A folder that was copied may be in use elsewhere; one whose log or mark is gone has forgotten what it acknowledged.
func TestOpen_copiedOrEmptiedFolderIsRejected(t *testing.T) {
	made := t.TempDir()
	mustSave(t, made, "one")
	for gone, want := range map[string]error{"": ErrCopied, logName: ErrCorrupt, idName: ErrCorrupt} {
		other := filepath.Join(t.TempDir(), "copy")
		if err := os.CopyFS(other, os.DirFS(made)); err != nil {
			t.Fatal(err)
		}
		if gone != "" {
			if err := os.Remove(filepath.Join(other, gone)); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := Open(other); !errors.Is(err, want) {
			t.Errorf("without %q: %v, not %v", gone, err, want)
		}
	}
}

// faultyFileOps fails at the write or sync of a number.
type faultyFileOps struct {
	OSFileOps
	writes, syncs int
	failAt        int
	sync          bool
}

func (o *faultyFileOps) Write(f *os.File, b []byte) error {
	if o.writes++; !o.sync && o.writes == o.failAt {
		_, _ = f.Write(b[:len(b)/3])
		return errors.New("no space left on device")
	}
	return o.OSFileOps.Write(f, b)
}

func (o *faultyFileOps) Sync(f *os.File) error {
	if o.syncs++; o.sync && o.syncs == o.failAt {
		return errors.New("input/output error")
	}
	return o.OSFileOps.Sync(f)
}

// A sync that failed once says yes the next time though the bytes are gone: nothing is saved after it, and what was
// saved before is there at the next opening. At any write or sync, in the making of the folder too.
func TestLog_nothingIsAppendedAfterAFailure(t *testing.T) {
	for offset := 1; offset < 9; offset++ {
		for _, sync := range []bool{false, true} {
			folder := t.TempDir()
			var acknowledged []string
			l, err := OpenWith(folder, &faultyFileOps{failAt: offset, sync: sync})
			for i := 0; err == nil && i < 9; i++ {
				r := fmt.Sprint("record ", i)
				switch e := l.Append([]byte(r)); {
				case e == nil && l.failure == nil:
					acknowledged = append(acknowledged, r)
				case !errors.Is(e, ErrWriteFailed):
					t.Fatalf("at %d: %v after a failure", offset, e)
				}
			}
			if err == nil {
				_ = l.Close()
			}
			got, err := readRecords(folder)
			if err != nil || len(got) < len(acknowledged) || len(got) > len(acknowledged)+1 {
				t.Errorf("at %d, sync %v: %d of %d records, %v", offset, sync, len(got), len(acknowledged), err)
			}
		}
	}
}
