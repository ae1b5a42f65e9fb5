package zonestats

import (
	"fmt"
	"testing"
	"time"

	"harrierhoist/internal/numbering"
	"harrierhoist/policy"
)

// fixture is a recorder of a gateway in the first of two zones, with a simulated clock.
type fixture struct {
	*testing.T
	recorder *Recorder
	now      time.Duration
	counts   map[string]uint64 // counts of the latest digest, by name
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	settings := &policy.Settings{WarmUpStart: 0.2, WarmUpTime: 10 * time.Second}
	fx := &fixture{T: t, recorder: New([]string{"a", "b"}, 0, settings), now: time.Hour}
	fx.nextDigest(0)
	return fx
}

// nextDigest advances the clock by elapsed and reads the counts.
func (fx *fixture) nextDigest(elapsed time.Duration) {
	fx.Helper()
	fx.now += elapsed
	fx.counts = map[string]uint64{}
	fx.recorder.WriteCounts(fx.now, func(name string, n uint64) {
		if n < fx.counts[name] {
			fx.Errorf("%q decreased", name)
		}
		fx.counts[name] = n
	})
}

// attempt records an attempt on a server that ends with an outcome after latency.
func (fx *fixture) attempt(zone int, server uint32, outcome policy.Outcome, latency time.Duration) {
	fx.recorder.AddAttempt(fx.now, zone, 2, true)
	fx.now += latency
	fx.recorder.AddResult(fx.now, zone, server, outcome, latency)
}

func (fx *fixture) wantCount(name string, n uint64) {
	fx.Helper()
	if fx.counts[name] != n {
		fx.Errorf("%q: got %d, want %d; all counts: %v", name, fx.counts[name], n, fx.counts)
	}
}

func (fx *fixture) wantZoneLost(want bool, when string) {
	fx.Helper()
	if got := fx.recorder.IsZoneLost(); got != want {
		fx.Errorf("IsZoneLost %s: got %v, want %v", when, got, want)
	}
}

// TestHealth_latestResultOfEachServer checks that a zone's health is the fraction of servers whose
// latest result was an answer.
func TestHealth_latestResultOfEachServer(t *testing.T) {
	for _, test := range []struct{ failed, quarter int }{{0, 4}, {1, 4}, {2, 3}, {4, 2}, {6, 1}, {8, 0}} {
		t.Run(fmt.Sprintf("%d of 8 failed", test.failed), func(t *testing.T) {
			fx := newFixture(t)
			for i := range 8 {
				outcome := policy.Answered
				if i < test.failed {
					outcome = policy.Errored
				}
				fx.attempt(1, uint32(i), outcome, 10*time.Millisecond)
			}
			fx.nextDigest(120 * time.Millisecond)
			fx.wantCount(HealthTimeName("a", "b", test.quarter), 200)
			fx.wantCount(HealthTimeName("a", "a", Healthy), 0) // unknown, as there were no attempts
		})
	}
}

// TestHealth_lossShowsBeforeOldResultsExpire checks that a zone counts as lost once all recent
// attempts have failed, although older results of other servers were answers.
func TestHealth_lossShowsBeforeOldResultsExpire(t *testing.T) {
	fx := newFixture(t)
	for i := range 8 {
		fx.attempt(0, uint32(i), policy.Answered, 10*time.Millisecond)
	}
	fx.nextDigest(120 * time.Millisecond)
	fx.now += 2 * time.Second
	fx.nextDigest(0)
	fx.attempt(0, 1, policy.ConnectFailed, time.Millisecond)
	fx.attempt(0, 2, policy.Reset, time.Millisecond)
	fx.nextDigest(98 * time.Millisecond)
	fx.wantCount(HealthTimeName("a", "a", Lost), 100)
}

// TestHealth_silentZoneIsLost checks that a zone counts as lost if no attempt in flight ends.
func TestHealth_silentZoneIsLost(t *testing.T) {
	fx := newFixture(t)
	fx.attempt(0, 1, policy.Answered, 10*time.Millisecond)
	for range 5 {
		fx.recorder.AddAttempt(fx.now, 0, 1, true)
	}
	fx.nextDigest(190 * time.Millisecond)
	fx.nextDigest(200 * time.Millisecond)
	fx.wantCount(HealthTimeName("a", "a", Lost), 0)
	fx.nextDigest(200 * time.Millisecond)
	fx.wantCount(HealthTimeName("a", "a", Lost), 200)
}

// TestWriteCounts_excludesPauses checks that a gateway does not count the time in which it
// was paused. Otherwise its observations would count as those of several gateways.
func TestWriteCounts_excludesPauses(t *testing.T) {
	fx := newFixture(t)
	fx.attempt(0, 1, policy.Answered, 0)
	for range 10 {
		fx.nextDigest(200 * time.Millisecond)
	}
	fx.nextDigest(time.Minute)
	fx.nextDigest(200 * time.Millisecond)
	fx.wantCount(AwakeTimeName("a"), 2200)
	fx.wantCount(AdmittedName("a"), 2000)
}

