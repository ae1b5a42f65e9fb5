package statemachine

import (
	"bytes"
	"testing"

	"harrierhoist/internal/testing/golden"
)

// A log that the version before wrote holds these commands: their bytes must mean the same and stay
// the same.
func TestGolden_commandsAndResults(t *testing.T) {
	for name, test := range map[string]struct {
		value any
		want  string
	}{
		"write": {
			&Command{Kind: Write, Proposer: "g1/7", Number: 9, Table: "plan", Epoch: 4, Value: []byte("value")},
			goldenWrite,
		},
		"raise": {
			&Command{Kind: RaiseTotals, Table: "exact", Totals: map[string]uint64{"a": 7, "b": 1 << 40}},
			goldenRaise,
		},
		"result": {&Result{Applied: true, Epoch: 5}, goldenResult},
		"entry":  {&Table{Epoch: 5, Value: []byte("value"), Index: 77}, goldenEntry},
	} {
		t.Run(name, func(t *testing.T) {
			golden.CheckCBOR(t, encMode.Marshal, test.value, test.want)
		})
	}
}

const (
	goldenWrite  = "a70101026467312f3703090464706c616e0504064576616c756507f6"
	goldenRaise  = "a701020260030004656578616374050006f607a261610761621b0000010000000000"
	goldenResult = "a26545706f636805674170706c696564f5"
	goldenEntry  = "a30105024576616c756503184d"
)

// goldenState is what the snapshot under testdata was made of: tables written, rejected and
// repeated, and totals.
func goldenState() *State {
	s := New()
	for i, command := range []Command{
		writeCommand("g1/1", 1, 0, "first"),
		writeCommand("g2/1", 1, 0, "refused"),
		writeCommand("g1/1", 2, 1, "second"),
		writeCommand("g1/1", 2, 1, "repeated"),
		{Kind: Write, Proposer: "g2/2", Number: 1, Table: "rules", Value: []byte{0, 1, 0xff}},
		{
			Kind: RaiseTotals, Table: "exact",
			Totals: map[string]uint64{"g1\x1f7\x1fowed": 12, "g2\x1f1\x1fowed": 1 << 33},
		},
		{
			Kind: RaiseTotals, Proposer: "g3/1", Number: 4, Table: "exact",
			Totals: map[string]uint64{"g1\x1f7\x1fowed": 11},
		},
		{Kind: Write, Proposer: "g3/1", Number: 5, Table: "empty"},
		{Kind: 9, Proposer: "g3/1", Number: 6, Table: "unknown"},
	} {
		s.Apply(uint64(10+i), command)
	}
	return s
}

// A snapshot that the version before wrote is read, and written again byte for byte.
func TestGolden_snapshot(t *testing.T) {
	want := golden.ReadHex(t, "snapshot.hex")
	if got, err := goldenState().Snapshot(); err != nil || !bytes.Equal(got, want) {
		t.Errorf("written as %x, %v", got, err)
	}
	s := New()
	if err := s.Restore(want); err != nil {
		t.Fatal(err)
	}
	if got, err := s.Snapshot(); err != nil || !bytes.Equal(got, want) {
		t.Errorf("written again as %x, %v", got, err)
	}
}

// What a snapshot of the version before means.
func TestGolden_snapshotContent(t *testing.T) {
	s := New()
	if err := s.Restore(golden.ReadHex(t, "snapshot.hex")); err != nil {
		t.Fatal(err)
	}
	if plan, rules := s.Table("plan"), s.Table("rules"); s.AppliedIndex() != 18 || string(plan.Value) != "second" ||
		plan.Epoch != 2 || plan.Index != 12 || !bytes.Equal(rules.Value, []byte{0, 1, 0xff}) ||
		s.Totals("exact")["g1\x1f7\x1fowed"] != 12 {
		t.Errorf("read as %+v", s)
	}
	if again := s.Apply(19, writeCommand("g1/1", 2, 1, "repeated")); !again.Applied || again.Epoch != 2 {
		t.Errorf("the result of a repeated command is %+v", again)
	}
}
