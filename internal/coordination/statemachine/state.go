// Package statemachine decides what each command of the replicated log changes: small tables with
// an epoch each, totals that only grow, and the last command of each proposer. Package consensus
// applies the log to it on every voter. It has no I/O and no clock: the same commands in the same
// order make the same state.
package statemachine

import (
	"cmp"
	"maps"
	"slices"
)

// Table is the current value of a table.
type Table struct {
	Epoch uint64 `cbor:"1,keyasint"` // number of writes so far; 0: never written
	Value []byte `cbor:"2,keyasint"`
	Index uint64 `cbor:"3,keyasint"` // of the log entry that wrote it
}

// State is the whole state. It is not safe for concurrent use.
type State struct {
	appliedIndex uint64                       // of the last log entry applied; it only grows
	tables       map[string]Table             // by name
	totals       map[string]map[string]uint64 // by table and name
	lastCommands map[string]lastCommand       // by proposer
}

// lastCommand is the last numbered command of a proposer.
type lastCommand struct {
	Number uint64 `cbor:"1,keyasint"`
	Result Result `cbor:"2,keyasint"`
	Index  uint64 `cbor:"3,keyasint"` // of its log entry: the proposer with the lowest is evicted first
}

// maxProposers is how many proposers are remembered. One that is forgotten must not repeat a
// command.
const maxProposers = 4096

// New makes an empty state.
func New() *State {
	return &State{
		tables:       map[string]Table{},
		totals:       map[string]map[string]uint64{},
		lastCommands: map[string]lastCommand{},
	}
}

// Apply applies the command at an index of the log. An index that was applied before changes
// nothing.
func (s *State) Apply(index uint64, command Command) Result {
	if index <= s.appliedIndex {
		return Result{Epoch: s.tables[command.Table].Epoch}
	}
	s.appliedIndex = index
	if command.Number == 0 {
		return s.execute(index, command)
	}
	last, isKnown := s.lastCommands[command.Proposer]
	switch {
	case isKnown && command.Number == last.Number:
		return last.Result // the proposer did not receive it and proposed again
	case isKnown && command.Number < last.Number:
		return Result{Epoch: s.tables[command.Table].Epoch}
	}
	result := s.execute(index, command)
	s.lastCommands[command.Proposer] = lastCommand{command.Number, result, index}
	s.evictOldestProposer()
	return result
}

// execute decides whether a command that was not applied before changes the state: a write only at
// the epoch that it is based on, totals only where they grow.
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

// evictOldestProposer forgets the proposer whose last command is the oldest, if there are too many.
func (s *State) evictOldestProposer() {
	if len(s.lastCommands) <= maxProposers {
		return
	}
	oldest := slices.MinFunc(slices.Sorted(maps.Keys(s.lastCommands)), func(a, b string) int {
		return cmp.Compare(s.lastCommands[a].Index, s.lastCommands[b].Index)
	})
	delete(s.lastCommands, oldest)
}

// AppliedIndex returns the index of the last log entry applied.
func (s *State) AppliedIndex() uint64 { return s.appliedIndex }

// Table returns the current value of a table.
func (s *State) Table(name string) Table { return s.tables[name] }

// ChangedSince returns the tables whose epoch is later than the known one. Known epochs are by
// table; 0 stands for a table that was never received.
func (s *State) ChangedSince(known map[string]uint64) map[string]Table {
	changed := map[string]Table{}
	for name, table := range s.tables {
		if table.Epoch > known[name] {
			changed[name] = table
		}
	}
	return changed
}

// Totals returns the totals of a table by name. The map is the caller's.
func (s *State) Totals(table string) map[string]uint64 { return maps.Clone(s.totals[table]) }
