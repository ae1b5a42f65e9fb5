package statemachine

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func drawCommand(t *rapid.T) Command {
	command := Command{Kind: rapid.SampledFrom([]Kind{Write, RaiseTotals}).Draw(t, "kind"),
		Proposer: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "by")), Number: rapid.Uint64Range(1, 6).Draw(t, "number"),
		Table: rapid.SampledFrom([]string{"plan", "rules"}).Draw(t, "table")}
	if command.Kind == Write {
		command.Epoch, command.Value = rapid.Uint64Range(0, 4).Draw(t, "epoch"), []byte(fmt.Sprint(command.Proposer, command.Number))
	} else {
		name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
		command.Totals = map[string]uint64{name: rapid.Uint64Range(0, 9).Draw(t, "n")}
	}
	return command
}

// Whatever comes, in whatever order, doubled, with restarts from snapshots between: a table's epoch grows by one with
// each write and with nothing else, totals only grow, of each proposer the numbers applied grow, and a state that was
// restored says the same as one that never was.
func TestState_invariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, other := New(), New()
		last, was := map[string]uint64{}, map[string]Command{}
		for i, command := range rapid.SliceOfN(rapid.Custom(drawCommand), 1, 60).Draw(t, "commands") {
			key := fmt.Sprint(command.Proposer, command.Number)
			if old, ok := was[key]; ok {
				command = old // a number names one command
			}
			was[key] = command
			before, totals := s.Table(command.Table), s.Totals(command.Table)
			result := s.Apply(uint64(i+1), command)
			after := s.Table(command.Table)
			fresh := command.Number > last[command.Proposer]
			wrote := fresh && command.Kind == Write && before.Epoch == command.Epoch
			if (after.Epoch == before.Epoch+1) != wrote || !wrote && after.Epoch != before.Epoch {
				t.Fatalf("%+v: epoch %d, then %d", command, before.Epoch, after.Epoch)
			}
			if wrote && (!result.Applied || !bytes.Equal(after.Value, command.Value) || result.Epoch != after.Epoch) {
				t.Fatalf("%+v: %+v, %+v", command, result, after)
			}
			for name, n := range totals {
				if s.Totals(command.Table)[name] < n {
					t.Fatalf("total %s fell", name)
				}
			}
			last[command.Proposer] = max(last[command.Proposer], command.Number)
			if rapid.Bool().Draw(t, "restart") {
				picture, err := other.Snapshot()
				if err != nil || other.Restore(picture) != nil {
					t.Fatal(err)
				}
			}
			if o := other.Apply(uint64(i+1), command); o != result {
				t.Fatalf("%+v, but restored %+v", result, o)
			}
		}
		a, _ := s.Snapshot()
		b, _ := other.Snapshot()
		if !bytes.Equal(a, b) {
			t.Fatal("states differ")
		}
	})
}
