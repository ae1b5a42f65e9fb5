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
func small(troubles ...scenario.Trouble) *scenario.World {
	w, err := scenario.Parse("small", nil)
	if err != nil {
		panic(err)
	}
	w.Length = scenario.Span(12 * time.Second)
	w.Gateways.Count, w.Gateways.Halls = 6, 2
	w.Servers.Count, w.Servers.Cell = 16, 4
	w.Load.Rate = 250
	w.Counter.Rate = 2000
	w.Troubles = troubles
	return w
}

func span(d time.Duration) scenario.Span { return scenario.Span(d) }

// play plays a world and fails the test if it cannot be.
func play(t *testing.T, w *scenario.World, seed uint64, made baseline.Make) *Result {
	t.Helper()
	r, err := Play(w, seed, made)
	if err != nil {
		t.Fatal(err)
	}
	r.Percentiles()
	return r
}

// faulty is a host or a gateway with one fault: it passes everything on but what it spoils.
type faulty struct {
	baseline.Decider
	policy.Host
	list func(l *policy.Endpoint)
	lose int                        // every so many final answers are not given
	twin map[uint32]bool            // tasks whose push is sent once more after it may have run
	at   map[uint32]uint32          // where tasks were pushed
	till map[uint32]time.Duration   // until when
	lane map[uint32]policy.Effect   // their effects
	site policy.Settings            // as handed to it
	n    int                        // final answers so far
	seen map[uint32]policy.Endpoint // servers that it never takes off its list
	both bool                       // it repeats
}

func (f *faulty) Reject(task uint32, away time.Duration) {
	if f.n++; f.lose > 0 && f.n%f.lose == 0 {
		return
	}
	f.Host.Reject(task, away)
}

func (f *faulty) Attempt(task, server uint32, until time.Duration) {
	f.at[task], f.till[task] = server, until
	f.Host.Attempt(task, server, until)
}

func (f *faulty) HandleRequest(now time.Duration, t policy.Request) {
	f.lane[t.ID] = f.site.Classes[t.Class].Effect
	f.Decider.HandleRequest(now, t)
}

func (f *faulty) HandleEndpoints(now time.Duration, kind policy.ListKind, list []policy.Endpoint) {
	for i := range list {
		if f.list != nil {
			f.list(&list[i])
		}
	}
	if f.seen != nil {
		for _, l := range list {
			f.seen[l.Server] = l
		}
		list = nil
		for _, n := range slices.Sorted(maps.Keys(f.seen)) {
			list = append(list, f.seen[n])
		}
	}
	f.Decider.HandleEndpoints(now, kind, list)
}

func (f *faulty) HandleAttemptResult(now time.Duration, p policy.AttemptResult) {
	maybe := p.Outcome == policy.TimedOut || p.Outcome == policy.Reset || p.Outcome == policy.Errored
	if f.both && maybe && f.lane[p.RequestID] == policy.NonIdempotent && !f.twin[p.RequestID] && now < f.till[p.RequestID] {
		f.twin[p.RequestID] = true
		f.Host.Attempt(p.RequestID, f.at[p.RequestID], f.till[p.RequestID]) // the module does not hear of it: the first end is not told
		return
	}
	f.Decider.HandleAttemptResult(now, p)
}

// broken makes the module with one fault.
func broken(spoil func(f *faulty, site *policy.Settings)) baseline.Make {
	return func(site policy.Settings, seed int64, host policy.Host) (baseline.Decider, error) {
		f := &faulty{
			Host: host, twin: map[uint32]bool{}, at: map[uint32]uint32{}, till: map[uint32]time.Duration{},
			lane: map[uint32]policy.Effect{}, site: site,
		}
		spoil(f, &site)
		g, err := policy.New(site, seed, f)
		f.Decider = g
		return decider{f}, err
	}
}

// decider hides the host's half of a faulty gateway.
type decider struct{ baseline.Decider }

