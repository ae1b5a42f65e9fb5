package canary

import (
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/cluster"
	"harrierhoist/internal/cluster/tables"
	"harrierhoist/internal/counting"
)

func never() bool { return false }

// harmless takes a world to the moment at which a harmless rule is named.
func harmless(t *testing.T) *world {
	t.Helper()
	w := begin(limits(1.05), 1)
	w.pass(w.now+130*time.Second, w.judged)
	if v := w.value(); v.Phase != counting.Named {
		t.Fatalf("phase %d: %s", v.Phase, v.Why)
	}
	return w
}

// A rule is tried, named, watched and kept; what its canary foretold is what is let in.
func TestHarmlessRuleIsNamedAheadAndKept(t *testing.T) {
	w := harmless(t)
	v := w.value()
	if lead := v.Edge - (w.now + w.decider.Origin); lead < w.decider.Lease+2*w.decider.Wait || v.Edge%time.Second != 0 {
		t.Errorf("named %v ahead, edge %v", lead, v.Edge)
	}
	w.pass(w.now+150*time.Second, func() bool { return w.value().Phase == counting.Still })
	v = w.value()
	if v.Phase != counting.Still || v.From != 1 || v.Was != 0 || !strings.HasPrefix(v.Why, "kept") {
		t.Errorf("phase %d, from %d: %s", v.Phase, v.From, v.Why)
	}
	t.Log(v.Why)
}

// Harm is refused, once: the rule is not tried again.
func TestHarmfulRuleIsRefusedForGood(t *testing.T) {
	w := begin(limits(0.5), 1)
	w.pass(w.now+130*time.Second, w.judged)
	v := w.value()
	if v.Phase != counting.Still || v.From != 0 || len(v.Refused) != 1 || !strings.Contains(v.Why, "canary.rejected") {
		t.Errorf("phase %d, from %d: %s", v.Phase, v.From, v.Why)
	}
	epoch := w.table.Epoch
	w.pass(w.now+5*time.Second, never)
	if w.table.Epoch != epoch {
		t.Error("it is tried again")
	}
}

// Too little asked to tell: at the deadline that means no.
func TestUndecidedAtTheDeadlineMeansNo(t *testing.T) {
	w := begin(limits(1), 1)
	clear(w.demand)
	for i := range w.next {
		w.next[i] = 2 * w.now
	}
	w.pass(w.now+130*time.Second, w.judged)
	if v := w.value(); v.Phase != counting.Still || v.From != 0 || !strings.HasPrefix(v.Why, "undecided") {
		t.Errorf("phase %d, from %d: %s", v.Phase, v.From, v.Why)
	}
}

// A new leader has another monotonic clock and sums that begin anew; it goes on where the table stands.
func TestNewLeaderGoesOnWithTheTrial(t *testing.T) {
	w := begin(limits(0.75), 4)
	w.pass(w.now+20*time.Second, never)
	x, _ := decode(w.value().Test)
	w.offset, w.led = w.sums(), w.now
	w.decider = &Decider{Terms: w.decider.Terms, Lease: w.decider.Lease, Wait: w.decider.Wait, Origin: w.decider.Origin}
	w.pass(w.now+5*time.Second, never)
	if y, _ := decode(w.value().Test); y.Next != x.Next {
		t.Errorf("cells %d to %d are looked at before digests came", x.Next, y.Next)
	}
	w.pass(w.now+100*time.Second, w.judged)
	y, _ := decode(w.value().Test)
	if v := w.value(); !w.judged() || v.From != 0 || y.Bets[0].N <= x.Bets[0].N || y.Sums[tasks] < x.Sums[tasks] {
		t.Errorf("phase %d after cells %d to %d, %d to %d tasks: %s", v.Phase, x.Next, y.Next, x.Sums[tasks],
			y.Sums[tasks], v.Why)
	}
}

// After the edge a third of what is let in by the rule fails: that was not foretold, so the earlier rule comes back at
// an edge of its own, and the later one is not tried again.
func TestUndoneWhereWhatIsSeenLeavesWhatWasForetold(t *testing.T) {
	w := harmless(t)
	w.outage = 0.33
	w.pass(w.now+150*time.Second, func() bool { return w.value().Phase == counting.Back })
	v := w.value()
	if v.Phase != counting.Back || v.From != 1 || v.To != 0 || v.Edge < w.now+w.decider.Origin+w.decider.Lease {
		t.Fatalf("phase %d, %d to %d: %s", v.Phase, v.From, v.To, v.Why)
	}
	t.Log(v.Why)
	w.pass(w.now+30*time.Second, never)
	if v = w.value(); v.Phase != counting.Still || v.From != 0 || len(v.Refused) != 1 {
		t.Errorf("phase %d, from %d, refused %v", v.Phase, v.From, v.Refused)
	}
}

// decideOnce has a decider decide on a table.
func decideOnce(terms *counting.Terms, table counting.Table) (counting.Table, bool) {
	d := &Decider{Terms: func() *counting.Terms { return terms }, Lease: time.Second, Wait: time.Second}
	value, write := d.Decide(time.Hour, cluster.Seen{Held: func(string) tables.Entry {
		return tables.Entry{Epoch: 3, Value: table.Encode()}
	}})
	t, _ := counting.Decode(value)
	return t, write
}

// The way back that an operator asks for needs no trial: the rule before was in force already. It waits for an edge
// that is still to come, as no switch is taken back before it.
func TestOperatorsGoBackWithoutATrial(t *testing.T) {
	file := &counting.Terms{Canary: trial()}
	still := counting.Table{From: 1, To: 1, Was: 0, Rules: []counting.Rule{limits(1)}}
	if v, ok := decideOnce(file, still); !ok || v.Phase != counting.Back || v.To != 0 || v.Edge <= time.Hour {
		t.Errorf("%v, %+v", ok, v)
	}
	named := counting.Table{Phase: counting.Named, From: 0, To: 1, Edge: time.Hour + time.Second,
		Rules: []counting.Rule{limits(1)}}
	if v, ok := decideOnce(file, named); ok {
		t.Errorf("taken back before its edge: %+v", v)
	}
	named.Edge = time.Hour - 2*time.Second
	if v, ok := decideOnce(file, named); !ok || v.Phase != counting.Back || v.From != 1 || v.To != 0 {
		t.Errorf("%v, %+v", ok, v)
	}
}

// A rule that cannot be sampled beside the one in force is refused, and the refusal says why.
func TestRuleThatCannotBeSampledIsRefused(t *testing.T) {
	one := counting.Rule{Version: 1, Key: []string{"group"}, Mask: 0xff00, Limits: []counting.Limit{{Plan: "*",
		Rate: 1, Burst: 1}}}
	two := one
	two.Version, two.Mask = 2, 0x00ff
	file := &counting.Terms{Try: 2, Rules: []counting.Rule{one, two}, Canary: trial()}
	v, ok := decideOnce(file, counting.Table{From: 1, To: 1, Rules: []counting.Rule{one}})
	if !ok || v.Phase != counting.Still || v.From != 1 || len(v.Refused) != 1 || !strings.Contains(v.Why, "in common") {
		t.Errorf("%v, %+v", ok, v)
	}
}
