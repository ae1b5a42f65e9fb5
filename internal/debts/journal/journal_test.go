package journal

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"go.etcd.io/bbolt"

	"harrierhoist/internal/debts"
	"harrierhoist/internal/debts/till"
)

func kept(n uint64) []till.Kept {
	return []till.Kept{{Pair: debts.Pair{Debtor: "a", Creditor: "b"}, Owed: n, Out: 1}}
}

func reopen(t *testing.T, folder string) *Journal {
	t.Helper()
	j, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = j.Close() })
	return j
}

// The process dies while it writes, or the power goes: whichever record is spoilt, the file holds one that is whole,
// at the latest that which was synced.
func TestASpoiltRecordLeavesAnEarlierOne(t *testing.T) {
	folder := t.TempDir()
	j := reopen(t, folder)
	for n := range uint64(9) { // the first is synced, those within a second after it are not
		if err := j.Write("x", kept(n+1)); err != nil {
			t.Fatal(err)
		}
	}
	_ = j.Close()
	path := filepath.Join(folder, name)
	for _, want := range []uint64{9, 8, 1} {
		j = reopen(t, folder)
		if life, k := j.Life(); life != "x" || !slices.Equal(k, kept(want)) {
			t.Fatalf("%q, %v, want %d", life, k, want)
		}
		at := j.at
		_ = j.Close()
		file, _ := os.OpenFile(path, os.O_RDWR, 0)
		b := make([]byte, 1)
		_, _ = file.ReadAt(b, at*slot+head+3)
		b[0] ^= 4
		_, _ = file.WriteAt(b, at*slot+head+3)
		_ = file.Close()
	}
	if _, err := Open(folder); err == nil {
		t.Error("a file without a whole record is taken for a new one: what was owed would be lost unsaid")
	}
}

// Two processes with one folder would count in one life.
func TestAFolderIsOneProcesss(t *testing.T) {
	folder := t.TempDir()
	j := reopen(t, folder)
	if _, err := Open(folder); err == nil {
		t.Error("opened twice")
	}
	_ = j.Close()
	reopen(t, folder)
}

// What docs/debts.md says of the ways weighed: our file and bbolt, each without and with a sync.
func BenchmarkWrite(b *testing.B) {
	var pairs []till.Kept
	for range 12 {
		pairs = append(pairs, kept(1)...)
	}
	b.Run("file", func(b *testing.B) {
		j, err := Open(b.TempDir())
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			_ = j.Write("x", pairs)
		}
	})
	b.Run("file, synced each time", func(b *testing.B) {
		j, err := Open(b.TempDir())
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			_ = j.Write("x", pairs)
			_ = j.file.Sync()
		}
	})
	for name, lazy := range map[string]bool{"bbolt": true, "bbolt, synced each time": false} {
		b.Run(name, func(b *testing.B) {
			db, err := bbolt.Open(filepath.Join(b.TempDir(), "db"), 0o600, &bbolt.Options{NoSync: lazy})
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				_ = db.Update(func(tx *bbolt.Tx) error {
					bucket, err := tx.CreateBucketIfNotExists([]byte("debts"))
					if err != nil {
						return err
					}
					return bucket.Put([]byte("counts"), make([]byte, 300))
				})
			}
		})
	}
}
