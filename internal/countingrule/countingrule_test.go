package countingrule

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"pgregory.net/rapid"

	"harrierhoist/policy"
)

func testSettings() policy.Settings {
	return policy.Settings{Gateways: 4, Zones: 1, ClockTick: time.Millisecond, HasCounter: true,
		CountTimeout: time.Second, MaxAttempts: 3,
		Classes: []policy.TrafficClass{{Name: "look", LatencyObjective: time.Second, Timeout: 2 * time.Second, Weight: 1},
			{Name: "pay", LatencyObjective: time.Second, Timeout: 2 * time.Second, Weight: 2}},
		Plans: []policy.Plan{{Name: "small", Rate: 2, Burst: 10}, {Name: "wide", Rate: 100, Burst: 400},
			{Name: "out", MaxInFlight: 3}}}
}

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

func parseConfig(t testing.TB, text string) *Config {
	t.Helper()
	var config Config
	if err := toml.NewDecoder(strings.NewReader(text)).DisallowUnknownFields().Decode(&config); err != nil {
		t.Fatal(err)
	}
	return &config
}

func TestConfig_checkReportsEveryFault(t *testing.T) {
	if faults := parseConfig(t, completeFile).Check(); len(faults) > 0 {
		t.Fatal(faults)
	}
	for _, c := range []struct{ from, to, want string }{
		{"try = 2", "try = 9", "counting.try must be 0 or the version"},
		{"version = 2", "version = 1", "counting.rule.2.version must be 1 or more"},
		{`["group"]`, `["plan"]`, "counting.rule.2.key must hold customer or group"},
		{`["customer", "lane"]`, `["customer", "hall"]`, "each at most once, not \"hall\""},
		{"[1, 2, 3]", "[1, 2, 1]", "no customer of another, or twice: 1"},
		{`plan = "*", rate = 5`, `plan = "small", rate = 5`, `for plan "*"`},
		{"thousandths = 3000", "thousandths = 0", "thousandths from 1 to 100000"},
		{"rate = 3", "rate = 0.0", "rate and burst above 0"},
		{"sample = 20", "sample = 900", "counting.canary.sample must be from 1 to 80"},
		{"calls = 60", "calls = 40", "counting.canary.calls must be 3 times canary.sample"},
		{"deadline_s = 600", "deadline_s = 5", "counting.canary.deadline_s must be from 120"},
	} {
		text := strings.Replace(completeFile, c.from, c.to, 1)
		if !slices.ContainsFunc(parseConfig(t, text).Check(), func(fault error) bool { return strings.Contains(fault.Error(), c.want) }) {
			t.Errorf("%s: %v, want %q", c.to, parseConfig(t, text).Check(), c.want)
		}
	}
}

// A mask of few bits makes few groups, and a group beside a ceiling of each customer has none to hold.
func TestRule_thatCannotApplyIsRefused(t *testing.T) {
	rule := Rule{Version: 1, Key: []string{"group"}, Mask: 7, Limits: []Limit{{"*", 1, 1}}}
	if faults := rule.validate(); len(faults) != 1 || !strings.Contains(faults[0].Error(), "mask must have 5 bits") {
		t.Errorf("%v", faults)
	}
	settings := testSettings()
	settings.Plans[0].CeilingRate = 1
	if _, err := Resolve(rule, WithRulePlans(settings, []Rule{rule})); err == nil {
		t.Error("a group's count stands beside each customer's ceiling")
	}
}

// With rule 0 a task is what it was to the module, and the plans are.
func TestRuleZero_changesNothing(t *testing.T) {
	rules := parseConfig(t, completeFile).Rules
	settings := WithRulePlans(testSettings(), rules)
	resolved, err := Resolve(Rule{}, settings)
	if err != nil || !slices.Equal(settings.Plans[:3], testSettings().Plans) || !slices.Equal(WithRulePlans(testSettings(), nil).Plans, testSettings().Plans) {
		t.Fatal(err, settings.Plans)
	}
	if clientPlans := ClientSettings(settings).Plans; clientPlans[2].Retired || !clientPlans[3].Retired || settings.Plans[3].Retired {
		t.Errorf("clients see %+v", clientPlans)
	}
	rapid.Check(t, func(t *rapid.T) {
		customer, plan := rapid.Uint64().Draw(t, "customer"), rapid.IntRange(0, 2).Draw(t, "plan")
		if got := resolved.Assign(customer, 1, plan); got != (Assignment{Key: customer, Plan: plan, Weight: 1}) {
			t.Fatalf("%+v", got)
		}
	})
}