// TestReadyPower_countsReadyAndWarmServers checks that ready power is the power of ready servers,
// less what warming-up servers still lack, and that draining servers add none.
func TestReadyPower_countsReadyAndWarmServers(t *testing.T) {
	fx := newFixture(t)
	fx.recorder.SetEndpoints(fx.now, []policy.Endpoint{
		{State: policy.Ready, Capacity: 2},
		{State: policy.Draining, Capacity: 5},
		{State: policy.Ready, Zone: 1, StartedAt: fx.now - 5*time.Second},
	})
	fx.nextDigest(100 * time.Millisecond)
	fx.wantCount(ReadyPowerName("a", PowerBand(2)), 200)
	fx.wantCount(ReadyPowerName("b", PowerBand(0.608)), 60)
	fx.wantCount(ReadyTimeName("b", PowerBand(0.608)), 100)
}

// TestRecorder_unknownZoneIsNoOther guards against power, attempts and results of a zone that the
// start did not name and that were counted as those of a configured zone. Such requests are demand
// all the same.
func TestRecorder_unknownZoneIsNoOther(t *testing.T) {
	fx := newFixture(t)
	unknown := numbering.New([]string{"a", "b"}).Of("c")
	fx.recorder.SetEndpoints(fx.now, []policy.Endpoint{
		{State: policy.Ready, Capacity: 2},
		{State: policy.Ready, Capacity: 1, Zone: 1},
		{State: policy.Ready, Capacity: 5, Zone: unknown},
		{State: policy.Ready, Capacity: 5, Zone: unknown, StartedAt: fx.now - 5*time.Second},
	})
	for server := range uint32(6) {
		fx.attempt(unknown, server, policy.Reset, time.Millisecond)
	}
	fx.nextDigest(94 * time.Millisecond)
	fx.wantCount(ReadyPowerName("a", PowerBand(2)), 200)
	fx.wantCount(ReadyPowerName("b", PowerBand(1)), 100)
	for _, zone := range []string{"a", "b"} {
		fx.wantCount(AttemptedName("a", zone), 0)
		fx.wantCount(HealthTimeName("a", zone, Lost), 0)
		fx.wantCount(CompletedName("a", zone, Outcomes()[indexFailed]), 0)
	}
	fx.wantCount(AdmittedName("a"), 12_000)
}

func TestPowerBand_isInRange(t *testing.T) {
	for _, power := range []float64{0, 0.01, 0.1, 1, 1e9} {
		if band := PowerBand(power); band < 0 || band >= PowerBands || power > 0 == (band == 0) {
			t.Errorf("PowerBand(%v) is %d; want 0 for a power of 0, and 1 to %d otherwise", power, band, PowerBands-1)
		}
	}
}

// Guards against a false loss: a single hanging attempt of a gateway must not cause nearly all
// other requests to be shed.
func TestIsZoneLost_oneHangingAttemptIsNoLoss(t *testing.T) {
	for _, test := range []struct {
		inFlight int
		lost     bool
	}{{1, false}, {minConsecutiveFailures, true}} {
		t.Run(fmt.Sprintf("%d in flight", test.inFlight), func(t *testing.T) {
			fx := newFixture(t)
			fx.recorder.SetEndpoints(fx.now, []policy.Endpoint{{State: policy.Ready}})
			fx.attempt(0, 1, policy.Answered, 10*time.Millisecond)
			for range test.inFlight {
				fx.recorder.AddAttempt(fx.now, 0, 2, true)
			}
			for range 20 {
				fx.nextDigest(200 * time.Millisecond)
			}
			fx.wantZoneLost(test.lost, "after 4 s")
		})
	}
}

// TestIsZoneLost_lossAndRecovery checks that a gateway's own zone is lost after it has looked lost
// for lossConfirmTime, and recovers once half of its servers respond.
func TestIsZoneLost_lossAndRecovery(t *testing.T) {
	fx := newFixture(t)
	fx.recorder.SetEndpoints(fx.now, []policy.Endpoint{{State: policy.Ready}})
	for i := range 8 {
		fx.attempt(0, uint32(i%3), policy.ConnectFailed, time.Millisecond)
		fx.nextDigest(199 * time.Millisecond)
		fx.wantZoneLost(i > 5, fmt.Sprintf("after %d digests", i+1))
	}
	fx.nextDigest(10 * time.Second)
	fx.wantZoneLost(true, "without recent results")
	fx.attempt(0, 1, policy.Answered, time.Millisecond)
	fx.nextDigest(199 * time.Millisecond)
	fx.wantZoneLost(false, "after an answer")
}
