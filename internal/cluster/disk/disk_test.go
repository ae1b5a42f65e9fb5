package disk

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

func saved(t testing.TB, folder string, records ...string) {
	t.Helper()
	d, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range records {
		if err := d.Save([]byte(r)); err != nil {
			t.Fatal(err)
		}
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
}

func read(folder string) ([]string, error) {
	d, err := Open(folder)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	var all []string
	for _, r := range d.Records() {
		all = append(all, string(r))
	}
	return all, nil
}

// records of one block, of several, and a last one that was acknowledged like the others.
func records() []string {
	return []string{"one", strings.Repeat("two", 3000), "three", strings.Repeat("\x04", 5000), "last"}
}

func TestWhatWasSavedIsThereAfterEachOpening(t *testing.T) {
	folder := t.TempDir()
	saved(t, folder, records()...)
	saved(t, folder, "more")
	if got, err := read(folder); err != nil || !slices.Equal(got, append(records(), "more")) {
		t.Fatalf("%d records, %v", len(got), err)
	}
	d, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	if n, _ := d.Life(); n != 4 || len(d.Mark()) != 32 || d.Healed() != 0 {
		t.Errorf("life %d, mark %q, %d healed", n, d.Mark(), d.Healed())
	}
	if err := d.Rewrite([]byte("base")); err != nil || !bytes.Equal(d.records[0], []byte("one")) {
		t.Error(err)
	}
	if _, err := Open(folder); !errors.Is(err, ErrUsed) {
		t.Errorf("opened twice: %v", err)
	}
}

// Bytes flip, blocks are lost: all that was saved comes back from the other copies, or the log is refused. Less, or
// anything else, never comes back, at the end of the log no more than in its midst.
func TestFlippedBytesAreHealedOrRefused(t *testing.T) {
	made := t.TempDir()
	saved(t, made, records()...)
	log, err := os.ReadFile(filepath.Join(made, logName))
	if err != nil {
		t.Fatal(err)
	}
	chance := rand.New(rand.NewPCG(1, 2))
	healed, refused := 0, 0
	for i := range 3000 {
		spoilt := bytes.Clone(log)
		switch at := chance.IntN(len(log)); i % 4 {
		case 0: // a byte
			spoilt[at] ^= byte(1 + chance.IntN(255))
		case 1: // a block of zeros, or of something else
			clear(spoilt[at/block*block : at/block*block+block])
		case 2: // a header
			spoilt[at/block*block+chance.IntN(headerSize)] ^= 1 << chance.IntN(8)
		case 3: // two places
			spoilt[at] ^= 0x40
			spoilt[chance.IntN(len(log))] ^= 0x04
		}
		got, err := readFrames(spoilt)
		if err != nil {
			refused++
			continue
		}
		want, _ := readFrames(log)
		last := len(got.payloads) == len(want.payloads)-1 // both copies of the last: like a write cut off
		if !slices.EqualFunc(got.payloads, want.payloads[:len(got.payloads)], bytes.Equal) || !last &&
			len(got.payloads) != len(want.payloads) || last && i%4 != 3 {
			t.Fatalf("round %d: %d frames of %d came back", i, len(got.payloads), len(want.payloads))
		}
		healed++
	}
	if healed < 2000 || refused == 0 {
		t.Errorf("%d healed, %d refused", healed, refused)
	}
}

// A loss of power cuts the last write off at any byte, or leaves any of its blocks out: what was acknowledged before it
// comes back, and the folder works on.
func TestWriteCutOffLeavesWhatWasAcknowledged(t *testing.T) {
	made := t.TempDir()
	saved(t, made, records()[:4]...)
	whole, _ := os.ReadFile(filepath.Join(made, logName))
	full, _ := readFrames(whole)
	next := appendFrame(bytes.Clone(whole), uint64(len(full.payloads)+1), bytes.Repeat([]byte("x"), 9000))
	chance := rand.New(rand.NewPCG(3, 4))
	for i := range 500 {
		torn := bytes.Clone(next[:len(whole)+chance.IntN(len(next)-len(whole))])
		for at := len(whole); i%2 == 0 && at < len(torn); at += block {
			if chance.IntN(2) == 0 {
				clear(torn[at:min(at+block, len(torn))])
			}
		}
		got, err := readFrames(torn)
		if err != nil || len(got.payloads) < len(full.payloads) || len(got.payloads) > len(full.payloads)+1 ||
			!slices.EqualFunc(got.payloads[:len(full.payloads)], full.payloads, bytes.Equal) {
			t.Fatalf("round %d: %d frames, %v", i, len(got.payloads), err)
		}
	}
	if err := os.WriteFile(filepath.Join(made, logName), next[:len(whole)+100], 0o600); err != nil {
		t.Fatal(err)
	}
	saved(t, made, "after")
	if got, err := read(made); err != nil || !slices.Equal(got, append(records()[:4], "after")) {
		t.Errorf("%d records, %v", len(got), err)
	}
}

// A folder that was copied may be in use elsewhere; one whose log or mark is gone has forgotten what it acknowledged.
func TestCopiedOrEmptiedFolderIsRefused(t *testing.T) {
	made := t.TempDir()
	saved(t, made, "one")
	for gone, want := range map[string]error{"": ErrCopied, logName: ErrSpoilt, markName: ErrSpoilt} {
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

// faulty fails at the write or sync of a number.
type faulty struct {
	Bare
	writes, syncs int
	failAt        int
	sync          bool
}

func (h *faulty) Write(f *os.File, b []byte) error {
	if h.writes++; !h.sync && h.writes == h.failAt {
		_, _ = f.Write(b[:len(b)/3])
		return errors.New("no space left on device")
	}
	return h.Bare.Write(f, b)
}

func (h *faulty) Sync(f *os.File) error {
	if h.syncs++; h.sync && h.syncs == h.failAt {
		return errors.New("input/output error")
	}
	return h.Bare.Sync(f)
}

// A sync that failed once says yes the next time though the bytes are gone: nothing is saved after it, and what was
// saved before is there at the next opening. At any write or sync, in the making of the folder too.
func TestNothingIsSavedAfterAFailure(t *testing.T) {
	for at := 1; at < 9; at++ {
		for _, sync := range []bool{false, true} {
			folder := t.TempDir()
			var acknowledged []string
			d, err := OpenWith(folder, &faulty{failAt: at, sync: sync})
			for i := 0; err == nil && i < 9; i++ {
				r := fmt.Sprint("record ", i)
				switch e := d.Save([]byte(r)); {
				case e == nil && d.failed == nil:
					acknowledged = append(acknowledged, r)
				case !errors.Is(e, ErrFailed):
					t.Fatalf("at %d: %v after a failure", at, e)
				}
			}
			if err == nil {
				_ = d.Close()
			}
			got, err := read(folder)
			if err != nil || len(got) < len(acknowledged) || len(got) > len(acknowledged)+1 {
				t.Errorf("at %d, sync %v: %d of %d records, %v", at, sync, len(got), len(acknowledged), err)
			}
		}
	}
}
