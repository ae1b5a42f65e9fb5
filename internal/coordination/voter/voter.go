// Package voter runs one of the few processes that hold what all have in common: it hands clock, disk and messages to
// the core, and gives callers their answers.
package voter

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/consensus"
	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
	"harrierhoist/internal/coordination/wal"
)

// Times of a voter.
const (
	// tickInterval is the core's: it makes heartbeats every 50 ms and elections after 250 to 500 ms without one. A leader is
	// replaced well within the 2 s that the tables' lease lasts.
	tickInterval = 25 * time.Millisecond
	// forwardInterval is how often what was merged is told to the leader.
	forwardInterval = 200 * time.Millisecond
	// controlInterval is how often the deciders are asked.
	controlInterval = 100 * time.Millisecond
	// writeTimeout is how long a decider's write is waited for before the deciders are asked again.
	writeTimeout = time.Second
	// raiseInterval is how often exact counts go to the log, at most.
	raiseInterval = time.Second
)

// Sizes of a voter.
const (
	mailboxSize     = 1024    // calls that wait for the core; beyond them messages of other voters are dropped
	maxCallsPerSync = 256     // calls taken before what came of them is written: one sync for all
	minCompactBytes = 8 << 20 // bytes of log on disk after which it is made anew from a snapshot
	retainedEntries = 1024    // entries kept for voters that are behind: about the last minutes
)

// ExactTable is the table that exact counts are raised in, under process, incarnation (decimal) and name.
const ExactTable = "exact"

// Voter is a running voter; see cluster.Voter for what its calls do.
type Voter struct {
	calls      chan func(*eventLoop)
	stopping   chan struct{} // closed when it is to end
	stopped    chan struct{} // closed when it has ended
	stopOnce   sync.Once
	goroutines sync.WaitGroup

	mu          sync.Mutex // of what follows
	gatherer    *consensus.Gatherer
	controllers []coordination.Controller
	status      coordination.Status
}

var _ coordination.Voter = (*Voter)(nil)

// Open starts a voter. Self names it: its number counts on an empty disk alone, later the disk's own does. First are
// the members that begin the log where all disks are empty, the same at all of them; where their disks' marks are given,
// no other disk is ever taken for theirs. None: the voter waits until a leader adds it. Send is handed a message for
// another voter; it must not block, and may lose it. The disk stays the caller's, to be closed after Close.
func Open(self coordination.Member, initialMembers []coordination.Member, storage *wal.Log, controllers []coordination.Controller,
	send func(to coordination.Member, message []byte), logger *zap.Logger) (*Voter, error) {
	self.DiskID = storage.DiskID()
	count, nonce := storage.Incarnation()
	node, err := consensus.NewNode(self, consensus.Incarnation{Count: count, Nonce: nonce}, initialMembers, storage.Records(), nonce)
	if err != nil {
		return nil, err
	}
	if was := node.Self(); was.Name != self.Name || was.Address != self.Address {
		return nil, fmt.Errorf("this disk is that of voter %s at %s: %s at %s needs an empty folder and a new number",
			was.Name, was.Address, self.Name, self.Address)
	}
	if len(storage.Records()) == 0 {
		base, err := node.Checkpoint()
		if err != nil {
			return nil, err
		}
		if err := storage.Rewrite(base); err != nil {
			return nil, err
		}
	}
	if n := storage.Repaired(); n > 0 {
		logger.Warn("spoilt copies in a voter's log, read from their doubles", zap.Int("frames", n))
	}
	v := &Voter{calls: make(chan func(*eventLoop), mailboxSize), stopping: make(chan struct{}), stopped: make(chan struct{}),
		gatherer: consensus.NewGatherer(self.Name, count), controllers: controllers, status: node.Status()}
	l := newEventLoop(v, node, storage, send, logger)
	v.goroutines.Go(func() { l.run() })
	v.goroutines.Go(func() { v.runControllers(fmt.Sprintf("%s/%d", self.Name, count)) })
	return v, nil
}

// Close ends the voter. Calls that wait end with ErrStopped.
func (v *Voter) Close() error {
	v.stop()
	v.goroutines.Wait()
	return nil
}

