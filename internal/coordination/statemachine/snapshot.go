package statemachine

import (
	"maps"

	"github.com/fxamacker/cbor/v2"
)

// snapshotData is an encoded state.
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

// Snapshot encodes the whole state. Equal states make equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	return encMode.Marshal(snapshotData{s.appliedIndex, s.tables, s.totals, s.lastCommands})
}

// Restore replaces the state by a snapshot. After an error the state is unchanged.
func (s *State) Restore(snapshot []byte) error {
	var data snapshotData
	if err := cbor.Unmarshal(snapshot, &data); err != nil {
		return err
	}
	restored := New()
	restored.appliedIndex = data.Index
	maps.Copy(restored.tables, data.Tables)
	maps.Copy(restored.totals, data.Totals)
	maps.Copy(restored.lastCommands, data.LastCommands)
	*s = *restored
	return nil
}
