package policy

import (
	"testing"
	"time"
)

// thin is a customer of the small plan whose tasks come through fifty gateways.
func thin(t *testing.T) *story {
	d := site()
	d.Gateways = 50
	s := begin(t, d, 4)
	s.width = 50
	return s
}

func TestChargeOfAThinCustomerDoesNotWaitForItsNextCheck(t *testing.T) {
	s := thin(t)
	s.take(1, 0, 1, 2)
	s.end(1, Answered)
	if got := s.total(1); got != 2 {
		t.Errorf("%v units stand in the count, want the 2 of the answer", got)
	}
}

func TestAWindowStartsWithWhatTheOneBeforeOverran(t *testing.T) {
	s := thin(t)
	s.take(1, 0, 1, 1) // so that the customer's windows are known
	s.end(1, Answered)
	b := s.g.desk.books[0]
	rest := b.start(b.window(s.now)+1) - s.now
	s.pass(rest - ms)
	s.others(1, 5+2*rest.Seconds()) // of 9 that were left and 2 a second that came since
	s.pass(ms)
	s.take(2, 0, 1, 1)
	if got := s.total(1); got < 5.9 || got > 6.1 {
		t.Errorf("the new window starts with %v units, want the 6 that its store lacks", got)
	}
}

func TestThinCustomerKeepsToAnEvenShareWithoutATotal(t *testing.T) {
	s := thin(t)
	s.down = true
	for id := uint32(1); id <= 4; id++ {
		s.take(id, 0, 1, 2)
		s.pass(40 * ms)
		s.lose()
	}
	s.wantPushed(1, 1)
	s.wantPushed(2, 0)
	s.wantPushed(4, 0)
}

// crowded has the counter take so many of ten calls, turn the others away, and gives how often it was called and how
// often it refused, after it was called a while. Each task is of a thin customer of its own.
func (s *story) crowded(tasks int, takes func(call int) bool) (calls, refused int) {
	s.down = true
	n := 0
	for i := range tasks {
		id := uint32(1000 + i)
		s.g.Take(s.now, Task{ID: id, Lane: 0, Plan: 1, Customer: uint64(1000 + i), Width: 50, Units: 1, Expires: s.now + 2*time.Second})
		for len(s.calls) > 0 {
			c := s.calls[0]
			s.calls = s.calls[1:]
			n++
			how := Answered
			if !takes(n) {
				how = Full
			}
			if i > tasks/2 {
				calls++
				if how == Full {
					refused++
				}
			}
			s.g.Counted(s.now, Tally{Name: c.name, Took: ms, Outcome: how})
		}
		s.pass(5 * ms)
		s.end(id, Answered)
	}
	return calls, refused
}

func TestCallsSettleALittleAboveWhatTheCounterTakes(t *testing.T) {
	s := thin(t)
	// The counter bears a call each 20 ms, and a few at once: far less than the two that a task each 5 ms would make.
	var free time.Duration
	calls, refused := s.crowded(4000, func(int) bool {
		if free = max(free, s.now-100*ms); free > s.now {
			return false
		}
		free += 20 * ms
		return true
	})
	if part := float64(refused) / float64(calls); part > 0.2 || calls < 200 {
		t.Errorf("%d of %d calls turned away (%.2f), want under a fifth", refused, calls, part)
	}
}

func TestACrowdedCounterHoldsRepeatsOfThinCustomersForATotal(t *testing.T) {
	s := thin(t)
	s.crowded(400, func(n int) bool { return n%3 != 0 })
	s.g.desk.heed = heedLeast // nearly no call goes out
	first, again := 0, 0
	for i := range 100 {
		s.g.desk.run = 1 // the counter answered a moment ago
		for _, repeat := range []bool{false, true} {
			id := uint32(5000 + 2*i)
			if repeat {
				id++
			}
			s.g.Take(s.now, Task{ID: id, Lane: 0, Plan: 1, Customer: uint64(9000 + i), Width: 50, Units: 1, Expires: s.now + 2*time.Second, Repeat: repeat})
			s.calls = nil
			n := s.pushed(id)
			if s.end(id, Answered); repeat {
				again += n
			} else {
				first += n
			}
		}
		s.pass(100 * ms)
	}
	if first < 85 || again > 10 {
		t.Errorf("%d first tries and %d repeats of a hundred each pushed without a total", first, again)
	}
}

func TestChargesThatTheCounterTurnsAwayStandInThoseItTakes(t *testing.T) {
	s := thin(t)
	s.crowded(1500, func(n int) bool { return n%2 == 0 }) // half of all calls are turned away
	total, tasks := 0.0, 3000
	for i := range tasks {
		id := uint32(10000 + i)
		s.g.desk.heed, s.g.desk.taken = 0.5, 0.5
		s.g.Take(s.now, Task{ID: id, Lane: 0, Plan: 1, Customer: uint64(20000 + i), Width: 50, Units: 1, Expires: s.now + 2*time.Second})
		s.calls = nil
		s.g.desk.heed, s.g.desk.taken = 0.5, 0.5
		pushed := s.pushed(id)
		s.end(id, Answered)
		for _, c := range s.calls {
			if s.g.chance.Float64() < 0.5 {
				total += c.units
			}
		}
		s.calls = nil
		if pushed == 0 {
			tasks--
		}
		s.pass(2 * ms)
	}
	if part := total / float64(tasks); part < 0.85 || part > 1.15 {
		t.Errorf("the count has %.2f of the units sent on", part)
	}
}

// Clients that repeat at once took all calls of a crowded counter from first tries.
func TestRepeatsTakeNoCallsWhileSomeAreLeftOut(t *testing.T) {
	d := site()
	d.Gateways = 40
	s := begin(t, d, 4)
	s.width, s.down = 40, true
	s.take(1, 0, 1, 1)
	s.lose()
	s.g.Take(s.now, Task{ID: 2, Plan: 1, Customer: 1, Width: 40, Units: 1, Expires: s.now + 2*time.Second,
		Repeat: true})
	s.want("reject 2 away 125ms", 1)
	if len(s.calls) != 0 {
		t.Errorf("a repeat made %d calls", len(s.calls))
	}
}
