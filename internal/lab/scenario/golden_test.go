package scenario

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestParse_errorsAreStable holds the text of all refusals of a file and their positions.
func TestParse_errorsAreStable(t *testing.T) {
	text, err := os.ReadFile("testdata/broken.toml")
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/broken.errors")
	if err != nil {
		t.Fatal(err)
	}
	_, err = Parse("broken.toml", text)
	if err == nil {
		t.Fatal("a broken file was accepted")
	}
	if d := cmp.Diff(string(want), err.Error()+"\n"); d != "" {
		t.Error(d)
	}
}

// goldenSettings is the hash of what gateways and failover get of the project's scenarios.
const goldenSettings = "7556945e41d818e7210e0edcf853891f8c0de1477284868c1bf60279306df8a3"

// TestSettings_areStable holds the settings that follow from the project's scenarios.
func TestSettings_areStable(t *testing.T) {
	sum := sha256.New()
	for _, file := range projectScenarios(t) {
		s, err := Read(file)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(sum, "%v\n%v\n%v\n", s.PolicySettings(1), s.FailoverSettings(), s.ZoneRegions())
	}
	if got := hex.EncodeToString(sum.Sum(nil)); got != goldenSettings {
		t.Errorf("the settings hash to %s, not %s", got, goldenSettings)
	}
}
