package clerk

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/cluster"
	"harrierhoist/internal/counting"
	"harrierhoist/internal/gate"
	"harrierhoist/internal/standin"
	"harrierhoist/policy"
)

// commons is what is held in common, as a test says.
type commons struct {
	mu      sync.Mutex
	start   time.Time
	held    cluster.Held
	changed chan struct{}
	counts  func(add func(string, uint64))
}

func (c *commons) Now() time.Duration { return time.Since(c.start) }
func (c *commons) Held(string) cluster.Held {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held
}
func (c *commons) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}
func (c *commons) Witness(counts func(add func(string, uint64))) { c.counts = counts }
func (c *commons) WitnessExact(func(add func(string, uint64)))   {}

// hold has the process hear a table, with a lease that lasts or one that is over.
func (c *commons) hold(t counting.Table, lasts bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held = cluster.Held{Table: counting.Name, Epoch: c.held.Epoch + 1, Value: t.Encode()}
	if lasts {
		c.held.Until = time.Hour
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// story is a gate with a clerk, one server, and a counter that answers at once.
type story struct {
	*testing.T
	*commons
	g     *gate.Gate
	clerk *Clerk
	mu    sync.Mutex
	count map[uint64]float64
	names []uint64 // in the order of the calls
	mute  bool     // it answers no more
}

func (s *story) add(name uint64, units float64, _ time.Duration, told func(float64, policy.Outcome)) {
	s.mu.Lock()
	s.count[name] += units
	s.names = append(s.names, name)
	total, mute := s.count[name], s.mute
	s.mu.Unlock()
	if mute {
		return
	}
	go told(total, policy.Answered)
}

func (s *story) asked(name uint64) (units float64, ever bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	units, ever = s.count[name]
	return units, ever
}

var group = counting.Rule{Version: 1, Key: []string{"group"},
	Groups:  []counting.Group{{Name: "both", Customers: []uint64{5, 6}}},
	Weights: []counting.Weight{{Lane: "look", Thousandths: 2000}},
	Limits:  []counting.Limit{{Plan: "*", Rate: 0.1, Burst: 3}}}

func begin(t *testing.T, with bool) *story {
	t.Helper()
	s := &story{T: t, count: map[uint64]float64{}, commons: &commons{start: time.Now(), changed: make(chan struct{})}}
	site := policy.Deployment{Gateways: 1, Halls: 1, Tick: 2 * time.Millisecond, HasCounter: true,
		CountLimit: time.Second, PushLimit: 5,
		MaxRetryAfter: time.Second, RetryAfter: true, AnswerSlack: 8 * time.Millisecond, Settles: true,
		Lanes: []policy.Lane{{Name: "look", SoftLimit: time.Second, Patience: 2 * time.Second, Gain: 1}},
		Plans: []policy.Plan{{Name: "wide", Rate: 1, Burst: 300}}}
	s.clerk = New(&counting.Terms{Rules: []counting.Rule{group}}, zap.NewNop())
	var err error
	if s.g, err = gate.New(site, 7, gate.Outside{Count: s.add}, zap.NewNop()); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.g.Tick(ctx)
	s.g.List(policy.ListWhole, []gate.Server{{Name: "s-1", Dial: "here", Listed: policy.Listed{Stage: policy.Ready}}})
	if with {
		if err := s.clerk.start(s.commons, s.g); err != nil {
			t.Fatal(err)
		}
		go s.clerk.run(ctx)
	}
	return s
}

// one carries a task of a customer to its end and tells whether it was pushed.
func (s *story) one(customer uint64) bool {
	e := s.g.Admit(gate.Task{Customer: customer, Units: 1, Width: 1, Patience: time.Second})
	if e.Pick().Verdict != gate.Push {
		return false
	}
	e.Report(gate.Result{Outcome: policy.Answered, Billed: 1})
	return true
}

// name is the counter's for a customer under a version, now.
func (s *story) name(version, customer uint64) uint64 {
	s.clerk.mu.Lock()
	defer s.clerk.mu.Unlock()
	c := s.clerk.fitted[version].Count(customer, 0, 0)
	return counting.At(c.Key, &s.clerk.site.Plans[c.Plan], s.g.Now()).Name
}

// With rule 0 the counter hears the same names as from a gate without a clerk.
func TestRuleNoughtAsksUnderTheSameNames(t *testing.T) {
	plain, with := begin(t, false), begin(t, true)
	with.hold(counting.Table{}, true)
	for customer := range uint64(20) {
		if !plain.one(customer) || !with.one(customer) {
			t.Fatal("a task within its plan is rejected")
		}
	}
	for _, s := range []*story{plain, with} {
		s.mu.Lock()
		defer s.mu.Unlock()
	}
	seen := map[uint64]bool{}
	for _, n := range plain.names {
		seen[n] = true
	}
	for customer := range uint64(20) { // a window may have ended between the two
		seen[counting.At(customer, &with.clerk.site.Plans[0], with.g.Now()).Name] = true
	}
	for _, n := range with.names {
		if !seen[n] {
			t.Errorf("asked under another name: %x", n)
		}
	}
	if len(with.names) < 20 {
		t.Errorf("%d calls", len(with.names))
	}
}

// Past the edge a group shares one count, a unit weighs two, and the group's limit holds for all its customers.
func TestAfterTheEdgeTasksCountUnderTheNewRule(t *testing.T) {
	s := begin(t, true)
	edge := s.g.Now() + time.Second
	s.hold(counting.Table{Phase: counting.Named, To: 1, Edge: edge, Rules: []counting.Rule{group}}, true)
	before := s.name(0, 5)
	if !s.one(5) || s.g.Now() > edge {
		t.Fatal("before the edge: rejected, or too slow")
	}
	if _, ever := s.asked(before); !ever {
		t.Error("before the edge it is not today's rule that counts")
	}
	standin.Eventually(t, "the edge", func() bool { return s.g.Now() > edge })
	pushed := 0
	for i := range uint64(6) {
		if s.one(5 + i%2) {
			pushed++
		}
	}
	if _, ever := s.asked(s.name(1, 6)); !ever || pushed != 1 {
		t.Errorf("%d pushed of a group whose burst holds one and a half, asked under its count: %v", pushed, ever)
	}
}

// Cut off past the end of its lease, a process passes only what both rules allow, charges both, and gives back what the
// other rule did not let through.
func TestPastTheLeaseBothRulesMustAllow(t *testing.T) {
	s := begin(t, true)
	s.hold(counting.Table{Phase: counting.Canary, To: 1, Rules: []counting.Rule{group}}, false)
	name := s.name(1, 5)
	if !s.one(5) || s.one(5) || s.one(5) {
		t.Error("not one alone is pushed, where the group's count holds one")
	}
	standin.Eventually(t, "units given back", func() bool { units, _ := s.asked(name); return units < 2.5 })
	if units, _ := s.asked(name); units < 2 {
		t.Errorf("the count of the new rule holds %v, not the two of the one that was pushed", units)
	}
	s.hold(counting.Table{Phase: counting.Canary, To: 1, Rules: []counting.Rule{group}}, true)
	if !s.one(5) {
		t.Error("it has heard again, and still goes by both")
	}
}

// The counter falls silent while both rules must allow: no task waits for it longer than a part of its soft limit, and
// each has its final answer.
func TestSilentCounterHoldsNoTaskUp(t *testing.T) {
	s := begin(t, true)
	s.hold(counting.Table{Phase: counting.Canary, To: 1, Rules: []counting.Rule{group}}, false)
	s.mute = true
	at := time.Now()
	if first, second := s.one(5), s.one(5); !first || second {
		t.Errorf("pushed %v and %v where the group's limit holds one", first, second)
	}
	if time.Since(at) > 2*time.Second {
		t.Errorf("two tasks took %v", time.Since(at))
	}
}

// A canary asks under names of its own, and rejects nobody: the new rule alone would have.
func TestCanaryTouchesNoTask(t *testing.T) {
	s := begin(t, true)
	s.hold(counting.Table{Phase: counting.Canary, To: 1, Seed: 9, Rules: []counting.Rule{group},
		Trial: counting.Trial{Sample: 1000, Calls: 250}}, true)
	standin.Eventually(t, "the play", func() bool {
		s.clerk.mu.Lock()
		defer s.clerk.mu.Unlock()
		return s.clerk.play != nil
	})
	for range 40 {
		if !s.one(5) {
			t.Fatal("a task is rejected in a canary")
		}
	}
	if _, ever := s.asked(s.name(1, 5)); ever {
		t.Error("the play asks under a rule's own name")
	}
	standin.Eventually(t, "counts", func() bool {
		got := map[string]uint64{}
		s.counts(func(name string, n uint64) { got[strings.ReplaceAll(name, "\x1f", "/")] = n })
		return got["canary/9/old"] > 0 && got["canary/9/real/0/in"] == 40_000 && got["canary/9/calls"] > 0 &&
			got["canary/9/calls"] <= uint64(len(s.names))
	})
}
