package journal

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// The process is killed while it writes its very first record, at whichever byte: nothing was reported from it, and the next
// process begins anew and stores what it counts. A first record that is whole and corrupt is refused as ever.
func TestOpen_firstRecordThatWasCutOffIsBegunAnew(t *testing.T) {
	whole := t.TempDir()
	j := openJournal(t, whole)
	if err := j.Write("x", testBalances(7)); err != nil {
		t.Fatal(err)
	}
	closeJournal(t, j)
	stored, err := os.ReadFile(filepath.Join(whole, fileName))
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
			t.Fatalf("cut off after %d bytes: %v", length-slotSize, err)
		}
		if ledgerID, balances := j.Restored(); ledgerID != "" || len(balances) > 0 {
			t.Fatalf("restored %q, %v", ledgerID, balances)
		}
		if err := j.Write("y", testBalances(8)); err != nil {
			t.Fatal(err)
		}
		closeJournal(t, j)
		j = openJournal(t, folder)
		if ledgerID, balances := j.Restored(); ledgerID != "y" || !slices.Equal(balances, testBalances(8)) {
			t.Fatalf("restored %q, %v after a write", ledgerID, balances)
		}
		closeJournal(t, j)
	}
}
