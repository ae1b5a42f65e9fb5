package voter

import (
	"sync"

	"harrierhoist/internal/coordination/consensus"
	"harrierhoist/internal/coordination/observation"
)

// digestStore makes the voter's gatherer safe for concurrent use: processes add digests to it, the
// event loop adds those of other voters and forwards what was merged, and the controllers read the
// sums.
type digestStore struct {
	mu       sync.Mutex // guards gatherer
	gatherer *consensus.Gatherer
}

func (s *digestStore) addFromProcesses(digests []observation.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gatherer.AddFromProcesses(digests)
}

func (s *digestStore) addFromVoter(digests []observation.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gatherer.AddFromVoter(digests)
}

func (s *digestStore) setLeaderTerm(term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gatherer.SetLeaderTerm(term)
}

func (s *digestStore) forLeader(term uint64) []observation.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gatherer.ForLeader(term)
}

func (s *digestStore) sums() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gatherer.Sums()
}

func (s *digestStore) exactCounts() []observation.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gatherer.ExactCounts()
}
