package journal

import (
	"bytes"
	"compress/gzip"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"harrierhoist/internal/control/settlement"
	"harrierhoist/internal/control/settlement/account"
)

// goldenWrites are the records in testdata/debts.gz, one for each slot. Commit 8c168ca wrote the
// file.
var goldenWrites = []struct {
	ledgerID string
	balances []account.StoredBalance
}{
	{"1k2j3", []account.StoredBalance{
		{Pair: settlement.Pair{Debtor: "north", Creditor: "south"}, Debt: 700, InFlight: 2000},
	}},
	{"1k2j3", nil},
	{"1k2j3+", []account.StoredBalance{
		{Pair: settlement.Pair{Debtor: "north", Creditor: "south"}, Debt: 2700, InFlight: 0},
		{Pair: settlement.Pair{Debtor: "left.long-ago", Creditor: "west_2"}, Debt: 1 << 40, InFlight: 1},
	}},
}

// A journal file written by an earlier version can be read, and the same writes still produce the
// same bytes.
func TestGolden_storedJournal(t *testing.T) {
	compressed, err := os.Open(filepath.Join("testdata", "debts.gz"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = compressed.Close() }() // read only, so the error doesn't matter
	decompressed, err := gzip.NewReader(compressed)
	if err != nil {
		t.Fatal(err)
	}
	stored, err := io.ReadAll(decompressed)
	if err != nil {
		t.Fatal(err)
	}
	storedFolder := t.TempDir()
	if err := os.WriteFile(filepath.Join(storedFolder, "debts"), stored, 0o600); err != nil {
		t.Fatal(err)
	}
	last := goldenWrites[len(goldenWrites)-1]
	ledgerID, balances := openJournal(t, storedFolder).InitialState()
	if ledgerID != last.ledgerID || !reflect.DeepEqual(balances, last.balances) {
		t.Errorf("restored %q, %v, want %q, %v", ledgerID, balances, last.ledgerID, last.balances)
	}
	writtenFolder := t.TempDir()
	j := openJournal(t, writtenFolder)
	for _, r := range goldenWrites {
		if err := j.Write(r.ledgerID, r.balances); err != nil {
			t.Fatal(err)
		}
	}
	if written, err := os.ReadFile(filepath.Join(writtenFolder, "debts")); err != nil || !bytes.Equal(written, stored) {
		t.Errorf("written file of %d bytes (read error: %v) differs from the stored one of %d bytes",
			len(written), err, len(stored))
	}
}

// Guards the error messages that an operator sees when the gateway cannot use its journal folder.
func TestGolden_openErrors(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "debts")
	_ = openJournal(t, folder)
	want := path + ": another process has it: resource temporarily unavailable"
	if _, err := Open(folder); err == nil || err.Error() != want {
		t.Errorf("Open of a folder in use: got error %v, want %s", err, want)
	}
	folder = t.TempDir()
	path = filepath.Join(folder, "debts")
	if err := os.WriteFile(path, []byte("not a journal, though a file of some bytes"), 0o600); err != nil {
		t.Fatal(err)
	}
	want = path + ": none of its records is whole: remove it to begin anew"
	if _, err := Open(folder); err == nil || err.Error() != want {
		t.Errorf("Open of a file without a record: got error %v, want %s", err, want)
	}
}
