package simulation

import (
	"encoding/json"
	"sync"
	"testing"
	"time"

	"harrierhoist/internal/lab/baseline"
	"harrierhoist/internal/lab/invariants"
	"harrierhoist/internal/lab/scenario"
	"harrierhoist/policy"
)

var noViolations [invariants.RuleCount]int

// violation is a module with a fault that violates a rule.
type violation struct {
	rule     invariants.Rule
	name     string
	spec     *scenario.Scenario
	prepare  func(spec *scenario.Scenario)
	addFault func(f *faultyPolicy, settings *policy.Settings)
}

// violations has a module with a fault for each rule.
func violations() []violation {
	deploy := scenario.Fault{
		Kind: scenario.RollingDeploy, Start: span(2 * time.Second), Duration: span(3 * time.Second), Fraction: 0.6,
	}
	resets := scenario.Fault{
		Kind: scenario.ConnectionResets, Start: span(time.Second), Duration: span(9 * time.Second), Fraction: 0.1,
	}
	replacement := scenario.Fault{Kind: scenario.MassReplacement, Start: span(2 * time.Second), Fraction: 0.7}
	return []violation{
		{
			rule: invariants.RequestLost, name: "drops one rejection in twenty", spec: smallScenario(),
			addFault: func(f *faultyPolicy, _ *policy.Settings) { f.dropEvery = 20 },
		},
		{
			rule: invariants.EffectRepeated, name: "repeats attempts that may have run", spec: smallScenario(resets),
			addFault: func(f *faultyPolicy, _ *policy.Settings) { f.repeats = true },
		},
		{
			rule: invariants.DrainViolated, name: "goes on sending to draining servers", spec: smallScenario(deploy),
			addFault: func(f *faultyPolicy, _ *policy.Settings) { f.everListed = map[uint32]policy.Endpoint{} },
		},
		{
			rule: invariants.WarmUpOverloaded, name: "ignores warm-up", spec: smallScenario(replacement),
			prepare: func(spec *scenario.Scenario) { // each gateway has one attempt to spare
				spec.Servers.WarmUpStart, spec.Gateways.Count, spec.Load.Rate = 0.05, 60, 600
			},
			addFault: func(f *faultyPolicy, _ *policy.Settings) {
				f.changeEndpoint = func(endpoint *policy.Endpoint) { endpoint.StartedAt = 0 }
			},
		},
		{
			rule: invariants.CeilingExceeded, name: "has no ceilings", spec: smallScenario(),
			prepare: func(spec *scenario.Scenario) { // customers far beyond their plans
				spec.Load.Rate = 400
				spec.Plans[1].Customers = 4
			},
			addFault: func(_ *faultyPolicy, settings *policy.Settings) {
				for i := range settings.Plans {
					settings.Plans[i].CeilingRate, settings.Plans[i].Rate, settings.Plans[i].Burst = 0, 0, 0
				}
			},
		},
	}
}

// TestChecker_findsEachViolation runs the module with a fault for each rule: that rule is found to
// be broken, and no other.
func TestChecker_findsEachViolation(t *testing.T) {
	for _, test := range violations() {
		t.Run(test.name, func(t *testing.T) {
			test.spec.Load.Rate *= 1.5
			if test.prepare != nil {
				test.prepare(test.spec)
			}
			if sound := mustRun(t, test.spec, 3, baseline.Module); sound.ViolationCounts != noViolations {
				t.Fatalf("the module without the fault violates %v: %v", sound.ViolationCounts, sound.Violations)
			}
			requireOnly(t, test.rule, mustRun(t, test.spec, 3, withFault(test.addFault)))
		})
	}
}

