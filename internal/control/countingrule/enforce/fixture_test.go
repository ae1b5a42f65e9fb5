package enforce

import (
	"context"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/internal/coordination"
	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/policy"
)

// fakeNode is a coordination client that caches the table that a test sets.
type fakeNode struct {
	mu             sync.Mutex
	start          time.Time
	cached         coordination.CachedTable
	changed        chan struct{}
	reportCounters func(add func(string, uint64))
}

func (n *fakeNode) Now() time.Duration { return time.Since(n.start) }

func (n *fakeNode) Cached(string) coordination.CachedTable {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cached
}

func (n *fakeNode) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

func (n *fakeNode) RegisterCounters(report func(add func(string, uint64))) { n.reportCounters = report }
func (n *fakeNode) RegisterExactCounters(func(add func(string, uint64)))   {}

// setTable makes the node receive a table, with a valid or an expired lease.
func (n *fakeNode) setTable(table countingrule.Table, leased bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cached = coordination.CachedTable{
		Name: countingrule.TableName, Epoch: n.cached.Epoch + 1,
		Value: table.Encode(),
	}
	if leased {
		n.cached.LeaseEnd = time.Hour
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// fakeCounter is a counter that answers immediately, or never once it is silent.
type fakeCounter struct {
	mu     sync.Mutex
	totals map[uint64]float64
	names  []uint64 // names of all calls, in order
	silent bool     // calls are not answered
}

func (c *fakeCounter) call(name uint64, units float64, _ time.Duration, done func(float64, policy.Outcome)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.totals[name] += units
	c.names = append(c.names, name)
	if total := c.totals[name]; !c.silent {
		go done(total, policy.Answered)
	}
}

func (c *fakeCounter) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

// total returns the units charged to a name, and whether the name was ever called.
func (c *fakeCounter) total(name uint64) (units float64, found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	units, found = c.totals[name]
	return units, found
}

// calledNames returns the names of all calls, in order.
func (c *fakeCounter) calledNames() []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]uint64(nil), c.names...)
}

// groupRule makes two customers share a count whose burst covers one request.
var groupRule = countingrule.Rule{
	Version: 1,
	Key:     []string{"group"},
	Groups:  []countingrule.Group{{Name: "both", Customers: []uint64{5, 6}}},
	Weights: []countingrule.Weight{{Class: "look", Permille: 2000}},
	Limits:  []countingrule.Limit{{Plan: "*", Rate: 0.1, Burst: 3}},
}

// groupTable returns a table with groupRule as the new rule.
func groupTable(phase countingrule.Phase) countingrule.Table {
	return countingrule.Table{Phase: phase, ToVersion: groupRule.Version, Rules: []countingrule.Rule{groupRule}}
}

// fixture has a dispatcher with one server and a counter, and an enforcer that newStartedFixture
// starts.
type fixture struct {
	node       *fakeNode
	counter    *fakeCounter
	dispatcher *dispatch.Dispatcher
	enforcer   *Enforcer
	logs       *observer.ObservedLogs
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	core, logs := observer.New(zap.InfoLevel)
	f := &fixture{
		node:     &fakeNode{start: time.Now(), changed: make(chan struct{})},
		counter:  &fakeCounter{totals: map[uint64]float64{}},
		enforcer: New(&countingrule.Config{Rules: []countingrule.Rule{groupRule}}, 0, zap.New(core)),
		logs:     logs,
	}
	settings := policy.Settings{
		Gateways: 1, Zones: 1, ClockTick: 2 * time.Millisecond, HasCounter: true, LateCountAfter: time.Second,
		MaxAttempts: 5, MaxRetryAfter: time.Second, SendsRetryAfter: true, ArrivalSlack: 8 * time.Millisecond,
		ReportsUnits: true,
		Classes: []policy.TrafficClass{
			{Name: "look", LatencyObjective: time.Second, Timeout: 2 * time.Second, Weight: 1},
		},
		Plans: []policy.Plan{{Name: "wide", Rate: 1, Burst: 300}},
	}
	var err error
	f.dispatcher, err = dispatch.New(settings, 7, dispatch.Dependencies{Count: f.counter.call}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	runUntilCleanup(t, f.dispatcher.RunTimers)
	f.dispatcher.HandleEndpoints(policy.ListFull, []dispatch.Server{
		{Name: "s-1", Address: "here", Endpoint: policy.Endpoint{State: policy.Ready}},
	})
	return f
}

// runUntilCleanup runs a function in a goroutine and stops it when the test ends.
func runUntilCleanup(t *testing.T, loop func(context.Context)) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.WithoutCancel(t.Context()))
	var running sync.WaitGroup
	running.Go(func() { loop(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
}

func newStartedFixture(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(t)
	if err := f.enforcer.start(f.node, f.dispatcher); err != nil {
		t.Fatal(err)
	}
	runUntilCleanup(t, f.enforcer.loop)
	return f
}

// serveRequest completes one request of a customer and reports whether it was forwarded.
func (f *fixture) serveRequest(customer uint64) bool {
	request := f.dispatcher.Admit(dispatch.RequestSpec{
		Customer: customer, Units: 1, GatewayCount: 1, Timeout: time.Second,
	})
	if request.Next().Action != dispatch.Forward {
		return false
	}
	request.ReportResult(dispatch.Result{Outcome: policy.Answered, ActualUnits: 1})
	return true
}

// countName returns the current name at the counter for a customer under a version.
func (f *fixture) countName(version, customer uint64) uint64 {
	f.enforcer.mu.Lock()
	defer f.enforcer.mu.Unlock()
	assignment := f.enforcer.rules.resolved[version].Assign(customer, 0, 0)
	plan := f.enforcer.rules.settings.Plans[assignment.Plan]
	return countingrule.WindowAt(assignment.Key, &plan, f.dispatcher.Now()).Name
}

// customerCountName returns the current name of a customer's count under rule 0, without using the
// enforcer's rules.
func (f *fixture) customerCountName(customer uint64) uint64 {
	f.enforcer.mu.Lock()
	defer f.enforcer.mu.Unlock()
	return countingrule.WindowAt(customer, &f.enforcer.rules.settings.Plans[0], f.dispatcher.Now()).Name
}

// observations returns the counters that the node would report, with slashes in their names.
func (f *fixture) observations() map[string]uint64 {
	counts := map[string]uint64{}
	f.node.reportCounters(func(name string, n uint64) { counts[withSlashes(name)] = n })
	return counts
}
