package statemachine

// Kind is what a command does.
type Kind uint8

// The kinds of command.
const (
	// Write sets a table whose current epoch is the command's, and increments that epoch.
	Write Kind = iota + 1
	// RaiseTotals raises totals that are lower than the command's. It has no epoch and may be
	// repeated.
	RaiseTotals
)

// Command is what a log entry applies to the state. Proposer and Number identify it: of each
// proposer, commands are applied in the order of their numbers, each once.
type Command struct {
	Kind     Kind              `cbor:"1,keyasint"`
	Proposer string            `cbor:"2,keyasint"` // one incarnation of a process
	Number   uint64            `cbor:"3,keyasint"` // from 1; 0: not numbered, as it may be repeated (RaiseTotals only)
	Table    string            `cbor:"4,keyasint"`
	Epoch    uint64            `cbor:"5,keyasint"` // Write: the table's current epoch; 0: never written
	Value    []byte            `cbor:"6,keyasint"` // Write
	Totals   map[string]uint64 `cbor:"7,keyasint"` // RaiseTotals, by name
}

// Result is what came of a command.
type Result struct {
	Applied bool   `cbor:"Applied"` // false: the table was at another epoch, or a later command was applied before
	Epoch   uint64 `cbor:"Epoch"`   // of the table after the command
}
