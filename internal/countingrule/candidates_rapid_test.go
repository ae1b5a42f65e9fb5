package countingrule

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// switchViolation draws a history of trials, switches and ways back, as the decider writes it with edges so far ahead, and a
// process that reads the table once, at any time. It tells where what truly holds is not among what the process goes by
// some time after, or is not all of it while the lease of 20 stands.
func switchViolation(t *rapid.T, lead time.Duration) string {
	const lease = 20
	config := &Config{DesiredVersion: 2, Rules: []Rule{{Version: 1}, {Version: 2}}}
	type entry struct {
		at    time.Duration
		table Table
	}
	history, now := []entry{{0, Table{}}}, time.Duration(0)
	for range rapid.IntRange(2, 12).Draw(t, "steps") {
		table := history[len(history)-1].table
		now += time.Duration(rapid.IntRange(1, 30).Draw(t, "pause"))
		next := rapid.Uint64Range(0, 2).Draw(t, "next")
		moved := (table.Phase == PhaseScheduled || table.Phase == PhaseRollback) && now > table.SwitchAt
		switch {
		case table.Phase == PhaseIdle && next == table.From || (table.Phase == PhaseScheduled || table.Phase == PhaseRollback) && !moved:
			continue
		case table.Phase == PhaseIdle && next == table.Previous:
			table.Phase, table.To, table.SwitchAt = PhaseRollback, next, now+lead
		case table.Phase == PhaseIdle && !slices.Contains(table.Refused, next):
			table.Phase, table.To = PhaseCanary, next
		case table.Phase == PhaseCanary && next == 0:
			table.Refused = append(slices.Clone(table.Refused), table.To)
			table.Phase, table.To = PhaseIdle, table.From
		case table.Phase == PhaseCanary:
			table.Phase, table.SwitchAt = PhaseScheduled, now+lead
		case table.Phase == PhaseScheduled && next == 0:
			table.Refused = append(slices.Clone(table.Refused), table.To)
			table.Phase, table.From, table.To, table.SwitchAt = PhaseRollback, table.To, table.From, now+lead
		case moved:
			table = Table{From: table.To, To: table.To, Previous: table.From, Refused: table.Refused}
		}
		history = append(history, entry{now, table})
	}
	tableAt := func(at time.Duration) Table {
		table := history[0].table
		for _, step := range history {
			if step.at <= at {
				table = step.table
			}
		}
		return table
	}
	for readAt := range now + 1 {
		for at := readAt; at < readAt+60; at += 3 {
			known, truth := tableAt(readAt), tableAt(at)
			inForce, leased := truth.InForce(at), at < readAt+lease
			got := known.CandidateVersions(at, leased, true, config)
			if !slices.Contains(got, inForce) || leased && len(got) != 1 {
				return fmt.Sprintf("%d holds, %v stand; read at %d, now %d, %+v", inForce, got, readAt, at, history)
			}
		}
	}
	return ""
}

func TestCandidateVersions_includeTheVersionInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if violation := switchViolation(t, 45); violation != "" {
			t.Fatal(violation)
		}
	})
}

// The same check finds an edge that is nearer than a lease.
func TestCandidateVersions_checkFindsSwitchWithinALease(t *testing.T) {
	gen := rapid.Custom(func(t *rapid.T) string { return switchViolation(t, 15) })
	for runs := range 1000 {
		if gen.Example(runs) != "" {
			t.Logf("found after %d runs", runs+1)
			return
		}
	}
	t.Error("not found in 1000 runs")
}
