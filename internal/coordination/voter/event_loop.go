package voter

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/consensus"
	"harrierhoist/internal/coordination/wal"
)

// maxLoggedRejections is how many reasons to reject a message are logged: a faulty sender must not
// fill the log.
const maxLoggedRejections = 16

// eventLoop owns the consensus node, the writes to the log and all calls that wait. One goroutine
// runs it.
type eventLoop struct {
	consensus *consensus.Node
	storage   *wal.Log
	mailbox   *mailbox
	stopping  <-chan struct{}
	digests   *digestStore
	status    *atomic.Pointer[coordination.Status]
	send      func(to coordination.Member, message []byte)
	logger    *zap.Logger

	pendingProposals map[uint64]chan consensus.Outcome // also membership changes; by the node's sequence number
	pendingReads     *consensus.ReadQueue
	leadTerm         uint64        // the term that this voter leads in; 0: none
	leadSince        time.Duration // when that term was first seen, on the clock of elapsed
	loggedLeader     uint64
	loggedRejections map[string]bool
	compactAt        int64 // bytes of log at which it is rewritten next
}

func newEventLoop(v *Voter, node *consensus.Node, options Options) *eventLoop {
	return &eventLoop{
		consensus:        node,
		storage:          options.Log,
		mailbox:          v.mailbox,
		stopping:         v.stopping,
		digests:          v.digests,
		status:           &v.status,
		send:             options.Send,
		logger:           options.Logger,
		pendingProposals: map[uint64]chan consensus.Outcome{},
		pendingReads:     consensus.NewReadQueue(node),
		loggedRejections: map[string]bool{},
		compactAt:        minCompactBytes,
	}
}

// run works until the voter is stopped or its log fails. A voter that cannot write is as good as
// dead to the others, and must be: what it would go on to acknowledge might not be there after the
// next start.
func (l *eventLoop) run() {
	defer close(l.mailbox.stopped)
	ticker := time.NewTicker(tickInterval)
	forward := time.NewTicker(forwardInterval)
	defer ticker.Stop()
	defer forward.Stop()
	for {
		stop, err := l.handleNextEvent(ticker.C, forward.C)
		if err != nil {
			l.logger.Error("voter: stopped after a failure", zap.Error(err))
		}
		if stop || err != nil {
			return
		}
	}
}

// handleNextEvent does what the consensus node has ready, and then waits for the next event.
func (l *eventLoop) handleNextEvent(ticks, forward <-chan time.Time) (stop bool, err error) {
	defer func() {
		// The raft library panics on what must never be, such as entries that others know this log
		// had and that are gone.
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", consensus.ErrCorrupt, p)
		}
	}()
	if err := l.processReady(); err != nil {
		return true, err
	}
	select {
	case <-l.stopping:
		return true, nil
	case call := <-l.mailbox.calls:
		call(l)
		l.drainCalls()
	case <-ticks:
		l.drainCalls() // what came while the process was suspended or wrote counts before the time that passed
		l.consensus.Tick()
		l.pendingReads.Tick(elapsed())
	case <-forward:
		l.forwardDigests()
	}
	return false, nil
}

// drainCalls handles the calls that are queued already, so that one sync serves all of them.
func (l *eventLoop) drainCalls() {
	for range maxCallsPerSync {
		select {
		case call := <-l.mailbox.calls:
			call(l)
		default:
			return
		}
	}
}

// processReady writes, sends and answers what the consensus node has ready, until there is nothing
// more.
func (l *eventLoop) processReady() error {
	for {
		ready, ok, err := l.consensus.Ready()
		if err != nil {
			return err
		}
		if !ok {
			break
		}
		l.sendAll(ready.EarlyMessages)
		if ready.Record != nil {
			if err := l.storage.Append(ready.Record); err != nil {
				return err
			}
		}
		l.sendAll(ready.Messages)
		applied, err := l.consensus.Advance(ready)
		if err != nil {
			return err
		}
		l.complete(applied)
	}
	if err := l.compactLog(); err != nil {
		return err
	}
	l.publishStatus()
	return nil
}

func (l *eventLoop) sendAll(messages []consensus.Message) {
	for _, message := range messages {
		l.send(message.To, message.Body)
	}
}

// compactLog rewrites the log from a snapshot once it is long.
func (l *eventLoop) compactLog() error {
	if l.storage.Size() < l.compactAt {
		return nil
	}
	if err := l.consensus.Compact(retainedEntries); err != nil {
		return err
	}
	checkpoint, err := l.consensus.Checkpoint()
	if err != nil {
		return err
	}
	if err := l.storage.Rewrite(checkpoint); err != nil {
		return err
	}
	l.compactAt = max(minCompactBytes, 2*l.storage.Size()) // a large state is not rewritten after every event
	return nil
}

// publishStatus makes the node's status known to callers. With a new term, or without the lead, the
// outcome of proposals that wait is not known.
func (l *eventLoop) publishStatus() {
	status := l.consensus.Status()
	leadTerm := uint64(0)
	if l.consensus.IsLeader() {
		leadTerm = status.Term
	}
	l.status.Store(&status)
	l.digests.setLeaderTerm(leadTerm)
	if leadTerm != l.leadTerm {
		l.leadTerm = leadTerm
		l.leadSince = elapsed()
		for seq, done := range l.pendingProposals {
			done <- consensus.Outcome{Err: coordination.ErrOutcomeUnknown}
			delete(l.pendingProposals, seq)
		}
	}
	if status.Leader != l.loggedLeader && status.Leader != 0 {
		l.loggedLeader = status.Leader
		l.logger.Info("voter: leader changed", zap.Uint64("number", status.Leader), zap.Uint64("term", status.Term))
	}
}

func (l *eventLoop) propose(propose func(*consensus.Node) (uint64, error), done chan consensus.Outcome) {
	seq, err := propose(l.consensus)
	if err != nil {
		done <- consensus.Outcome{Err: err}
		return
	}
	l.pendingProposals[seq] = done
}

// complete gives callers the outcome of their proposals and reads.
func (l *eventLoop) complete(applied consensus.AppliedResult) {
	for _, outcome := range applied.Outcomes {
		if done, ok := l.pendingProposals[outcome.Seq]; ok {
			done <- outcome
			delete(l.pendingProposals, outcome.Seq)
		}
	}
	l.pendingReads.HandleApplied(applied, elapsed())
}

// handleMessage hands a message of another voter to the consensus node. A rejection is logged once
// for each reason, as it comes again with each message.
func (l *eventLoop) handleMessage(message []byte) error {
	digests, err := l.consensus.HandleMessage(message)
	if errors.Is(err, consensus.ErrRejected) && !l.loggedRejections[err.Error()] &&
		len(l.loggedRejections) < maxLoggedRejections {
		l.loggedRejections[err.Error()] = true
		l.logger.Warn("voter: message rejected", zap.Error(err))
	}
	l.digests.addFromVoter(digests)
	return err
}

// forwardDigests sends the leader what was merged here.
func (l *eventLoop) forwardDigests() {
	status := l.consensus.Status()
	if status.Leader == 0 || status.Leader == status.Number {
		return
	}
	// A message that cannot be made now is made anew at the next turn, with all that this one had.
	if message, ok, err := l.consensus.DigestMessage(l.digests.forLeader(status.Term)); ok && err == nil {
		l.send(message.To, message.Body)
	}
}
