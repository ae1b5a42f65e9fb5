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

// fake implements both coordination.Client and Dispatcher.
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
	applied          int // number of calls of SetSteering
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

// inForce returns the steering that applies at the current time.
func (f *fake) inForce() dispatch.Steering {
	if f.now >= f.leaseEnd {
		return f.fallback
	}
	return f.leased
}

// setTable stores a plan in the table, with a lease of two seconds.
func (f *fake) setTable(t *testing.T, epoch uint64, plan *failover.Plan) {
	t.Helper()
	value, err := plan.Encode()
	if err != nil {
		t.Fatal(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table = coordination.CachedTable{
		Name: failover.TableName, Epoch: epoch, Value: value, LeaseEnd: f.now + 2*time.Second,
	}
}

func newFixture(t *testing.T) (*fake, *Updater, *observer.ObservedLogs) {
	t.Helper()
	core, lines := observer.New(zap.InfoLevel)
	f := &fake{now: time.Minute, changed: make(chan struct{})}
	return f, New(f, f, []string{"a", "b", "c"}, "a", zap.New(core)), lines
}

var testPlan = &failover.Plan{
	Rows:         map[string]map[string]int{"a": {"a": 250, "b": 750}},
	FallbackRows: map[string]map[string]int{"a": {"b": 100, "c": 50}},
}

func (f *fake) wantSteering(t *testing.T, when string, shed float64, weights ...float64) {
	t.Helper()
	isClose := func(a, b float64) bool { return math.Abs(a-b) < 1e-9 }
	got := f.inForce()
	if !isClose(got.ShedFraction, shed) || !slices.EqualFunc(got.Weights, weights, isClose) {
		t.Errorf("%s: steering %+v, want weights %v and %v shed", when, got, weights, shed)
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

// TestUpdate_usesPlanUntilLeaseEnds checks that a gateway acts on a plan until its lease ends, that
// it then serves locally without another update, and that each change is logged once.
func TestUpdate_usesPlanUntilLeaseEnds(t *testing.T) {
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
		t.Errorf("unexpected log lines: %v", lines.All())
	}
	if f.applied != 3 {
		t.Errorf("steering was set %d times, want 3", f.applied)
	}
}

// TestUpdate_fallbackWithOwnZoneLost checks that a gateway whose own zone is lost uses the fallback
// shares of the last plan if no plan is in force.
func TestUpdate_fallbackWithOwnZoneLost(t *testing.T) {
	f, u, _ := newFixture(t)
	f.zoneLost = true
	u.Update()
	f.wantSteering(t, "zone lost, before the first plan", 0.95, 0.05, 0, 0)
	f.setTable(t, 1, testPlan)
	u.Update()
	f.wantSteering(t, "zone lost, plan in force", 0, 0.25, 0.75, 0)
	f.now += 3 * time.Second
	u.Update()
	f.wantSteering(t, "zone lost, after the lease", 0.8, 0.05, 0.1, 0.05)
}

// TestUpdate_malformedPlan checks that a malformed value counts as no plan, and that the next plan
// is applied.
func TestUpdate_malformedPlan(t *testing.T) {
	f, u, lines := newFixture(t)
	f.setTable(t, 1, testPlan)
	f.table.Value = []byte("malformed")
	u.Update()
	f.wantSteering(t, "with a malformed plan", 0, 1, 0, 0)
	if lines.FilterMessage("routing: malformed plan, serving locally").Len() != 1 {
		t.Errorf("unexpected log lines: %v", lines.All())
	}
	f.setTable(t, 2, testPlan)
	u.Update()
	f.wantSteering(t, "with the next plan", 0, 0.25, 0.75, 0)
}

// TestUpdate_unknownZone checks that the share of a zone that the endpoint list does not contain is
// shed.
func TestUpdate_unknownZone(t *testing.T) {
	f, u, _ := newFixture(t)
	f.setTable(t, 2, &failover.Plan{Rows: map[string]map[string]int{"a": {"a": 400, "x": 600}}})
	u.Update()
	f.wantSteering(t, "with an unknown zone", 0.6, 0.4, 0, 0)
}

// TestRun_appliesChanges checks that Run sets the steering at its start and after a change of the
// table, and that it leaves no goroutine behind.
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
