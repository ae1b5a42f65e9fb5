package counting

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// wrong draws a history of trials, switches and ways back, as the decider writes it with edges so far ahead, and a
// process that reads the table once, at any time. It tells where what truly holds is not among what the process goes by
// some time after, or is not all of it while the lease of 20 stands.
func wrong(t *rapid.T, lead time.Duration) string {
	const lease = 20
	file := &Terms{Try: 2, Rules: []Rule{{Version: 1}, {Version: 2}}}
	type entry struct {
		at    time.Duration
		table Table
	}
	history, now := []entry{{0, Table{}}}, time.Duration(0)
	for range rapid.IntRange(2, 12).Draw(t, "steps") {
		v := history[len(history)-1].table
		now += time.Duration(rapid.IntRange(1, 30).Draw(t, "pause"))
		next := rapid.Uint64Range(0, 2).Draw(t, "next")
		moved := (v.Phase == Named || v.Phase == Back) && now > v.Edge
		switch {
		case v.Phase == Still && next == v.From || (v.Phase == Named || v.Phase == Back) && !moved:
			continue
		case v.Phase == Still && next == v.Was:
			v.Phase, v.To, v.Edge = Back, next, now+lead
		case v.Phase == Still && !slices.Contains(v.Refused, next):
			v.Phase, v.To = Canary, next
		case v.Phase == Canary && next == 0:
			v.Refused = append(slices.Clone(v.Refused), v.To)
			v.Phase, v.To = Still, v.From
		case v.Phase == Canary:
			v.Phase, v.Edge = Named, now+lead
		case v.Phase == Named && next == 0:
			v.Refused = append(slices.Clone(v.Refused), v.To)
			v.Phase, v.From, v.To, v.Edge = Back, v.To, v.From, now+lead
		case moved:
			v = Table{From: v.To, To: v.To, Was: v.From, Refused: v.Refused}
		}
		history = append(history, entry{now, v})
	}
	at := func(when time.Duration) Table {
		table := history[0].table
		for _, e := range history {
			if e.at <= when {
				table = e.table
			}
		}
		return table
	}
	for read := range now + 1 {
		for when := read; when < read+60; when += 3 {
			seen, truth := at(read), at(when)
			holds, held := truth.InForce(when), when < read+lease
			got := seen.Standing(when, held, true, file)
			if !slices.Contains(got, holds) || held && len(got) != 1 {
				return fmt.Sprintf("%d holds, %v stand; read at %d, now %d, %+v", holds, got, read, when, history)
			}
		}
	}
	return ""
}

func TestWhatHoldsIsAlwaysAmongWhatStands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if why := wrong(t, 45); why != "" {
			t.Fatal(why)
		}
	})
}

// The same check finds an edge that is nearer than a lease.
func TestEdgeNearerThanALeaseIsFound(t *testing.T) {
	gen := rapid.Custom(func(t *rapid.T) string { return wrong(t, 15) })
	for runs := range 1000 {
		if gen.Example(runs) != "" {
			t.Logf("found after %d runs", runs+1)
			return
		}
	}
	t.Error("not found in 1000 runs")
}
