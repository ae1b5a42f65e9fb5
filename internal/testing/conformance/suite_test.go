package conformance

import (
	"slices"
	"strings"
	"testing"
)

// A data file that lost a case, names what does not exist or has an unknown word is rejected.
func TestParse_reportsEveryError(t *testing.T) {
	text := string(suiteFile)
	for _, test := range []struct{ name, old, new, want string }{
		{"unknown clause", `clause = "told-units"`, `clause = "told-unit"`, `no clause "told-unit"`},
		{"clause without a case", `clause = "told-units"`, `clause = "early-end"`, `clause "told-units" has no case`},
		{"duplicate case", `id = "names-on-sockets"`, `id = "names"`, `case "names": needs an id of its own`},
		{"unknown target", `runs_against = "process"`, `runs_against = "sockets"`, `allowed are module, process, both`},
		{"malformed action", `"others 10", "request 1 units 1"]`, `"others ten"]`, `action "others ten"`},
		{"unknown key", `crosses_window = true`, `cross = true`, `strict mode`},
		{
			"unknown case of a change", `module_cases = ["true-units"]`, `module_cases = ["true-unit"]`,
			`no case "true-unit"`,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			if !strings.Contains(text, test.old) {
				t.Errorf("%q is not in the file", test.old)
			}
			_, err := Parse([]byte(strings.Replace(text, test.old, test.new, 1)))
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("%s: %v, want %s", test.new, err, test.want)
			}
		})
	}
}

func TestParse_reportsAllErrorsAtOnce(t *testing.T) {
	broken := strings.NewReplacer(`clause = "told-units"`, `clause = "x"`, `plan = "small"`, `plan = "y"`)
	_, err := Parse([]byte(broken.Replace(string(suiteFile))))
	if err == nil {
		t.Fatal("no error")
	}
	lines := strings.Split(err.Error(), "\n")
	if len(lines) < 3 ||
		!slices.ContainsFunc(lines, func(line string) bool { return strings.Contains(line, `no plan "y"`) }) {
		t.Errorf("not all errors are reported at once: %v", err)
	}
}

// A action that is not complete or has words too many is rejected.
func TestParseAction_rejectsMalformedActions(t *testing.T) {
	for _, text := range []string{
		"", "request", "request 0 units 1", "request 1", "request 1 units", "request 1 units x",
		"request 1 units 1 class slow",
		"request 1 billed 1", "answer 1 units 1", "answer x", "others", "wait 5", "wait", "edge 1", "counter gone",
		"marker", "rest",
	} {
		if todo, err := parseAction(text); err == nil {
			t.Errorf("%q: read as %+v", text, todo)
		}
	}
}
