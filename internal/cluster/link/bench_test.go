package link

import (
	"bytes"
	"fmt"
	"testing"

	"harrierhoist/internal/cluster/evidence"
)

// what a gateway that pushes to six halls tells.
func told(serial uint64) []evidence.Digest {
	d := evidence.Digest{Process: "g1", Incarnation: 1, Serial: serial, Counts: map[string]uint64{}}
	for hall := range 6 {
		for of := range 8 {
			d.Counts[evidence.Name("push", "hall-a", fmt.Sprint("hall-", hall), fmt.Sprint("outcome-", of))] = serial * uint64(of)
		}
	}
	return []evidence.Digest{d}
}

func BenchmarkDigestTaken(b *testing.B) {
	body, _ := encoding.Marshal(told(1))
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for b.Loop() {
		var all []evidence.Digest
		if err := take(bytes.NewReader(body), int64(len(body)), bodyMost, sum(body), &all); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDigestMerged(b *testing.B) {
	book := evidence.NewBook()
	d := told(1)[0]
	for b.Loop() {
		d.Serial++
		book.Take(d)
	}
}

func BenchmarkDigestMade(b *testing.B) {
	d := told(1)
	for b.Loop() {
		_, _ = encoding.Marshal(d)
	}
}

func BenchmarkDigestCalled(b *testing.B) {
	l, _ := Plain{}.Listen("127.0.0.1:0")
	s := Serve(l, house{newMemory()}, 16, nil)
	defer s.Close()
	c := NewClient(Plain{}, 2)
	defer c.Close()
	for b.Loop() {
		if err := c.Digests(b.Context(), l.Addr().String(), told(1)); err != nil {
			b.Fatal(err)
		}
	}
}