// What hangs together by the words of a rule shares a count, and nothing else does.
func TestAssign_keyFollowsTheRule(t *testing.T) {
	rules := parseConfig(t, completeFile).Rules
	settings := WithRulePlans(testSettings(), rules)
	byClass, err := Resolve(rules[0], settings)
	byGroup, errSecond := Resolve(rules[1], settings)
	if err != nil || errSecond != nil {
		t.Fatal(err, errSecond)
	}
	look, pay := byClass.Assign(7, 0, 0), byClass.Assign(7, 1, 0)
	if look.Key == pay.Key || pay.Weight != 3 || look.Weight != 1 || settings.Plans[look.Plan].Rate != 3 {
		t.Errorf("by lane: %+v, %+v", look, pay)
	}
	if wide := byClass.Assign(7, 0, 1); settings.Plans[wide.Plan].Rate != 100 || wide.Plan == 1 {
		t.Errorf("a plan that the rule does not name: %+v", wide)
	}
	if out := byClass.Assign(7, 0, 2); out != (Assignment{Key: 7, Plan: 2, Weight: 1}) {
		t.Errorf("a plan without a rate: %+v", out)
	}
	a, b, alone := byGroup.Assign(1, 0, 0), byGroup.Assign(2, 1, 1), byGroup.Assign(9, 0, 0)
	if a.Key != b.Key || a.Key == alone.Key || !a.Shared || settings.Plans[b.Plan].Burst != 20 ||
		settings.Plans[alone.Plan].Burst != 20 {
		t.Errorf("by group: %+v, %+v, %+v", a, b, alone)
	}
	masked, _ := Resolve(Rule{Version: 3, Key: []string{"group"}, Mask: 0xff00, Limits: []Limit{{"*", 1, 1}}}, settings)
	if masked.Assign(0x1234, 0, 2).Key != 0x1234 {
		t.Error("the rule has no plan here, so it does not count")
	}
}

// countingHost is a host that keeps the counter's names.
type countingHost struct{ countNames []uint64 }

func (h *countingHost) Attempt(uint32, uint32, time.Duration) {}
func (h *countingHost) Cancel(uint32, int)                    {}
func (h *countingHost) Reject(uint32, time.Duration)          {}
func (h *countingHost) Terminate(uint32)                      {}
func (h *countingHost) Count(name uint64, _ time.Duration, _ float64) {
	h.countNames = append(h.countNames, name)
}
func (h *countingHost) CheckHealth(uint32)             {}
func (h *countingHost) SendPeer(int, []byte)           {}
func (h *countingHost) WatchEndpoints()                {}
func (h *countingHost) SetTimer(uint64, time.Duration) {}
func (h *countingHost) CancelTimer(uint64)             {}
func (h *countingHost) Log(string)                     {}

// The second desk asks the very counts that the module asks: else two processes would count one key under two names.
func TestWindowAt_namesAreThePolicyModules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := testSettings()
		settings.Plans[0].Rate = rapid.Float64Range(0.01, 1000).Draw(t, "rate")
		settings.Plans[0].Burst = rapid.Float64Range(2, 5000).Draw(t, "burst")
		customer := rapid.Uint64().Draw(t, "customer")
		now := time.Duration(rapid.Int64Range(int64(time.Hour), int64(500_000*time.Hour)).Draw(t, "now"))
		host := &countingHost{}
		module, err := policy.New(settings, 1, host)
		if err != nil {
			t.Fatal(err)
		}
		module.HandleEndpoints(now, policy.ListFull, []policy.Endpoint{{Server: 1, State: policy.Ready}})
		module.HandleRequest(now, policy.Request{ID: 1, Customer: customer, GatewayCount: 1, Units: 1, Deadline: now + 2*time.Second})
		if window := WindowAt(customer, &settings.Plans[0], now); len(host.countNames) != 1 || host.countNames[0] != window.Name || now < window.Start {
			t.Fatalf("names %v, window %+v", host.countNames, window)
		}
	})
}

