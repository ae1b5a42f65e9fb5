package golden

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
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
		"same bytes":        {func(tb testing.TB) { Check(tb, "three.hex", []byte("0a0b0c\n")) }, false},
		"another byte":      {func(tb testing.TB) { Check(tb, "three.hex", []byte("0a0b0d\n")) }, true},
		"a byte too few":    {func(tb testing.TB) { Check(tb, "three.hex", []byte("0a0b0c")) }, true},
		"same encoding":     {func(tb testing.TB) { CheckCBOR(tb, cbor.Marshal, pair{1, 2}, pairHex) }, false},
		"same of a pointer": {func(tb testing.TB) { CheckCBOR(tb, cbor.Marshal, &pair{1, 2}, pairHex) }, false},
		"another encoding":  {func(tb testing.TB) { CheckCBOR(tb, cbor.Marshal, pair{1, 3}, pairHex) }, true},
		"an encoding fault": {func(tb testing.TB) {
			CheckCBOR(tb,
				func(any) ([]byte, error) { return nil, errBroken }, 1, "01")
		}, true},
		"not what it reads": {func(tb testing.TB) {
			CheckCBOR(tb,
				func(any) ([]byte, error) { return []byte{1}, nil }, 2, "01")
		}, true},
		"of another type": {func(tb testing.TB) {
			CheckCBOR(tb,
				func(any) ([]byte, error) { return []byte{1}, nil }, "1", "01")
		}, true},
		"null for a pointer": {func(tb testing.TB) {
			CheckCBOR(tb, func(any) ([]byte, error) { return []byte{0xf6}, nil }, &pair{}, "f6")
		}, true},
		"stored":            {func(tb testing.TB) { CheckStored(tb, []byte("7"), 7, encode, decode) }, false},
		"stored otherwise":  {func(tb testing.TB) { CheckStored(tb, []byte(" 7"), 7, encode, decode) }, true},
		"another is stored": {func(tb testing.TB) { CheckStored(tb, []byte("8"), 7, encode, decode) }, true},
		"stored damaged":    {func(tb testing.TB) { CheckStored(tb, []byte("x"), 7, encode, decode) }, true},
		"read as another": {func(tb testing.TB) {
			CheckStored(tb, []byte("7"), 7, encode, func([]byte) (int, error) { return 8, nil })
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

func TestReadFolder_hasAllFilesInOrder(t *testing.T) {
	folder := t.TempDir()
	for name, content := range map[string]string{"b": "two", "a": "one ", "c": ""} {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if got := ReadFolder(t, folder); string(got) != "one two" {
		t.Errorf("read %q", got)
	}
}

func TestDigest_isOfAllThatWasAdded(t *testing.T) {
	const abcLine = "edeaaff3f1774ad2888673770c6d64097e391bc362d7d6fb34982ddf0efd18cb" // of "abc\n"
	for name, add := range map[string]func(*Digest){
		"bytes":  func(d *Digest) { _, _ = d.Write([]byte("abc\n")) },
		"parts":  func(d *Digest) { d.Printf("a"); d.Println("bc") },
		"format": func(d *Digest) { d.Printf("%sbc%c", "a", '\n') },
	} {
		t.Run(name, func(t *testing.T) {
			d := NewDigest()
			add(d)
			d.Check(t, abcLine)
			seen := &recorder{TB: t}
			if d.Println(); d.String() == abcLine {
				t.Error("a line more changes nothing")
			}
			if d.Check(seen, abcLine); !seen.failed {
				t.Error("another digest is taken")
			}
		})
	}
	line, jsonLine := NewDigest(), NewDigest()
	line.Println(`{"A":1}`)
	if jsonLine.AddJSON(t, struct{ A int }{1}); line.String() != jsonLine.String() {
		t.Error("JSON is not added as a line")
	}
}

func TestReadHex_readsAllDigits(t *testing.T) {
	if got := ReadHex(t, "three.hex"); !bytes.Equal(got, []byte{10, 11, 12}) {
		t.Errorf("read %x", got)
	}
}
