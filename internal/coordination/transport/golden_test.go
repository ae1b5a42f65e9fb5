package transport

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
	"harrierhoist/internal/testing/golden"
)

// Golden values: bytes under testdata/golden were written by the code before its names changed.
// Maps in them have one entry, as those on the wire have no order.

func goldenMembers() []coordination.Member {
	return []coordination.Member{
		{Number: 1, Name: "v1", Address: "127.0.0.1:7411", DiskID: "00112233445566778899aabbccddeeff"},
		{Number: 4, Name: "v4", Address: "[::1]:7414"},
	}
}

func goldenInfo() VoterInfo {
	return VoterInfo{
		Number: 7, Name: "v7", DiskID: "ffeeddccbbaa99887766554433221100",
		Started: true, Incarnation: 1764633600123456789,
		Status:  coordination.Status{Number: 7, Leader: 4, Term: 19, Applied: 1 << 33, Members: goldenMembers()},
		Address: "127.0.0.1:7417", InitialMembers: goldenMembers()[:1],
	}
}

func goldenBatch() MessageBatch {
	return MessageBatch{To: 7, Messages: [][]byte{[]byte("first\x00"), {}, bytes.Repeat([]byte{0xfe}, 300)}}
}

func goldenReadRequest() ReadRequest {
	return ReadRequest{KnownEpochs: map[string]uint64{"plan": 1 << 20}, Wait: 1500 * time.Millisecond}
}

func goldenDigests() []observation.Digest {
	return []observation.Digest{
		{
			Process: "g1", Incarnation: 1764633600000000001, Serial: 42, Session: 3,
			Counts: map[string]uint64{"push\x1fhall-a\x1fhall-b\x1fok": 70000},
			Exact:  map[string]uint64{"owed\x1fnorth\x1fsouth": 24},
		},
		{Process: "g2", Incarnation: 2, Serial: 1},
	}
}

func goldenWrite() statemachine.Command {
	return statemachine.Command{
		Kind: statemachine.Write, Proposer: "v1/3", Number: 9, Table: "plan", Epoch: 5, Value: []byte("value\x00\xff"),
	}
}

func goldenRaise() statemachine.Command {
	totals := map[string]uint64{"g1\x1f7\x1fowed": 300}
	return statemachine.Command{Kind: statemachine.RaiseTotals, Proposer: "v1/3", Table: "exact", Totals: totals}
}

func goldenTables() map[string]statemachine.Table {
	return map[string]statemachine.Table{"plan": {Epoch: 6, Value: []byte("value"), Index: 1234}}
}

// Each body that processes send each other is read as it was, and written again byte for byte.
func TestGolden_bodies(t *testing.T) {
	for _, row := range []struct {
		file  string
		value any
	}{
		{"standing", goldenInfo()},
		{"standing-not-begun", VoterInfo{
			Number: 2, Name: "v2", DiskID: "00", Incarnation: 5, Address: "127.0.0.1:7412",
		}},
		{"messages", goldenBatch()},
		{"messages-none", MessageBatch{To: 1 << 40}},
		{"digests", goldenDigests()},
		{"read-question", goldenReadRequest()},
		{"read-question-first", ReadRequest{}},
		{"read-answer", Response{Tables: goldenTables(), GroupID: []byte("0123456789abcdef")}},
		{"read-answer-nothing", Response{}},
		{"propose-write", goldenWrite()},
		{"propose-raise", goldenRaise()},
		{"propose-unnumbered", statemachine.Command{Kind: statemachine.Write, Proposer: "v1/3", Table: "plan"}},
		{"propose-kind", statemachine.Command{Kind: 9, Proposer: "v1/3", Number: 1, Table: "plan"}},
		{"propose-answer", Response{Result: statemachine.Result{Applied: true, Epoch: 6}}},
		{"propose-answer-fault", Response{Error: "not leader"}},
	} {
		t.Run(row.file, func(t *testing.T) {
			want := golden.Read(t, "golden/"+row.file+".cbor")
			read := reflect.New(reflect.TypeOf(row.value))
			err := readBody(bytes.NewReader(want), int64(len(want)), maxBodyBytes, checksum(want), read.Interface())
			if err != nil {
				t.Fatal(err)
			}
			if d := cmp.Diff(row.value, read.Elem().Interface()); d != "" {
				t.Errorf("read: %s", d)
			}
			for _, value := range []any{row.value, read.Interface()} {
				written, err := encoding.Marshal(value)
				if err != nil {
					t.Fatal(err)
				}
				golden.Check(t, "golden/"+row.file+".cbor", written)
			}
		})
	}
}

// The words that stand for a voter's errors on the wire.
func TestGolden_errorWords(t *testing.T) {
	for word, wireErr := range map[string]error{
		"not leader": coordination.ErrNotLeader,
		"unknown":    coordination.ErrOutcomeUnknown,
		"no quorum":  coordination.ErrNoQuorum,
		"stopped":    coordination.ErrStopped,
		"":           nil,
	} {
		if got := encodeError(wireErr); got != word {
			t.Errorf("%v is sent as %q, not %q", wireErr, got, word)
		}
		if got := decodeError(word); !isSame(got, wireErr) {
			t.Errorf("%q is heard as %v, not %v", word, got, wireErr)
		}
	}
	if got := encodeError(fmt.Errorf("there: %w", coordination.ErrOutcomeUnknown)); got != "unknown" {
		t.Errorf("a wrapped one is sent as %q", got)
	}
	if got := encodeError(errors.New("one of its own")); got != "one of its own" || decodeError(got).Error() != got {
		t.Errorf("another is sent as %q", got)
	}
}

// The check sum of a body: 16 hex digits.
func TestGolden_checksum(t *testing.T) {
	for body, want := range map[string]string{"": "ef46db3751d8e999", "harrierhoist": "d741cf924965a240"} {
		if got := checksum([]byte(body)); got != want {
			t.Errorf("%q: %s, not %s", body, got, want)
		}
	}
}
