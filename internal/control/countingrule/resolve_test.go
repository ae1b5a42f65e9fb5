package countingrule

import (
	"errors"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"harrierhoist/policy"
)

func mustResolve(tb testing.TB, rule Rule, settings policy.Settings) *Resolved {
	tb.Helper()
	resolved, err := Resolve(rule, settings)
	if err != nil {
		tb.Fatal(err)
	}
	return resolved
}

// Rule 0 passes requests and plans to the decision module unchanged.
func TestRuleZero_changesNothing(t *testing.T) {
	settings := WithRulePlans(testSettings(), parseConfig(t, completeFile).Rules)
	resolved := mustResolve(t, Rule{}, settings)
	plans := testSettings().Plans
	if !slices.Equal(settings.Plans[:3], plans) || !slices.Equal(WithRulePlans(testSettings(), nil).Plans, plans) {
		t.Fatalf("plans are %+v", settings.Plans)
	}
	clientPlans := ClientSettings(settings).Plans
	if clientPlans[2].Retired || !clientPlans[3].Retired || settings.Plans[3].Retired {
		t.Errorf("clients see %+v", clientPlans)
	}
	rapid.Check(t, func(t *rapid.T) {
		customer, plan := rapid.Uint64().Draw(t, "customer"), rapid.IntRange(0, 2).Draw(t, "plan")
		if got := resolved.Assign(customer, 1, plan); got != (Assignment{Key: customer, Plan: plan, Weight: 1}) {
			t.Fatalf("%+v", got)
		}
	})
}

// Requests share a count if and only if they agree in all parts of the rule's key.
func TestAssign_requestsWithEqualKeyPartsShareACount(t *testing.T) {
	rules := parseConfig(t, completeFile).Rules
	settings := WithRulePlans(testSettings(), rules)
	byClass, byGroup := mustResolve(t, rules[0], settings), mustResolve(t, rules[1], settings)
	look, pay := byClass.Assign(7, 0, 0), byClass.Assign(7, 1, 0)
	if look.Key == pay.Key || pay.Weight != 3 || look.Weight != 1 || settings.Plans[look.Plan].Rate != 3 {
		t.Errorf("assignments by class: %+v, %+v", look, pay)
	}
	if wide := byClass.Assign(7, 0, 1); settings.Plans[wide.Plan].Rate != 100 || wide.Plan == 1 {
		t.Errorf("assignment of a plan that the rule does not name: %+v", wide)
	}
	if out := byClass.Assign(7, 0, 2); out != (Assignment{Key: 7, Plan: 2, Weight: 1}) {
		t.Errorf("assignment of a plan without a rate: %+v", out)
	}
	first, second, alone := byGroup.Assign(1, 0, 0), byGroup.Assign(2, 1, 1), byGroup.Assign(9, 0, 0)
	if first.Key != second.Key || first.Key == alone.Key || !first.Shared || settings.Plans[second.Plan].Burst != 20 ||
		settings.Plans[alone.Plan].Burst != 20 {
		t.Errorf("assignments by group: %+v, %+v, %+v", first, second, alone)
	}
	withoutPlans := Rule{Version: 3, Key: []string{"group"}, Mask: 0xff00, Limits: []Limit{{"*", 1, 1}}}
	for plan := range 3 {
		if mustResolve(t, withoutPlans, settings).Assign(0x1234, 0, plan).Key != 0x1234 {
			t.Errorf("a rule without plans in the settings assigned a key of its own to a request of plan %d", plan)
		}
	}
}

func TestResolve_errorNamesRuleAndPlan(t *testing.T) {
	rule := Rule{Version: 4, Key: []string{"group"}, Mask: 0xff, Limits: []Limit{{"*", 1, 1}}}
	settings := testSettings()
	settings.Plans[1].MaxInFlight = 2
	_, err := Resolve(rule, WithRulePlans(settings, []Rule{rule}))
	var shared *SharedCountError
	if !errors.As(err, &shared) || *shared != (SharedCountError{Version: 4, Plan: "wide"}) {
		t.Errorf("%v, want an error about rule 4 and plan wide", err)
	}
}

// countRecorder is a policy host that records the names of calls to the counter and does nothing
// else.
type countRecorder struct{ countNames []uint64 }

func (h *countRecorder) Attempt(uint32, uint32, time.Duration) {}
func (h *countRecorder) Cancel(uint32, int)                    {}
func (h *countRecorder) Reject(uint32, time.Duration)          {}
func (h *countRecorder) Terminate(uint32)                      {}
func (h *countRecorder) Count(name uint64, _ time.Duration, _ float64) {
	h.countNames = append(h.countNames, name)
}
func (h *countRecorder) CheckHealth(uint32)             {}
func (h *countRecorder) SendPeer(int, []byte)           {}
func (h *countRecorder) WatchEndpoints()                {}
func (h *countRecorder) SetTimer(uint64, time.Duration) {}
func (h *countRecorder) CancelTimer(uint64)             {}
func (h *countRecorder) Log(string)                     {}

// A key must have the same name here as in the decision module. Otherwise a request's units would
// be counted under two names, and the limit could be exceeded.
func TestWindowAt_namesMatchDecisionModule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := testSettings()
		settings.Plans[0].Rate = rapid.Float64Range(0.01, 1000).Draw(t, "rate")
		settings.Plans[0].Burst = rapid.Float64Range(2, 5000).Draw(t, "burst")
		customer := rapid.Uint64().Draw(t, "customer")
		now := time.Duration(rapid.Int64Range(int64(time.Hour), int64(500_000*time.Hour)).Draw(t, "now"))
		host := &countRecorder{}
		module, err := policy.New(settings, 1, host)
		if err != nil {
			t.Fatal(err)
		}
		module.HandleEndpoints(now, policy.ListFull, []policy.Endpoint{{Server: 1, State: policy.Ready}})
		module.HandleRequest(now, policy.Request{
			ID: 1, Customer: customer, GatewayCount: 1, Units: 1,
			Deadline: now + 2*time.Second,
		})
		window := WindowAt(customer, &settings.Plans[0], now)
		if !slices.Equal(host.countNames, []uint64{window.Name}) || now < window.Start {
			t.Fatalf("names %v, window %+v", host.countNames, window)
		}
	})
}
