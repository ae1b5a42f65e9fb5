package steer

import (
	"context"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"harrierhoist/internal/cluster"
	"harrierhoist/internal/failover"
	"harrierhoist/internal/gate"
	"harrierhoist/internal/standin"
)

// both stands in for what the processes hold in common, and for the gate.
type both struct {
	mu      sync.Mutex
	now     time.Duration
	held    cluster.Held
	changed chan struct{}
	lost    bool
	asked   bool
	by      gate.Steering // in force now
	after   gate.Steering
	until   time.Duration
	steered int
}

func (b *both) Now() time.Duration { return b.now }

func (b *both) Held(string) cluster.Held {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

func (b *both) Changed() <-chan struct{} { return b.changed }

func (b *both) Witness(func(add func(string, uint64)))      { b.asked = true }
func (b *both) WitnessExact(func(add func(string, uint64))) {}
func (b *both) Witnessed(func(string, uint64))              {}
func (b *both) HallLost() bool                              { return b.lost }

func (b *both) Steer(by gate.Steering, lease time.Duration, after gate.Steering) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.by, b.after, b.until, b.steered = by, after, b.now+lease, b.steered+1
}

// acts is how the gate acts now.
func (b *both) acts() gate.Steering {
	if b.now >= b.until {
		return b.after
	}
	return b.by
}

func (b *both) hold(t *testing.T, epoch uint64, p *failover.Plan) {
	t.Helper()
	value, err := p.Bytes()
	if err != nil {
		t.Fatal(err)
	}
	b.held = cluster.Held{Table: failover.Table, Epoch: epoch, Value: value, Until: b.now + 2*time.Second}
}

func begin(t *testing.T) (*both, *Steer, *observer.ObservedLogs) {
	t.Helper()
	core, lines := observer.New(zap.InfoLevel)
	b := &both{now: time.Minute, changed: make(chan struct{})}
	return b, New(b, b, []string{"a", "b", "c"}, "a", zap.New(core)), lines
}

var plan = &failover.Plan{Rows: map[string]map[string]int{"a": {"a": 250, "b": 750}},
	Alone: map[string]map[string]int{"a": {"b": 100, "c": 50}}}

func (b *both) want(t *testing.T, what string, shed float64, weights ...float64) {
	t.Helper()
	got := b.acts()
	same := got.Shed > shed-1e-9 && got.Shed < shed+1e-9 && len(got.Weights) == len(weights)
	for i := range weights {
		same = same && got.Weights[i] > weights[i]-1e-9 && got.Weights[i] < weights[i]+1e-9
	}
	if !same {
		t.Errorf("%s: %+v, want %v and %v shed", what, got, weights, shed)
	}
}

// A plan holds for its lease and not a moment longer, then the gateway serves near; each is said once.
func TestPlanForItsLeaseThenNear(t *testing.T) {
	b, s, lines := begin(t)
	s.Step()
	b.want(t, "no plan heard of", 0, 1, 0, 0)
	b.hold(t, 1, plan)
	for range 5 {
		s.Step()
		b.want(t, "the plan", 0, 0.25, 0.75, 0)
	}
	b.now += 2 * time.Second // and nobody looks
	b.want(t, "after the lease", 0, 1, 0, 0)
	s.Step()
	s.Step()
	b.want(t, "after the lease", 0, 1, 0, 0)
	if n := lines.FilterMessageSnippet("no plan in force").Len(); n != 2 || lines.Len() != 4 {
		t.Errorf("lines %v", lines.All())
	}
	if b.steered != 3 {
		t.Errorf("the gate was steered %d times", b.steered)
	}
}

// Without a plan in force and with its own hall lost, a gateway sends to others what the last plan set apart for that.
func TestAloneWithItsHallLost(t *testing.T) {
	b, s, _ := begin(t)
	b.lost = true
	s.Step()
	b.want(t, "lost, and never a plan", 0.95, 0.05, 0, 0)
	b.hold(t, 1, plan)
	s.Step()
	b.want(t, "the plan goes first", 0, 0.25, 0.75, 0)
	b.now += 3 * time.Second
	s.Step()
	b.want(t, "what was set apart", 0.8, 0.05, 0.1, 0.05)
}

// A value that makes no sense is no plan; a hall that the list does not have sheds its share.
func TestBadPlans(t *testing.T) {
	b, s, lines := begin(t)
	b.hold(t, 1, plan)
	b.held.Value = []byte("spoilt")
	s.Step()
	b.want(t, "spoilt", 0, 1, 0, 0)
	if lines.FilterMessageSnippet("makes no sense").Len() != 1 {
		t.Errorf("lines %v", lines.All())
	}
	b.hold(t, 2, &failover.Plan{Rows: map[string]map[string]int{"a": {"a": 400, "x": 600}}})
	s.Step()
	b.want(t, "unknown hall", 0.6, 0.4, 0, 0)
}

func (b *both) eventually(t *testing.T, times int) {
	t.Helper()
	standin.Eventually(t, "the gate is steered", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.steered == times
	})
}

// Run takes news at once, and leaves nothing behind.
func TestRunTakesNews(t *testing.T) {
	defer goleak.VerifyNone(t)
	b, s, _ := begin(t)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); s.Run(ctx) }()
	b.eventually(t, 1)
	b.mu.Lock()
	b.hold(t, 1, plan)
	b.mu.Unlock()
	b.changed <- struct{}{}
	b.eventually(t, 2)
	cancel()
	<-ended
	if !b.asked {
		t.Error("the witness is not asked")
	}
}
