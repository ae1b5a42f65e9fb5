package journal

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"go.etcd.io/bbolt"

	"harrierhoist/internal/settlement"
	"harrierhoist/internal/settlement/account"
)

func testBalances(n uint64) []account.StoredBalance {
	return []account.StoredBalance{{Pair: settlement.Pair{Debtor: "a", Creditor: "b"}, Debt: n, InFlight: 1}}
}

func openJournal(t *testing.T, folder string) *Journal {
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
func TestJournal_corruptRecordLeavesEarlierOne(t *testing.T) {
	folder := t.TempDir()
	j := openJournal(t, folder)
	for n := range uint64(9) { // the first is synced, those within a second after it are not
		if err := j.Write("x", testBalances(n+1)); err != nil {
			t.Fatal(err)
		}
	}
	_ = j.Close()
	path := filepath.Join(folder, fileName)
	for _, want := range []uint64{9, 8, 1} {
		j = openJournal(t, folder)
		if ledgerID, k := j.Restored(); ledgerID != "x" || !slices.Equal(k, testBalances(want)) {
			t.Fatalf("%q, %v, want %d", ledgerID, k, want)
		}
		slot := j.slot
		_ = j.Close()
		file, _ := os.OpenFile(path, os.O_RDWR, 0)
		buffer := make([]byte, 1)
		_, _ = file.ReadAt(buffer, slot*slotSize+headerSize+3)
		buffer[0] ^= 4
		_, _ = file.WriteAt(buffer, slot*slotSize+headerSize+3)
		_ = file.Close()
	}
	if _, err := Open(folder); err == nil {
		t.Error("a file without a whole record is taken for a new one: what was owed would be lost unsaid")
	}
}

// Two processes with one folder would count in one life.
func TestOpen_refusesFolderInUse(t *testing.T) {
	folder := t.TempDir()
	j := openJournal(t, folder)
	if _, err := Open(folder); err == nil {
		t.Error("opened twice")
	}
	_ = j.Close()
	openJournal(t, folder)
}

// What docs/debts.md says of the ways weighed: our file and bbolt, each without and with a sync.
func BenchmarkWrite(b *testing.B) {
	var pairs []account.StoredBalance
	for range 12 {
		pairs = append(pairs, testBalances(1)...)
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