// requireOnly checks that a result has violations of one rule and of no other.
func requireOnly(t *testing.T, want invariants.Rule, r *Result) {
	t.Helper()
	if r.ViolationCounts[want] == 0 {
		t.Errorf("%q is not found to be violated: %v", want, r.ViolationCounts)
	}
	for n, count := range r.ViolationCounts {
		if rule := invariants.Rule(n); rule != want && count > 0 {
			t.Errorf("%q is violated as well, %d times: %v", rule, count, r.Violations[0])
		}
	}
	for _, v := range r.Violations {
		if v.Rule == want && (v.At == 0 || v.Description == "") {
			t.Errorf("a violation without its time or description: %+v", v)
		}
	}
}

func TestModule_keepsTheRulesUnderEachFault(t *testing.T) {
	for _, kind := range scenario.FaultKindNames() {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			spec := smallScenario(scenario.Fault{
				Kind: kind, Start: span(2 * time.Second), Duration: span(4 * time.Second),
				Fraction: 0.3, Magnitude: 2, Zone: 1, Class: "paid-confirm", Plan: "office",
			})
			r := mustRun(t, spec, 7, baseline.Module)
			if r.ViolationCounts != noViolations {
				t.Errorf("violations by rule: %v, first %v", r.ViolationCounts, r.Violations[0])
			}
			if r.Service() < 0.3 {
				t.Errorf("service %.2f, want 0.3 at least", r.Service())
			}
		})
	}
}

// TestRun_sameSeedGivesTheSameBytes runs two seeds, several times each and side by side.
func TestRun_sameSeedGivesTheSameBytes(t *testing.T) {
	spec := smallScenario(
		scenario.Fault{
			Kind: scenario.GatewayKill, Start: span(2 * time.Second), Duration: span(time.Second),
			Fraction: 0.5,
		},
		scenario.Fault{
			Kind: scenario.RollingDeploy, Start: span(3 * time.Second), Duration: span(3 * time.Second),
			Fraction: 0.5,
		},
		scenario.Fault{Kind: scenario.CounterSilence, Start: span(5 * time.Second), Duration: span(3 * time.Second)})
	spec.Gateways.Subset = true
	spec.Load.DeclaredDeviation, spec.Load.OneTimeShare = 0.4, 0.1
	texts := make([]string, 6)
	var running sync.WaitGroup
	for i := range texts {
		running.Add(1)
		go func() {
			defer running.Done()
			r, err := Run(spec, uint64(i%2), baseline.Module)
			if err != nil {
				t.Error(err)
				return
			}
			r.ComputePercentiles()
			text, err := json.Marshal(r)
			if err != nil {
				t.Error(err)
			}
			texts[i] = string(text)
		}()
	}
	running.Wait()
	for i := range texts {
		if texts[i] != texts[i%2] || texts[i] == "" {
			t.Errorf("run %d of seed %d differs", i/2, i%2)
		}
	}
	if texts[0] == texts[1] {
		t.Error("two seeds give the same run")
	}
}

func TestRun_unusualScenarios(t *testing.T) {
	for name, change := range map[string]func(spec *scenario.Scenario){
		"one gateway":             func(spec *scenario.Scenario) { spec.Gateways.Count, spec.Gateways.Zones = 1, 1 },
		"one server":              func(spec *scenario.Scenario) { spec.Servers.Count = 1 },
		"no counter":              func(spec *scenario.Scenario) { spec.Counter.Rate = 0 },
		"hardly any load":         func(spec *scenario.Scenario) { spec.Load.Rate = 0.5 },
		"more zones than servers": func(spec *scenario.Scenario) { spec.Gateways.Zones, spec.Servers.Count = 8, 3 },
		"no warm-up time":         func(spec *scenario.Scenario) { spec.Servers.WarmUpTime = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			spec := smallScenario(scenario.Fault{
				Kind: scenario.RollingDeploy, Start: span(2 * time.Second), Duration: span(2 * time.Second),
				Fraction: 0.5,
			})
			change(spec)
			r := mustRun(t, spec, 2, baseline.Module)
			if r.Offered == 0 || r.InTime == 0 {
				t.Errorf("%d requests offered, %d served in time", r.Offered, r.InTime)
			}
		})
	}
}
