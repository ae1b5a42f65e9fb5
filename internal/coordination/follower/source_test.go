package follower

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeSource is a source that can be cut off.
type fakeSource struct {
	name     string
	groupID  []byte
	isolated atomic.Bool

	mu      sync.Mutex // guards what follows
	tables  map[string]statemachine.Table
	changed chan struct{}
	digests []observation.Digest
}

var errIsolated = errors.New("isolated")

func newFakeSource(name string) *fakeSource {
	source := &fakeSource{
		name: name, groupID: []byte("g"), tables: map[string]statemachine.Table{}, changed: make(chan struct{}),
	}
	source.set(GroupTable, 1, "g")
	return source
}

func (s *fakeSource) Name() string { return s.name }

func (s *fakeSource) set(table string, epoch uint64, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tables[table] = statemachine.Table{Epoch: epoch, Value: []byte(value)}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeSource) SendDigest(_ context.Context, d observation.Digest) error {
	if s.isolated.Load() {
		return errIsolated
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.digests = append(s.digests, d)
	return nil
}

func (s *fakeSource) Read(ctx context.Context, known map[string]uint64, wait time.Duration) (ReadResult, error) {
	for end := time.After(wait); ; {
		s.mu.Lock()
		found := map[string]statemachine.Table{}
		changed := s.changed
		for name, table := range s.tables {
			if table.Epoch > known[name] {
				found[name] = table
			}
		}
		s.mu.Unlock()
		if s.isolated.Load() {
			return ReadResult{}, errIsolated
		}
		if len(found) > 0 {
			return ReadResult{Tables: found, GroupID: s.groupID}, nil
		}
		select {
		case <-end:
			return ReadResult{GroupID: s.groupID}, nil
		case <-changed:
		case <-ctx.Done():
			return ReadResult{}, ctx.Err()
		}
	}
}

// received returns the digests so far.
func (s *fakeSource) received() []observation.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]observation.Digest{}, s.digests...)
}

// quickTiming is a timing for tests: a lease of 400 ms.
var quickTiming = Timing{Lease: 400 * time.Millisecond, DigestInterval: 20 * time.Millisecond}

// startFollower runs a follower until the test ends.
func startFollower(t *testing.T, timing Timing, fakes ...*fakeSource) (*Follower, *observer.ObservedLogs) {
	t.Helper()
	core, logs := observer.New(zap.InfoLevel)
	var sources []Source
	for _, fake := range fakes {
		sources = append(sources, fake)
	}
	f := New("g1", 3, sources, timing, SystemUptime, zap.New(core))
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { f.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return f, logs
}

func countLines(logs *observer.ObservedLogs, text string) int {
	return logs.FilterMessageSnippet(text).Len()
}
