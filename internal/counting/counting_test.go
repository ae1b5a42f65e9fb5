package counting

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"pgregory.net/rapid"

	"harrierhoist/policy"
)

func site() policy.Deployment {
	return policy.Deployment{Gateways: 4, Halls: 1, Tick: time.Millisecond, HasCounter: true,
		CountLimit: time.Second, PushLimit: 3,
		Lanes: []policy.Lane{{Name: "look", SoftLimit: time.Second, Patience: 2 * time.Second, Gain: 1},
			{Name: "pay", SoftLimit: time.Second, Patience: 2 * time.Second, Gain: 2}},
		Plans: []policy.Plan{{Name: "small", Rate: 2, Burst: 10}, {Name: "wide", Rate: 100, Burst: 400},
			{Name: "out", AtOnce: 3}}}
}

const whole = `
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

func read(t testing.TB, text string) *Terms {
	t.Helper()
	var terms Terms
	if err := toml.NewDecoder(strings.NewReader(text)).DisallowUnknownFields().Decode(&terms); err != nil {
		t.Fatal(err)
	}
	return &terms
}

func TestTermsSayAllThatIsWrongWithThem(t *testing.T) {
	if e := read(t, whole).Check(); len(e) > 0 {
		t.Fatal(e)
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
		text := strings.Replace(whole, c.from, c.to, 1)
		if !slices.ContainsFunc(read(t, text).Check(), func(e error) bool { return strings.Contains(e.Error(), c.want) }) {
			t.Errorf("%s: %v, want %q", c.to, read(t, text).Check(), c.want)
		}
	}
}

// A mask of few bits makes few groups, and a group beside a ceiling of each customer has none to hold.
func TestRulesThatCannotHold(t *testing.T) {
	r := Rule{Version: 1, Key: []string{"group"}, Mask: 7, Limits: []Limit{{"*", 1, 1}}}
	if e := r.check(); len(e) != 1 || !strings.Contains(e[0].Error(), "mask must have 5 bits") {
		t.Errorf("%v", e)
	}
	d := site()
	d.Plans[0].CeilingRate = 1
	if _, err := Fit(r, Plans(d, []Rule{r})); err == nil {
		t.Error("a group's count stands beside each customer's ceiling")
	}
}

// With rule 0 a task is what it was to the module, and the plans are.
func TestRuleNoughtChangesNothing(t *testing.T) {
	rules := read(t, whole).Rules
	d := Plans(site(), rules)
	f, err := Fit(Rule{}, d)
	if err != nil || !slices.Equal(d.Plans[:3], site().Plans) || !slices.Equal(Plans(site(), nil).Plans, site().Plans) {
		t.Fatal(err, d.Plans)
	}
	if face := Face(d).Plans; face[2].Closed || !face[3].Closed || d.Plans[3].Closed {
		t.Errorf("clients see %+v", face)
	}
	rapid.Check(t, func(t *rapid.T) {
		customer, plan := rapid.Uint64().Draw(t, "customer"), rapid.IntRange(0, 2).Draw(t, "plan")
		if got := f.Count(customer, 1, plan); got != (Count{Key: customer, Plan: plan, Weight: 1}) {
			t.Fatalf("%+v", got)
		}
	})
}

// What hangs together by the words of a rule shares a count, and nothing else does.
func TestKeyIsWhatTheRuleSays(t *testing.T) {
	rules := read(t, whole).Rules
	d := Plans(site(), rules)
	one, err := Fit(rules[0], d)
	two, err2 := Fit(rules[1], d)
	if err != nil || err2 != nil {
		t.Fatal(err, err2)
	}
	look, pay := one.Count(7, 0, 0), one.Count(7, 1, 0)
	if look.Key == pay.Key || pay.Weight != 3 || look.Weight != 1 || d.Plans[look.Plan].Rate != 3 {
		t.Errorf("by lane: %+v, %+v", look, pay)
	}
	if wide := one.Count(7, 0, 1); d.Plans[wide.Plan].Rate != 100 || wide.Plan == 1 {
		t.Errorf("a plan that the rule does not name: %+v", wide)
	}
	if out := one.Count(7, 0, 2); out != (Count{Key: 7, Plan: 2, Weight: 1}) {
		t.Errorf("a plan without a rate: %+v", out)
	}
	a, b, alone := two.Count(1, 0, 0), two.Count(2, 1, 1), two.Count(9, 0, 0)
	if a.Key != b.Key || a.Key == alone.Key || !a.Shared || d.Plans[b.Plan].Burst != 20 ||
		d.Plans[alone.Plan].Burst != 20 {
		t.Errorf("by group: %+v, %+v, %+v", a, b, alone)
	}
	masked, _ := Fit(Rule{Version: 3, Key: []string{"group"}, Mask: 0xff00, Limits: []Limit{{"*", 1, 1}}}, d)
	if masked.Count(0x1234, 0, 2).Key != 0x1234 {
		t.Error("the rule has no plan here, so it does not count")
	}
}

// asks is a host that keeps the counter's names.
type asks struct{ names []uint64 }

func (a *asks) Push(uint32, uint32, time.Duration)            {}
func (a *asks) Cancel(uint32, int)                            {}
func (a *asks) Reject(uint32, time.Duration)                  {}
func (a *asks) Terminate(uint32)                              {}
func (a *asks) Count(name uint64, _ time.Duration, _ float64) { a.names = append(a.names, name) }
func (a *asks) Probe(uint32)                                  {}
func (a *asks) Tell(int, []byte)                              {}
func (a *asks) Watch()                                        {}
func (a *asks) Wake(uint64, time.Duration)                    {}
func (a *asks) Forget(uint64)                                 {}
func (a *asks) Log(string)                                    {}

// The second desk asks the very counts that the module asks: else two processes would count one key under two names.
func TestNamesAreTheModulesOwn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := site()
		d.Plans[0].Rate = rapid.Float64Range(0.01, 1000).Draw(t, "rate")
		d.Plans[0].Burst = rapid.Float64Range(2, 5000).Draw(t, "burst")
		customer := rapid.Uint64().Draw(t, "customer")
		now := time.Duration(rapid.Int64Range(int64(time.Hour), int64(500_000*time.Hour)).Draw(t, "now"))
		host := &asks{}
		g, err := policy.New(d, 1, host)
		if err != nil {
			t.Fatal(err)
		}
		g.List(now, policy.ListWhole, []policy.Listed{{Server: 1, Stage: policy.Ready}})
		g.Take(now, policy.Task{ID: 1, Customer: customer, Width: 1, Units: 1, Expires: now + 2*time.Second})
		if w := At(customer, &d.Plans[0], now); len(host.names) != 1 || host.names[0] != w.Name || now < w.Start {
			t.Fatalf("names %v, window %+v", host.names, w)
		}
	})
}

func TestStandingIsCertainOrAll(t *testing.T) {
	file := &Terms{Try: 5, Rules: []Rule{{Version: 4}, {Version: 5}}}
	named := Table{Phase: Named, From: 0, To: 1, Edge: 100}
	for i, c := range []struct {
		table       Table
		at          time.Duration
		held, heard bool
		want        []uint64
	}{
		{named, 99, true, true, []uint64{0}},
		{named, 100, true, true, []uint64{1}},
		{named, 99, false, true, []uint64{0}},           // what was committed is not taken back before its edge
		{named, 100, false, true, []uint64{1, 0, 4, 5}}, // undone meanwhile, or followed by one that the file knows
		{Table{Phase: Canary, To: 5}, 50, false, true, []uint64{0, 4, 5}},
		{Table{Phase: Canary, To: 5}, 50, true, true, []uint64{0}},
		{Table{}, 50, false, false, []uint64{0, 4, 5}},                                 // started anew: any may hold
		{Table{From: 4, To: 4, Refused: []uint64{5}}, 50, false, true, []uint64{4, 0}}, // operators may go back
		{Table{Phase: Back, From: 1, To: 0, Edge: 100, Refused: []uint64{4, 5}}, 100, false, true, []uint64{0, 1}},
	} {
		if got := c.table.Standing(c.at, c.held, c.heard, file); !slices.Equal(got, c.want) {
			t.Errorf("%d: %v, want %v", i+1, got, c.want)
		}
	}
}

func TestTableIsReadAsWritten(t *testing.T) {
	a := Table{Phase: Named, From: 1, To: 2, Edge: time.Hour, Rules: read(t, whole).Rules, Refused: []uint64{7},
		Test: []byte{1}}
	b, err := Decode(a.Encode())
	if err != nil || b.Edge != a.Edge || !b.Rules[1].Same(a.Rules[1]) || b.Refused[0] != 7 {
		t.Errorf("%+v, %v", b, err)
	}
	if r, ok := b.Rule(0); !ok || r.Version != 0 {
		t.Error("rule 0 needs no entry")
	}
	if _, err := Decode([]byte("spoilt")); err == nil {
		t.Error("took a spoilt value")
	}
}

// Without an answer a process passes its even share of a limit; what may have been added is never taken off again.
func TestSecondDeskWithoutACounter(t *testing.T) {
	plan := policy.Plan{Rate: 0.1, Burst: 8}
	s, at := NewSecond(4), time.Hour
	at = At(7, &plan, at).Start + time.Second // a window's beginning, whatever the hour
	passed := 0
	for range 8 {
		h := s.Ask(Count{Key: 7, Weight: 1}, plan, 1, at)
		if pass, _ := s.Told(h, 0, false); pass {
			passed++
		}
	}
	if passed != 2 {
		t.Errorf("%d of 8 passed for a quarter of the limit", passed)
	}
	h := s.Ask(Count{Key: 7, Weight: 3}, plan, 1, at)
	for added, want := range map[Added]float64{Unknown: 0, Yes: -3, No: 0} {
		if got := s.Settle(h, false, 0, added); got != want {
			t.Errorf("added %d: %v given back, not %v", added, got, want)
		}
	}
	if got := s.Settle(h, true, 5, Yes); got != 2 {
		t.Errorf("%v charged beyond the three held, not 2", got)
	}
}
