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

// maxLoggedRejections is how many different reasons to reject a message are logged, each once: a
// faulty sender must not fill the process's log.
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

	// pendingProposals are the proposals and membership changes whose outcome is not known yet, by
	// the node's sequence number. Each ends once it is applied, or when leadTerm changes.
	pendingProposals map[uint64]chan consensus.Outcome
	pendingReads     *consensus.ReadQueue
	leadTerm         uint64          // the term that this voter leads in; 0: it does not lead
	leadSince        time.Duration   // when leadTerm last changed, on the clock of elapsed
	loggedLeader     uint64          // number of the leader that was logged last
	loggedRejections map[string]bool // reasons to reject a message that were logged
	compactAt        int64           // bytes of log at which it is rewritten next
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

// run works until the voter is closed, or stops for good because its log or the consensus node
// failed, which includes a panic of the Raft library. What it acknowledged after a failed write
// might be missing at the next start.
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

// handleNextEvent does what the consensus node has ready, and then waits for the next event. stop
// reports that the voter is closed; an error ends it for good.
func (l *eventLoop) handleNextEvent(ticks, forward <-chan time.Time) (stop bool, err error) {
	defer func() {
		// The Raft library panics on a state that must never occur, such as a log that lacks
		// entries which the other voters know that it had.
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
		// The leader's messages that came while this process was suspended, or wrote to its disk,
		// are handled first: the time that passed since then starts no election.
		l.drainCalls()
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

// publishStatus makes the node's status known to callers, and notices where the lead has changed.
func (l *eventLoop) publishStatus() {
	status := l.consensus.Status()
	leadTerm := uint64(0)
	if l.consensus.IsLeader() {
		leadTerm = status.Term
	}
	l.status.Store(&status)
	l.digests.setLeaderTerm(leadTerm)
	if leadTerm != l.leadTerm {
		l.changeLeadTerm(leadTerm)
	}
	if status.Leader != l.loggedLeader && status.Leader != 0 {
		l.loggedLeader = status.Leader
		l.logger.Info("voter: leader changed", zap.Uint64("number", status.Leader), zap.Uint64("term", status.Term))
	}
}

// changeLeadTerm takes notice that this voter leads in a new term, or lost the lead (0). Proposals
// of the term before end with ErrOutcomeUnknown: the next leader may commit them or not.
func (l *eventLoop) changeLeadTerm(term uint64) {
	l.leadTerm = term
	l.leadSince = elapsed()
	for seq, done := range l.pendingProposals {
		done <- consensus.Outcome{Err: coordination.ErrOutcomeUnknown}
		delete(l.pendingProposals, seq)
	}
}

// propose has the node propose something, and done receive the outcome once that is known.
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

// handleMessage hands a message of another voter to the consensus node, and what it reports of the
// processes to the digest store.
func (l *eventLoop) handleMessage(message []byte) error {
	digests, err := l.consensus.HandleMessage(message)
	if errors.Is(err, consensus.ErrRejected) && l.shouldLogRejection(err.Error()) {
		l.loggedRejections[err.Error()] = true
		l.logger.Warn("voter: message rejected", zap.Error(err))
	}
	l.digests.addFromVoter(digests)
	return err
}

// mayRunControllers decides whether the controllers run here: this voter leads and has applied all
// that was ever acknowledged, and publishStatus has noticed the lead and set leadSince.
func (l *eventLoop) mayRunControllers() bool {
	return l.consensus.IsEstablishedLeader() && l.leadTerm != 0
}

// shouldLogRejection decides whether the log gets a line for the reason of a rejection: the first
// time only, as the same sender is rejected again at each message.
func (l *eventLoop) shouldLogRejection(reason string) bool {
	return !l.loggedRejections[reason] && len(l.loggedRejections) < maxLoggedRejections
}

// forwardDigests sends the leader what was merged here.
func (l *eventLoop) forwardDigests() {
	status := l.consensus.Status()
	if status.Leader == 0 || status.Leader == status.Number {
		return
	}
	// Where no message can be made now, the next one holds all that this one would have held.
	if message, ok, err := l.consensus.DigestMessage(l.digests.forLeader(status.Term)); ok && err == nil {
		l.send(message.To, message.Body)
	}
}
