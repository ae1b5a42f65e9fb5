package witness

import (
	"time"

	"harrierhoist/policy"
)

// Witness keeps one gateway's counts. Not safe for use by several goroutines at once.
type Witness struct {
	halls []string
	me    int
}

// New makes a witness of a gateway in the hall of that place in the list of halls.
func New(halls []string, me int, site *policy.Deployment) *Witness { return &Witness{halls: halls, me: me} }

// Came takes that a task came in.
func (w *Witness) Came(units float64) {}

// Pushed takes a push to a server in a hall; first: it is its task's first.
func (w *Witness) Pushed(now time.Duration, hall int, units float64, first bool) {}

// Ended takes the end of a push.
func (w *Witness) Ended(now time.Duration, hall int, server uint32, how policy.Outcome, took time.Duration) {}

// Counted takes the end of a call to the counter.
func (w *Witness) Counted(late bool) {}

// Listed takes the servers listed, all of them.
func (w *Witness) Listed(list []policy.Listed) {}

// Counts gives all counts so far; it is called before each digest, each 0.2 s or so, and judges the time since the
// call before.
func (w *Witness) Counts(now time.Duration, add func(name string, n uint64)) {}

// Lost tells whether by this gateway's own evidence its own hall is lost.
func (w *Witness) Lost(now time.Duration) bool { return false }
