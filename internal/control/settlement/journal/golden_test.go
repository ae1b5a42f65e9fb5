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

// goldenWrites are the records of testdata/debts.gz, which 8c168ca wrote: one fills each slot.
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

// A gateway's journal as the version before stored it is read, and written byte for byte.
func TestGolden_storedJournal(t *testing.T) {
	packed, err := os.Open(filepath.Join("testdata", "debts.gz"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = packed.Close() }() // only read
	unpacked, err := gzip.NewReader(packed)
	if err != nil {
		t.Fatal(err)
	}
	stored, err := io.ReadAll(unpacked)
	if err != nil {
		t.Fatal(err)
	}
	before := t.TempDir()
	if err := os.WriteFile(filepath.Join(before, "debts"), stored, 0o600); err != nil {
		t.Fatal(err)
	}
	last := goldenWrites[len(goldenWrites)-1]
	ledgerID, balances := openJournal(t, before).Restored()
	if ledgerID != last.ledgerID || !reflect.DeepEqual(balances, last.balances) {
		t.Errorf("read %q, %v, want %q, %v", ledgerID, balances, last.ledgerID, last.balances)
	}
	now := t.TempDir()
	j := openJournal(t, now)
	for _, r := range goldenWrites {
		if err := j.Write(r.ledgerID, r.balances); err != nil {
			t.Fatal(err)
		}
	}
	if written, err := os.ReadFile(filepath.Join(now, "debts")); err != nil || !bytes.Equal(written, stored) {
		t.Errorf("%d bytes written (%v), %d stored, and not the same", len(written), err, len(stored))
	}
}

// What operators read at the start where the folder cannot be used.
func TestGolden_refusals(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "debts")
	_ = openJournal(t, folder)
	want := path + ": another process has it: resource temporarily unavailable"
	if _, err := Open(folder); err == nil || err.Error() != want {
		t.Errorf("of a folder in use: %v", err)
	}
	folder = t.TempDir()
	path = filepath.Join(folder, "debts")
	if err := os.WriteFile(path, []byte("not a journal, though a file of some bytes"), 0o600); err != nil {
		t.Fatal(err)
	}
	want = path + ": none of its records is whole: remove it to begin anew"
	if _, err := Open(folder); err == nil || err.Error() != want {
		t.Errorf("of a file without a record: %v", err)
	}
}
