package dispatch

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/control/failover/zonestats"
	"harrierhoist/policy"
)

// newTwoZoneFixture returns a dispatcher in the first of two zones, with one server in each zone
// and a recorder.
func newTwoZoneFixture(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(t)
	settings := policy.Settings{
		Gateways: 1, Zones: 2, MaxAttempts: 5, SendsRetryAfter: true, MaxRetryAfter: 2 * time.Second,
		ClockTick: 2 * time.Millisecond,
		Classes: []policy.TrafficClass{{
			Name: "query", LatencyObjective: 600 * time.Millisecond, Timeout: 2 * time.Second,
		}},
		Plans: []policy.Plan{{Name: "free"}},
	}
	var err error
	recorder := zonestats.New([]string{"a", "b"}, 0, &settings)
	if f.dispatcher, err = New(settings, 7, Dependencies{Recorder: recorder}, zap.NewNop()); err != nil {
		t.Fatal(err)
	}
	f.dispatcher.HandleEndpoints(policy.ListFull, []Server{
		{Name: "s-a", Address: "a", Endpoint: policy.Endpoint{State: policy.Ready}},
		{Name: "s-b", Address: "b", Endpoint: policy.Endpoint{State: policy.Ready, Zone: 1}},
	})
	return f
}

// expectServer expects the next requests to be forwarded to the server at an address.
func (f *fixture) expectServer(address string) {
	f.Helper()
	for range 5 {
		request := f.admit(0, 0, time.Second)
		if got := f.expectAction(request, Forward).Server.Address; got != address {
			f.Errorf("forwarded to %s, want %s", got, address)
		}
		request.ReportResult(Result{Outcome: policy.Answered})
	}
}

// admitRepeat admits a request that the client marks as a repeat.
func (f *fixture) admitRepeat() *Request {
	return f.dispatcher.Admit(RequestSpec{
		Customer: 5, Units: 2, GatewayCount: 1, Timeout: time.Second, Repeat: true,
	})
}

// A steering applies until its lease expires. The fallback applies from the next request on.
func TestSteering_endsWithItsLease(t *testing.T) {
	f := newTwoZoneFixture(t)
	f.dispatcher.SetSteering(Steering{Weights: []float64{0, 1}}, time.Hour, Steering{Weights: []float64{1, 0}})
	f.expectServer("b")
	f.dispatcher.lock()
	f.dispatcher.steering.expiresAt = f.dispatcher.clock.now() // the lease has expired
	f.dispatcher.unlock()
	f.expectServer("a")
	const expiredLease = 0
	f.dispatcher.SetSteering(Steering{Weights: []float64{0, 1}}, expiredLease, Steering{Weights: []float64{1, 0}})
	f.expectServer("a")
}

// A request that fits in no zone is rejected without an attempt. It is recorded as demand, unless
// it is a repeat by the client.
func TestSteering_shedRequestIsRejectedImmediately(t *testing.T) {
	f := newTwoZoneFixture(t)
	f.dispatcher.SetSteering(Steering{}, 0, Steering{Weights: []float64{1, 0}, ShedFraction: 1})
	if decision := f.expectAction(f.admit(0, 0, time.Second), Reject); decision.RetryAfter != 150*time.Millisecond {
		t.Errorf("Retry-After %v", decision.RetryAfter)
	}
	request := f.admitRepeat()
	f.expectAction(request, Reject)
	request.Disconnect()
	counts := map[string]uint64{}
	f.dispatcher.WriteZoneCounts(func(name string, n uint64) { counts[name] = n })
	isOneRequest := counts[zonestats.AdmittedName("a")] == 2000 && counts[zonestats.OfferedName("a")] == 2000
	if !isOneRequest || len(f.dispatcher.requests) != 0 {
		t.Errorf("counts %v, %d requests in flight", counts, len(f.dispatcher.requests))
	}
}

// The dispatcher records attempts by zone and reports whether its own zone is lost.
func TestRecorder_recordsAttemptsByZone(t *testing.T) {
	f := newTwoZoneFixture(t)
	f.dispatcher.SetSteering(Steering{}, 0, Steering{Weights: []float64{0, 1}})
	f.expectServer("b")
	repeat := f.admitRepeat()
	f.expectAction(repeat, Forward) // recorded as an attempt but not as demand
	repeat.Disconnect()
	counts := map[string]uint64{}
	f.dispatcher.WriteZoneCounts(func(name string, n uint64) { counts[name] = n })
	if counts[zonestats.AttemptedName("a", "b")] != 12000 || counts[zonestats.AdmittedName("a")] != 10000 ||
		counts[zonestats.CompletedName("a", "b", "well")] != 5 {
		t.Errorf("counts %v", counts)
	}
	if f.dispatcher.IsZoneLost() {
		t.Error("its own zone is lost")
	}
}

// A request that is rejected for lack of capacity is demand, although it was never forwarded. A
// request that exceeds its quota is not, and neither is a repeat.
func TestRecorder_rejectionForCapacityIsDemand(t *testing.T) {
	for _, test := range []struct {
		name   string
		units  float64
		repeat bool
		want   uint64
	}{
		{"no capacity", 2, false, 2000},
		{"no capacity for a repeat", 2, true, 0},
		{"beyond the quota", 9, false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newTwoZoneFixture(t)
			settings := f.dispatcher.settings
			settings.Plans[0].Rate, settings.Plans[0].Burst = 0.01, 4
			settings.Classes[0].LatencyObjective = 50 * time.Millisecond
			if _, err := f.dispatcher.Reconfigure(settings); err != nil {
				t.Fatal(err)
			}
			f.dispatcher.HandleEndpoints(policy.ListFull, nil)
			go f.dispatcher.RunTimers(t.Context())
			spec := RequestSpec{
				Customer: 5, Units: test.units, GatewayCount: 1, Timeout: time.Second, Repeat: test.repeat,
			}
			f.expectAction(f.dispatcher.Admit(spec), Reject)
			counts := map[string]uint64{}
			f.dispatcher.WriteZoneCounts(func(name string, n uint64) { counts[name] = n })
			if got := counts[zonestats.AdmittedName("a")]; got != test.want {
				t.Errorf("demand of %d thousandths of a unit, want %d", got, test.want)
			}
		})
	}
}