func TestTheLedgerCatchesEachRule(t *testing.T) {
	deploy := scenario.Trouble{Kind: "deploy", At: span(2 * time.Second), For: span(3 * time.Second), Part: 0.6}
	resets := scenario.Trouble{Kind: "resets", At: span(time.Second), For: span(9 * time.Second), Part: 0.1}
	change := scenario.Trouble{Kind: "mass_change", At: span(2 * time.Second), Part: 0.7}
	stories := []struct {
		rule  invariants.Rule
		name  string
		world *scenario.World
		spoil func(f *faulty, site *policy.Settings)
	}{
		{invariants.Lost, "forgets one final answer in twenty", small(), func(f *faulty, _ *policy.Settings) { f.lose = 20 }},
		{invariants.Twice, "sends what may have run once more", small(resets), func(f *faulty, _ *policy.Settings) { f.both = true }},
		{invariants.Drain, "goes on pushing to servers that drain", small(deploy), func(f *faulty, _ *policy.Settings) { f.seen = map[uint32]policy.Endpoint{} }},
		{invariants.Cold, "takes cold servers for warm", small(change), func(f *faulty, _ *policy.Settings) {
			f.list = func(l *policy.Endpoint) { l.StartedAt = 0 }
		}},
		{invariants.Ceiling, "knows no ceilings", small(), func(_ *faulty, site *policy.Settings) {
			for i := range site.Plans {
				site.Plans[i].CeilingRate, site.Plans[i].Rate, site.Plans[i].Burst = 0, 0, 0
			}
		}},
	}
	for _, s := range stories {
		t.Run(s.name, func(t *testing.T) {
			w := s.world
			w.Load.Rate *= 1.5
			if s.rule == invariants.Cold {
				w.Servers.ColdFrom, w.Gateways.Count, w.Load.Rate = 0.05, 60, 600 // each gateway has one push to spare
			}
			if s.rule == invariants.Ceiling {
				w.Load.Rate = 400 // customers far beyond their plans
				w.Plans[1].Customers = 4
			}
			sound := play(t, w, 3, baseline.Module)
			if sound.Broken != [invariants.Rules]int{} {
				t.Fatalf("the sound gateway breaks %v: %v", sound.Broken, sound.Breaches)
			}
			got := play(t, w, 3, broken(s.spoil))
			if got.Broken[s.rule] == 0 {
				t.Errorf("not caught: %v", got.Broken)
			}
			for rule, n := range got.Broken {
				if invariants.Rule(rule) != s.rule && n > 0 {
					t.Errorf("%q is told as well, %d times: %v", invariants.Rule(rule), n, got.Breaches[0])
				}
			}
			for _, b := range got.Breaches {
				if b.Rule == s.rule && (b.At == 0 || b.What == "") {
					t.Errorf("a breach without its time or words: %+v", b)
				}
			}
		})
	}
}

func TestTheModuleKeepsTheRulesUnderEveryTrouble(t *testing.T) {
	for _, kind := range scenario.KindNames() {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			w := small(scenario.Trouble{
				Kind: kind, At: span(2 * time.Second), For: span(4 * time.Second), Part: 0.3, Size: 2, Hall: 1,
				Lane: "paid-confirm", Plan: "office",
			})
			r := play(t, w, 7, baseline.Module)
			if r.Broken != [invariants.Rules]int{} {
				t.Errorf("rules broken: %v, first %v", r.Broken, r.Breaches[0])
			}
			if r.Service() < 0.3 {
				t.Errorf("service %.2f", r.Service())
			}
		})
	}
}

func TestTheSameSeedGivesTheSameBytes(t *testing.T) {
	w := small(scenario.Trouble{Kind: "kill", At: span(2 * time.Second), For: span(time.Second), Part: 0.5},
		scenario.Trouble{Kind: "deploy", At: span(3 * time.Second), For: span(3 * time.Second), Part: 0.5},
		scenario.Trouble{Kind: "counter_silent", At: span(5 * time.Second), For: span(3 * time.Second)})
	w.Gateways.Pool = true
	w.Load.Told, w.Load.Once = 0.4, 0.1
	texts := make([]string, 6)
	var wait sync.WaitGroup
	for i := range texts {
		wait.Add(1)
		go func() {
			defer wait.Done()
			r, err := Play(w, uint64(i%2), baseline.Module)
			if err != nil {
				t.Error(err)
				return
			}
			r.Percentiles()
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
