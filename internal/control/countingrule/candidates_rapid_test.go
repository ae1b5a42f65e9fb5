package countingrule

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// committedTable is a table and the time of its commit.
type committedTable struct {
	committedAt time.Duration
	table       Table
}

// nextTable draws a step that the controller may take at now, and returns the table after it. A
// switch that the step schedules takes place at now+lead. nextTable returns false if the controller
// would do nothing.
func nextTable(t *rapid.T, table Table, now, lead time.Duration) (Table, bool) {
	nextVersion := rapid.Uint64Range(0, 2).Draw(t, "next")
	switch table.Phase {
	case PhaseIdle:
		switch {
		case nextVersion == table.FromVersion:
			return table, false
		case nextVersion == table.PreviousVersion:
			table.Phase, table.ToVersion, table.SwitchAt = PhaseRollback, nextVersion, now+lead
		case !slices.Contains(table.RefusedVersions, nextVersion):
			table.Phase, table.ToVersion = PhaseCanary, nextVersion
		}
	case PhaseCanary:
		if nextVersion == 0 {
			table.RefusedVersions = append(slices.Clone(table.RefusedVersions), table.ToVersion)
			table.Phase, table.ToVersion = PhaseIdle, table.FromVersion
		} else {
			table.Phase, table.SwitchAt = PhaseScheduled, now+lead
		}
	case PhaseScheduled, PhaseRollback:
		switch {
		case now <= table.SwitchAt:
			return table, false
		case table.Phase == PhaseScheduled && nextVersion == 0:
			table.RefusedVersions = append(slices.Clone(table.RefusedVersions), table.ToVersion)
			table.Phase, table.FromVersion, table.ToVersion, table.SwitchAt =
				PhaseRollback, table.ToVersion, table.FromVersion, now+lead
		default:
			table = Table{
				FromVersion: table.ToVersion, ToVersion: table.ToVersion,
				PreviousVersion: table.FromVersion, RefusedVersions: table.RefusedVersions,
			}
		}
	}
	return table, true
}

// findSwitchViolation draws a history of trials, switches and rollbacks, with lead between the
// commit and the time of each switch. For each time in the history, it checks a process that read
// the table at that time and never again. It describes a time at which the version in force is not
// among the process's candidates, or is not the only one although the lease is valid. It returns an
// empty string if there is no such time.
func findSwitchViolation(t *rapid.T, lead time.Duration) string {
	const lease = 20 // in the same unit as lead
	config := &Config{DesiredVersion: 2, Rules: []Rule{{Version: 1}, {Version: 2}}}
	history, now := []committedTable{{0, Table{}}}, time.Duration(0)
	for range rapid.IntRange(2, 12).Draw(t, "steps") {
		now += time.Duration(rapid.IntRange(1, 30).Draw(t, "pause"))
		if table, ok := nextTable(t, history[len(history)-1].table, now, lead); ok {
			history = append(history, committedTable{now, table})
		}
	}
	tableAt := func(at time.Duration) Table {
		table := history[0].table
		for _, step := range history {
			if step.committedAt <= at {
				table = step.table
			}
		}
		return table
	}
	for readAt := range now + 1 {
		for now := readAt; now < readAt+60; now += 3 {
			cached, current := tableAt(readAt), tableAt(now)
			inForce, status := current.InForce(now), TableExpired
			if now < readAt+lease {
				status = TableLeased
			}
			got := cached.CandidateVersions(now, status, config)
			if !slices.Contains(got, inForce) || status == TableLeased && len(got) != 1 {
				return fmt.Sprintf("version %d is in force, candidates are %v; table read at %d, now %d, history %+v",
					inForce, got, readAt, now, history)
			}
		}
	}
	return ""
}

func TestCandidateVersions_includeTheVersionInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if violation := findSwitchViolation(t, 45); violation != "" {
			t.Fatal(violation)
		}
	})
}

// The check of the test above must find a violation if the lead is shorter than the lease.
func TestCandidateVersions_checkDetectsSwitchWithinLease(t *testing.T) {
	generator := rapid.Custom(func(t *rapid.T) string { return findSwitchViolation(t, 15) })
	for seed := range 1000 {
		if generator.Example(seed) != "" {
			t.Logf("violation found after %d runs", seed+1)
			return
		}
	}
	t.Error("no violation found in 1000 runs")
}
