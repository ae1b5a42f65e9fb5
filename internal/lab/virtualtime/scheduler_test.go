package virtualtime

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// recorder notes which events ran when.
type recorder struct {
	*Scheduler
	ran []string
}

func newRecorder(start time.Duration) *recorder { return &recorder{Scheduler: New(start)} }

func (r *recorder) note(name string) func() {
	return func() { r.ran = append(r.ran, fmt.Sprint(name, "@", r.Now())) }
}

func (r *recorder) expect(t *testing.T, want ...string) {
	t.Helper()
	if !slices.Equal(r.ran, want) {
		t.Errorf("ran %v, want %v", r.ran, want)
	}
}

func TestScheduler_ordersByTimeThenByScheduling(t *testing.T) {
	r := newRecorder(0)
	r.At(2*time.Second, r.note("c"))
	r.At(time.Second, r.note("a"))
	r.At(2*time.Second, r.note("d"))
	r.After(time.Second, r.note("b"))
	for r.Step() {
	}
	r.expect(t, "a@1s", "b@1s", "c@2s", "d@2s")
}

// Many events at few times check the heap.
func TestScheduler_ordersDrawnEvents(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	type entry struct {
		at    time.Duration
		order int
	}
	var scheduled, ran []entry
	s := New(0)
	for order := range 2000 {
		e := entry{time.Duration(rng.IntN(50)), order}
		scheduled = append(scheduled, e)
		s.At(e.at, func() { ran = append(ran, e) })
	}
	for s.Step() {
	}
	slices.SortStableFunc(scheduled, func(a, b entry) int { return int(a.at - b.at) })
	if !slices.Equal(ran, scheduled) {
		t.Error("events ran in another order")
	}
}

func TestScheduler_pastEventsRunNow(t *testing.T) {
	r := newRecorder(time.Minute)
	r.At(time.Minute, r.note("first"))
	r.At(time.Second, r.note("late"))
	r.After(-time.Hour, r.note("later"))
	r.RunUntil(time.Minute)
	r.expect(t, "first@1m0s", "late@1m0s", "later@1m0s")
}

func TestScheduler_eventsOfAnEventRunInTheSameRun(t *testing.T) {
	r := newRecorder(0)
	r.At(time.Second, func() {
		r.note("a")()
		r.After(0, r.note("b"))
		r.After(time.Second, r.note("c"))
		r.After(2*time.Second, r.note("d"))
	})
	r.RunUntil(2 * time.Second)
	r.expect(t, "a@1s", "b@1s", "c@2s")
}

func TestScheduler_clockAfterARun(t *testing.T) {
	s := New(0)
	s.At(time.Second, func() {})
	s.At(3*time.Second, func() {})
	s.RunUntil(2 * time.Second)
	if s.Now() != time.Second {
		t.Errorf("after RunUntil %v", s.Now())
	}
	if at, ok := s.Next(); !ok || at != 3*time.Second {
		t.Errorf("next %v, %v", at, ok)
	}
	s.AdvanceTo(2 * time.Second)
	if s.Now() != 2*time.Second {
		t.Errorf("after AdvanceTo %v", s.Now())
	}
	s.AdvanceTo(time.Second)
	if s.Now() != 2*time.Second {
		t.Errorf("the clock went back to %v", s.Now())
	}
	s.AdvanceTo(time.Minute)
	if _, ok := s.Next(); ok || s.Step() || s.Now() != time.Minute {
		t.Errorf("events are left at %v", s.Now())
	}
}

func TestScheduler_everyRunsUntilItReturnsFalse(t *testing.T) {
	r := newRecorder(0)
	r.Every(time.Second, 2*time.Second, func() bool {
		r.note("tick")()
		return len(r.ran) < 3
	})
	for r.Step() {
	}
	r.expect(t, "tick@1s", "tick@3s", "tick@5s")
}

func TestScheduler_beforeEventSeesTimeAndSequence(t *testing.T) {
	var s Scheduler
	var seen []string
	s.BeforeEvent = func(at time.Duration, sequence uint64) { seen = append(seen, fmt.Sprint(at, " ", sequence)) }
	s.At(2*time.Second, func() {})
	s.At(time.Second, func() { s.After(0, func() {}) })
	s.RunUntil(time.Minute)
	if want := []string{"1s 2", "1s 3", "2s 1"}; !slices.Equal(seen, want) || s.Scheduled() != 3 {
		t.Errorf("seen %v, want %v; %d scheduled", seen, want, s.Scheduled())
	}
}

func TestScheduler_tieBreakOrdersSimultaneousEvents(t *testing.T) {
	numbers := []uint64{3, 1, 2, 1, 0}
	var order []int
	var s Scheduler
	s.TieBreak = func() uint64 {
		next := numbers[0]
		numbers = numbers[1:]
		return next
	}
	for i := range 4 {
		s.At(time.Second, func() { order = append(order, i) })
	}
	s.At(2*time.Second, func() { order = append(order, 4) })
	s.RunUntil(2 * time.Second)
	if want := []int{1, 3, 2, 0, 4}; !slices.Equal(order, want) {
		t.Errorf("order %v, want %v", order, want)
	}
}
