// Package voter runs one voter of the coordination group: it drives the consensus node with a
// clock, the write-ahead log and the messages of the other voters, runs the controllers while this
// voter leads, and answers callers. Package node opens it in each process that is a voter; that
// process's server and follower call it.
package voter

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/consensus"
	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/wal"
)

// Intervals and timeouts of a voter.
const (
	// tickInterval is the consensus node's tick: heartbeats go out every 50 ms and an election
	// starts after 250 to 475 ms without one.
	tickInterval = 25 * time.Millisecond
	// forwardInterval is how often merged digests are sent to the leader.
	forwardInterval = 200 * time.Millisecond
	// controlInterval is how often the controllers run.
	controlInterval = 100 * time.Millisecond
	// writeTimeout is how long a controller's write is waited for before the controllers run again.
	writeTimeout = time.Second
	// exactCountsInterval is the shortest time between two writes of exact counts to the log.
	exactCountsInterval = time.Second
	// transferPollInterval is how often a planned end looks whether another voter leads.
	transferPollInterval = 2 * tickInterval
)

// Sizes of a voter.
const (
	mailboxSize     = 1024    // calls that wait for the event loop; beyond them a caller waits to hand its own over
	maxCallsPerSync = 256     // calls handled before their records are written: one sync for all of them
	minCompactBytes = 8 << 20 // bytes of log below which it is never rewritten from a snapshot
	compactGrowth   = 2       // factor by which the log grows over its last snapshot before it is rewritten again
	retainedEntries = 1024    // log entries kept behind the snapshot for voters that lag
)

// ExactTable is the table of exact counts; its totals are named by process, incarnation (decimal)
// and count.
const ExactTable = "exact"

// Options are what Open needs. All but InitialMembers and Controllers are required.
type Options struct {
	// Self names this voter. Its number counts only where the log is empty; later the log's own
	// does.
	Self coordination.Member
	// InitialMembers start the log where the logs of all voters are empty, the same at all of them.
	// Where they carry disk IDs, no other disk is ever accepted in their place. None: the voter
	// waits until a leader adds it.
	InitialMembers []coordination.Member
	// Log remains the caller's, who closes it after Voter.Close.
	Log *wal.Log
	// Controllers run while this voter leads.
	Controllers []coordination.Controller
	// Send hands over a message for another voter. It must not block, and may lose the message.
	Send func(to coordination.Member, message []byte)
	// Logger takes the voter's log lines.
	Logger *zap.Logger
}

// LogOwnerError reports that a write-ahead log was written by another voter.
type LogOwnerError struct{ Owner, Self coordination.Member }

// Error implements error.
func (e *LogOwnerError) Error() string {
	return fmt.Sprintf("this disk is that of voter %s at %s: %s at %s needs an empty folder and a new number",
		e.Owner.Name, e.Owner.Address, e.Self.Name, e.Self.Address)
}

// Voter is a running voter; coordination.Voter says what its calls do.
type Voter struct {
	mailbox    *mailbox
	digests    *digestStore
	runner     *controllerRunner
	status     atomic.Pointer[coordination.Status] // written by the event loop
	stopping   chan struct{}                       // closed to end the event loop
	stopOnce   sync.Once
	goroutines sync.WaitGroup
}

var _ coordination.Voter = (*Voter)(nil)

// Open starts a voter that runs until Close: of the context only the values are used. Errors: a
// *LogOwnerError, or what is wrong with the log.
func Open(ctx context.Context, options Options) (*Voter, error) {
	incarnation, _ := options.Log.Incarnation()
	node, err := openNode(options)
	if err != nil {
		return nil, err
	}
	if n := options.Log.Repaired(); n > 0 {
		options.Logger.Warn("voter: corrupt copies of log frames repaired", zap.Int("frames", n))
	}
	voter := &Voter{
		mailbox:  newMailbox(),
		digests:  &digestStore{gatherer: consensus.NewGatherer(options.Self.Name, incarnation)},
		stopping: make(chan struct{}),
	}
	voter.runner = &controllerRunner{
		proposer:    fmt.Sprintf("%s/%d", options.Self.Name, incarnation),
		mailbox:     voter.mailbox,
		digests:     voter.digests,
		propose:     voter.Propose,
		controllers: options.Controllers,
	}
	status := node.Status()
	voter.status.Store(&status)
	loop := newEventLoop(voter, node, options)
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx)) // ends with the event loop
	voter.goroutines.Go(func() {
		defer cancel()
		loop.run()
	})
	voter.goroutines.Go(func() { voter.runner.run(ctx) })
	return voter, nil
}

// openNode restores the consensus node from the log. An empty log is begun with the node's first
// checkpoint.
func openNode(options Options) (*consensus.Node, error) {
	self := options.Self
	records := options.Log.Records()
	self.DiskID = options.Log.DiskID()
	count, nonce := options.Log.Incarnation()
	node, err := consensus.NewNode(
		self,
		consensus.Incarnation{Count: count, Nonce: nonce},
		options.InitialMembers,
		records,
		nonce,
	)
	if err != nil {
		return nil, err
	}
	if owner := node.Self(); owner.Name != self.Name || owner.Address != self.Address {
		return nil, &LogOwnerError{Owner: owner, Self: self}
	}
	if len(records) > 0 {
		return node, nil
	}
	checkpoint, err := node.Checkpoint()
	if err != nil {
		return nil, err
	}
	return node, options.Log.Rewrite(checkpoint)
}

// Close ends the voter and waits for its goroutines. Calls that wait end with ErrStopped.
func (v *Voter) Close() error {
	v.stopOnce.Do(func() { close(v.stopping) })
	v.goroutines.Wait()
	return nil
}

// AddDigests implements coordination.Voter.
func (v *Voter) AddDigests(digests []observation.Digest) { v.digests.addFromProcesses(digests) }

// Status implements coordination.Voter.
func (v *Voter) Status() coordination.Status { return *v.status.Load() }

// SetControllers replaces the controllers, after the operators' file was read again.
func (v *Voter) SetControllers(controllers []coordination.Controller) { v.runner.set(controllers) }

// TransferLeadership hands the lead to another voter, where this one leads, and returns once that
// one leads or the context ends. A voter that stopped at once could end with its vote for the next
// leader unsent.
func (v *Voter) TransferLeadership(ctx context.Context) {
	self := v.Status().Number
	if v.Status().Leader != self {
		return
	}
	for leader := self; leader == self || leader == 0; leader = v.Status().Leader {
		if v.mailbox.enqueue(ctx, func(l *eventLoop) { l.consensus.TransferLeadership() }) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(transferPollInterval):
		}
	}
}
