package zonestats

import (
	"fmt"
	"testing"
	"time"

	"harrierhoist/policy"
)

// fixture is a witness in the first of two halls, and a clock.
type fixture struct {
	*testing.T
	recorder *Recorder
	now      time.Duration
	counts   map[string]uint64
}

func newFixture(t *testing.T) *fixture {
	settings := &policy.Settings{WarmUpStart: 0.2, WarmUpTime: 10 * time.Second}
	fx := &fixture{T: t, recorder: New([]string{"a", "b"}, 0, settings), now: time.Hour}
	fx.digest(0)
	return fx
}

// digest lets time pass and takes the counts.
func (fx *fixture) digest(after time.Duration) {
	fx.now += after
	fx.counts = map[string]uint64{}
	fx.recorder.WriteCounts(fx.now, func(name string, n uint64) {
		if n < fx.counts[name] {
			fx.Errorf("%q fell", name)
		}
		fx.counts[name] = n
	})
}

// sendAttempt sends a push to a server and has it end so after a while.
func (fx *fixture) sendAttempt(zone int, server uint32, outcome policy.Outcome, took time.Duration) {
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

// A gateway judges a hall by the latest outcome of each server that it knows.
func TestHealth_latestResultOfEachServer(t *testing.T) {
	for ill, quarter := range map[int]int{0: 4, 1: 4, 2: 3, 4: 2, 6: 1, 8: 0} {
		t.Run(fmt.Sprint(ill), func(t *testing.T) {
			fx := newFixture(t)
			for i := range 8 {
				outcome := policy.Answered
				if i < ill {
					outcome = policy.Errored
				}
				fx.sendAttempt(1, uint32(i), outcome, 10*time.Millisecond)
			}
			fx.digest(120 * time.Millisecond)
			fx.wantCount(HealthTime("a", "b", quarter), 200)
			fx.wantCount(HealthTime("a", "a", 4), 0) // nothing is known there
		})
	}
}

// Once all that ended of late failed, a hall counts as lost, whatever was well before.
func TestHealth_lossShowsBeforeOldResultsExpire(t *testing.T) {
	fx := newFixture(t)
	for i := range 8 {
		fx.sendAttempt(0, uint32(i), policy.Answered, 10*time.Millisecond)
	}
	fx.digest(120 * time.Millisecond)
	fx.now += 2 * time.Second
	fx.digest(0)
	fx.sendAttempt(0, 1, policy.ConnectFailed, time.Millisecond)
	fx.sendAttempt(0, 2, policy.Reset, time.Millisecond)
	fx.digest(98 * time.Millisecond)
	fx.wantCount(HealthTime("a", "a", Lost), 100)
}

// Servers that say nothing at all: no push ends, and a hall still is seen to be lost.
func TestHealth_silenceIsALoss(t *testing.T) {
	fx := newFixture(t)
	fx.sendAttempt(0, 1, policy.Answered, 10*time.Millisecond)
	for range 5 {
		fx.recorder.AddAttempt(fx.now, 0, 1, true)
	}
	fx.digest(190 * time.Millisecond)
	fx.digest(200 * time.Millisecond)
	fx.wantCount(HealthTime("a", "a", Lost), 0)
	fx.digest(200 * time.Millisecond)
	fx.wantCount(HealthTime("a", "a", Lost), 200)
}

// A gateway that stood still saw nothing of that time: it adds none of it, so no word weighs more than a gateway's.
func TestWriteCounts_addsNoMoreThanTimeAwake(t *testing.T) {
	fx := newFixture(t)
	fx.sendAttempt(0, 1, policy.Answered, 0)
	for range 10 {
		fx.digest(200 * time.Millisecond)
	}
	fx.digest(time.Minute)
	fx.digest(200 * time.Millisecond)
	fx.wantCount(AwakeTime("a"), 2200)
	fx.wantCount(Admitted("a"), 2000)
}

// Strength is what is listed as ready, less what is cold; draining servers are none.
func TestReadyPower_isReadyAndWarm(t *testing.T) {
	fx := newFixture(t)
	fx.recorder.SetEndpoints(fx.now, []policy.Endpoint{{State: policy.Ready, Capacity: 2}, {State: policy.Draining, Capacity: 5},
		{State: policy.Ready, Zone: 1, StartedAt: fx.now - 5*time.Second}})
	fx.digest(100 * time.Millisecond)
	fx.wantCount(ReadyPower("a", PowerBand(2)), 200)
	fx.wantCount(ReadyPower("b", PowerBand(0.608)), 60)
	fx.wantCount(ReadyTime("b", PowerBand(0.608)), 100)
	for _, x := range []float64{0, 0.01, 0.1, 1, 1e9} {
		if b := PowerBand(x); b < 0 || b >= PowerBands || x > 0 == (b == 0) {
			t.Errorf("band %d of %v", b, x)
		}
	}
}

// One task that hangs on a gateway with few others is no lost hall: alone, it would have shed nearly all others.
func TestIsZoneLost_notByOneHangingAttempt(t *testing.T) {
	for out, lost := range map[int]bool{1: false, minFailedRun: true} {
		fx := newFixture(t)
		fx.recorder.SetEndpoints(fx.now, []policy.Endpoint{{State: policy.Ready}})
		fx.sendAttempt(0, 1, policy.Answered, 10*time.Millisecond)
		for range out {
			fx.recorder.AddAttempt(fx.now, 0, 2, true)
		}
		for range 20 {
			fx.digest(200 * time.Millisecond)
		}
		if fx.recorder.IsZoneLost() != lost {
			t.Errorf("with %d pushes out for 4 s, lost is %v", out, fx.recorder.IsZoneLost())
		}
	}
}

// Its own hall is lost to a gateway after a second, and found again once half of it answers.
func TestIsZoneLost_lossAndRecovery(t *testing.T) {
	fx := newFixture(t)
	fx.recorder.SetEndpoints(fx.now, []policy.Endpoint{{State: policy.Ready}})
	for i := range 8 {
		fx.sendAttempt(0, uint32(i%3), policy.ConnectFailed, time.Millisecond)
		fx.digest(199 * time.Millisecond)
		if lost := fx.recorder.IsZoneLost(); lost != (i > 5) {
			t.Errorf("after %d digests lost is %v", i+1, lost)
		}
	}
	fx.digest(10 * time.Second) // nothing is known of late: it stays so
	if !fx.recorder.IsZoneLost() {
		t.Error("found without a word")
	}
	fx.sendAttempt(0, 1, policy.Answered, time.Millisecond)
	fx.digest(199 * time.Millisecond)
	if fx.recorder.IsZoneLost() {
		t.Error("not found again")
	}
}
