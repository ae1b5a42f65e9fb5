package zonestats

import (
	"fmt"
	"testing"
	"time"

	"harrierhoist/policy"
)

// fixture is a recorder in the first of two zones, and a clock.
type fixture struct {
	*testing.T
	recorder *Recorder
	now      time.Duration
	counts   map[string]uint64
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	settings := &policy.Settings{WarmUpStart: 0.2, WarmUpTime: 10 * time.Second}
	fx := &fixture{T: t, recorder: New([]string{"a", "b"}, 0, settings), now: time.Hour}
	fx.digest(0)
	return fx
}

// digest lets time pass and takes the counts.
func (fx *fixture) digest(after time.Duration) {
	fx.Helper()
	fx.now += after
	fx.counts = map[string]uint64{}
	fx.recorder.WriteCounts(fx.now, func(name string, n uint64) {
		if n < fx.counts[name] {
			fx.Errorf("%q fell", name)
		}
		fx.counts[name] = n
	})
}

// attempt makes an attempt on a server that ends after a while.
func (fx *fixture) attempt(zone int, server uint32, outcome policy.Outcome, took time.Duration) {
	fx.recorder.AddAttempt(fx.now, zone, 2, true)
	fx.now += took
	fx.recorder.AddResult(fx.now, zone, server, outcome, took)
}

func (fx *fixture) wantCount(name string, n uint64) {
	fx.Helper()
	if fx.counts[name] != n {
		fx.Errorf("%q is %d, not %d: %v", name, fx.counts[name], n, fx.counts)
	}
}

func (fx *fixture) wantZoneLost(want bool, when string) {
	fx.Helper()
	if got := fx.recorder.IsZoneLost(); got != want {
		fx.Errorf("%s the own zone is lost: %v, not %v", when, got, want)
	}
}

// TestHealth_latestResultOfEachServer checks that a zone's health goes by the latest result of each
// server.
func TestHealth_latestResultOfEachServer(t *testing.T) {
	for _, row := range []struct{ failed, quarter int }{{0, 4}, {1, 4}, {2, 3}, {4, 2}, {6, 1}, {8, 0}} {
		t.Run(fmt.Sprintf("%d of 8 failed", row.failed), func(t *testing.T) {
			fx := newFixture(t)
			for i := range 8 {
				outcome := policy.Answered
				if i < row.failed {
					outcome = policy.Errored
				}
				fx.attempt(1, uint32(i), outcome, 10*time.Millisecond)
			}
			fx.digest(120 * time.Millisecond)
			fx.wantCount(HealthTime("a", "b", row.quarter), 200)
			fx.wantCount(HealthTime("a", "a", Healthy), 0) // without attempts nothing is known
		})
	}
}

// TestHealth_lossShowsBeforeOldResultsExpire checks that a zone counts as lost once all recent
// attempts failed, whatever was healthy before.
func TestHealth_lossShowsBeforeOldResultsExpire(t *testing.T) {
	fx := newFixture(t)
	for i := range 8 {
		fx.attempt(0, uint32(i), policy.Answered, 10*time.Millisecond)
	}
	fx.digest(120 * time.Millisecond)
	fx.now += 2 * time.Second
	fx.digest(0)
	fx.attempt(0, 1, policy.ConnectFailed, time.Millisecond)
	fx.attempt(0, 2, policy.Reset, time.Millisecond)
	fx.digest(98 * time.Millisecond)
	fx.wantCount(HealthTime("a", "a", Lost), 100)
}

// TestHealth_silenceIsALoss checks that a zone whose servers say nothing, so that no attempt ends,
// shows as lost.
func TestHealth_silenceIsALoss(t *testing.T) {
	fx := newFixture(t)
	fx.attempt(0, 1, policy.Answered, 10*time.Millisecond)
	for range 5 {
		fx.recorder.AddAttempt(fx.now, 0, 1, true)
	}
	fx.digest(190 * time.Millisecond)
	fx.digest(200 * time.Millisecond)
	fx.wantCount(HealthTime("a", "a", Lost), 0)
	fx.digest(200 * time.Millisecond)
	fx.wantCount(HealthTime("a", "a", Lost), 200)
}

// TestWriteCounts_addsNoMoreThanTimeAwake checks that a gateway adds none of the time in which it
// was paused, so that no observation weighs more than one gateway's.
func TestWriteCounts_addsNoMoreThanTimeAwake(t *testing.T) {
	fx := newFixture(t)
	fx.attempt(0, 1, policy.Answered, 0)
	for range 10 {
		fx.digest(200 * time.Millisecond)
	}
	fx.digest(time.Minute)
	fx.digest(200 * time.Millisecond)
	fx.wantCount(AwakeTime("a"), 2200)
	fx.wantCount(Admitted("a"), 2000)
}

// TestReadyPower_isReadyAndWarm checks that ready power is what is listed as ready, less what is
// still warming up, and that draining servers have none.
func TestReadyPower_isReadyAndWarm(t *testing.T) {
	fx := newFixture(t)
	fx.recorder.SetEndpoints(fx.now, []policy.Endpoint{
		{State: policy.Ready, Capacity: 2},
		{State: policy.Draining, Capacity: 5},
		{State: policy.Ready, Zone: 1, StartedAt: fx.now - 5*time.Second},
	})
	fx.digest(100 * time.Millisecond)
	fx.wantCount(ReadyPower("a", PowerBand(2)), 200)
	fx.wantCount(ReadyPower("b", PowerBand(0.608)), 60)
	fx.wantCount(ReadyTime("b", PowerBand(0.608)), 100)
}

func TestPowerBand_isInRange(t *testing.T) {
	for _, power := range []float64{0, 0.01, 0.1, 1, 1e9} {
		if band := PowerBand(power); band < 0 || band >= PowerBands || power > 0 == (band == 0) {
			t.Errorf("band %d of %v", band, power)
		}
	}
}

// Guards against one hanging attempt, alone at a gateway, that has nearly all other requests shed.
func TestIsZoneLost_notByOneHangingAttempt(t *testing.T) {
	for _, row := range []struct {
		inFlight int
		lost     bool
	}{{1, false}, {minFailedRun, true}} {
		t.Run(fmt.Sprintf("%d in flight", row.inFlight), func(t *testing.T) {
			fx := newFixture(t)
			fx.recorder.SetEndpoints(fx.now, []policy.Endpoint{{State: policy.Ready}})
			fx.attempt(0, 1, policy.Answered, 10*time.Millisecond)
			for range row.inFlight {
				fx.recorder.AddAttempt(fx.now, 0, 2, true)
			}
			for range 20 {
				fx.digest(200 * time.Millisecond)
			}
			fx.wantZoneLost(row.lost, "after 4 s")
		})
	}
}

// TestIsZoneLost_lossAndRecovery checks that a gateway's own zone is lost after a second, and
// recovers once half of it answers.
func TestIsZoneLost_lossAndRecovery(t *testing.T) {
	fx := newFixture(t)
	fx.recorder.SetEndpoints(fx.now, []policy.Endpoint{{State: policy.Ready}})
	for i := range 8 {
		fx.attempt(0, uint32(i%3), policy.ConnectFailed, time.Millisecond)
		fx.digest(199 * time.Millisecond)
		fx.wantZoneLost(i > 5, fmt.Sprintf("after %d digests", i+1))
	}
	fx.digest(10 * time.Second)
	fx.wantZoneLost(true, "with nothing known of late")
	fx.attempt(0, 1, policy.Answered, time.Millisecond)
	fx.digest(199 * time.Millisecond)
	fx.wantZoneLost(false, "after an answer")
}
