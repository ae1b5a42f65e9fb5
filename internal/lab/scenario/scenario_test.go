package scenario

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// projectScenarios returns the scenario files of the project.
func projectScenarios(tb testing.TB) []string {
	tb.Helper()
	files, err := filepath.Glob("../../../scenarios/worlds/*.toml")
	if err != nil || len(files) < 6 {
		tb.Fatalf("%d scenarios found: %v", len(files), err)
	}
	return files
}

func TestRead_scenariosOfTheProjectAreValid(t *testing.T) {
	for _, file := range projectScenarios(t) {
		if _, err := Read(file); err != nil {
			t.Error(err)
		}
	}
}

// wrongFile has an error in most of its parts.
const wrongFile = `name = "wrong"
length = "0s"

[gateways]
count = 0

[[lane]]
name = "a"
share = 1
work = "10ms"
soft_limit = "100ms"
patience = "50ms"
effect = "pure"
group = "cell"

[[lane]]
name = "a"
share = 1
work = "0s"
soft_limit = "100ms"
patience = "200ms"

[load]
rate = 0

[[trouble]]
kind = "counter_slwo"

[[trouble]]
kind = "burst"
at = "99s"
`

func TestParse_reportsAllErrorsWithPositions(t *testing.T) {
	_, err := Parse("w.toml", []byte(wrongFile))
	if err == nil {
		t.Fatal("a broken file was accepted")
	}
	for _, want := range []string{
		"w.toml:2:1: length is 0s",
		"w.toml:5:1: gateways.count is 0; from 1 to 100000 is allowed",
		"w.toml:12:1: lane.0.patience is 50ms, less than the soft limit of 100ms",
		"w.toml:14:1: lane.0.group is for a receipted lane alone",
		`w.toml:17:1: lane.1.name is "a"`,
		"w.toml:19:1: lane.1.work is 0s",
		"w.toml:24:1: load.rate is 0",
		`w.toml:27:1: trouble.0.kind is "counter_slwo"; known are answers_lost, blind, burst,`,
		"w.toml:31:1: trouble.1.at is 1m39s",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("missing: %s\nin:\n%v", want, err)
		}
	}
}

func TestParse_unknownKeysAndWrongTypesHavePositions(t *testing.T) {
	for _, test := range []struct{ name, text, want string }{
		{
			"unknown key",
			"name = \"x\"\n\n[servers]\ncores = 2\nthreads = 3\n", "w.toml:5:1: no such key: servers.threads",
		},
		{"text for a number", "[servers]\ncores = \"two\"\n", "w.toml:2:9:"},
		{"unknown unit", "length = \"12 parsecs\"\n", "w.toml:1:"},
		{"missing value", "length = \n", "w.toml:1:"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse("w.toml", []byte(test.text))
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("%v, want %s", err, test.want)
			}
			var fileError FileError
			if !errors.As(err, &fileError) {
				t.Errorf("no FileError in %v", err)
			}
		})
	}
}

func TestParse_reportsContradictions(t *testing.T) {
	for _, test := range []struct{ name, text, want string }{
		{
			"fault of a missing counter",
			"[counter]\nrate = 0\n[[trouble]]\nkind = \"counter_silent\"\n", "and this world has no counter",
		},
		{
			"isolation of the only zone",
			"[gateways]\nhalls = 1\n[[trouble]]\nkind = \"hall_cut\"\n", "and this world has one hall",
		},
		{
			"zone without a region",
			"[gateways]\nhalls = 3\nregions = [[0, 1]]\n", "gateways.regions leaves out hall 2",
		},
		{
			"zone in two regions",
			"[gateways]\nhalls = 2\nregions = [[0, 1], [1]]\n", "gateways.regions names hall 1 twice",
		},
		{
			"region with an unknown zone",
			"[gateways]\nhalls = 2\nregions = [[0, 2], [1]]\n", "gateways.regions names hall 2; from 0 to 1",
		},
		{
			"link with one end",
			"[[trouble]]\nkind = \"link_cut\"\nhall = 1\nto = 1\n", "a link has two ends",
		},
		{
			"fault of an unknown plan",
			"[[trouble]]\nkind = \"flood\"\nplan = \"gold\"\n", `"gold", which is no plan`,
		},
		{
			"fault of an unknown class",
			"[[trouble]]\nkind = \"lane_silent\"\nlane = \"x\"\n", `"x", which is no lane`,
		},
		{
			"rate without burst",
			"[[plan]]\nname=\"p\"\nshare=1\ncustomers=1\nrate=2\n", "burst is 0 with a rate of 2",
		},
		{
			"speeds in the wrong order",
			"[servers]\nspeed = [2.0, 1.0]\n", "the first is more than nought and no more than the second",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			if _, err := Parse("w.toml", []byte(test.text)); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("%v, want %s", err, test.want)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	for _, file := range projectScenarios(f) {
		text, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(string(text))
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse("w.toml", []byte(text))
		if (s == nil) == (err == nil) {
			t.Fatalf("scenario %v with error %v", s, err)
		}
	})
}
