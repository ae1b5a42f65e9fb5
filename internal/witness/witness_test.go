package witness

import (
	"fmt"
	"testing"
	"time"

	"harrierhoist/policy"
)

// story is a witness in the first of two halls, and a clock.
type story struct {
	*testing.T
	w      *Witness
	now    time.Duration
	counts map[string]uint64
}

func begin(t *testing.T) *story {
	site := &policy.Deployment{ColdFrom: 0.2, WarmAfter: 10 * time.Second}
	s := &story{T: t, w: New([]string{"a", "b"}, 0, site), now: time.Hour}
	s.digest(0)
	return s
}

// digest lets time pass and takes the counts.
func (s *story) digest(after time.Duration) {
	s.now += after
	s.counts = map[string]uint64{}
	s.w.Counts(s.now, func(name string, n uint64) {
		if n < s.counts[name] {
			s.Errorf("%q fell", name)
		}
		s.counts[name] = n
	})
}

// push sends a push to a server and has it end so after a while.
func (s *story) push(hall int, server uint32, how policy.Outcome, took time.Duration) {
	s.w.Pushed(s.now, hall, 2, true)
	s.now += took
	s.w.Ended(s.now, hall, server, how, took)
}

func (s *story) want(name string, n uint64) {
	s.Helper()
	if s.counts[name] != n {
		s.Errorf("%q is %d, not %d: %v", name, s.counts[name], n, s.counts)
	}
}

// A gateway judges a hall by the latest outcome of each server that it knows.
func TestJudgedByTheServersKnown(t *testing.T) {
	for ill, quarter := range map[int]int{0: 4, 1: 4, 2: 3, 4: 2, 6: 1, 8: 0} {
		t.Run(fmt.Sprint(ill), func(t *testing.T) {
			s := begin(t)
			for i := range 8 {
				how := policy.Answered
				if i < ill {
					how = policy.Errored
				}
				s.push(1, uint32(i), how, 10*time.Millisecond)
			}
			s.digest(120 * time.Millisecond)
			s.want(Judged("a", "b", quarter), 200)
			s.want(Judged("a", "a", 4), 0) // nothing is known there
		})
	}
}

// Once all that ended of late failed, a hall counts as lost, whatever was well before.
func TestLossShowsBeforeOldOutcomesAreForgotten(t *testing.T) {
	s := begin(t)
	for i := range 8 {
		s.push(0, uint32(i), policy.Answered, 10*time.Millisecond)
	}
	s.digest(120 * time.Millisecond)
	s.now += 2 * time.Second
	s.digest(0)
	s.push(0, 1, policy.NoConnect, time.Millisecond)
	s.push(0, 2, policy.Reset, time.Millisecond)
	s.digest(98 * time.Millisecond)
	s.want(Judged("a", "a", Lost), 100)
}

// Servers that say nothing at all: no push ends, and a hall still is seen to be lost.
func TestSilenceIsALoss(t *testing.T) {
	s := begin(t)
	s.push(0, 1, policy.Answered, 10*time.Millisecond)
	for range 5 {
		s.w.Pushed(s.now, 0, 1, true)
	}
	s.digest(190 * time.Millisecond)
	s.digest(200 * time.Millisecond)
	s.want(Judged("a", "a", Lost), 0)
	s.digest(200 * time.Millisecond)
	s.want(Judged("a", "a", Lost), 200)
}

// A gateway that stood still saw nothing of that time: it adds none of it, so no word weighs more than a gateway's.
func TestAGatewayAddsNoMoreThanTheTimeItWasAwake(t *testing.T) {
	s := begin(t)
	s.push(0, 1, policy.Answered, 0)
	for range 10 {
		s.digest(200 * time.Millisecond)
	}
	s.digest(time.Minute)
	s.digest(200 * time.Millisecond)
	s.want(Time("a"), 2200)
	s.want(Let("a"), 2000)
}

// Strength is what is listed as ready, less what is cold; draining servers are none.
func TestStrengthIsReadyAndWarm(t *testing.T) {
	s := begin(t)
	s.w.Listed(s.now, []policy.Listed{{Stage: policy.Ready, Power: 2}, {Stage: policy.Draining, Power: 5},
		{Stage: policy.Ready, Hall: 1, Since: s.now - 5*time.Second}})
	s.digest(100 * time.Millisecond)
	s.want(Strength("a", Band(2)), 200)
	s.want(Strength("b", Band(0.608)), 60)
	s.want(Ready("b", Band(0.608)), 100)
	for _, x := range []float64{0, 0.01, 0.1, 1, 1e9} {
		if b := Band(x); b < 0 || b >= Bands || x > 0 == (b == 0) {
			t.Errorf("band %d of %v", b, x)
		}
	}
}

// One task that hangs on a gateway with few others is no lost hall: alone, it would have shed nearly all others.
func TestOnePushThatHangsIsNoLostHall(t *testing.T) {
	for out, lost := range map[int]bool{1: false, runLeast: true} {
		s := begin(t)
		s.w.Listed(s.now, []policy.Listed{{Stage: policy.Ready}})
		s.push(0, 1, policy.Answered, 10*time.Millisecond)
		for range out {
			s.w.Pushed(s.now, 0, 2, true)
		}
		for range 20 {
			s.digest(200 * time.Millisecond)
		}
		if s.w.Lost() != lost {
			t.Errorf("with %d pushes out for 4 s, lost is %v", out, s.w.Lost())
		}
	}
}

// Its own hall is lost to a gateway after a second, and found again once half of it answers.
func TestOwnHallLostAndFound(t *testing.T) {
	s := begin(t)
	s.w.Listed(s.now, []policy.Listed{{Stage: policy.Ready}})
	for i := range 8 {
		s.push(0, uint32(i%3), policy.NoConnect, time.Millisecond)
		s.digest(199 * time.Millisecond)
		if lost := s.w.Lost(); lost != (i > 5) {
			t.Errorf("after %d digests lost is %v", i+1, lost)
		}
	}
	s.digest(10 * time.Second) // nothing is known of late: it stays so
	if !s.w.Lost() {
		t.Error("found without a word")
	}
	s.push(0, 1, policy.Answered, time.Millisecond)
	s.digest(199 * time.Millisecond)
	if s.w.Lost() {
		t.Error("not found again")
	}
}
