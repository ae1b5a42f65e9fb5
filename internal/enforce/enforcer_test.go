package enforce

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/countingrule"
	"harrierhoist/internal/dispatch"
	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// fakeNode is what is held in common, as a test says.
type fakeNode struct {
	mu      sync.Mutex
	start   time.Time
	held    coordination.CachedTable
	changed chan struct{}
	report  func(add func(string, uint64))
}

func (n *fakeNode) Now() time.Duration { return time.Since(n.start) }
func (n *fakeNode) Cached(string) coordination.CachedTable {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.held
}
func (n *fakeNode) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}
func (n *fakeNode) RegisterCounters(report func(add func(string, uint64))) { n.report = report }
func (n *fakeNode) RegisterExactCounters(func(add func(string, uint64)))   {}

// setTable has the process hear a table, with a lease that lasts or one that is over.
func (n *fakeNode) setTable(table countingrule.Table, leased bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.held = coordination.CachedTable{Name: countingrule.TableName, Epoch: n.held.Epoch + 1, Value: table.Encode()}
	if leased {
		n.held.LeaseEnd = time.Hour
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// fixture is a gate with a clerk, one server, and a counter that answers at once.
type fixture struct {
	*testing.T
	*fakeNode
	dispatcher *dispatch.Dispatcher
	enforcer   *Enforcer
	mu         sync.Mutex
	totals     map[uint64]float64
	countNames []uint64 // in the order of the calls
	silent     bool     // it answers no more
}

func (f *fixture) addUnits(name uint64, units float64, _ time.Duration, done func(float64, policy.Outcome)) {
	f.mu.Lock()
	f.totals[name] += units
	f.countNames = append(f.countNames, name)
	count, silent := f.totals[name], f.silent
	f.mu.Unlock()
	if silent {
		return
	}
	go done(count, policy.Answered)
}

func (f *fixture) total(name uint64) (units float64, found bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	units, found = f.totals[name]
	return units, found
}

var groupRule = countingrule.Rule{Version: 1, Key: []string{"group"},
	Groups:  []countingrule.Group{{Name: "both", Customers: []uint64{5, 6}}},
	Weights: []countingrule.Weight{{Class: "look", Permille: 2000}},
	Limits:  []countingrule.Limit{{Plan: "*", Rate: 0.1, Burst: 3}}}

func newFixture(t *testing.T, with bool) *fixture {
	t.Helper()
	f := &fixture{T: t, totals: map[uint64]float64{}, fakeNode: &fakeNode{start: time.Now(), changed: make(chan struct{})}}
	settings := policy.Settings{Gateways: 1, Zones: 1, ClockTick: 2 * time.Millisecond, HasCounter: true,
		CountTimeout: time.Second, MaxAttempts: 5,
		MaxRetryAfter: time.Second, RetryAfter: true, ArrivalSlack: 8 * time.Millisecond, ReportsUnits: true,
		Classes: []policy.TrafficClass{{Name: "look", LatencyObjective: time.Second, Timeout: 2 * time.Second, Weight: 1}},
		Plans:   []policy.Plan{{Name: "wide", Rate: 1, Burst: 300}}}
	f.enforcer = New(&countingrule.Config{Rules: []countingrule.Rule{groupRule}}, zap.NewNop())
	var err error
	if f.dispatcher, err = dispatch.New(settings, 7, dispatch.Dependencies{Count: f.addUnits}, zap.NewNop()); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.dispatcher.RunTimers(ctx)
	f.dispatcher.HandleEndpoints(policy.ListFull, []dispatch.Server{{Name: "s-1", Address: "here", Endpoint: policy.Endpoint{State: policy.Ready}}})
	if with {
		if err := f.enforcer.start(f.fakeNode, f.dispatcher); err != nil {
			t.Fatal(err)
		}
		go f.enforcer.loop(ctx)
	}
	return f
}

// serveOne carries a task of a customer to its end and tells whether it was pushed.
func (f *fixture) serveOne(customer uint64) bool {
	request := f.dispatcher.Admit(dispatch.RequestSpec{Customer: customer, Units: 1, GatewayCount: 1, Timeout: time.Second})
	if request.Next().Action != dispatch.Forward {
		return false
	}
	request.ReportResult(dispatch.Result{Outcome: policy.Answered, ActualUnits: 1})
	return true
}

// countName is the counter's for a customer under a version, now.
func (f *fixture) countName(version, customer uint64) uint64 {
	f.enforcer.mu.Lock()
	defer f.enforcer.mu.Unlock()
	assignment := f.enforcer.resolved[version].Assign(customer, 0, 0)
	return countingrule.WindowAt(assignment.Key, &f.enforcer.settings.Plans[assignment.Plan], f.dispatcher.Now()).Name
}

// With rule 0 the counter hears the same names as from a gate without a clerk.
func TestEnforcer_ruleZeroCountsUnderTheSameNames(t *testing.T) {
	plain, with := newFixture(t, false), newFixture(t, true)
	with.setTable(countingrule.Table{}, true)
	for customer := range uint64(20) {
		if !plain.serveOne(customer) || !with.serveOne(customer) {
			t.Fatal("a task within its plan is rejected")
		}
	}
	for _, f := range []*fixture{plain, with} {
		f.mu.Lock()
		defer f.mu.Unlock()
	}
	seen := map[uint64]bool{}
	for _, n := range plain.countNames {
		seen[n] = true
	}
	for customer := range uint64(20) { // a window may have ended between the two
		seen[countingrule.WindowAt(customer, &with.enforcer.settings.Plans[0], with.dispatcher.Now()).Name] = true
	}
	for _, n := range with.countNames {
		if !seen[n] {
			t.Errorf("asked under another name: %x", n)
		}
	}
	if len(with.countNames) < 20 {
		t.Errorf("%d calls", len(with.countNames))
	}
}

// Past the edge a group shares one count, a unit weighs two, and the group's limit holds for all its customers.
func TestEnforcer_newRuleCountsAfterTheSwitch(t *testing.T) {
	f := newFixture(t, true)
	switchAt := f.dispatcher.Now() + time.Second
	f.setTable(countingrule.Table{Phase: countingrule.PhaseScheduled, To: 1, SwitchAt: switchAt, Rules: []countingrule.Rule{groupRule}}, true)
	before := f.countName(0, 5)
	if !f.serveOne(5) || f.dispatcher.Now() > switchAt {
		t.Fatal("before the edge: rejected, or too slow")
	}
	if _, found := f.total(before); !found {
		t.Error("before the edge it is not today's rule that counts")
	}
	fakes.Eventually(t, "the edge", func() bool { return f.dispatcher.Now() > switchAt })
	forwarded := 0
	for i := range uint64(6) {
		if f.serveOne(5 + i%2) {
			forwarded++
		}
	}
	if _, found := f.total(f.countName(1, 6)); !found || forwarded != 1 {
		t.Errorf("%d pushed of a group whose burst holds one and a half, asked under its count: %v", forwarded, found)
	}
}

// Cut off past the end of its lease, a process passes only what both rules allow, charges both, and gives back what the
// other rule did not let through.
func TestEnforcer_bothRulesMustAdmitPastTheLease(t *testing.T) {
	f := newFixture(t, true)
	f.setTable(countingrule.Table{Phase: countingrule.PhaseCanary, To: 1, Rules: []countingrule.Rule{groupRule}}, false)
	name := f.countName(1, 5)
	if !f.serveOne(5) || f.serveOne(5) || f.serveOne(5) {
		t.Error("not one alone is pushed, where the group's count holds one")
	}
	fakes.Eventually(t, "units given back", func() bool { units, _ := f.total(name); return units < 2.5 })
	if units, _ := f.total(name); units < 2 {
		t.Errorf("the count of the new rule holds %v, not the two of the one that was pushed", units)
	}
	f.setTable(countingrule.Table{Phase: countingrule.PhaseCanary, To: 1, Rules: []countingrule.Rule{groupRule}}, true)
	if !f.serveOne(5) {
		t.Error("it has heard again, and still goes by both")
	}
}

// The counter falls silent while both rules must allow: no task waits for it longer than a part of its soft limit, and
// each has its final answer.
func TestEnforcer_silentCounterDelaysNoRequest(t *testing.T) {
	f := newFixture(t, true)
	f.setTable(countingrule.Table{Phase: countingrule.PhaseCanary, To: 1, Rules: []countingrule.Rule{groupRule}}, false)
	f.silent = true
	start := time.Now()
	if first, second := f.serveOne(5), f.serveOne(5); !first || second {
		t.Errorf("pushed %v and %v where the group's limit holds one", first, second)
	}
	if time.Since(start) > 2*time.Second {
		t.Errorf("two tasks took %v", time.Since(start))
	}
}

// A canary asks under names of its own, and rejects nobody: the new rule alone would have.
func TestEnforcer_canaryChangesNoRequest(t *testing.T) {
	f := newFixture(t, true)
	f.setTable(countingrule.Table{Phase: countingrule.PhaseCanary, To: 1, Seed: 9, Rules: []countingrule.Rule{groupRule},
		Canary: countingrule.CanaryConfig{SamplePermille: 1000, CallsPermille: 250}}, true)
	fakes.Eventually(t, "the play", func() bool {
		f.enforcer.mu.Lock()
		defer f.enforcer.mu.Unlock()
		return f.enforcer.shadow != nil
	})
	for range 40 {
		if !f.serveOne(5) {
			t.Fatal("a task is rejected in a canary")
		}
	}
	if _, found := f.total(f.countName(1, 5)); found {
		t.Error("the play asks under a rule's own name")
	}
	fakes.Eventually(t, "counts", func() bool {
		got := map[string]uint64{}
		f.report(func(name string, n uint64) { got[strings.ReplaceAll(name, "\x1f", "/")] = n })
		return got["canary/9/old"] > 0 && got["canary/9/real/0/in"] == 40_000 && got["canary/9/calls"] > 0 &&
			got["canary/9/calls"] <= uint64(len(f.countNames))
	})
}
