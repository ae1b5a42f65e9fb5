package simulation

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"harrierhoist/internal/lab/baseline"
	"harrierhoist/internal/lab/invariants"
	"harrierhoist/internal/lab/scenario"
	"harrierhoist/policy"
)

// small is a world in which everything is soon seen.
func smallScenario(troubles ...scenario.Fault) *scenario.Scenario {
	spec, err := scenario.Parse("small", nil)
	if err != nil {
		panic(err)
	}
	spec.Length = scenario.Span(12 * time.Second)
	spec.Gateways.Count, spec.Gateways.Zones = 6, 2
	spec.Servers.Count, spec.Servers.RackSize = 16, 4
	spec.Load.Rate = 250
	spec.Counter.Rate = 2000
	spec.Faults = troubles
	return spec
}

func span(d time.Duration) scenario.Span { return scenario.Span(d) }

// play plays a world and fails the test if it cannot be.
func mustRun(t *testing.T, spec *scenario.Scenario, seed uint64, made baseline.Constructor) *Result {
	t.Helper()
	r, err := Run(spec, seed, made)
	if err != nil {
		t.Fatal(err)
	}
	r.ComputePercentiles()
	return r
}

// faulty is a host or a gateway with one fault: it passes everything on but what it spoils.
type faultyPolicy struct {
	baseline.Policy
	policy.Host
	changeEndpoint func(l *policy.Endpoint)
	dropEvery      int                        // every so many final answers are not given
	repeated       map[uint32]bool            // tasks whose push is sent once more after it may have run
	servers        map[uint32]uint32          // where tasks were pushed
	deadlines      map[uint32]time.Duration   // until when
	effects        map[uint32]policy.Effect   // their effects
	settings       policy.Settings            // as handed to it
	answers        int                        // final answers so far
	everListed     map[uint32]policy.Endpoint // servers that it never takes off its list
	repeats        bool                       // it repeats
}

func (f *faultyPolicy) Reject(task uint32, away time.Duration) {
	if f.answers++; f.dropEvery > 0 && f.answers%f.dropEvery == 0 {
		return
	}
	f.Host.Reject(task, away)
}

func (f *faultyPolicy) Attempt(task, server uint32, until time.Duration) {
	f.servers[task], f.deadlines[task] = server, until
	f.Host.Attempt(task, server, until)
}

func (f *faultyPolicy) HandleRequest(now time.Duration, t policy.Request) {
	f.effects[t.ID] = f.settings.Classes[t.Class].Effect
	f.Policy.HandleRequest(now, t)
}

func (f *faultyPolicy) HandleEndpoints(now time.Duration, kind policy.ListKind, list []policy.Endpoint) {
	for i := range list {
		if f.changeEndpoint != nil {
			f.changeEndpoint(&list[i])
		}
	}
	if f.everListed != nil {
		for _, l := range list {
			f.everListed[l.Server] = l
		}
		list = nil
		for _, n := range slices.Sorted(maps.Keys(f.everListed)) {
			list = append(list, f.everListed[n])
		}
	}
	f.Policy.HandleEndpoints(now, kind, list)
}

func (f *faultyPolicy) HandleAttemptResult(now time.Duration, p policy.AttemptResult) {
	maybe := p.Outcome == policy.TimedOut || p.Outcome == policy.Reset || p.Outcome == policy.Errored
	if f.repeats && maybe && f.effects[p.RequestID] == policy.NonIdempotent && !f.repeated[p.RequestID] && now < f.deadlines[p.RequestID] {
		f.repeated[p.RequestID] = true
		f.Host.Attempt(p.RequestID, f.servers[p.RequestID], f.deadlines[p.RequestID]) // the module does not hear of it: the first end is not told
		return
	}
	f.Policy.HandleAttemptResult(now, p)
}

// broken makes the module with one fault.
func withFault(spoil func(f *faultyPolicy, site *policy.Settings)) baseline.Constructor {
	return func(site policy.Settings, seed int64, host policy.Host) (baseline.Policy, error) {
		f := &faultyPolicy{
			Host: host, repeated: map[uint32]bool{}, servers: map[uint32]uint32{}, deadlines: map[uint32]time.Duration{},
			effects: map[uint32]policy.Effect{}, settings: site,
		}
		spoil(f, &site)
		g, err := policy.New(site, seed, f)
		f.Policy = g
		return policyOnly{f}, err
	}
}

// decider hides the host's half of a faulty gateway.
type policyOnly struct{ baseline.Policy }

