package conformance

import (
	"net"
	"os"
	"slices"
	"testing"
)

func TestMain(m *testing.M) {
	code := m.Run()
	Clean()
	os.Exit(code)
}

func tables(t *testing.T) *Tables {
	t.Helper()
	all, err := Load()
	if err != nil {
		t.Fatal(err)
	}
	return all
}

func TestRows(t *testing.T) {
	all := tables(t)
	for _, v := range Variants {
		t.Run(v.Name, func(t *testing.T) {
			t.Parallel()
			for _, r := range all.Rows {
				t.Run(r.ID, func(t *testing.T) {
					t.Parallel()
					Play(t, all, r, v)
				})
			}
		})
	}
}

// Under load a closed listener lived on in a program that was just starting, and a row's gateway found its address
// taken.
func TestATakenAddressIsLeftForAnother(t *testing.T) {
	taken, err := net.Listen("tcp", address(ported.Load()+1))
	if err == nil { // else somebody else has it
		defer taken.Close()
	}
	all := tables(t)
	i := slices.IndexFunc(all.Rows, func(r Row) bool { return r.ID == "first-check" })
	before := ported.Load()
	PlayProcess(t, all, all.Rows[i], Plain)
	if n := ported.Load() - before; n < 2 {
		t.Errorf("%d addresses used, want another after the one that is taken", n)
	}
}
