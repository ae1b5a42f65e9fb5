package statemachine

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func drawCommand(t *rapid.T) Command {
	command := Command{
		Kind:     rapid.SampledFrom([]Kind{Write, RaiseTotals}).Draw(t, "kind"),
		Proposer: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "proposer")),
		Number:   rapid.Uint64Range(1, 6).Draw(t, "number"),
		Table:    rapid.SampledFrom([]string{"plan", "rules"}).Draw(t, "table"),
	}
	if command.Kind == Write {
		command.Epoch = rapid.Uint64Range(0, 4).Draw(t, "epoch")
		command.Value = []byte(fmt.Sprint(command.Proposer, command.Number))
	} else {
		name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
		command.Totals = map[string]uint64{name: rapid.Uint64Range(0, 9).Draw(t, "total")}
	}
	return command
}

// checkedState applies commands and checks what must hold for each.
type checkedState struct {
	*State
	lastNumber map[string]uint64  // applied, by proposer
	commands   map[string]Command // by proposer and number
}

// identify returns the earlier command with the same proposer and number, which a repeated one has
// to equal.
func (s *checkedState) identify(command Command) Command {
	key := fmt.Sprint(command.Proposer, command.Number)
	if earlier, ok := s.commands[key]; ok {
		return earlier
	}
	s.commands[key] = command
	return command
}

func (s *checkedState) apply(t *rapid.T, index uint64, command Command) Result {
	t.Helper()
	before := s.Table(command.Table)
	totals := s.Totals(command.Table)
	result := s.Apply(index, command)
	after := s.Table(command.Table)
	fresh := command.Number > s.lastNumber[command.Proposer]
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
	s.lastNumber[command.Proposer] = max(s.lastNumber[command.Proposer], command.Number)
	return result
}

// For any commands in any order, repeated ones included: each write increments a table's epoch and
// nothing else does, totals never decrease, the numbers applied of each proposer increase, and a
// state that was restored from a snapshot equals one that never was.
func TestState_invariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := checkedState{New(), map[string]uint64{}, map[string]Command{}}
		restored := New()
		for i, command := range rapid.SliceOfN(rapid.Custom(drawCommand), 1, 60).Draw(t, "commands") {
			command = state.identify(command)
			result := state.apply(t, uint64(i+1), command)
			if rapid.Bool().Draw(t, "restart") {
				snapshot, err := restored.Snapshot()
				if err != nil || restored.Restore(snapshot) != nil {
					t.Fatal(err)
				}
			}
			if other := restored.Apply(uint64(i+1), command); other != result {
				t.Fatalf("%+v, but restored %+v", result, other)
			}
		}
		a, errA := state.Snapshot()
		b, errB := restored.Snapshot()
		if errA != nil || errB != nil || !bytes.Equal(a, b) {
			t.Fatalf("states differ: %v, %v", errA, errB)
		}
	})
}
