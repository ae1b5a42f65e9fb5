package routing

import (
	"context"
	"math"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"harrierhoist/internal/control/failover"
	"harrierhoist/internal/coordination"
	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/internal/testing/fakes"
)

// fake stands in for the shared tables and for the dispatcher.
type fake struct {
	mu               sync.Mutex
	now              time.Duration
	table            coordination.CachedTable
	changed          chan struct{}
	zoneLost         bool
	countsRegistered bool
	leased           dispatch.Steering
	fallback         dispatch.Steering
	leaseEnd         time.Duration
	applied          int // how often steering was set
}

func (f *fake) Now() time.Duration { return f.now }

func (f *fake) Cached(string) coordination.CachedTable {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table
}

func (f *fake) Changed() <-chan struct{} { return f.changed }

func (f *fake) RegisterCounters(func(add func(string, uint64)))      { f.countsRegistered = true }
func (f *fake) RegisterExactCounters(func(add func(string, uint64))) {}
func (f *fake) WriteZoneCounts(func(string, uint64))                 {}
func (f *fake) IsZoneLost() bool                                     { return f.zoneLost }

func (f *fake) SetSteering(leased dispatch.Steering, lease time.Duration, fallback dispatch.Steering) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leased = leased
	f.fallback = fallback
	f.leaseEnd = f.now + lease
	f.applied++
}

// inForce is how the dispatcher acts now.
func (f *fake) inForce() dispatch.Steering {
	if f.now >= f.leaseEnd {
		return f.fallback
	}
	return f.leased
}

// setTable has a plan in force for two seconds.
func (f *fake) setTable(t *testing.T, epoch uint64, plan *failover.Plan) {
	t.Helper()
	value, err := plan.Encode()
	if err != nil {
		t.Fatal(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table = coordination.CachedTable{
		Name: failover.Table, Epoch: epoch, Value: value, LeaseEnd: f.now + 2*time.Second,
	}
}

func newFixture(t *testing.T) (*fake, *Updater, *observer.ObservedLogs) {
	t.Helper()
	core, lines := observer.New(zap.InfoLevel)
	f := &fake{now: time.Minute, changed: make(chan struct{})}
	return f, New(f, f, []string{"a", "b", "c"}, "a", zap.New(core)), lines
}

var testPlan = &failover.Plan{
	Rows:     map[string]map[string]int{"a": {"a": 250, "b": 750}},
	Fallback: map[string]map[string]int{"a": {"b": 100, "c": 50}},
}

func (f *fake) wantSteering(t *testing.T, when string, shed float64, weights ...float64) {
	t.Helper()
	isClose := func(a, b float64) bool { return math.Abs(a-b) < 1e-9 }
	got := f.inForce()
	if !isClose(got.ShedFraction, shed) || !slices.EqualFunc(got.Weights, weights, isClose) {
		t.Errorf("%s: %+v, want %v and %v shed", when, got, weights, shed)
	}
}

func (f *fake) awaitApplied(t *testing.T, times int) {
	t.Helper()
	fakes.Eventually(t, "steering is set", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.applied == times
	})
}

// TestUpdate_planForItsLeaseThenLocal checks that a gateway acts on a plan until its lease ends and
// then serves locally, without another update, and that each change is logged once.
func TestUpdate_planForItsLeaseThenLocal(t *testing.T) {
	f, u, lines := newFixture(t)
	u.Update()
	f.wantSteering(t, "without a plan", 0, 1, 0, 0)
	f.setTable(t, 1, testPlan)
	for range 5 {
		u.Update()
		f.wantSteering(t, "with the plan", 0, 0.25, 0.75, 0)
	}
	f.now += 2 * time.Second // without an update
	f.wantSteering(t, "after the lease", 0, 1, 0, 0)
	u.Update()
	u.Update()
	f.wantSteering(t, "after the lease", 0, 1, 0, 0)
	if n := lines.FilterMessage("routing: no plan in force, serving locally").Len(); n != 2 || lines.Len() != 4 {
		t.Errorf("lines %v", lines.All())
	}
	if f.applied != 3 {
		t.Errorf("steering was set %d times", f.applied)
	}
}

// TestUpdate_fallbackWithOwnZoneLost checks that a gateway without a plan in force, and with its
// own zone lost, sends to other zones what the last plan reserved for that.
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
	f.wantSteering(t, "what was reserved", 0.8, 0.05, 0.1, 0.05)
}

// TestUpdate_malformedPlan checks that a malformed value is no plan, and that the next plan is
// followed.
func TestUpdate_malformedPlan(t *testing.T) {
	f, u, lines := newFixture(t)
	f.setTable(t, 1, testPlan)
	f.table.Value = []byte("malformed")
	u.Update()
	f.wantSteering(t, "malformed", 0, 1, 0, 0)
	if lines.FilterMessage("routing: malformed plan, serving locally").Len() != 1 {
		t.Errorf("lines %v", lines.All())
	}
	f.setTable(t, 2, testPlan)
	u.Update()
	f.wantSteering(t, "the next plan", 0, 0.25, 0.75, 0)
}

// TestUpdate_unknownZone checks that the share of a zone that the endpoint list does not have is
// shed.
func TestUpdate_unknownZone(t *testing.T) {
	f, u, _ := newFixture(t)
	f.setTable(t, 2, &failover.Plan{Rows: map[string]map[string]int{"a": {"a": 400, "x": 600}}})
	u.Update()
	f.wantSteering(t, "unknown zone", 0.6, 0.4, 0, 0)
}

// TestRun_appliesChanges checks that Run applies changes at once, and leaves no goroutine behind.
func TestRun_appliesChanges(t *testing.T) {
	defer goleak.VerifyNone(t)
	f, u, _ := newFixture(t)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); u.Run(ctx) }()
	f.awaitApplied(t, 1)
	f.setTable(t, 1, testPlan)
	f.changed <- struct{}{}
	f.awaitApplied(t, 2)
	cancel()
	<-ended
	if !f.countsRegistered {
		t.Error("the counts are not registered")
	}
}
