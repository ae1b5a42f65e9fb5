package canary

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"harrierhoist/internal/cluster"
	"harrierhoist/internal/counting"
)

const (
	settleIn = 10 * time.Second // counts that began full, and digests on their way
	askedLow = 1000             // thousandths of a unit: a cell with less asked says nothing
	blindTop = 0.25             // part of the tasks played without a total above which no rule is taken
	watchGap = 10 * time.Second // between two looks at what came of an activation
	seenLow  = 200_000          // thousandths of a unit in such a look: fewer say little
	leaves   = 2                // looks in a row that must tell of another part let in: one may be a moment's
	skewMost = 500 * time.Millisecond
	edgeStep = time.Second // edges are whole seconds of the common clock, easy to find in a log
)

// Decider walks the table: still, canary, named (and watched), and back where what is seen leaves what was foretold.
// It guards against a rule that rejects, lets in or overruns more than the terms allow. Harm: a rule whose keys are too
// few or too far apart is refused undecided.
type Decider struct {
	Terms  func() *counting.Terms // those of the file as last read; they may change between two calls of Decide
	Lease  time.Duration          // of the table, at every process
	Wait   time.Duration          // the longest that a read of the table waits
	Origin time.Duration          // the common clock when now was 0

	terms  *counting.Terms
	epoch  uint64
	base   map[string]uint64 // the sums that stood in Test.Sums when it was written
	made   []byte            // the value proposed last, and the sums it was made of
	madeOf map[string]uint64
	since  time.Duration
}

// New makes a decider of a file's terms. Lease and wait are those of the table's readers; origin is the common clock,
// nanoseconds since 1970 by the wall, when the clock that Decide is told was 0: within skewMost is near enough.
func New(terms func() *counting.Terms, lease, wait, origin time.Duration) *Decider {
	return &Decider{Terms: terms, Lease: lease, Wait: wait, Origin: origin}
}

// Table is the decider's.
func (d *Decider) Table() string { return counting.Name }

// Decide gives the next value.
func (d *Decider) Decide(now time.Duration, seen cluster.Seen) ([]byte, bool) {
	entry := seen.Held(counting.Name)
	t, err := counting.Decode(entry.Value)
	if err != nil {
		return nil, false // written by a later program: left alone
	}
	if entry.Epoch != d.epoch || seen.Since != d.since || d.base == nil {
		d.base = seen.Sums
		if bytes.Equal(entry.Value, d.made) && seen.Since == d.since && d.madeOf != nil {
			d.base = d.madeOf
		}
		d.epoch, d.since = entry.Epoch, seen.Since
	}
	test, err := decode(t.Test)
	if err != nil {
		return nil, false
	}
	at := d.Origin + now
	d.terms = d.Terms()
	if !d.step(at, now-seen.Since, &t, &test, seen.Sums) {
		return nil, false
	}
	t.Test = test.encode()
	d.made, d.madeOf = t.Encode(), seen.Sums
	return d.made, true
}

// edge is the next that every process hears of in time or knows that it did not: an entry written now is in every
// read sent after, so a lease that covers a later moment than now and a lease has heard of it. Two waits more let
// most processes hear before their lease could end, and clocks may differ by skewMost.
func (d *Decider) edge(at time.Duration) time.Duration {
	lead := d.Lease + 2*d.Wait + 2*skewMost + time.Duration(d.terms.Canary.LeadMS)*time.Millisecond
	return (at + lead + edgeStep - 1) / edgeStep * edgeStep
}

// step moves the table and tells whether it moved.
func (d *Decider) step(at, led time.Duration, t *counting.Table, test *Test, sums map[string]uint64) bool {
	past := at >= t.Edge+skewMost
	switch t.Phase {
	case counting.Still:
		return d.begin(at, t, test)
	case counting.Canary:
		return d.judge(at, led, t, test, sums)
	case counting.Named:
		if !past {
			return false
		}
		if d.terms.Try == t.From && d.terms.Try != t.To { // the operators want the earlier rule again
			d.back(at, t, "as the file says", false)
			return true
		}
		return d.watch(at, t, test, sums)
	case counting.Back:
		if past {
			*t = counting.Table{Phase: counting.Still, From: t.To, To: t.To, Was: t.From, Rules: t.Rules, Refused: t.Refused,
				Since: at, Why: t.Why}
			*test = Test{}
			return true
		}
	}
	return false
}

