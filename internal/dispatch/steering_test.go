package dispatch

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/zonestats"
	"harrierhoist/policy"
)

// newTwoZoneFixture is a gate in the first of two halls with a server each, and a witness.
func newTwoZoneFixture(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(t)
	settings := policy.Settings{Gateways: 1, Zones: 2, MaxAttempts: 5, RetryAfter: true, MaxRetryAfter: 2 * time.Second,
		ClockTick: 2 * time.Millisecond,
		Classes:   []policy.TrafficClass{{Name: "look", LatencyObjective: 600 * time.Millisecond, Timeout: 2 * time.Second}},
		Plans:     []policy.Plan{{Name: "free"}}}
	var err error
	recorder := zonestats.New([]string{"a", "b"}, 0, &settings)
	if f.dispatcher, err = New(settings, 7, Dependencies{Recorder: recorder}, zap.NewNop()); err != nil {
		t.Fatal(err)
	}
	f.dispatcher.HandleEndpoints(policy.ListFull, []Server{{Name: "s-a", Address: "a", Endpoint: policy.Endpoint{State: policy.Ready}},
		{Name: "s-b", Address: "b", Endpoint: policy.Endpoint{State: policy.Ready, Zone: 1}}})
	return f
}

// expectZone wants the next tasks pushed to a hall.
func (f *fixture) expectZone(address string) {
	f.Helper()
	for range 5 {
		r := f.admit(0, 0, time.Second)
		if got := f.expectAction(r, Forward).Server.Address; got != address {
			f.Errorf("pushed to %s, not to %s", got, address)
		}
		r.ReportResult(Result{Outcome: policy.Answered})
	}
}

// The gate goes by a plan for as long as its lease stands: with the first task after it, it does not, though nobody told it.
func TestSteering_endsWithItsLease(t *testing.T) {
	f := newTwoZoneFixture(t)
	f.dispatcher.SetSteering(Steering{Weights: []float64{0, 1}}, time.Hour, Steering{Weights: []float64{1, 0}})
	f.expectZone("b")
	f.dispatcher.lock()
	f.dispatcher.steeringExpires = f.dispatcher.now() // an hour later
	f.dispatcher.unlock()
	f.expectZone("a")
	f.dispatcher.SetSteering(Steering{Weights: []float64{0, 1}}, 0, Steering{Weights: []float64{1, 0}}) // a lease that is over
	f.expectZone("a")
}

// What fits in no hall is rejected at once, before any push; it is told as demand, but a client's repeat is not.
func TestSteering_shedRequestIsRejectedAtOnce(t *testing.T) {
	f := newTwoZoneFixture(t)
	f.dispatcher.SetSteering(Steering{}, 0, Steering{Weights: []float64{1, 0}, ShedFraction: 1})
	if decision := f.expectAction(f.admit(0, 0, time.Second), Reject); decision.RetryAfter != 150*time.Millisecond {
		t.Errorf("told to stay away %v", decision.RetryAfter)
	}
	r := f.dispatcher.Admit(RequestSpec{Customer: 5, Units: 2, GatewayCount: 1, Timeout: time.Second, Repeat: true})
	f.expectAction(r, Reject)
	r.Disconnect()
	counts := map[string]uint64{}
	f.dispatcher.WriteZoneCounts(func(name string, n uint64) { counts[name] = n })
	if counts[zonestats.Admitted("a")] != 2000 || counts[zonestats.Offered("a")] != 2000 || len(f.dispatcher.requests) != 0 {
		t.Errorf("counts %v, %d errands", counts, len(f.dispatcher.requests))
	}
}

// The gate tells its witness of pushes by hall, and whether its own hall is lost.
func TestRecorder_getsAttemptsByZone(t *testing.T) {
	f := newTwoZoneFixture(t)
	f.dispatcher.SetSteering(Steering{}, 0, Steering{Weights: []float64{0, 1}})
	f.expectZone("b")
	again := f.dispatcher.Admit(RequestSpec{Customer: 5, Units: 2, GatewayCount: 1, Timeout: time.Second, Repeat: true}) // no demand, but a push
	f.expectAction(again, Forward)
	again.Disconnect()
	counts := map[string]uint64{}
	f.dispatcher.WriteZoneCounts(func(name string, n uint64) { counts[name] = n })
	if counts[zonestats.Attempted("a", "b")] != 12000 || counts[zonestats.Admitted("a")] != 10000 || counts[zonestats.Completed("a", "b", "well")] != 5 || f.dispatcher.IsZoneLost() {
		t.Errorf("counts %v", counts)
	}
}

// A task that its quota lets in and that no server can take is demand, though it was never pushed; one beyond its quota
// is none, nor is a repeat.
func TestRecorder_rejectionForCapacityIsDemand(t *testing.T) {
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
			f := newTwoZoneFixture(t)
			settings := f.dispatcher.settings
			settings.Plans[0].Rate, settings.Plans[0].Burst = 0.01, 4
			settings.Classes[0].LatencyObjective = 50 * time.Millisecond
			if _, err := f.dispatcher.Reconfigure(settings); err != nil {
				t.Fatal(err)
			}
			f.dispatcher.HandleEndpoints(policy.ListFull, nil)
			ctx, cancel := context.WithCancel(context.Background())
			t.Cleanup(cancel)
			go f.dispatcher.RunTimers(ctx)
			f.expectAction(f.dispatcher.Admit(RequestSpec{Customer: 5, Units: c.units, GatewayCount: 1, Timeout: time.Second, Repeat: c.repeat}), Reject)
			counts := map[string]uint64{}
			f.dispatcher.WriteZoneCounts(func(name string, n uint64) { counts[name] = n })
			if got := counts[zonestats.Admitted("a")]; got != c.let {
				t.Errorf("%d thousandths of units of demand, not %d", got, c.let)
			}
		})
	}
}
