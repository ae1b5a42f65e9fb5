package gate

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/witness"
	"harrierhoist/policy"
)

// halls is a gate in the first of two halls with a server each, and a witness.
func halls(t *testing.T) *story {
	t.Helper()
	s := begin(t)
	site := policy.Deployment{Gateways: 1, Halls: 2, PushLimit: 5, RetryAfter: true, MaxRetryAfter: 2 * time.Second,
		Tick:  2 * time.Millisecond,
		Lanes: []policy.Lane{{Name: "look", SoftLimit: 600 * time.Millisecond, Patience: 2 * time.Second}},
		Plans: []policy.Plan{{Name: "free"}}}
	var err error
	w := witness.New([]string{"a", "b"}, 0, &site)
	if s.g, err = New(site, 7, Outside{Witness: w}, zap.NewNop()); err != nil {
		t.Fatal(err)
	}
	s.g.List(policy.ListWhole, []Server{{Name: "s-a", Dial: "a", Listed: policy.Listed{Stage: policy.Ready}},
		{Name: "s-b", Dial: "b", Listed: policy.Listed{Stage: policy.Ready, Hall: 1}}})
	return s
}

// goes wants the next tasks pushed to a hall.
func (s *story) goes(to string) {
	s.Helper()
	for range 5 {
		e := s.admit(0, 0, time.Second)
		if got := s.want(e, Push).Server.Dial; got != to {
			s.Errorf("pushed to %s, not to %s", got, to)
		}
		e.Report(Result{Outcome: policy.Answered})
	}
}

// The gate goes by a plan for as long as its lease stands: with the first task after it, it does not, though nobody told it.
func TestPlanEndsWithItsLease(t *testing.T) {
	s := halls(t)
	s.g.Steer(Steering{Weights: []float64{0, 1}}, time.Hour, Steering{Weights: []float64{1, 0}})
	s.goes("b")
	s.g.enter()
	s.g.until = s.g.now() // an hour later
	s.g.leave()
	s.goes("a")
	s.g.Steer(Steering{Weights: []float64{0, 1}}, 0, Steering{Weights: []float64{1, 0}}) // a lease that is over
	s.goes("a")
}

// What fits in no hall is rejected at once, before any push; it is told as demand, but a client's repeat is not.
func TestWhatFitsNowhereIsRejected(t *testing.T) {
	s := halls(t)
	s.g.Steer(Steering{}, 0, Steering{Weights: []float64{1, 0}, Shed: 1})
	if c := s.want(s.admit(0, 0, time.Second), Reject); c.Away != 150*time.Millisecond {
		t.Errorf("told to stay away %v", c.Away)
	}
	e := s.g.Admit(Task{Customer: 5, Units: 2, Width: 1, Patience: time.Second, Repeat: true})
	s.want(e, Reject)
	e.Gone()
	counts := map[string]uint64{}
	s.g.Witnessed(func(name string, n uint64) { counts[name] = n })
	if counts[witness.Let("a")] != 2000 || counts[witness.Came("a")] != 2000 || len(s.g.errands) != 0 {
		t.Errorf("counts %v, %d errands", counts, len(s.g.errands))
	}
}

// The gate tells its witness of pushes by hall, and whether its own hall is lost.
func TestWitnessIsTold(t *testing.T) {
	s := halls(t)
	s.g.Steer(Steering{}, 0, Steering{Weights: []float64{0, 1}})
	s.goes("b")
	again := s.g.Admit(Task{Customer: 5, Units: 2, Width: 1, Patience: time.Second, Repeat: true}) // no demand, but a push
	s.want(again, Push)
	again.Gone()
	counts := map[string]uint64{}
	s.g.Witnessed(func(name string, n uint64) { counts[name] = n })
	if counts[witness.Pushed("a", "b")] != 12000 || counts[witness.Let("a")] != 10000 || counts[witness.Ended("a", "b", "well")] != 5 || s.g.HallLost() {
		t.Errorf("counts %v", counts)
	}
}

// A task that its quota lets in and that no server can take is demand, though it was never pushed; one beyond its quota
// is none, nor is a repeat.
func TestTurnedAwayForRoomIsDemand(t *testing.T) {
	for _, c := range []struct {
		what   string
		units  float64
		repeat bool
		let    uint64
	}{
		{"no room", 2, false, 2000},
		{"no room for a repeat", 2, true, 0},
		{"beyond the quota", 9, false, 0},
	} {
		t.Run(c.what, func(t *testing.T) {
			t.Parallel()
			s := halls(t)
			site := s.g.site
			site.Plans[0].Rate, site.Plans[0].Burst = 0.01, 4
			site.Lanes[0].SoftLimit = 50 * time.Millisecond
			if _, err := s.g.Reshape(site); err != nil {
				t.Fatal(err)
			}
			s.g.List(policy.ListWhole, nil)
			ctx, cancel := context.WithCancel(context.Background())
			t.Cleanup(cancel)
			go s.g.Tick(ctx)
			s.want(s.g.Admit(Task{Customer: 5, Units: c.units, Width: 1, Patience: time.Second, Repeat: c.repeat}), Reject)
			counts := map[string]uint64{}
			s.g.Witnessed(func(name string, n uint64) { counts[name] = n })
			if got := counts[witness.Let("a")]; got != c.let {
				t.Errorf("%d thousandths of units of demand, not %d", got, c.let)
			}
		})
	}
}
