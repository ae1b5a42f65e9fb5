package transport

import (
	"bytes"
	"fmt"
	"testing"

	"harrierhoist/internal/coordination/observation"
)

// what a gateway that pushes to six halls tells.
func zoneDigest(serial uint64) []observation.Digest {
	d := observation.Digest{Process: "g1", Incarnation: 1, Serial: serial, Counts: map[string]uint64{}}
	for hall := range 6 {
		for of := range 8 {
			d.Counts[observation.JoinName("push", "hall-a", fmt.Sprint("hall-", hall), fmt.Sprint("outcome-", of))] = serial * uint64(of)
		}
	}
	return []observation.Digest{d}
}

func BenchmarkDigest_decode(b *testing.B) {
	body, _ := encoding.Marshal(zoneDigest(1))
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for b.Loop() {
		var digests []observation.Digest
		if err := readBody(bytes.NewReader(body), int64(len(body)), maxBodyBytes, checksum(body), &digests); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDigest_merge(b *testing.B) {
	merger := observation.NewMerger()
	d := zoneDigest(1)[0]
	for b.Loop() {
		d.Serial++
		merger.Add(d)
	}
}

func BenchmarkDigest_encode(b *testing.B) {
	d := zoneDigest(1)
	for b.Loop() {
		_, _ = encoding.Marshal(d)
	}
}

func BenchmarkDigest_call(b *testing.B) {
	listener, _ := Network{}.Listen("127.0.0.1:0")
	s := Serve(listener, fakeHost{newFakeVoter()}, 16, nil)
	defer s.Close()
	c := NewClient(Network{}, 2)
	defer c.Close()
	for b.Loop() {
		if err := c.Digests(b.Context(), listener.Addr().String(), zoneDigest(1)); err != nil {
			b.Fatal(err)
		}
	}
}
