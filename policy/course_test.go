package policy

import (
	"testing"
	"time"
)

func TestOutcomesByLane(t *testing.T) {
	const terminated, rejected = "terminate 1", "reject 1 away 125ms"
	for _, c := range []struct {
		lane   int
		ends   Outcome
		pushes int
		last   string
	}{
		{0, Errored, 3, rejected}, {0, TimedOut, 3, rejected}, {0, Full, 3, rejected},
		{1, Errored, 3, terminated}, {1, Reset, 3, terminated}, {1, NoConnect, 3, rejected},
		{2, Errored, 1, terminated}, {2, TimedOut, 1, terminated}, {2, Full, 3, rejected},
		{3, Errored, 3, rejected}, {3, Cancelled, 3, rejected},
	} {
		s := begin(t, site(), 8)
		s.take(1, c.lane, 0, 1)
		for s.pushed(1) < 3 {
			before := s.pushed(1)
			s.end(1, c.ends)
			if s.pushed(1) == before {
				break
			}
		}
		if s.has(terminated)+s.has(rejected) == 0 {
			s.end(1, c.ends)
		}
		s.wantPushed(1, c.pushes)
		s.want(c.last, 1)
		if c.lane == 1 && c.ends != NoConnect {
			for _, p := range s.pushes {
				if (p.server-1)/2 != (s.pushes[0].server-1)/2 {
					t.Errorf("a receipted task that may have run left its cell: %v", s.pushes)
				}
			}
		}
	}
}

func TestReceiptedTaskStaysWithinItsWindow(t *testing.T) {
	s := begin(t, site(), 2)
	s.take(1, 1, 0, 1)
	s.pass(310 * ms)
	s.end(1, Errored)
	s.wantPushed(1, 1)
	s.want("terminate 1", 1)
}

func TestFinalAnswerBeforePatience(t *testing.T) {
	for lane, want := range []string{"reject 1 away 0s", "terminate 1", "terminate 1", "reject 1 away 0s"} {
		s := begin(t, site(), 1)
		s.take(1, lane, 0, 1)
		s.pass(1999 * ms)
		s.want(want, 1)
		s.end(1, TimedOut)
		s.wantPushed(1, 1)
		s.want(want, 1)
	}
}

func TestNothingFollowsTheEnd(t *testing.T) {
	s := begin(t, site(), 2)
	s.down = true
	s.take(1, 0, 0, 1)
	s.g.Lapsed(s.now, 1)
	s.down = false
	s.counter()
	s.wantPushed(1, 0)
	s.take(2, 0, 0, 1)
	s.g.Lapsed(s.now, 2)
	s.end(2, Errored)
	s.end(2, Errored)
	s.g.Lapsed(s.now, 99)
	s.g.Ended(s.now, Push{Task: 99})
	s.g.Probed(s.now, 77, Answered, ms, nil)
	s.pass(3 * time.Second)
	s.wantPushed(2, 1)
	s.want("reject 2 away 0s", 0)
}

func TestTaskThatEndsTakesItsWakeBack(t *testing.T) {
	s := begin(t, site(), 2)
	s.take(1, 0, 0, 1)
	if len(s.wakes) != 1 {
		t.Fatalf("%d wakes while the task is out, want 1", len(s.wakes))
	}
	s.end(1, Answered)
	if len(s.wakes) != 0 {
		t.Errorf("%d wakes left behind by a task that is over", len(s.wakes))
	}
}

func TestRepeatWhoseSoftLimitHasPassedIsRejectedAtOnce(t *testing.T) {
	s := begin(t, site(), 2)
	task := Task{ID: 1, Customer: 1, Width: 2, Units: 1, Expires: s.now + 1500*ms}
	s.g.Take(s.now, task)
	task.ID, task.Repeat = 2, true // given as much as a first try: nothing is known of its age
	s.g.Take(s.now, task)
	task.ID, task.Expires = 3, s.now+1200*ms // the rest of two seconds' patience: it is 0.8 s old
	s.g.Take(s.now, task)
	s.counter()
	s.wantPushed(2, 1)
	s.wantPushed(3, 0)
	s.want("reject 3 away 2s", 1)
}

func TestWhatAStandstillMadeLateIsNotPushed(t *testing.T) {
	s := begin(t, site(), 2)
	s.take(1, 0, 0, 1) // tells that clients of this lane give two seconds
	s.now += 1500 * ms
	late := Task{ID: 2, Customer: 1, Width: 2, Units: 1, Expires: s.now + 500*ms} // came 1.5 s ago
	s.g.Take(s.now, late)
	s.counter()
	s.wantPushed(2, 0)
	s.want("reject 2 away 2s", 1)
}

func TestLastTryWithAllTheRestMakesNoFirstTryLate(t *testing.T) {
	s := begin(t, site(), 2)
	take := func(id uint32, repeat bool, given time.Duration) {
		s.g.Take(s.now, Task{ID: id, Width: 2, Units: 1, Expires: s.now + given, Repeat: repeat})
		s.counter()
		s.end(id, Answered)
	}
	take(1, false, 1100*ms) // a part of the client's patience of two seconds
	take(2, true, 1980*ms)  // the last one has all that is left of it
	take(3, false, 1100*ms)
	take(4, true, 1100*ms) // how long ago its first try was, nothing tells
	take(5, true, 900*ms)  // the rest of the patience: the soft limit has passed
	for id, times := range []int{1: 1, 2: 1, 3: 1, 4: 1, 5: 0} {
		s.wantPushed(uint32(id), times)
	}
}

// Clients of one plan that gave a try up early were taken for tasks that we had held while we stood still, and all
// rejected as late.
func TestClientsWithLessPatienceAreNotLate(t *testing.T) {
	s := begin(t, site(), 4)
	s.take(1, 0, 0, 1)
	s.end(1, Answered)
	hasty := func(id uint32, plan int) {
		s.g.Take(s.now, Task{ID: id, Plan: plan, Customer: uint64(plan), Width: 2, Units: 1, Expires: s.now + 200*ms})
		s.counter()
	}
	s.pass(10 * ms)
	hasty(2, 0)
	s.wantPushed(2, 1)
	s.pass(10 * ms)
	s.take(3, 0, 2, 1)
	s.now += 1900 * ms // no event for longer than what the next task lacks: we may have stood still
	hasty(4, 2)
	s.wantPushed(4, 0)
}

// Clients that gave a try up after a third of the soft limit kept servers and limits busy with tasks that could not be
// answered in that time, and came again with as little, many times.
func TestATryGivenTooLittleForItsUnitsIsRejectedAtOnce(t *testing.T) {
	s := begin(t, site(), 4)
	for id := uint32(1); id <= 5; id++ {
		s.take(id, 0, 0, 1)
		s.g.Ended(s.now, Push{Task: id, Server: s.pushes[id-1].server, Outcome: Answered, Took: 40 * ms, Done: true})
		s.pass(10 * ms)
	}
	for id, units := range map[uint32]float64{6: 4, 7: 6} {
		s.g.Take(s.now, Task{ID: id, Customer: 1, Width: 2, Units: units, Expires: s.now + 200*ms})
		s.counter()
	}
	s.wantPushed(6, 1)
	s.wantPushed(7, 0)
	s.want("reject 7 away 2s", 1)
}
