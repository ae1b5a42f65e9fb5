package journal

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// Guards against a failing start after the process was killed while it wrote the first record. The
// record may be truncated at any byte.
func TestOpen_truncatedFirstRecordIsDiscarded(t *testing.T) {
	complete := t.TempDir()
	j := openJournal(t, complete)
	if err := j.Write("x", testBalances(7)); err != nil {
		t.Fatal(err)
	}
	closeJournal(t, j)
	stored, err := os.ReadFile(filepath.Join(complete, fileName))
	if err != nil {
		t.Fatal(err)
	}
	for length := slotSize + 1; length < len(stored); length++ {
		folder := t.TempDir()
		if err := os.WriteFile(filepath.Join(folder, fileName), stored[:length], 0o600); err != nil {
			t.Fatal(err)
		}
		j, err := Open(folder)
		if err != nil {
			t.Fatalf("Open with the first record truncated to %d bytes: %v", length-slotSize, err)
		}
		if ledgerID, balances := j.InitialState(); ledgerID != "" || len(balances) > 0 {
			t.Fatalf("restored %q, %v, want nothing", ledgerID, balances)
		}
		if err := j.Write("y", testBalances(8)); err != nil {
			t.Fatal(err)
		}
		closeJournal(t, j)
		j = openJournal(t, folder)
		if ledgerID, balances := j.InitialState(); ledgerID != "y" || !slices.Equal(balances, testBalances(8)) {
			t.Fatalf("restored %q, %v after a write, want %q, %v", ledgerID, balances, "y", testBalances(8))
		}
		closeJournal(t, j)
	}
}
