package countingrule

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"harrierhoist/policy"
)

// testSettings returns settings with a plan that a rule's limit names, one that no limit names, and
// one without a rate.
func testSettings() policy.Settings {
	return policy.Settings{
		Gateways: 4, Zones: 1, ClockTick: time.Millisecond, HasCounter: true, LateCountAfter: time.Second,
		MaxAttempts: 3,
		Classes: []policy.TrafficClass{
			{Name: "look", LatencyObjective: time.Second, Timeout: 2 * time.Second, Weight: 1},
			{Name: "pay", LatencyObjective: time.Second, Timeout: 2 * time.Second, Weight: 2},
		},
		Plans: []policy.Plan{
			{Name: "small", Rate: 2, Burst: 10},
			{Name: "wide", Rate: 100, Burst: 400},
			{Name: "out", MaxInFlight: 3},
		},
	}
}

// completeFile is a valid configuration with rules by class and by group.
const completeFile = `
try = 2
[[rule]]
version = 1
key = ["customer", "lane"]
weight = [{lane = "pay", thousandths = 3000}]
limit = [{plan = "small", rate = 3, burst = 12}]
[[rule]]
version = 2
key = ["group"]
group = [{name = "one", customers = [1, 2, 3]}]
limit = [{plan = "*", rate = 5, burst = 20}]
[canary]
sample = 20
calls = 60
deadline_s = 600
wrong = 50
rejected = 20
let_in = 50
beyond = 50
leave = 100
watch_s = 300
`

func parseConfig(tb testing.TB, text string) *Config {
	tb.Helper()
	var config Config
	if err := toml.NewDecoder(strings.NewReader(text)).DisallowUnknownFields().Decode(&config); err != nil {
		tb.Fatal(err)
	}
	return &config
}

func TestConfig_checkReportsEveryFault(t *testing.T) {
	if faults := parseConfig(t, completeFile).Check(); len(faults) > 0 {
		t.Fatal(faults)
	}
	for _, test := range []struct{ name, from, to, want string }{
		{"desired version unknown", "try = 2", "try = 9", "counting.try must be 0 or the version"},
		{"version twice", "version = 2", "version = 1", "counting.rule.2.version must be 1 or more"},
		{"key without customer or group", `["group"]`, `["plan"]`, "counting.rule.2.key must hold customer or group"},
		{"key part unknown", `["customer", "lane"]`, `["customer", "hall"]`, "each at most once, not \"hall\""},
		{"customer twice in a group", "[1, 2, 3]", "[1, 2, 1]", "no customer of another, or twice: 1"},
		{"limit of one plan for a shared count", `plan = "*", rate = 5`, `plan = "small", rate = 5`, `for plan "*"`},
		{"weight zero", "thousandths = 3000", "thousandths = 0", "thousandths from 1 to 100000"},
		{"rate zero", "rate = 3", "rate = 0.0", "rate and burst above 0"},
		{"sample too large", "sample = 20", "sample = 900", "counting.canary.sample must be from 1 to 80"},
		{"calls too few", "calls = 60", "calls = 40", "counting.canary.calls must be 3 times canary.sample"},
		{"deadline too short", "deadline_s = 600", "deadline_s = 5", "counting.canary.deadline_s must be from 120"},
	} {
		t.Run(test.name, func(t *testing.T) {
			faults := parseConfig(t, strings.Replace(completeFile, test.from, test.to, 1)).Check()
			isWanted := func(fault error) bool { return strings.Contains(fault.Error(), test.want) }
			if !slices.ContainsFunc(faults, isWanted) {
				t.Errorf("%s: faults %v, want one that contains %q", test.to, faults, test.want)
			}
		})
	}
}

// A mask with few bits is rejected because it forms too few groups. A rule with shared counts is
// rejected if a plan has a ceiling for each customer.
func TestRule_inapplicableRuleIsRejected(t *testing.T) {
	rule := Rule{Version: 1, Key: []string{"group"}, Mask: 7, Limits: []Limit{{"*", 1, 1}}}
	if faults := rule.validate(); len(faults) != 1 || !strings.Contains(faults[0].Error(), "mask must have 5 bits") {
		t.Errorf("faults %v, want one about the mask's bits", faults)
	}
	settings := testSettings()
	settings.Plans[0].CeilingRate = 1
	if _, err := Resolve(rule, WithRulePlans(settings, []Rule{rule})); err == nil {
		t.Error("a rule with shared counts was resolved although a plan has a ceiling for each customer")
	}
}
