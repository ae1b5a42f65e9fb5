package routing

import (
	"context"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/dispatch"
	"harrierhoist/internal/failover"
	"harrierhoist/internal/testing/fakes"
)

// fake stands in for what the processes hold in common, and for the gate.
type fake struct {
	mu               sync.Mutex
	now              time.Duration
	held             coordination.CachedTable
	changed          chan struct{}
	zoneLost         bool
	countsRegistered bool
	leased           dispatch.Steering // in force now
	fallback         dispatch.Steering
	until            time.Duration
	applied          int
}

func (f *fake) Now() time.Duration { return f.now }

func (f *fake) Cached(string) coordination.CachedTable {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held
}

func (f *fake) Changed() <-chan struct{} { return f.changed }

func (f *fake) RegisterCounters(func(add func(string, uint64)))      { f.countsRegistered = true }
func (f *fake) RegisterExactCounters(func(add func(string, uint64))) {}
func (f *fake) WriteZoneCounts(func(string, uint64))                 {}
func (f *fake) IsZoneLost() bool                                     { return f.zoneLost }

func (f *fake) SetSteering(leased dispatch.Steering, lease time.Duration, fallback dispatch.Steering) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leased, f.fallback, f.until, f.applied = leased, fallback, f.now+lease, f.applied+1
}

// inForce is how the gate acts now.
func (f *fake) inForce() dispatch.Steering {
	if f.now >= f.until {
		return f.fallback
	}
	return f.leased
}

func (f *fake) setTable(t *testing.T, epoch uint64, p *failover.Plan) {
	t.Helper()
	value, err := p.Encode()
	if err != nil {
		t.Fatal(err)
	}
	f.held = coordination.CachedTable{Name: failover.Table, Epoch: epoch, Value: value, LeaseEnd: f.now + 2*time.Second}
}

func newFixture(t *testing.T) (*fake, *Updater, *observer.ObservedLogs) {
	t.Helper()
	core, lines := observer.New(zap.InfoLevel)
	f := &fake{now: time.Minute, changed: make(chan struct{})}
	return f, New(f, f, []string{"a", "b", "c"}, "a", zap.New(core)), lines
}

var testPlan = &failover.Plan{Rows: map[string]map[string]int{"a": {"a": 250, "b": 750}},
	Fallback: map[string]map[string]int{"a": {"b": 100, "c": 50}}}

func (f *fake) wantSteering(t *testing.T, what string, shed float64, weights ...float64) {
	t.Helper()
	got := f.inForce()
	same := got.ShedFraction > shed-1e-9 && got.ShedFraction < shed+1e-9 && len(got.Weights) == len(weights)
	for i := range weights {
		same = same && got.Weights[i] > weights[i]-1e-9 && got.Weights[i] < weights[i]+1e-9
	}
	if !same {
		t.Errorf("%s: %+v, want %v and %v shed", what, got, weights, shed)
	}
}

// A plan holds for its lease and not a moment longer, then the gateway serves near; each is said once.
func TestUpdate_planForItsLeaseThenLocal(t *testing.T) {
	f, u, lines := newFixture(t)
	u.Update()
	f.wantSteering(t, "no plan heard of", 0, 1, 0, 0)
	f.setTable(t, 1, testPlan)
	for range 5 {
		u.Update()
		f.wantSteering(t, "the plan", 0, 0.25, 0.75, 0)
	}
	f.now += 2 * time.Second // and nobody looks
	f.wantSteering(t, "after the lease", 0, 1, 0, 0)
	u.Update()
	u.Update()
	f.wantSteering(t, "after the lease", 0, 1, 0, 0)
	if n := lines.FilterMessageSnippet("no plan in force").Len(); n != 2 || lines.Len() != 4 {
		t.Errorf("lines %v", lines.All())
	}
	if f.applied != 3 {
		t.Errorf("the gate was steered %d times", f.applied)
	}
}

// Without a plan in force and with its own hall lost, a gateway sends to others what the last plan set apart for that.
func TestUpdate_fallbackWithOwnZoneLost(t *testing.T) {
	f, u, _ := newFixture(t)
	f.zoneLost = true
	u.Update()
	f.wantSteering(t, "lost, and never a plan", 0.95, 0.05, 0, 0)
	f.setTable(t, 1, testPlan)
	u.Update()
	f.wantSteering(t, "the plan goes first", 0, 0.25, 0.75, 0)
	f.now += 3 * time.Second
	u.Update()
	f.wantSteering(t, "what was set apart", 0.8, 0.05, 0.1, 0.05)
}

// A value that makes no sense is no plan; a hall that the list does not have sheds its share.
func TestUpdate_malformedPlans(t *testing.T) {
	f, u, lines := newFixture(t)
	f.setTable(t, 1, testPlan)
	f.held.Value = []byte("spoilt")
	u.Update()
	f.wantSteering(t, "spoilt", 0, 1, 0, 0)
	if lines.FilterMessageSnippet("makes no sense").Len() != 1 {
		t.Errorf("lines %v", lines.All())
	}
	f.setTable(t, 2, &failover.Plan{Rows: map[string]map[string]int{"a": {"a": 400, "x": 600}}})
	u.Update()
	f.wantSteering(t, "unknown hall", 0.6, 0.4, 0, 0)
}

func (f *fake) awaitApplied(t *testing.T, times int) {
	t.Helper()
	fakes.Eventually(t, "the gate is steered", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.applied == times
	})
}

// Run takes news at once, and leaves nothing behind.
func TestRun_appliesChanges(t *testing.T) {
	defer goleak.VerifyNone(t)
	f, u, _ := newFixture(t)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); u.Run(ctx) }()
	f.awaitApplied(t, 1)
	f.mu.Lock()
	f.setTable(t, 1, testPlan)
	f.mu.Unlock()
	f.changed <- struct{}{}
	f.awaitApplied(t, 2)
	cancel()
	<-ended
	if !f.countsRegistered {
		t.Error("the witness is not asked")
	}
}