func TestChecker_findsEachViolation(t *testing.T) {
	deploy := scenario.Fault{Kind: "deploy", Start: span(2 * time.Second), Duration: span(3 * time.Second), Fraction: 0.6}
	resets := scenario.Fault{Kind: "resets", Start: span(time.Second), Duration: span(9 * time.Second), Fraction: 0.1}
	change := scenario.Fault{Kind: "mass_change", Start: span(2 * time.Second), Fraction: 0.7}
	stories := []struct {
		rule  invariants.Rule
		name  string
		world *scenario.Scenario
		spoil func(f *faultyPolicy, site *policy.Settings)
	}{
		{invariants.RequestLost, "forgets one final answer in twenty", smallScenario(), func(f *faultyPolicy, _ *policy.Settings) { f.dropEvery = 20 }},
		{invariants.EffectRepeated, "sends what may have run once more", smallScenario(resets), func(f *faultyPolicy, _ *policy.Settings) { f.repeats = true }},
		{invariants.DrainViolated, "goes on pushing to servers that drain", smallScenario(deploy), func(f *faultyPolicy, _ *policy.Settings) { f.everListed = map[uint32]policy.Endpoint{} }},
		{invariants.WarmUpOverloaded, "takes cold servers for warm", smallScenario(change), func(f *faultyPolicy, _ *policy.Settings) {
			f.changeEndpoint = func(l *policy.Endpoint) { l.StartedAt = 0 }
		}},
		{invariants.CeilingExceeded, "knows no ceilings", smallScenario(), func(_ *faultyPolicy, site *policy.Settings) {
			for i := range site.Plans {
				site.Plans[i].CeilingRate, site.Plans[i].Rate, site.Plans[i].Burst = 0, 0, 0
			}
		}},
	}
	for _, s := range stories {
		t.Run(s.name, func(t *testing.T) {
			spec := s.world
			spec.Load.Rate *= 1.5
			if s.rule == invariants.WarmUpOverloaded {
				spec.Servers.WarmUpStart, spec.Gateways.Count, spec.Load.Rate = 0.05, 60, 600 // each gateway has one push to spare
			}
			if s.rule == invariants.CeilingExceeded {
				spec.Load.Rate = 400 // customers far beyond their plans
				spec.Plans[1].Customers = 4
			}
			sound := mustRun(t, spec, 3, baseline.Module)
			if sound.ViolationCounts != [invariants.RuleCount]int{} {
				t.Fatalf("the sound gateway breaks %v: %v", sound.ViolationCounts, sound.Violations)
			}
			got := mustRun(t, spec, 3, withFault(s.spoil))
			if got.ViolationCounts[s.rule] == 0 {
				t.Errorf("not caught: %v", got.ViolationCounts)
			}
			for rule, n := range got.ViolationCounts {
				if invariants.Rule(rule) != s.rule && n > 0 {
					t.Errorf("%q is told as well, %d times: %v", invariants.Rule(rule), n, got.Violations[0])
				}
			}
			for _, b := range got.Violations {
				if b.Rule == s.rule && (b.At == 0 || b.Description == "") {
					t.Errorf("a breach without its time or words: %+v", b)
				}
			}
		})
	}
}

func TestModule_keepsTheRulesUnderEachFault(t *testing.T) {
	for _, kind := range scenario.FaultKindNames() {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			spec := smallScenario(scenario.Fault{
				Kind: kind, Start: span(2 * time.Second), Duration: span(4 * time.Second), Fraction: 0.3, Magnitude: 2, Zone: 1,
				Class: "paid-confirm", Plan: "office",
			})
			r := mustRun(t, spec, 7, baseline.Module)
			if r.ViolationCounts != [invariants.RuleCount]int{} {
				t.Errorf("rules broken: %v, first %v", r.ViolationCounts, r.Violations[0])
			}
			if r.Service() < 0.3 {
				t.Errorf("service %.2f", r.Service())
			}
		})
	}
}

func TestRun_sameSeedGivesTheSameBytes(t *testing.T) {
	spec := smallScenario(scenario.Fault{Kind: "kill", Start: span(2 * time.Second), Duration: span(time.Second), Fraction: 0.5},
		scenario.Fault{Kind: "deploy", Start: span(3 * time.Second), Duration: span(3 * time.Second), Fraction: 0.5},
		scenario.Fault{Kind: "counter_silent", Start: span(5 * time.Second), Duration: span(3 * time.Second)})
	spec.Gateways.Subset = true
	spec.Load.DeclaredDeviation, spec.Load.OneTimeShare = 0.4, 0.1
	texts := make([]string, 6)
	var wait sync.WaitGroup
	for i := range texts {
		wait.Add(1)
		go func() {
			defer wait.Done()
			r, err := Run(spec, uint64(i%2), baseline.Module)
			if err != nil {
				t.Error(err)
				return
			}
			r.ComputePercentiles()
			text, _ := json.Marshal(r)
			texts[i] = string(text)
		}()
	}
	wait.Wait()
	for i := range texts {
		if texts[i] != texts[i%2] || texts[i] == "" {
			t.Errorf("play %d differs", i)
		}
	}
	if texts[0] == texts[1] {
		t.Error("two seeds give the same play")
	}
}
