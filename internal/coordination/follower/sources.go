package follower

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// preferredRetryInterval is how long a follower stays at another voter before the preferred one is
// tried again.
const preferredRetryInterval = time.Minute

// PreferenceOrder puts sources in the order in which a process prefers them. It begins at one by
// the hash of the process's name, so that processes are spread over the voters.
func PreferenceOrder(process string, sources []Source) []Source {
	if len(sources) == 0 {
		return nil
	}
	first := int(xxhash.Sum64String(process) % uint64(len(sources)))
	return append(append([]Source{}, sources[first:]...), sources[:first]...)
}

// sourceSelector is which source a follower uses. It may be used by several goroutines at once.
type sourceSelector struct {
	clock func() time.Duration

	mu              sync.Mutex // guards what follows
	timing          Timing
	sources         []Source      // the preferred one first
	index           int           // of the source in use
	session         uint64        // grows with each change of the source in use
	preferredLeftAt time.Duration // when the preferred source was left, or last tried again
}

// reconfigure replaces sources and timing, and begins at the first source.
func (s *sourceSelector) reconfigure(sources []Source, timing Timing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sources = sources
	s.timing = timing
	s.index = 0
	s.session++
}

// current returns the source in use, nil where there is none, with its session and the timing in
// force.
func (s *sourceSelector) current() (source Source, session uint64, timing Timing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sources) == 0 {
		return nil, s.session, s.timing
	}
	return s.sources[s.index], s.session, s.timing
}

// switchFrom goes over to the next source, if the session that failed is still in force. It reports
// whether all sources have failed in turn.
func (s *sourceSelector) switchFrom(session uint64) (allFailed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if session != s.session || len(s.sources) == 0 {
		return false
	}
	if s.index == 0 {
		s.preferredLeftAt = s.clock()
	}
	s.session++
	s.index = (s.index + 1) % len(s.sources)
	return s.index == 0
}

// preferredDue decides whether the preferred source is tried again, and returns it then, else nil:
// another one is in use, and preferredRetryInterval has passed since it was left or last tried.
func (s *sourceSelector) preferredDue() (preferred Source, session uint64, timing Timing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.index == 0 || s.clock()-s.preferredLeftAt <= preferredRetryInterval {
		return nil, s.session, s.timing
	}
	s.preferredLeftAt = s.clock()
	return s.sources[0], s.session, s.timing
}

// returnToPreferred goes back to the preferred source, if the session is still in force.
func (s *sourceSelector) returnToPreferred(session uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.session == session {
		s.index = 0
		s.session = session + 1
	}
}
