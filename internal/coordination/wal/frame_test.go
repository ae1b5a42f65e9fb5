package wal

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"
)

// damage is a way in which bytes of a log are damaged.
type damage int

const (
	oneByte damage = iota
	oneBlock
	oneHeader
	twoPlaces
)

func damagedCopy(log []byte, how damage, rng *rand.Rand) []byte {
	damaged := bytes.Clone(log)
	offset := rng.IntN(len(log))
	block := offset / blockSize * blockSize
	switch how {
	case oneByte:
		damaged[offset] ^= byte(1 + rng.IntN(255))
	case oneBlock:
		clear(damaged[block : block+blockSize])
	case oneHeader:
		damaged[block+rng.IntN(headerSize)] ^= 1 << rng.IntN(8)
	case twoPlaces:
		damaged[offset] ^= 0x40
		damaged[rng.IntN(len(log))] ^= 0x04
	}
	return damaged
}

// When bytes flip or blocks are lost, either all records are read from the other copies or the log
// is rejected. Fewer or other records are never returned, neither from the middle of the log nor
// from its end.
func TestReadFrames_damageIsRepairedOrRejected(t *testing.T) {
	folder := t.TempDir()
	mustAppend(t, folder, sampleRecords()...)
	log := readLog(t, folder)
	intact, err := readFrames(log)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	repaired := 0
	rejected := 0
	for i := range 3000 {
		scanned, err := readFrames(damagedCopy(log, damage(i%4), rng))
		if err != nil {
			rejected++
			continue
		}
		missing := len(intact.payloads) - len(scanned.payloads)
		if !slices.EqualFunc(scanned.payloads, intact.payloads[:len(scanned.payloads)], bytes.Equal) {
			t.Fatalf("round %d: other frames were read", i)
		}
		// Two damaged places may hit both copies of the last frame, which then looks like a torn
		// write.
		if missing != 0 && (missing != 1 || damage(i%4) != twoPlaces) {
			t.Fatalf("round %d: %d frames of %d were read", i, len(scanned.payloads), len(intact.payloads))
		}
		repaired++
	}
	if repaired < 2000 || rejected == 0 {
		t.Errorf("%d repaired, %d rejected", repaired, rejected)
	}
}
