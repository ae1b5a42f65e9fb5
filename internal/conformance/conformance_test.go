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

func TestModule(t *testing.T) {
	all := tables(t)
	for _, v := range Variants {
		for _, r := range all.Rows {
			if v.Module != nil && r.at("module") {
				t.Run(v.Name+"/"+r.ID, func(t *testing.T) { PlayModule(t, all, r, v) })
			}
		}
	}
}

func TestProcess(t *testing.T) {
	all := tables(t)
	for _, v := range Variants {
		for _, r := range all.Rows {
			if v.Process != nil && r.at("process") {
				t.Run(v.Name+"/"+r.ID, func(t *testing.T) {
					t.Parallel()
					PlayProcess(t, all, r, v)
				})
			}
		}
	}
}
