package golden

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"
	"testing"
)

// Digest is the SHA-256 of what code under test decides or draws, written as text: a fixture where
// the text is too long.
type Digest struct{ sum hash.Hash }

// NewDigest returns the digest of nothing.
func NewDigest() *Digest { return &Digest{sha256.New()} }

// Write adds bytes. It never fails.
func (d *Digest) Write(p []byte) (int, error) { return d.sum.Write(p) }

// Println adds values as fmt.Println prints them.
func (d *Digest) Println(values ...any) { _, _ = fmt.Fprintln(d, values...) }

// Printf adds values as fmt.Printf prints them.
func (d *Digest) Printf(format string, values ...any) { _, _ = fmt.Fprintf(d, format, values...) }

// AddJSON adds a value as a line of JSON.
func (d *Digest) AddJSON(tb testing.TB, value any) {
	tb.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		tb.Fatal(err)
	}
	d.Println(string(text))
}

// String returns the digest of what was added so far, in hex.
func (d *Digest) String() string { return hex.EncodeToString(d.sum.Sum(nil)) }

// Check compares the digest with one in hex.
func (d *Digest) Check(tb testing.TB, wantHex string) {
	tb.Helper()
	if got := d.String(); got != wantHex {
		tb.Errorf("digest %s, want %s", got, wantHex)
	}
}
