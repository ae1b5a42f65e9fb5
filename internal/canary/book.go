package canary

import (
	"time"

	"harrierhoist/internal/counting"
	"harrierhoist/policy"
)

// book is a key as one side sees it.
type book struct {
	key     uint64
	plan    policy.Plan
	window  counting.Window
	at      time.Duration // of the latest total
	room    float64       // then
	pending float64       // let in and not yet brought to the counter
	due     time.Duration // when that goes alone; 0: nothing does
	used    time.Duration
	opened  int64 // the latest window whose carry we saw to
}

// look takes a total. A window not seen before starts with no more than what came since the latest look at the one
// before: that guards against two bursts at a window's edge.
func (b *book) look(w counting.Window, at time.Duration, total float64) float64 {
	room := counting.Room(&b.plan, w, at, total)
	if w.Nth > b.window.Nth {
		room = min(room, b.room+b.plan.Rate*(at-b.at).Seconds())
	}
	b.window, b.at, b.room = w, at, room
	return room
}

// guess is the room without a total: that of the latest look and what came since.
func (b *book) guess(now time.Duration) float64 {
	return min(b.room+b.plan.Rate*max(now-b.at, 0).Seconds(), b.plan.Burst)
}

// asked is a call that is out.
type asked struct {
	side   int
	book   *book
	window counting.Window
	at     time.Duration
	sum    float64
	try    *try // nil: it brought units alone
	carry  bool // it read the window before, for what that lacked at its end
}

// try is one task on both sides.
type try struct {
	task   Task
	open   int // sides that wait for a total
	letIn  [2]bool
	beyond float64
	blind  bool
}

// Task is a task as the play sees it.
type Task struct {
	Customer   uint64
	Lane, Plan int
	Units      float64
}
