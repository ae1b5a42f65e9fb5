package conformance

import (
	"flag"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write docs/conformance.md")

func TestPageMatchesSuite(t *testing.T) {
	const path = repoRoot + "/docs/conformance.md"
	want, err := loadSuite(t).Page()
	if err != nil {
		t.Fatal(err)
	}
	if *update {
		if err := os.WriteFile(path, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, string(got)); diff != "" {
		t.Errorf("the page is not what the tables say (run with -update):\n%s", diff)
	}
}
