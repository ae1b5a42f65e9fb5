package witness

import (
	"time"

	"harrierhoist/policy"
)

const (
	// standing is the longest time between two digests that a gateway answers for: what it stood still beyond that it
	// saw nothing of.
	standing = 500 * time.Millisecond
	// memory is how long the last outcome of a server counts: a few rounds of a gateway with few tasks, and of the
	// pauses that the module leaves a failed server.
	memory = 6 * time.Second
	// runLeast is how many servers must have failed, with no answer of any between, to be a loss at once, whatever was
	// well before; of a hall half of which is dead a gateway sees that now and then, but not most gateways at once.
	runLeast = 3
	// fresh is how far back nothing was well, for a server or two that failed to say as much: a gateway with few tasks.
	// One is ill, two are a loss. What one gateway so takes for more than it is, others do not.
	fresh      = time.Second
	freshLeast = 2
	// silenceLeast and silenceTimes say when no answer at all, with pushes out, is one ill outcome of the whole hall:
	// so much time, and so many usual answer times.
	silenceLeast = 500 * time.Millisecond
	silenceTimes = 3.0
	// usualOver is over how many answers the usual time is taken.
	usualOver = 16.0
	// lostAfter is how long a gateway's own hall must look lost before it goes by that alone.
	lostAfter = time.Second
)

// The ways in which a push ends, for evidence.
const (
	well = "well"
	ill  = "ill"
	full = "full"
	late = "late"
)

// last is a server's latest outcome.
type last struct {
	at   time.Duration
	well bool
}

// seen is what a gateway knows of a hall.
type seen struct {
	known   map[uint32]last
	run     map[uint32]bool // servers that failed since any answered
	out     int
	waiting time.Duration // since when no answer came with a push out; 0: none is waited for
	usual   time.Duration // of answers

	judged             [Sound + 1]uint64
	ended              [3]uint64 // well, ill, full
	pushed, took       float64   // thousandths of units; milliseconds
	strength           float64   // listed and warm
	cold               []policy.Listed
	ready              [Bands]uint64
	sum                [Bands]float64
	judgedAs           [Sound + 1]string // the names of all these
	endedAs            [3]string
	pushedAs, tookAs   string
	readyAs, strengths [Bands]string
}

// Witness keeps one gateway's counts. Not safe for use by several goroutines at once.
type Witness struct {
	halls     []*seen
	me        int
	coldFrom  float64
	warmAfter time.Duration

	at, awake time.Duration
	listed    bool
	since     time.Duration // when our own hall began to look lost; 0: it does not
	lost      bool

	came, let            float64
	calls                [2]uint64 // well, late
	time, cameAs, letAs  string
	callsWell, callsLate string
}

// New makes a witness of a gateway in the hall of that place in the list of halls.
func New(halls []string, me int, site *policy.Deployment) *Witness {
	own := halls[me]
	w := &Witness{me: me, time: Time(own), cameAs: Came(own), letAs: Let(own), callsWell: Count(own, well),
		callsLate: Count(own, late)}
	w.Reshape(site)
	for _, to := range halls {
		h := &seen{known: map[uint32]last{}, run: map[uint32]bool{}, pushedAs: Pushed(own, to), tookAs: Took(own, to)}
		for q := range h.judgedAs {
			h.judgedAs[q] = Judged(own, to, q)
		}
		for i, how := range Hows() {
			h.endedAs[i] = Ended(own, to, how)
		}
		for b := range Bands {
			h.readyAs[b], h.strengths[b] = Ready(to, b), Strength(to, b)
		}
		w.halls = append(w.halls, h)
	}
	return w
}

// Reshape takes how servers warm up from new settings.
func (w *Witness) Reshape(site *policy.Deployment) {
	w.coldFrom, w.warmAfter = site.ColdFrom, site.WarmAfter
}

func (w *Witness) hall(n int) *seen { return w.halls[min(max(n, 0), len(w.halls)-1)] }

// Came takes that a task came in.
func (w *Witness) Came(units float64) { w.came += units * 1000 }

// Shed takes that a first try was rejected before any push for want of room, by a plan that sheds or by the module after
// the quota let it in: it is demand like those pushed. It guards a crowded hall, whose gateways turn away what would have to
// move, against looking merely full. Repeats count neither here nor when pushed, so that a task counts once; counted when
// pushed, they had a plan shed 2% more than it must. Harm: a client that doesn't mark its repeats counts with each.
func (w *Witness) Shed(units float64) { w.let += units * 1000 }

// Pushed takes a push to a server in a hall; first: it is the first of a task that its client doesn't ask for again.
func (w *Witness) Pushed(now time.Duration, hall int, units float64, first bool) {
	h := w.hall(hall)
	h.pushed += units * 1000
	if first {
		w.let += units * 1000
	}
	if h.out++; h.waiting == 0 {
		h.waiting = now
	}
}

// Ended takes the end of a push. One called off after a silence is ill; else what was called off tells nothing, and
// what was turned away unseen tells of a server that lives.
func (w *Witness) Ended(now time.Duration, hall int, server uint32, how policy.Outcome, took time.Duration) {
	h := w.hall(hall)
	h.out = max(h.out-1, 0)
	said := 1
	switch how {
	case policy.Answered:
		said = 0
		h.took += float64(took) / float64(time.Millisecond)
		h.usual += time.Duration(float64(took-h.usual) / usualOver)
	case policy.Full:
		said = 2
	case policy.Cancelled, policy.Moot:
		if how == policy.Moot || took < h.silence() {
			return
		}
	}
	h.ended[said]++
	h.known[server] = last{now, said != 1}
	if said == 1 {
		h.run[server] = true
	} else {
		clear(h.run)
	}
	if how != policy.Cancelled && how != policy.TimedOut {
		if h.waiting = 0; h.out > 0 {
			h.waiting = now
		}
	}
}

func (h *seen) silence() time.Duration {
	return max(silenceLeast, time.Duration(silenceTimes*float64(h.usual)))
}

// Counted takes the end of a call to the counter.
func (w *Witness) Counted(late bool) {
	if late {
		w.calls[1]++
	} else {
		w.calls[0]++
	}
}

// Listed takes the servers listed, all of them, as they stand at a time.
func (w *Witness) Listed(now time.Duration, list []policy.Listed) {
	for _, h := range w.halls {
		h.strength, h.cold = 0, h.cold[:0]
	}
	for _, l := range list {
		switch h := w.hall(l.Hall); {
		case l.Stage != policy.Ready:
		case w.warmth(now, l) < 1:
			h.cold = append(h.cold, l)
		default:
			h.strength += power(l)
		}
	}
	w.listed = true
}

func power(l policy.Listed) float64 {
	if l.Power > 0 {
		return l.Power
	}
	return 1
}

// warmth is the part of its strength that a server surely has, as the module takes it.
func (w *Witness) warmth(now time.Duration, l policy.Listed) float64 {
	if l.Since <= 0 || w.warmAfter <= 0 {
		return 1
	}
	grown := float64(now-l.Since) / float64(w.warmAfter)
	return min(1, w.coldFrom+(1-w.coldFrom)*max(grown, 0))
}

// strong is a hall's listed strength now.
func (w *Witness) strong(now time.Duration, h *seen) float64 {
	sum := h.strength
	for _, l := range h.cold {
		sum += power(l) * w.warmth(now, l)
	}
	return sum
}
