package conformance

import (
	"os"
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
