package subset

import (
	"cmp"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// rackBits is the number of bits for the rack number in the input of rackHash.
const rackBits = 32

// compareInRing defines the order of a zone's ring: by hash of the rack, then by hash of the name.
func compareInRing(a, b Candidate) int {
	return cmp.Or(
		cmp.Compare(rackHash(a), rackHash(b)),
		cmp.Compare(a.Rack, b.Rack),
		cmp.Compare(a.NameHash, b.NameHash),
	)
}

func rackHash(candidate Candidate) uint64 {
	rack := uint64(candidate.Zone)<<rackBits | uint64(uint32(candidate.Rack))
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, rack))
}