// begin takes up the rule that the file names, if it is another than the one in force and was not refused.
func (d *Decider) begin(at time.Duration, t *counting.Table, test *Test) bool {
	try := d.terms.Try
	if try == t.From || slices.Contains(t.Refused, try) {
		return false
	}
	i := slices.IndexFunc(d.terms.Rules, func(r counting.Rule) bool { return r.Version == try })
	t.Rules = slices.DeleteFunc(slices.Clone(t.Rules), func(r counting.Rule) bool {
		return r.Version != t.From && r.Version != t.Was
	})
	if _, known := t.Rule(try); !known && i >= 0 {
		t.Rules = append(t.Rules, d.terms.Rules[i])
	}
	next, _ := t.Rule(try)
	if try == t.Was { // it held before: going back needs no trial
		t.Phase, t.To, t.Edge, t.Since, t.Why = counting.Back, try, d.edge(at), at, "as the file says"
		return true
	}
	old, _ := t.Rule(t.From)
	t.Seed, t.Since, t.To, t.Trial = counting.Mix(try, uint64(at)), at, try, d.terms.Canary
	if _, err := NewSample(old, next, t.Seed, d.terms.Canary.Sample); err != nil {
		d.refuse(at, t, err.Error())
		return true
	}
	t.Phase, t.Why = counting.Canary, "as the file says"
	*test = Test{}
	return true
}

func (d *Decider) refuse(at time.Duration, t *counting.Table, why string) {
	t.Refused = append(slices.Clone(t.Refused), t.To)
	t.Phase, t.To, t.Since, t.Why = counting.Still, t.From, at, why
}

// back undoes an activation: the same step the other way.
func (d *Decider) back(at time.Duration, t *counting.Table, why string, refused bool) {
	if refused {
		t.Refused = append(slices.Clone(t.Refused), t.To)
	}
	t.Phase, t.From, t.To, t.Edge, t.Since, t.Why = counting.Back, t.To, t.From, d.edge(at), at, why
}

// judge looks at the cells whose time has come and gives the verdict where there is one.
func (d *Decider) judge(at, led time.Duration, t *counting.Table, test *Test, sums map[string]uint64) bool {
	c := &t.Trial
	deadline := time.Duration(c.DeadlineS) * time.Second
	if d.terms.Try != t.To {
		t.Phase, t.To, t.Since, t.Why = counting.Still, t.From, at, "the file names another rule"
		*test = Test{}
		return true
	}
	if at >= t.Since+deadline {
		d.refuse(at, t, "undecided at the deadline")
		return true
	}
	if led < settleIn {
		return false // digests of all processes are still to come
	}
	moved, mark := false, Mark(t.Seed)
	gap := (deadline - 2*settleIn) / Cells
	for ; test.Next < Cells && at >= t.Since+settleIn+time.Duration(test.Next+1)*gap; test.Next++ {
		moved = true
		asked := float64(sums[cellName(mark, test.Next, asks)])
		if asked < askedLow {
			continue
		}
		sum := func(what string) float64 { return float64(sums[cellName(mark, test.Next, what)]) }
		test.take(c, asked, sum(oldOnly), sum(newOnly), sum(beyonds))
	}
	if !moved {
		return false
	}
	test.gather(mark, d.base, sums)
	wrong := float64(c.WrongThousandths) / 1000
	yes := float64(test.Sums[blinds]) <= blindTop*float64(test.Sums[tasks])
	for i, what := range []string{"rejected", "let_in", "beyond"} {
		b := &test.Bets[i]
		yes = yes && b.Harmless(wrong)
		if b.Harmful(wrong / 3) { // any of the three refuses: together wrong as often as one may be
			d.refuse(at, t, fmt.Sprintf("canary.%s: %.4f of a key's units in the mean of %d cells", what, b.Mean(), b.N))
			return true
		}
	}
	if yes {
		test.Foretold = test.foretell(t.From)
		t.Phase, t.Edge, t.Since, t.Why = counting.Named, d.edge(at), at, fmt.Sprintf("harmless by %d cells", test.Bets[0].N)
	}
	return true
}

// watch compares what is let in after the activation with what was foretold. It ends after a while.
func (d *Decider) watch(at time.Duration, t *counting.Table, test *Test, sums map[string]uint64) bool {
	c := &t.Trial
	if at >= t.Edge+time.Duration(c.WatchS)*time.Second {
		*t = counting.Table{Phase: counting.Still, From: t.To, To: t.To, Was: t.From, Rules: t.Rules, Refused: t.Refused,
			Since: at, Why: fmt.Sprintf("kept: %.3f let in, %.3f foretold", test.Seen, test.Foretold)}
		*test = Test{}
		return true
	}
	if at < t.Edge+settleIn+time.Duration(test.Looks+1)*watchGap {
		return false
	}
	test.Looks = int((at - t.Edge - settleIn) / watchGap)
	test.gather(Mark(t.Seed), d.base, sums)
	asked, in := test.taken(t.To)
	if asked-test.Asked < seenLow {
		return true
	}
	test.Seen = float64(in-test.In) / float64(asked-test.Asked)
	test.Asked, test.In = asked, in
	if off := test.Seen - test.Foretold; max(off, -off)*1000 <= float64(c.Leave) {
		test.Left = 0
	} else if test.Left++; test.Left >= leaves {
		d.back(at, t, fmt.Sprintf("%.3f of the units are let in, %.3f were foretold", test.Seen, test.Foretold), true)
	}
	return true
}
