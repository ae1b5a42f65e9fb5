package statemachine

import (
	"bytes"
	"testing"
)

func writeCommand(proposer string, number, epoch uint64, value string) Command {
	return Command{Kind: Write, Proposer: proposer, Number: number, Table: "plan", Epoch: epoch, Value: []byte(value)}
}

// Of two concurrent writes of the same table one is applied; the other returns the current epoch.
func TestApply_writeAtAnEarlierEpochIsNotApplied(t *testing.T) {
	s := New()
	first := s.Apply(1, writeCommand("a/1", 1, 0, "x"))
	second := s.Apply(2, writeCommand("b/1", 1, 0, "y"))
	if !first.Applied || second.Applied || second.Epoch != 1 || string(s.Table("plan").Value) != "x" {
		t.Errorf("%+v, %+v, %+v", first, second, s.Table("plan"))
	}
}

// A proposer that receives no response proposes again, and both entries are committed.
func TestApply_repeatedCommandIsAppliedOnce(t *testing.T) {
	s := New()
	s.Apply(1, writeCommand("a/1", 1, 0, "x"))
	again := s.Apply(2, writeCommand("a/1", 1, 0, "x"))
	late := s.Apply(3, writeCommand("a/1", 2, 1, "y"))
	old := s.Apply(4, writeCommand("a/1", 1, 0, "x"))
	if !again.Applied || again.Epoch != 1 || !late.Applied || old.Applied || s.Table("plan").Epoch != 2 {
		t.Errorf("%+v, %+v, %+v, %+v", again, late, old, s.Table("plan"))
	}
}

// An entry that is replayed after a restart changes nothing.
func TestApply_replayedEntryChangesNothing(t *testing.T) {
	s := New()
	s.Apply(5, Command{Kind: RaiseTotals, Table: "debts", Totals: map[string]uint64{"a": 7}})
	s.Apply(6, Command{Kind: RaiseTotals, Table: "debts", Totals: map[string]uint64{"a": 3, "b": 1}})
	s.Apply(6, Command{Kind: RaiseTotals, Table: "debts", Totals: map[string]uint64{"a": 99}})
	if got := s.Totals("debts"); got["a"] != 7 || got["b"] != 1 {
		t.Errorf("totals %v", got)
	}
}

func TestSnapshot_holdsTheWholeState(t *testing.T) {
	s := New()
	s.Apply(1, writeCommand("a/1", 1, 0, "x"))
	s.Apply(2, Command{Kind: RaiseTotals, Table: "debts", Totals: map[string]uint64{"a": 7}})
	snapshot, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	again, err := restored.Snapshot()
	if err != nil || !bytes.Equal(snapshot, again) {
		t.Errorf("restored as %x, %v", again, err)
	}
	if restored.AppliedIndex() != 2 || restored.Table("plan").Epoch != 1 || restored.Totals("debts")["a"] != 7 {
		t.Errorf("restored %+v", restored)
	}
	if repeated := restored.Apply(3, writeCommand("a/1", 1, 0, "x")); !repeated.Applied || repeated.Epoch != 1 {
		t.Errorf("the result of a repeated command is lost: %+v", repeated)
	}
	if err := restored.Restore([]byte("malformed")); err == nil || restored.AppliedIndex() != 3 {
		t.Errorf("malformed snapshot: %v, index %d", err, restored.AppliedIndex())
	}
}

// Past incarnations of processes must not fill the memory of every voter.
func TestApply_oldestProposersAreEvicted(t *testing.T) {
	s := New()
	for i := range uint64(maxProposers + 100) {
		s.Apply(i+1, writeCommand(string(rune('a'+i%26))+string(rune('0'+i/26)), 1, i, "v"))
	}
	if len(s.lastCommands) > maxProposers {
		t.Errorf("%d proposers remembered", len(s.lastCommands))
	}
}
