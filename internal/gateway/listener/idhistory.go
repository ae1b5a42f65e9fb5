package listener

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// idMemoryDivisor is the part of the memory for requests that the history of IDs may use.
	idMemoryDivisor = 8
	// bytesPerID is the memory that an ID takes in a set that has just grown.
	bytesPerID = 48
	// minHistoryIDs and maxHistoryIDs bound the IDs of a generation.
	minHistoryIDs = 1 << 10
	maxHistoryIDs = 1 << 17
	// idGenerations is the number of generations of a history.
	idGenerations = 2
	// maxIDGeneration is how long a generation takes new IDs while it has space and IDs need not be kept longer.
	maxIDGeneration = time.Minute
)

// idHistory holds the IDs of completed requests that must not run again, as hashes of 64 bits. It has
// two generations: the newer one takes IDs, and the older one is forgotten when the newer one takes its
// place. An ID is kept for at least minAge and at most two generations. It is not safe for concurrent use.
type idHistory struct {
	maxIDs       int           // of a generation
	minAge       time.Duration // it never falls: earlier requests keep their time
	newer, older map[uint64]struct{}
	newerSince   time.Time // begin of the newer generation
}

// newIDHistory returns a history for a gateway whose requests may use memory bytes; 0 means no limit.
func newIDHistory(memory int) idHistory {
	maxIDs := maxHistoryIDs
	if memory > 0 {
		maxIDs = min(max(memory/idMemoryDivisor/bytesPerID/idGenerations, minHistoryIDs), maxHistoryIDs)
	}
	return idHistory{maxIDs: maxIDs, newer: map[uint64]struct{}{}}
}

// contains reports whether an ID is in the history.
func (h *idHistory) contains(id string) bool {
	hash := xxhash.Sum64String(id)
	_, isNewer := h.newer[hash]
	_, isOlder := h.older[hash]
	return isNewer || isOlder
}

// add adds an ID, for which makeSpace must have returned true.
func (h *idHistory) add(id string) { h.newer[xxhash.Sum64String(id)] = struct{}{} }

// makeSpace reports whether the history can take count IDs more. It forgets the older generation if that
// is due or gives the space.
func (h *idHistory) makeSpace(now time.Time, count int) bool {
	if h.newerSince.IsZero() {
		h.newerSince = now
	}
	isFull := len(h.newer)+count > h.maxIDs
	age := now.Sub(h.newerSince)
	// The older generation has no ID that was added after the newer one began.
	if age > h.minAge && (isFull || age > maxIDGeneration) {
		h.older = h.newer
		h.newer = map[uint64]struct{}{}
		h.newerSince = now
		isFull = count > h.maxIDs
	}
	return !isFull
}