func TestCandidateVersions_oneWhenCertainElseAll(t *testing.T) {
	config := &Config{DesiredVersion: 5, Rules: []Rule{{Version: 4}, {Version: 5}}}
	scheduled := Table{Phase: PhaseScheduled, From: 0, To: 1, SwitchAt: 100}
	for i, c := range []struct {
		table       Table
		at          time.Duration
		held, heard bool
		want        []uint64
	}{
		{scheduled, 99, true, true, []uint64{0}},
		{scheduled, 100, true, true, []uint64{1}},
		{scheduled, 99, false, true, []uint64{0}},           // what was committed is not taken back before its edge
		{scheduled, 100, false, true, []uint64{1, 0, 4, 5}}, // undone meanwhile, or followed by one that the file knows
		{Table{Phase: PhaseCanary, To: 5}, 50, false, true, []uint64{0, 4, 5}},
		{Table{Phase: PhaseCanary, To: 5}, 50, true, true, []uint64{0}},
		{Table{}, 50, false, false, []uint64{0, 4, 5}},                                 // started anew: any may hold
		{Table{From: 4, To: 4, Refused: []uint64{5}}, 50, false, true, []uint64{4, 0}}, // operators may go back
		{Table{Phase: PhaseRollback, From: 1, To: 0, SwitchAt: 100, Refused: []uint64{4, 5}}, 100, false, true, []uint64{0, 1}},
	} {
		if got := c.table.CandidateVersions(c.at, c.held, c.heard, config); !slices.Equal(got, c.want) {
			t.Errorf("%d: %v, want %v", i+1, got, c.want)
		}
	}
}

func TestTable_decodesAsEncoded(t *testing.T) {
	a := Table{Phase: PhaseScheduled, From: 1, To: 2, SwitchAt: time.Hour, Rules: parseConfig(t, completeFile).Rules, Refused: []uint64{7},
		TrialState: []byte{1}}
	b, err := Decode(a.Encode())
	if err != nil || b.SwitchAt != a.SwitchAt || !b.Rules[1].Equal(a.Rules[1]) || b.Refused[0] != 7 {
		t.Errorf("%+v, %v", b, err)
	}
	if rule, ok := b.Rule(0); !ok || rule.Version != 0 {
		t.Error("rule 0 needs no entry")
	}
	if _, err := Decode([]byte("spoilt")); err == nil {
		t.Error("took a spoilt value")
	}
}

// Without an answer a process passes its even share of a limit; what may have been added is never taken off again.
func TestAdmission_withoutACounter(t *testing.T) {
	plan := policy.Plan{Rate: 0.1, Burst: 8}
	a, now := NewAdmission(4), time.Hour
	now = WindowAt(7, &plan, now).Start + time.Second // a window's beginning, whatever the hour
	admittedCount := 0
	for range 8 {
		reservation := a.Reserve(Assignment{Key: 7, Weight: 1}, plan, 1, now)
		if admitted, _ := a.HandleCount(reservation, 0, false); admitted {
			admittedCount++
		}
	}
	if admittedCount != 2 {
		t.Errorf("%d of 8 passed for a quarter of the limit", admittedCount)
	}
	reservation := a.Reserve(Assignment{Key: 7, Weight: 3}, plan, 1, now)
	for added, want := range map[ChargeState]float64{ChargeUnknown: 0, Charged: -3, NotCharged: 0} {
		if got := a.Settle(reservation, false, 0, added); got != want {
			t.Errorf("added %d: %v given back, not %v", added, got, want)
		}
	}
	if got := a.Settle(reservation, true, 5, Charged); got != 2 {
		t.Errorf("%v charged beyond the three held, not 2", got)
	}
}
