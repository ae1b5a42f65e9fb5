// Package golden holds, for tests, what is stored or sent to fixtures: files under the testdata of
// the test's package, and encodings in hex. The fixtures are constants of the formats: no test
// writes them.
package golden

import (
	"bytes"
	"encoding/hex"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
)

// Read returns the bytes of a file under testdata.
func Read(tb testing.TB, name string) []byte {
	tb.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		tb.Fatal(err)
	}
	return content
}

// ReadHex returns the bytes that a file under testdata has in hex.
func ReadHex(tb testing.TB, name string) []byte {
	tb.Helper()
	return decodeHex(tb, strings.TrimSpace(string(Read(tb, name))))
}

// ReadFolder returns the bytes of all files of a folder that the code under test wrote, in the
// order of their names.
func ReadFolder(tb testing.TB, folder string) (all []byte) {
	tb.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*"))
	if err != nil {
		tb.Fatal(err)
	}
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			tb.Fatal(err)
		}
		all = append(all, content...)
	}
	return all
}

// Check compares bytes with those of a file under testdata.
func Check(tb testing.TB, name string, got []byte) {
	tb.Helper()
	if want := Read(tb, name); !bytes.Equal(got, want) {
		tb.Errorf("%s differs (-want, +got):\n%s", name, cmp.Diff(string(want), string(got)))
	}
}

// CheckCBOR encodes a value, or a pointer to one, and compares the bytes with those in hex, which
// must decode as the value.
func CheckCBOR(tb testing.TB, marshal func(any) ([]byte, error), value any, wantHex string) {
	tb.Helper()
	if got, err := marshal(value); err != nil || hex.EncodeToString(got) != wantHex {
		tb.Errorf("encoded as %x, %v; want %s", got, err, wantHex)
	}
	decoded := reflect.New(reflect.TypeOf(value))
	err := cbor.Unmarshal(decodeHex(tb, wantHex), decoded.Interface())
	if got := decoded.Elem().Interface(); err != nil || !reflect.DeepEqual(got, value) {
		tb.Errorf("decoded as %+v, %v; want %+v", got, err, value)
	}
}

// CheckStored holds the stored form of a value to bytes: the value is encoded as they are, they
// decode as the value, and what they decode as is encoded as they are again.
func CheckStored[T any](
	tb testing.TB, stored []byte, value T, encode func(T) ([]byte, error), decode func([]byte) (T, error),
) {
	tb.Helper()
	if got, err := encode(value); err != nil || !bytes.Equal(got, stored) {
		tb.Errorf("encoded as\n%x, %v; want\n%x", got, err, stored)
	}
	decoded, err := decode(stored)
	if err != nil || !reflect.DeepEqual(decoded, value) {
		tb.Errorf("decoded as %+v, %v; want %+v", decoded, err, value)
		return
	}
	if again, err := encode(decoded); err != nil || !bytes.Equal(again, stored) {
		tb.Errorf("encoded again as\n%x, %v; want\n%x", again, err, stored)
	}
}

func decodeHex(tb testing.TB, text string) []byte {
	tb.Helper()
	decoded, err := hex.DecodeString(text)
	if err != nil {
		tb.Fatal(err)
	}
	return decoded
}