func (v *Voter) stop() { v.stopOnce.Do(func() { close(v.stopping) }) }

// enqueue has the owner of the core do something. It does not wait until that is done.
func (v *Voter) enqueue(ctx context.Context, do func(*eventLoop)) error {
	select {
	case <-v.stopped:
		return coordination.ErrStopped
	default:
	}
	select {
	case v.calls <- do:
		return nil
	case <-v.stopped:
		return coordination.ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// HandleMessage implements cluster.Voter.
func (v *Voter) HandleMessage(ctx context.Context, message []byte) error {
	refused := make(chan error, 1)
	if err := v.enqueue(ctx, func(l *eventLoop) { refused <- l.handleMessage(message) }); err != nil {
		return err
	}
	return v.await(ctx, refused)
}

func (v *Voter) await(ctx context.Context, from chan error) error {
	select {
	case err := <-from:
		return err
	case <-v.stopped:
		return coordination.ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Propose implements cluster.Voter.
func (v *Voter) Propose(ctx context.Context, command statemachine.Command) (statemachine.Result, error) {
	return v.proposeAndWait(ctx, func(l *eventLoop) (uint64, error) { return l.consensus.Propose(command) })
}

// ChangeMembership implements cluster.Voter.
func (v *Voter) ChangeMembership(ctx context.Context, m coordination.Member, remove bool) error {
	_, err := v.proposeAndWait(ctx, func(l *eventLoop) (uint64, error) { return l.consensus.ChangeMembership(m, remove) })
	return err
}

func (v *Voter) proposeAndWait(ctx context.Context, propose func(*eventLoop) (uint64, error)) (statemachine.Result, error) {
	done := make(chan consensus.Outcome, 1)
	if err := v.enqueue(ctx, func(l *eventLoop) { l.propose(propose, done) }); err != nil {
		if errors.Is(err, coordination.ErrStopped) {
			return statemachine.Result{}, err
		}
		return statemachine.Result{}, coordination.ErrNotLeader // it was not even looked at
	}
	select {
	case o := <-done:
		return o.Result, o.Err
	case <-v.stopped:
		return statemachine.Result{}, coordination.ErrStopped
	case <-ctx.Done():
		return statemachine.Result{}, coordination.ErrOutcomeUnknown
	}
}

// Read implements cluster.Voter.
func (v *Voter) Read(ctx context.Context, known map[string]uint64,
	wait time.Duration) (map[string]statemachine.Table, error) {
	answer := make(chan map[string]statemachine.Table, 1)
	r := &consensus.PendingRead{KnownEpochs: known, Deadline: time.Since(processStart) + wait,
		Respond: func(found map[string]statemachine.Table) { answer <- found }, IsCanceled: func() bool { return ctx.Err() != nil }}
	if err := v.enqueue(ctx, func(l *eventLoop) { l.pendingReads.Add(r, time.Since(processStart)) }); err != nil {
		if errors.Is(err, coordination.ErrStopped) {
			return nil, err
		}
		return nil, coordination.ErrNoQuorum
	}
	select {
	case found := <-answer:
		return found, nil
	case <-v.stopped:
		return nil, coordination.ErrStopped
	case <-ctx.Done():
		return nil, coordination.ErrNoQuorum
	}
}

// AddDigests implements cluster.Voter.
func (v *Voter) AddDigests(digests []observation.Digest) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.gatherer.AddFromProcesses(digests)
}

// Status implements cluster.Voter.
func (v *Voter) Status() coordination.Status {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.status
}

// SetControllers puts other deciders in place, as the operators' file was read again.
func (v *Voter) SetControllers(controllers []coordination.Controller) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.controllers = controllers
}

// TransferLeadership hands the lead to another voter, where this one leads, and returns once that one leads or the context ends.
// Gone as soon as the lead is, it could end with its vote for the next leader unsent.
func (v *Voter) TransferLeadership(ctx context.Context) {
	self := v.Status().Number
	if v.Status().Leader != self {
		return
	}
	for leader := self; leader == self || leader == 0; leader = v.Status().Leader {
		if v.enqueue(ctx, func(l *eventLoop) { l.consensus.TransferLeadership() }) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(2 * tickInterval):
		}
	}
}
