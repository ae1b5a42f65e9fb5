// Package tables is the state that all voters hold alike: small tables with an epoch each, totals that only grow, and
// which numbered commands were applied. It knows no sockets, no disk and no clock: the same commands in the same
// order give the same state.
package tables

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
	Write Kind = iota + 1 // sets a table that stands at the epoch named; its epoch grows by one
	Raise                 // raises totals to what is told, where that is more; it has no epoch and may be repeated
)

// Command is one entry of the log. By and Number name it: of each By the numbers are applied in growing order, each once.
type Command struct {
	Kind   Kind              `cbor:"1,keyasint"`
	By     string            `cbor:"2,keyasint"` // who proposed it: a process in one of its lives
	Number uint64            `cbor:"3,keyasint"` // from 1; 0: not numbered, as it may be applied again (Raise alone)
	Table  string            `cbor:"4,keyasint"`
	Epoch  uint64            `cbor:"5,keyasint"` // Write: the epoch that the table must stand at; 0: it was never written
	Value  []byte            `cbor:"6,keyasint"` // Write
	Totals map[string]uint64 `cbor:"7,keyasint"` // Raise
}

// Result is what became of a command.
type Result struct {
	Applied bool   `cbor:"Applied"` // false: the table stands at another epoch, or the command was applied before
	Epoch   uint64 `cbor:"Epoch"`   // of the table, after the command
}

// Entry is a table as it stands.
type Entry struct {
	Epoch uint64 `cbor:"1,keyasint"` // 0: never written
	Value []byte `cbor:"2,keyasint"`
	Index uint64 `cbor:"3,keyasint"` // of the log entry that wrote it
}

// State is all of it. Not safe for use by several goroutines at once.
type State struct {
	index  uint64
	tables map[string]Entry
	totals map[string]map[string]uint64
	done   map[string]done // by By
}

type done struct {
	Number uint64 `cbor:"1,keyasint"`
	Result Result `cbor:"2,keyasint"`
	Index  uint64 `cbor:"3,keyasint"` // when: the longest past are forgotten first
}

// doneMost is how many proposers are remembered: more lives of processes than propose within the time in which any of
// them still repeats a command.
const doneMost = 4096

// New makes an empty state.
func New() *State {
	return &State{tables: map[string]Entry{}, totals: map[string]map[string]uint64{}, done: map[string]done{}}
}

// Apply applies the command at an index of the log. An index at or below the latest changes nothing.
func (s *State) Apply(index uint64, c Command) Result {
	if index <= s.index {
		return Result{Epoch: s.tables[c.Table].Epoch}
	}
	s.index = index
	if c.Number > 0 {
		if was, ok := s.done[c.By]; ok && c.Number <= was.Number {
			if c.Number == was.Number {
				return was.Result
			}
			return Result{Epoch: s.tables[c.Table].Epoch}
		}
	}
	r := s.apply(index, c)
	if c.Number > 0 {
		s.done[c.By] = done{c.Number, r, index}
		s.forget()
	}
	return r
}

func (s *State) apply(index uint64, c Command) Result {
	switch c.Kind {
	case Write:
		e := s.tables[c.Table]
		if e.Epoch != c.Epoch {
			return Result{Epoch: e.Epoch}
		}
		s.tables[c.Table] = Entry{Epoch: e.Epoch + 1, Value: slices.Clone(c.Value), Index: index}
		return Result{Applied: true, Epoch: e.Epoch + 1}
	case Raise:
		t := s.totals[c.Table]
		if t == nil {
			t = map[string]uint64{}
			s.totals[c.Table] = t
		}
		for name, n := range c.Totals {
			t[name] = max(t[name], n)
		}
		return Result{Applied: true}
	}
	return Result{}
}

// forget drops the proposer that was longest silent once there are too many.
func (s *State) forget() {
	if len(s.done) <= doneMost {
		return
	}
	oldest := slices.MinFunc(slices.Sorted(maps.Keys(s.done)), func(a, b string) int {
		return cmp.Compare(s.done[a].Index, s.done[b].Index)
	})
	delete(s.done, oldest)
}

// Index is that of the latest log entry applied.
func (s *State) Index() uint64 { return s.index }

// Table is a table as it stands.
func (s *State) Table(name string) Entry { return s.tables[name] }

// Since gives the tables that stand at a later epoch than known names; 0: never heard of.
func (s *State) Since(known map[string]uint64) map[string]Entry {
	found := map[string]Entry{}
	for name, e := range s.tables {
		if e.Epoch > known[name] {
			found[name] = e
		}
	}
	return found
}

// Totals are the totals of a table. The map is the caller's.
func (s *State) Totals(table string) map[string]uint64 { return maps.Clone(s.totals[table]) }

// picture is a state on disk or on the way.
type picture struct {
	Index  uint64                       `cbor:"1,keyasint"`
	Tables map[string]Entry             `cbor:"2,keyasint"`
	Totals map[string]map[string]uint64 `cbor:"3,keyasint"`
	Done   map[string]done              `cbor:"4,keyasint"`
}

var mode = func() cbor.EncMode {
	m, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the library's own options
	}
	return m
}()

// Snapshot gives the whole state as bytes: the same state, the same bytes.
func (s *State) Snapshot() ([]byte, error) {
	return mode.Marshal(picture{s.index, s.tables, s.totals, s.done})
}

// Restore puts a snapshot in place of the state. An error leaves the state as it was.
func (s *State) Restore(snapshot []byte) error {
	var p picture
	if err := cbor.Unmarshal(snapshot, &p); err != nil {
		return err
	}
	fresh := New()
	fresh.index = p.Index
	maps.Copy(fresh.tables, p.Tables)
	maps.Copy(fresh.totals, p.Totals)
	maps.Copy(fresh.done, p.Done)
	*s = *fresh
	return nil
}
