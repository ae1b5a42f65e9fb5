// Package tables is the state that all voters hold alike: small tables with an epoch each, totals that only grow, and
// which numbered commands were applied. It knows no sockets, no disk and no clock: the same commands in the same
// order give the same state.
package statemachine

import (
	"cmp"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// Kind is what a command does.
type Kind uint8

// The kinds of command.
const (
	Write       Kind = iota + 1 // sets a table that stands at the epoch named; its epoch grows by one
	RaiseTotals                 // raises totals to what is told, where that is more; it has no epoch and may be repeated
)

// Command is one entry of the log. By and Number name it: of each By the numbers are applied in growing order, each once.
type Command struct {
	Kind     Kind              `cbor:"1,keyasint"`
	Proposer string            `cbor:"2,keyasint"` // who proposed it: a process in one of its lives
	Number   uint64            `cbor:"3,keyasint"` // from 1; 0: not numbered, as it may be applied again (Raise alone)
	Table    string            `cbor:"4,keyasint"`
	Epoch    uint64            `cbor:"5,keyasint"` // Write: the epoch that the table must stand at; 0: it was never written
	Value    []byte            `cbor:"6,keyasint"` // Write
	Totals   map[string]uint64 `cbor:"7,keyasint"` // Raise
}

// Result is what became of a command.
type Result struct {
	Applied bool   `cbor:"Applied"` // false: the table stands at another epoch, or the command was applied before
	Epoch   uint64 `cbor:"Epoch"`   // of the table, after the command
}

// Table is a table as it stands.
type Table struct {
	Epoch uint64 `cbor:"1,keyasint"` // 0: never written
	Value []byte `cbor:"2,keyasint"`
	Index uint64 `cbor:"3,keyasint"` // of the log entry that wrote it
}

// State is all of it. Not safe for use by several goroutines at once.
type State struct {
	appliedIndex uint64
	tables       map[string]Table
	totals       map[string]map[string]uint64
	lastCommands map[string]lastCommand // by By
}

type lastCommand struct {
	Number uint64 `cbor:"1,keyasint"`
	Result Result `cbor:"2,keyasint"`
	Index  uint64 `cbor:"3,keyasint"` // when: the longest past are forgotten first
}

// maxProposers is how many proposers are remembered: more lives of processes than propose within the time in which any of
// them still repeats a command.
const maxProposers = 4096

// New makes an empty state.
func New() *State {
	return &State{tables: map[string]Table{}, totals: map[string]map[string]uint64{}, lastCommands: map[string]lastCommand{}}
}

// Apply applies the command at an index of the log. An index at or below the latest changes nothing.
func (s *State) Apply(index uint64, command Command) Result {
	if index <= s.appliedIndex {
		return Result{Epoch: s.tables[command.Table].Epoch}
	}
	s.appliedIndex = index
	if command.Number > 0 {
		if last, ok := s.lastCommands[command.Proposer]; ok && command.Number <= last.Number {
			if command.Number == last.Number {
				return last.Result
			}
			return Result{Epoch: s.tables[command.Table].Epoch}
		}
	}
	result := s.execute(index, command)
	if command.Number > 0 {
		s.lastCommands[command.Proposer] = lastCommand{command.Number, result, index}
		s.evictOldestProposer()
	}
	return result
}

func (s *State) execute(index uint64, command Command) Result {
	switch command.Kind {
	case Write:
		table := s.tables[command.Table]
		if table.Epoch != command.Epoch {
			return Result{Epoch: table.Epoch}
		}
		s.tables[command.Table] = Table{Epoch: table.Epoch + 1, Value: slices.Clone(command.Value), Index: index}
		return Result{Applied: true, Epoch: table.Epoch + 1}
	case RaiseTotals:
		totals := s.totals[command.Table]
		if totals == nil {
			totals = map[string]uint64{}
			s.totals[command.Table] = totals
		}
		for name, n := range command.Totals {
			totals[name] = max(totals[name], n)
		}
		return Result{Applied: true}
	}
	return Result{}
}

// evictOldestProposer drops the proposer that was longest silent once there are too many.
func (s *State) evictOldestProposer() {
	if len(s.lastCommands) <= maxProposers {
		return
	}
	oldest := slices.MinFunc(slices.Sorted(maps.Keys(s.lastCommands)), func(a, b string) int {
		return cmp.Compare(s.lastCommands[a].Index, s.lastCommands[b].Index)
	})
	delete(s.lastCommands, oldest)
}

// AppliedIndex is that of the latest log entry applied.
func (s *State) AppliedIndex() uint64 { return s.appliedIndex }

// Table is a table as it stands.
func (s *State) Table(name string) Table { return s.tables[name] }

// ChangedSince gives the tables that stand at a later epoch than known names; 0: never heard of.
func (s *State) ChangedSince(known map[string]uint64) map[string]Table {
	found := map[string]Table{}
	for name, table := range s.tables {
		if table.Epoch > known[name] {
			found[name] = table
		}
	}
	return found
}

// Totals are the totals of a table. The map is the caller's.
func (s *State) Totals(table string) map[string]uint64 { return maps.Clone(s.totals[table]) }

// snapshotData is a state on disk or on the way.
type snapshotData struct {
	Index        uint64                       `cbor:"1,keyasint"`
	Tables       map[string]Table             `cbor:"2,keyasint"`
	Totals       map[string]map[string]uint64 `cbor:"3,keyasint"`
	LastCommands map[string]lastCommand       `cbor:"4,keyasint"`
}

var encMode = func() cbor.EncMode {
	m, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the library's own options
	}
	return m
}()

// Snapshot gives the whole state as bytes: the same state, the same bytes.
func (s *State) Snapshot() ([]byte, error) {
	return encMode.Marshal(snapshotData{s.appliedIndex, s.tables, s.totals, s.lastCommands})
}

// Restore puts a snapshot in place of the state. An error leaves the state as it was.
func (s *State) Restore(snapshot []byte) error {
	var decoded snapshotData
	if err := cbor.Unmarshal(snapshot, &decoded); err != nil {
		return err
	}
	restored := New()
	restored.appliedIndex = decoded.Index
	maps.Copy(restored.tables, decoded.Tables)
	maps.Copy(restored.totals, decoded.Totals)
	maps.Copy(restored.lastCommands, decoded.LastCommands)
	*s = *restored
	return nil
}
