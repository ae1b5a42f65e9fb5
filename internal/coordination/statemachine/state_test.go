package statemachine

import (
	"bytes"
	"testing"
)

func writeCommand(by string, number, epoch uint64, value string) Command {
	return Command{Kind: Write, Proposer: by, Number: number, Table: "plan", Epoch: epoch, Value: []byte(value)}
}

// Two that decide at once on the same table: one of them is written, the other hears where the table stands.
func TestApply_writeAtAnEarlierEpochIsNotApplied(t *testing.T) {
	s := New()
	first, second := s.Apply(1, writeCommand("a/1", 1, 0, "x")), s.Apply(2, writeCommand("b/1", 1, 0, "y"))
	if !first.Applied || second.Applied || second.Epoch != 1 || string(s.Table("plan").Value) != "x" {
		t.Errorf("%+v, %+v, %+v", first, second, s.Table("plan"))
	}
}

// A proposer that hears no answer proposes again; both come into the log.
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

// An entry that a restart plays again changes nothing.
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
	one, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	r := New()
	if err := r.Restore(one); err != nil {
		t.Fatal(err)
	}
	two, _ := r.Snapshot()
	if !bytes.Equal(one, two) || r.AppliedIndex() != 2 || r.Table("plan").Epoch != 1 || r.Totals("debts")["a"] != 7 {
		t.Errorf("restored %+v", r)
	}
	if again := r.Apply(3, writeCommand("a/1", 1, 0, "x")); !again.Applied || again.Epoch != 1 {
		t.Errorf("forgot what was applied: %+v", again)
	}
	if err := r.Restore([]byte("spoilt")); err == nil || r.AppliedIndex() != 3 {
		t.Errorf("took a spoilt snapshot: %v, index %d", err, r.AppliedIndex())
	}
}

// Proposers that are gone must not fill the memory of every voter.
func TestApply_oldestProposersAreEvicted(t *testing.T) {
	s := New()
	for i := range uint64(maxProposers + 100) {
		s.Apply(i+1, writeCommand(string(rune('a'+i%26))+string(rune('0'+i/26)), 1, i, "v"))
	}
	if len(s.lastCommands) > maxProposers {
		t.Errorf("%d proposers remembered", len(s.lastCommands))
	}
}
