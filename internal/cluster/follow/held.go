package follow

import (
	"sync"
	"time"

	"harrierhoist/internal/cluster"
	"harrierhoist/internal/cluster/tables"
)

// shelf is what a process holds of the tables. It takes answers in any order, late or doubled ones too.
type shelf struct {
	mu      sync.RWMutex
	held    map[string]cluster.Held
	rest    time.Duration // until when it is confirmed that tables not held were never written
	changed chan struct{}
}

func newShelf() *shelf { return &shelf{held: map[string]cluster.Held{}, changed: make(chan struct{})} }

// known are the epochs held.
func (s *shelf) known() map[string]uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	known := make(map[string]uint64, len(s.held))
	for name, h := range s.held {
		known[name] = h.Epoch
	}
	return known
}

// take takes the answer to a read, and holds all until a time that counts from when it was sent. An epoch never goes
// back, nor does a lease. An answer that knows less than is held confirms it all the same: what is held was written
// after that answer was confirmed, so after the read was sent.
func (s *shelf) take(answer map[string]tables.Entry, until time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	news := until > s.rest && s.rest == 0
	for name, e := range answer {
		if h := s.held[name]; e.Epoch > h.Epoch {
			s.held[name] = cluster.Held{Table: name, Epoch: e.Epoch, Value: e.Value}
			news = true
		}
	}
	s.rest = max(s.rest, until)
	for name, h := range s.held {
		h.Until = s.rest
		s.held[name] = h
	}
	if news {
		s.tell()
	}
}

// tell wakes those who wait for a change. The lock is held.
func (s *shelf) tell() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// turn wakes them because a lease ended or came back.
func (s *shelf) turn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tell()
}

func (s *shelf) get(table string) cluster.Held {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if h, ok := s.held[table]; ok {
		return h
	}
	return cluster.Held{Table: table, Until: s.rest}
}

func (s *shelf) wait() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// until is when the latest confirmation ends.
func (s *shelf) until() time.Duration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.rest
}
