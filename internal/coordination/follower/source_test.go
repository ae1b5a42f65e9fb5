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

	mu      sync.Mutex
	tables  map[string]statemachine.Table
	changed chan struct{}
	digests []observation.Digest
	reads   int
}

var errIsolated = errors.New("cut off")

func newFakeSource(name string) *fakeSource {
	v := &fakeSource{name: name, groupID: []byte("g"), tables: map[string]statemachine.Table{}, changed: make(chan struct{})}
	v.set(GroupTable, 1, "g")
	return v
}

func (v *fakeSource) Name() string { return v.name }

func (v *fakeSource) set(table string, epoch uint64, value string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.tables[table] = statemachine.Table{Epoch: epoch, Value: []byte(value)}
	close(v.changed)
	v.changed = make(chan struct{})
}

func (v *fakeSource) SendDigest(_ context.Context, d observation.Digest) error {
	if v.isolated.Load() {
		return errIsolated
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.digests = append(v.digests, d)
	return nil
}

func (v *fakeSource) Read(ctx context.Context, known map[string]uint64, wait time.Duration) (ReadResult, error) {
	v.mu.Lock()
	v.reads++
	v.mu.Unlock()
	for end := time.After(wait); ; {
		v.mu.Lock()
		found, changed := map[string]statemachine.Table{}, v.changed
		for name, e := range v.tables {
			if e.Epoch > known[name] {
				found[name] = e
			}
		}
		v.mu.Unlock()
		if v.isolated.Load() {
			return ReadResult{}, errIsolated
		}
		if len(found) > 0 {
			return ReadResult{Tables: found, GroupID: v.groupID}, nil
		}
		select {
		case <-end:
			return ReadResult{GroupID: v.groupID}, nil
		case <-changed:
		case <-ctx.Done():
			return ReadResult{}, ctx.Err()
		}
	}
}

// received gives the digests so far.
func (v *fakeSource) received() []observation.Digest {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]observation.Digest{}, v.digests...)
}

// quickTiming is a timing for tests: a lease of 400 ms.
var quickTiming = Timing{Lease: 400 * time.Millisecond, DigestInterval: 20 * time.Millisecond}

// startFollower runs a follower until the test ends.
func startFollower(t *testing.T, timing Timing, fakes ...*fakeSource) (*Follower, *observer.ObservedLogs) {
	core, logs := observer.New(zap.InfoLevel)
	var sources []Source
	for _, v := range fakes {
		sources = append(sources, v)
	}
	f := New("g1", 3, sources, timing, SystemUptime, zap.New(core))
	ctx, end := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { f.Run(ctx) })
	t.Cleanup(func() { end(); done.Wait() })
	return f, logs
}

func countLines(logs *observer.ObservedLogs, text string) int {
	return logs.FilterMessageSnippet(text).Len()
}
