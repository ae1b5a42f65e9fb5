package journal

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"go.etcd.io/bbolt"
	"golang.org/x/sys/unix"

	"harrierhoist/internal/control/settlement"
	"harrierhoist/internal/control/settlement/account"
)

func testBalances(n uint64) []account.StoredBalance {
	return []account.StoredBalance{{Pair: settlement.Pair{Debtor: "a", Creditor: "b"}, Debt: n, InFlight: 1}}
}

func openJournal(tb testing.TB, folder string) *Journal {
	tb.Helper()
	j, err := Open(folder)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = j.Close() }) // fails if the test has closed it already
	return j
}

func closeJournal(t *testing.T, j *Journal) {
	t.Helper()
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
}

// corrupt flips a bit in the body of the record in the given slot.
func corrupt(t *testing.T, path string, slot int64) {
	t.Helper()
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	offset := slot*slotSize + headerSize + 3
	buffer := make([]byte, 1)
	_, readErr := file.ReadAt(buffer, offset)
	buffer[0] ^= 4
	_, writeErr := file.WriteAt(buffer, offset)
	if err := errors.Join(readErr, writeErr, file.Close()); err != nil {
		t.Fatal(err)
	}
}

// Simulates a crash of the process or a power failure during a write. If the latest record is
// corrupt, Open restores an earlier one, and at last the synced one.
func TestJournal_corruptRecordFallsBackToEarlierOne(t *testing.T) {
	folder := t.TempDir()
	j := openJournal(t, folder)
	for n := range uint64(9) { // the first write is synced; the others follow within syncInterval
		if err := j.Write("x", testBalances(n+1)); err != nil {
			t.Fatal(err)
		}
	}
	closeJournal(t, j)
	for _, want := range []uint64{9, 8, 1} {
		j = openJournal(t, folder)
		if ledgerID, balances := j.InitialState(); ledgerID != "x" || !slices.Equal(balances, testBalances(want)) {
			t.Fatalf("restored %q, %v, want record %d", ledgerID, balances, want)
		}
		slot := j.latestSlot
		closeJournal(t, j)
		corrupt(t, filepath.Join(folder, fileName), slot)
	}
	if _, err := Open(folder); !errors.Is(err, ErrNoCompleteRecord) {
		t.Errorf("Open of a file without a complete record: got error %v, want %v", err, ErrNoCompleteRecord)
	}
}

// A folder in use must not be opened again, as two processes would write the same ledger.
func TestOpen_refusesFolderInUse(t *testing.T) {
	folder := t.TempDir()
	j := openJournal(t, folder)
	if _, err := Open(folder); !errors.Is(err, unix.EWOULDBLOCK) {
		t.Errorf("Open of a folder in use: got error %v, want %v", err, unix.EWOULDBLOCK)
	}
	closeJournal(t, j)
	openJournal(t, folder)
}

// BenchmarkWrite measures the figures in docs/debts.md. It compares Journal with bbolt, each
// without and with a sync per write.
func BenchmarkWrite(b *testing.B) {
	balances := slices.Repeat(testBalances(1), 12)
	b.Run("file", func(b *testing.B) {
		j := openJournal(b, b.TempDir())
		for b.Loop() {
			if err := j.Write("x", balances); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("file, synced each time", func(b *testing.B) {
		j := openJournal(b, b.TempDir())
		for b.Loop() {
			if err := errors.Join(j.Write("x", balances), j.file.Sync()); err != nil {
				b.Fatal(err)
			}
		}
	})
	for name, isSynced := range map[string]bool{"bbolt": false, "bbolt, synced each time": true} {
		b.Run(name, func(b *testing.B) { benchmarkBbolt(b, &bbolt.Options{NoSync: !isSynced}) })
	}
}

func benchmarkBbolt(b *testing.B, options *bbolt.Options) {
	b.Helper()
	db, err := bbolt.Open(filepath.Join(b.TempDir(), "db"), 0o600, options)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = db.Close() })
	for b.Loop() {
		if err := db.Update(putCounts); err != nil {
			b.Fatal(err)
		}
	}
}

func putCounts(tx *bbolt.Tx) error {
	bucket, err := tx.CreateBucketIfNotExists([]byte("debts"))
	if err != nil {
		return err
	}
	return bucket.Put([]byte("counts"), make([]byte, 300))
}
