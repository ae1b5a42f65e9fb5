package disk

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
)

const (
	goldenDiskMark = "00112233445566778899aabbccddeeff"
	goldenInode    = 4711
)

// goldenRecords are records of a voter, with a snapshot among them, and some of the sizes around a block's.
func goldenRecords(t *testing.T) (all [][]byte) {
	t.Helper()
	text, err := os.ReadFile("testdata/records.hex")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		record, err := hex.DecodeString(strings.TrimSpace(line))
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, record)
	}
	for _, size := range []int{1, block - headerSize - 4, block - headerSize - 3, 2 * block} {
		all = append(all, bytes.Repeat([]byte{byte(size), 0x5a}, size)[:size])
	}
	return all
}

// goldenDisk is a folder whose mark and inode are not drawn, without its log.
func goldenDisk(t *testing.T) *Disk {
	t.Helper()
	d := &Disk{folder: t.TempDir(), hand: Bare{}}
	t.Cleanup(func() { _ = d.Close() })
	return d
}

func (d *Disk) log(t *testing.T) []byte {
	t.Helper()
	log, err := os.ReadFile(filepath.Join(d.folder, logName))
	if err != nil {
		t.Fatal(err)
	}
	return log
}

// The same records make the same log, byte for byte.
func TestGoldenLogIsWritten(t *testing.T) {
	d := goldenDisk(t)
	d.first = page{Mark: goldenDiskMark, Inode: goldenInode, Life: 1}
	if err := d.rewrite(nil); err != nil {
		t.Fatal(err)
	}
	for _, r := range goldenRecords(t) {
		if err := d.Save(r); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile("testdata/log")
	if err != nil {
		t.Fatal(err)
	}
	if got := d.log(t); !bytes.Equal(got, want) || d.Size() != int64(len(want)) {
		t.Errorf("%d bytes, %x; size %d", len(got), sha256.Sum256(got), d.Size())
	}
}

// A log that the version before wrote is read, and written anew at its opening as that would have done.
func TestGoldenLogIsRead(t *testing.T) {
	log, err := os.ReadFile("testdata/log")
	if err != nil {
		t.Fatal(err)
	}
	d := goldenDisk(t)
	if err := os.WriteFile(filepath.Join(d.folder, logName), log, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := d.load(goldenInode + 1); !errors.Is(err, ErrCopied) {
		t.Errorf("with another inode: %v", err)
	}
	d = &Disk{folder: d.folder, hand: Bare{}}
	t.Cleanup(func() { _ = d.Close() })
	if err := d.load(goldenInode); err != nil {
		t.Fatal(err)
	}
	if life, _ := d.Life(); !slices.EqualFunc(d.Records(), goldenRecords(t), bytes.Equal) || life != 2 ||
		d.Mark() != goldenDiskMark || d.Healed() != 0 {
		t.Errorf("%d records, life %d, mark %s, %d healed", len(d.Records()), life, d.Mark(), d.Healed())
	}
	if got := fmt.Sprintf("%x", sha256.Sum256(d.log(t))); got != goldenReopened {
		t.Errorf("after its opening %s", got)
	}
	if err := d.Rewrite(goldenRecords(t)[0]); err != nil {
		t.Fatal(err)
	}
	if got := fmt.Sprintf("%x", sha256.Sum256(d.log(t))); got != goldenRewritten {
		t.Errorf("after it was rewritten %s", got)
	}
}

// A folder has its mark as text in a file of its own, by which a voter of the version before would know it.
func TestGoldenFilesOfAFolder(t *testing.T) {
	folder := t.TempDir()
	d, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Close() })
	mark, err := os.ReadFile(filepath.Join(folder, "mark"))
	if err != nil || string(mark) != d.Mark()+"\n" {
		t.Errorf("mark %q of a disk %s, %v", mark, d.Mark(), err)
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
