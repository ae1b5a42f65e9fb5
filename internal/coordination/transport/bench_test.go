package transport

import (
	"bytes"
	"fmt"
	"testing"

	"harrierhoist/internal/coordination/observation"
)

// zoneDigest is that of a gateway that makes attempts in six zones.
func zoneDigest() []observation.Digest {
	digest := observation.Digest{Process: "g1", Incarnation: 1, Serial: 1, Counts: map[string]uint64{}}
	for zone := range 6 {
		for outcome := range 8 {
			name := observation.JoinName("push", "hall-a", fmt.Sprint("hall-", zone), fmt.Sprint("outcome-", outcome))
			digest.Counts[name] = uint64(outcome)
		}
	}
	return []observation.Digest{digest}
}

func BenchmarkDigest_decode(b *testing.B) {
	body, _ := encoding.Marshal(zoneDigest())
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for b.Loop() {
		var digests []observation.Digest
		err := readBody(bytes.NewReader(body), int64(len(body)), maxBodyBytes, checksum(body), &digests)
		if err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDigest_merge(b *testing.B) {
	merger := observation.NewMerger()
	digest := zoneDigest()[0]
	for b.Loop() {
		digest.Serial++
		merger.Add(digest)
	}
}

func BenchmarkDigest_encode(b *testing.B) {
	digests := zoneDigest()
	for b.Loop() {
		_, _ = encoding.Marshal(digests)
	}
}

func BenchmarkDigest_call(b *testing.B) {
	address, client := startServer(b, newFakeVoter())
	for b.Loop() {
		if err := client.Digests(b.Context(), address, zoneDigest()); err != nil {
			b.Fatal(err)
		}
	}
}
