package scenario

import (
	"testing"

	"harrierhoist/internal/testing/golden"
)

// TestParse_errorsAreStable holds the text of all refusals of a file and their positions.
func TestParse_errorsAreStable(t *testing.T) {
	_, err := Parse("broken.toml", golden.Read(t, "broken.toml"))
	if err == nil {
		t.Fatal("a broken file was accepted")
	}
	golden.Check(t, "broken.errors", []byte(err.Error()+"\n"))
}

// goldenSettings is the hash of what gateways and failover get of the project's scenarios.
const goldenSettings = "7556945e41d818e7210e0edcf853891f8c0de1477284868c1bf60279306df8a3"

// TestSettings_areStable holds the settings that follow from the project's scenarios.
func TestSettings_areStable(t *testing.T) {
	sum := golden.NewDigest()
	for _, file := range projectScenarios(t) {
		s, err := Read(file)
		if err != nil {
			t.Fatal(err)
		}
		sum.Printf("%v\n%v\n%v\n", s.PolicySettings(1), s.FailoverSettings(), s.ZoneRegions())
	}
	sum.Check(t, goldenSettings)
}
