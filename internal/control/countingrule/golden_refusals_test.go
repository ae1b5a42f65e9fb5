package countingrule

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"harrierhoist/internal/testing/golden"
	"harrierhoist/policy"
)

// refusals lists changes to the file of TestGolden_operatorsFile. Each causes at least one fault.
// The names are written to the golden file and must not change.
var refusals = []struct{ name, from, to string }{
	{"try unknown", "try = 2", "try = 9"},
	{"version twice", "version = 2", "version = 1"},
	{"version nought", "version = 1\n", "version = 0\n"},
	{"key unknown", `["customer", "lane"]`, `["customer", "hall"]`},
	{"key twice", `["customer", "lane"]`, `["customer", "customer"]`},
	{"key of no customer", `["customer", "lane"]`, `["lane"]`},
	{"key empty", `["customer", "lane"]`, `[]`},
	{"groups without group in the key", `["group"]`, `["customer"]`},
	{"group in the key without groups", `["customer", "lane"]`, `["group"]`},
	{"mask beside groups", "version = 2\n", "version = 2\nmask = 255\n"},
	{"mask of few bits", "mask = 16711935", "mask = 15"},
	{"group without a name", `name = "one"`, `name = ""`},
	{"group's name twice", `name = "two"`, `name = "one"`},
	{"group without customers", "customers = [4]", "customers = []"},
	{"customer twice", "customers = [4]", "customers = [2]"},
	{"weight's lane empty", `lane = "pay"`, `lane = ""`},
	{
		"weight's lane twice", `{lane = "pay", thousandths = 3000}`,
		`{lane = "pay", thousandths = 3000}, {lane = "pay", thousandths = 4000}`,
	},
	{"weight nought", "thousandths = 3000", "thousandths = 0"},
	{"weight too large", "thousandths = 3000", "thousandths = 100001"},
	{"limit's plan empty", `plan = "small"`, `plan = ""`},
	{
		"limit's plan twice", `{plan = "small", rate = 3.0, burst = 12.5}`,
		`{plan = "small", rate = 3.0, burst = 12.5}, {plan = "small", rate = 3.0, burst = 12.5}`,
	},
	{"rate nought", "rate = 3.0", "rate = 0.0"},
	{"rate not a number", "rate = 3.0", "rate = nan"},
	{"rate infinite", "rate = 3.0", "rate = inf"},
	{"burst below nought", "burst = 12.5", "burst = -1.0"},
	{"limit by plan where plans share a count", `plan = "*"`, `plan = "small"`},
	{"sample low", "sample = 20", "sample = 0"},
	{"sample high", "sample = 20", "sample = 81"},
	{"calls low", "calls = 60", "calls = 59"},
	{"calls nought", "calls = 60", "calls = 0"},
	{"calls high", "calls = 60", "calls = 251"},
	{"deadline low", "deadline_s = 600", "deadline_s = 119"},
	{"deadline high", "deadline_s = 600", "deadline_s = 86401"},
	{"wrong low", "wrong = 50", "wrong = 0"},
	{"wrong high", "wrong = 50", "wrong = 201"},
	{"rejected low", "rejected = 21", "rejected = 0"},
	{"rejected high", "rejected = 21", "rejected = 501"},
	{"let_in high", "let_in = 52", "let_in = 501"},
	{"beyond high", "beyond = 53", "beyond = 501"},
	{"leave high", "leave = 100", "leave = 501"},
	{"watch_s low", "watch_s = 300", "watch_s = 0"},
	{"watch_s high", "watch_s = 300", "watch_s = 86401"},
	{"lead_ms high", "lead_ms = 1500", "lead_ms = 600001"},
	{"several faults", "[counting.canary]\nsample = 20\ncalls = 60", "[counting.canary]\nsample = 0\ncalls = 300"},
}

// The errors that operators see must not change: one line for each fault, with the key and the
// allowed values.
func TestGolden_refusals(t *testing.T) {
	text := string(golden.Read(t, "rules.toml"))
	var out bytes.Buffer
	for _, c := range refusals {
		changed := strings.Replace(text, c.from, c.to, 1)
		if changed == text {
			t.Errorf("%s: %q is not in the file", c.name, c.from)
		}
		var file struct {
			Counting Config `toml:"counting"`
		}
		if err := toml.Unmarshal([]byte(changed), &file); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
		fmt.Fprintf(&out, "%s\n", c.name)
		for _, fault := range file.Counting.Check() {
			fmt.Fprintf(&out, "    %s\n", fault)
		}
	}
	config := Config{Canary: CanaryConfig{}}
	for i := range uint64(33) {
		config.Rules = append(config.Rules, Rule{Version: i + 1, Key: []string{"customer"}})
	}
	largeGroup := Group{Name: "many"}
	for customer := range uint64(10_001) {
		largeGroup.Customers = append(largeGroup.Customers, customer)
	}
	config.Rules[0] = Rule{Version: 1, Key: []string{"group", "customer"}, Groups: []Group{largeGroup}}
	fmt.Fprintf(&out, "too many rules and customers, no canary\n")
	for _, fault := range config.Check() {
		fmt.Fprintf(&out, "    %s\n", fault)
	}
	fmt.Fprintf(&out, "no rule and no canary\n")
	for _, fault := range (&Config{}).Check() {
		fmt.Fprintf(&out, "    %s\n", fault)
	}
	ceilingSettings := testSettings()
	ceilingSettings.Plans[0].CeilingRate = 1
	for _, settings := range []policy.Settings{testSettings(), ceilingSettings} {
		settings.Plans[1].MaxInFlight = 2
		rule := goldenRules()[1]
		if _, err := Resolve(rule, WithRulePlans(settings, []Rule{rule})); err != nil {
			fmt.Fprintf(&out, "cannot hold\n    %s\n", err)
		}
	}
	golden.Check(t, "refusals.txt", out.Bytes())
}
