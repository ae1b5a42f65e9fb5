package policy

import (
	"slices"
	"testing"
	"time"
)

func TestCounterLost(t *testing.T) {
	s := begin(t, site(), 4)
	s.take(1, 0, 1, 2)
	s.end(1, Answered)
	s.down = true
	lost := func(id uint32, o Outcome) {
		s.take(id, 0, 1, 2)
		for _, c := range s.calls {
			s.pass(30 * ms)
			s.g.Counted(s.now, Tally{Name: c.name, Outcome: o})
		}
		s.calls = nil
	}
	for id := uint32(2); id <= 12; id++ {
		lost(id, []Outcome{TimedOut, Full, NoConnect}[id%3])
		if s.pushed(id) > 0 {
			s.end(id, Answered)
		}
	}
	sent := 0
	for id := uint32(2); id <= 12; id++ {
		sent += 2 * s.pushed(id)
	}
	// 8 of 10 units were left, and the other gateway of the set may use as much as we: 4, and a little refill.
	if sent < 2 || sent > 6 {
		t.Errorf("%d units sent on while the counter was lost, want about 4", sent)
	}
	s.calls = nil
	for id := uint32(20); id < 40; id++ {
		s.take(id, 0, 0, 1)
	}
	if len(s.calls) > 10 {
		t.Errorf("%d calls for 20 tasks to a lost counter, want most left out", len(s.calls))
	}
	s.calls, s.down = nil, false
	for id := uint32(50); id < 250; id++ {
		s.pass(50 * ms)
		s.take(id, 0, 0, 1)
		s.end(id, Answered)
	}
	calls := len(s.did)
	s.take(250, 0, 0, 1)
	s.take(251, 0, 0, 1)
	if !slices.ContainsFunc(s.did[calls:], func(d string) bool { return d[:5] == "count" }) {
		t.Error("the counter answers again, and is not asked")
	}
}

func TestSilentCounterCostsPartOfTheSoftLimit(t *testing.T) {
	d := site()
	d.CountLimit = time.Second
	s := begin(t, d, 2)
	s.down = true
	s.take(1, 0, 0, 1)
	s.pass(130 * ms)
	s.wantPushed(1, 1)
	for _, c := range s.calls {
		s.g.Counted(s.now, Tally{Name: c.name}) // late, and harmless
	}
	s.wantPushed(1, 1)
}

func TestCounterComesBackEmpty(t *testing.T) {
	s := begin(t, site(), 2)
	for id := uint32(1); id <= 5; id++ {
		s.take(id, 0, 1, 1.9)
		s.end(id, Answered)
	}
	clear(s.count)
	s.take(6, 0, 1, 1.9)
	s.wantPushed(6, 0)
}

func TestCrowdedCounterIsAskedForCustomersNearTheirLimit(t *testing.T) {
	s := begin(t, site(), 2)
	asked := map[int]int{}
	for id := uint32(1); id <= 400; id++ {
		plan := int(id % 2)
		s.g.desk.heed = heedLeast
		b := s.g.desk.open(Task{Customer: uint64(plan), Plan: plan})
		b.filled, b.left = s.now, []float64{4000, 2}[plan] // one has all of its store, one hardly anything
		before := len(s.calls)
		s.g.Take(s.now, Task{ID: id, Customer: uint64(plan), Plan: plan, Width: 2, Units: 1, Expires: s.now + 2*time.Second})
		asked[plan] += len(s.calls) - before
		s.end(id, Answered)
	}
	if asked[0] > 30 || asked[1] < 60 {
		t.Errorf("asked %d times for a customer with all of its store, %d times for one near its limit", asked[0], asked[1])
	}
}

func TestLateTotalIsWaitedForAndCounts(t *testing.T) {
	s := begin(t, site(), 2)
	s.down = true
	s.take(1, 0, 1, 1)
	s.pass(60 * ms) // beyond the limit that the simulator's counter has
	s.wantPushed(1, 0)
	s.g.Counted(s.now, Tally{Name: s.calls[0].name, Total: 50, Took: 60 * ms})
	s.want("reject 1 away 500ms", 1)
	if s.g.desk.heed >= 1 {
		t.Error("a late answer is no sign of a crowded counter")
	}
}

// The meter's word was dropped: without a total a customer that used little was held to what one gateway of forty may
// send on if all send as much.
func TestAMeterStandsInWhereNoTotalComes(t *testing.T) {
	for use, pushes := range map[float64]int{0: 0, 1.1: 1, 2.5: 0} {
		d := site()
		d.Gateways, d.Meter = 40, time.Second
		s := begin(t, d, 4)
		s.width, s.down = 40, true
		s.take(1, 0, 1, 1)
		s.lose()
		s.g.Ended(s.now, Push{Task: 1, Server: s.pushes[0].server, Outcome: Answered, Took: 20 * ms, Done: true,
			Use: use})
		s.take(2, 0, 1, 1)
		s.lose()
		s.wantPushed(2, pushes)
	}
}

func TestCustomersWhoCameOnceAndServersThatAreGoneAreForgotten(t *testing.T) {
	s := begin(t, site(), 2)
	for id := uint32(1); id <= 500; id++ {
		s.g.Take(s.now, Task{ID: id, Customer: uint64(id), Width: 2, Units: 1, Expires: s.now + 2*time.Second})
		s.counter()
		s.end(id, Answered)
		s.g.List(s.now, ListChanges, []Listed{{Server: 100 + id, Stage: Ready, Power: 1}, {Server: 99 + id, Stage: Gone}})
		s.pass(time.Second)
	}
	if n, m := len(s.g.desk.books), len(s.g.desk.customers); n > 130 || n != m {
		t.Errorf("%d books of %d customers are kept", n, m)
	}
	if n, m := len(s.g.fleet.servers), len(s.g.fleet.places); n > 4 || n != m {
		t.Errorf("%d servers in %d places are kept", n, m)
	}
}
