package observation

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"harrierhoist/internal/testing/golden"
)

// Digests travel between processes of two versions while one replaces the other.
func TestGolden_digest(t *testing.T) {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct {
		digest Digest
		want   string
	}{
		"full": {Digest{
			Process: "g1", Incarnation: 1 << 60, Serial: 3, Session: 2,
			Counts: map[string]uint64{JoinName("push", "hall-a/1", "answered"): 12, "pushes": 1 << 35},
			Exact:  map[string]uint64{JoinName("owed", "acme"): 9},
		}, goldenDigest},
		"sums of a voter": {Digest{
			Process: "v2", Incarnation: 4, Serial: 1, Session: 7,
			Counts: map[string]uint64{},
		}, goldenSums},
		"empty": {Digest{}, goldenEmpty},
	} {
		t.Run(name, func(t *testing.T) {
			golden.CheckCBOR(t, mode.Marshal, test.digest, test.want)
		})
	}
	if got := JoinName("push", "hall-a/1", ""); got != "push\x1fhall-a/1\x1f" {
		t.Errorf("a name of parts is %q", got)
	}
}

const (
	goldenDigest = "a601626731021b1000000000000000030304a2667075736865731b000000080000000076707573681f68616c6c" +
		"2d612f311f616e7377657265640c05a1696f7765641f61636d65090602"
	goldenSums  = "a6016276320204030104a005f60607"
	goldenEmpty = "a601600200030004f605f60600"
)
