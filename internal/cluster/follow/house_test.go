package follow

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

	"harrierhoist/internal/cluster/evidence"
	"harrierhoist/internal/cluster/tables"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// voter is a source that can be cut off.
type voter struct {
	name  string
	group []byte
	cut   atomic.Bool

	mu      sync.Mutex
	tables  map[string]tables.Entry
	news    chan struct{}
	digests []evidence.Digest
	reads   int
}

var errCut = errors.New("cut off")

func newVoter(name string) *voter {
	v := &voter{name: name, group: []byte("g"), tables: map[string]tables.Entry{}, news: make(chan struct{})}
	v.write(GroupTable, 1, "g")
	return v
}

func (v *voter) Name() string { return v.name }

func (v *voter) write(table string, epoch uint64, value string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.tables[table] = tables.Entry{Epoch: epoch, Value: []byte(value)}
	close(v.news)
	v.news = make(chan struct{})
}

func (v *voter) Tell(_ context.Context, d evidence.Digest) error {
	if v.cut.Load() {
		return errCut
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.digests = append(v.digests, d)
	return nil
}

func (v *voter) Read(ctx context.Context, known map[string]uint64, wait time.Duration) (Answer, error) {
	v.mu.Lock()
	v.reads++
	v.mu.Unlock()
	for end := time.After(wait); ; {
		v.mu.Lock()
		found, news := map[string]tables.Entry{}, v.news
		for name, e := range v.tables {
			if e.Epoch > known[name] {
				found[name] = e
			}
		}
		v.mu.Unlock()
		if v.cut.Load() {
			return Answer{}, errCut
		}
		if len(found) > 0 {
			return Answer{Tables: found, Group: v.group}, nil
		}
		select {
		case <-end:
			return Answer{Group: v.group}, nil
		case <-news:
		case <-ctx.Done():
			return Answer{}, ctx.Err()
		}
	}
}

// told gives the digests so far.
func (v *voter) told() []evidence.Digest {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]evidence.Digest{}, v.digests...)
}

// quick is a timing for tests: a lease of 400 ms.
var quick = Timing{Lease: 400 * time.Millisecond, DigestEvery: 20 * time.Millisecond}

// begin runs a follower until the test ends.
func begin(t *testing.T, timing Timing, voters ...*voter) (*Follower, *observer.ObservedLogs) {
	core, said := observer.New(zap.InfoLevel)
	var sources []Source
	for _, v := range voters {
		sources = append(sources, v)
	}
	f := New("g1", 3, sources, timing, Boot, zap.New(core))
	ctx, end := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { f.Run(ctx) })
	t.Cleanup(func() { end(); done.Wait() })
	return f, said
}

func lines(said *observer.ObservedLogs, text string) int {
	return said.FilterMessageSnippet(text).Len()
}
