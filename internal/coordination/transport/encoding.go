package transport

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// errMalformed means that a body was corrupted on its way, or is not of the form that the call
// takes. Its text goes on the wire.
var errMalformed = errors.New("spoilt body")

// Bounds of what a body may hold.
const (
	maxNestedLevels = 8
	maxElements     = 1 << 17 // of one list or map
)

var (
	encoding = must(cbor.EncOptions{}.EncMode()) // keys in no order, as sorting a digest takes time
	// decoding bounds what a body can hold, so that a malformed one takes little time and memory.
	decoding = must(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode())
)

// must returns the mode of options that are constants.
func must[T any](mode T, err error) T {
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// checksum returns a body's checksum: 16 hex digits.
func checksum(body []byte) string {
	hash := xxhash.New()
	_, _ = hash.Write(body) // never fails
	return hex.EncodeToString(hash.Sum(nil))
}

// readBody reads a body of a stated length and decodes it. Errors: errMalformed, or the
// connection's.
func readBody(r io.Reader, length, limit int64, wantChecksum string, into any) error {
	if length < 0 || length > limit {
		return fmt.Errorf("%w: a length from 0 to %d is wanted, not %d", errMalformed, limit, length)
	}
	body, err := io.ReadAll(io.LimitReader(r, length+1))
	if err != nil {
		return err
	}
	if int64(len(body)) != length {
		return fmt.Errorf("%w: %d bytes of %d", errMalformed, len(body), length)
	}
	if !strings.EqualFold(wantChecksum, checksum(body)) {
		return fmt.Errorf("%w: its sum is another", errMalformed)
	}
	if err := decoding.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	return nil
}
