package golden

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// recorder notes whether a check failed, in place of failing the test.
type recorder struct {
	testing.TB
	failed bool
}

func (r *recorder) Helper()               {}
func (r *recorder) Errorf(string, ...any) { r.failed = true }

type pair struct {
	A int `cbor:"1,keyasint"`
	B int `cbor:"2,keyasint"`
}

const pairHex = "a201010202" // {1: 1, 2: 2}

func TestChecks_failOnAnyDifference(t *testing.T) {
	errBroken := errors.New("broken")
	encode := func(n int) ([]byte, error) { return json.Marshal(n) }
	decode := func(stored []byte) (n int, err error) { return n, json.Unmarshal(stored, &n) }
	for name, test := range map[string]struct {
		check func(testing.TB)
		fails bool
	}{
		"same bytes":        {func(t testing.TB) { Check(t, "three.hex", []byte("0a0b0c\n")) }, false},
		"another byte":      {func(t testing.TB) { Check(t, "three.hex", []byte("0a0b0d\n")) }, true},
		"a byte too few":    {func(t testing.TB) { Check(t, "three.hex", []byte("0a0b0c")) }, true},
		"same encoding":     {func(t testing.TB) { CheckCBOR(t, cbor.Marshal, pair{1, 2}, pairHex) }, false},
		"same of a pointer": {func(t testing.TB) { CheckCBOR(t, cbor.Marshal, &pair{1, 2}, pairHex) }, false},
		"another encoding":  {func(t testing.TB) { CheckCBOR(t, cbor.Marshal, pair{1, 3}, pairHex) }, true},
		"an encoding fault": {func(t testing.TB) { CheckCBOR(t, func(any) ([]byte, error) { return nil, errBroken }, 1, "01") }, true},
		"not what it reads": {func(t testing.TB) { CheckCBOR(t, func(any) ([]byte, error) { return []byte{1}, nil }, 2, "01") }, true},
		"of another type":   {func(t testing.TB) { CheckCBOR(t, func(any) ([]byte, error) { return []byte{1}, nil }, "1", "01") }, true},
		"null for a pointer": {func(t testing.TB) {
			CheckCBOR(t, func(any) ([]byte, error) { return []byte{0xf6}, nil }, &pair{}, "f6")
		}, true},
		"stored":            {func(t testing.TB) { CheckStored(t, []byte("7"), 7, encode, decode) }, false},
		"stored otherwise":  {func(t testing.TB) { CheckStored(t, []byte(" 7"), 7, encode, decode) }, true},
		"another is stored": {func(t testing.TB) { CheckStored(t, []byte("8"), 7, encode, decode) }, true},
		"stored damaged":    {func(t testing.TB) { CheckStored(t, []byte("x"), 7, encode, decode) }, true},
		"read as another": {func(t testing.TB) {
			CheckStored(t, []byte("7"), 7, encode, func([]byte) (int, error) { return 8, nil })
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			seen := &recorder{TB: t}
			if test.check(seen); seen.failed != test.fails {
				t.Errorf("failed is %v, not %v", seen.failed, test.fails)
			}
		})
	}
}

func TestReadHex_readsAllDigits(t *testing.T) {
	if got := ReadHex(t, "three.hex"); !bytes.Equal(got, []byte{10, 11, 12}) {
		t.Errorf("read %x", got)
	}
}
