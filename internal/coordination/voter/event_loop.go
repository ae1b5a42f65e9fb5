package voter

import (
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/consensus"
	"harrierhoist/internal/coordination/wal"
)

// eventLoop owns the core, the disk's writes and all calls that wait. One goroutine works at it.
type eventLoop struct {
	voter            *Voter
	consensus        *consensus.Node
	storage          *wal.Log
	send             func(to coordination.Member, message []byte)
	logger           *zap.Logger
	pendingProposals map[uint64]chan consensus.Outcome // proposals and changes
	pendingReads     *consensus.ReadQueue
	loggedLeader     uint64        // as last said in the log
	leadTerm         uint64        // the term that it leads in; 0: none
	leadSince        time.Duration // it leads
	loggedRejections map[string]bool
	compactAt        int64 // bytes of log after which it is made anew
}

func newEventLoop(v *Voter, node *consensus.Node, storage *wal.Log, send func(coordination.Member, []byte), logger *zap.Logger) *eventLoop {
	return &eventLoop{voter: v, consensus: node, storage: storage, send: send, logger: logger, pendingProposals: map[uint64]chan consensus.Outcome{},
		pendingReads: consensus.NewReadQueue(node), loggedRejections: map[string]bool{}, compactAt: minCompactBytes}
}

// run works until the voter is to end or its disk fails it. A voter that can't write is as good as dead to the others,
// and must be: what it would go on to say might not be there after the next start.
func (l *eventLoop) run() {
	defer close(l.voter.stopped)
	ticker, forward := time.NewTicker(tickInterval), time.NewTicker(forwardInterval)
	defer ticker.Stop()
	defer forward.Stop()
	for {
		over, err := l.handleNextEvent(ticker.C, forward.C)
		if err != nil {
			l.logger.Error("this voter has stopped", zap.Error(err))
		}
		if over || err != nil {
			l.voter.stop()
			return
		}
	}
}

// handleNextEvent does what the core has ready, and then waits for the next event.
func (l *eventLoop) handleNextEvent(ticks, forward <-chan time.Time) (over bool, err error) {
	defer func() {
		// The library's word for what must never be, such as entries that others know this disk had and that are gone.
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", consensus.ErrCorrupt, p)
		}
	}()
	if err := l.processReady(); err != nil {
		return true, err
	}
	select {
	case <-l.voter.stopping:
		return true, nil
	case do := <-l.voter.calls:
		do(l)
		l.drainCalls()
	case <-ticks:
		l.drainCalls() // what came while the process slept or wrote counts before the time that passed
		l.consensus.Tick()
		l.pendingReads.Tick(time.Since(processStart))
	case <-forward:
		l.forwardDigests()
	}
	return false, nil
}

// drainCalls takes the calls that wait already.
func (l *eventLoop) drainCalls() {
	for range maxCallsPerSync {
		select {
		case do := <-l.voter.calls:
			do(l)
		default:
			return
		}
	}
}

// processReady does what the core has ready: write, send, answer.
func (l *eventLoop) processReady() error {
	for {
		ready, ok, err := l.consensus.Ready()
		if err != nil {
			return err
		}
		if !ok {
			break
		}
		for _, m := range ready.EarlyMessages {
			l.send(m.To, m.Body)
		}
		if ready.Record != nil {
			if err := l.storage.Append(ready.Record); err != nil {
				return err
			}
		}
		for _, m := range ready.Messages {
			l.send(m.To, m.Body)
		}
		done, err := l.consensus.Advance(ready)
		if err != nil {
			return err
		}
		l.complete(done)
	}
	if err := l.compactLog(); err != nil {
		return err
	}
	l.publishStatus()
	return nil
}

// compactLog makes the log anew once it is long.
func (l *eventLoop) compactLog() error {
	if l.storage.Size() < l.compactAt {
		return nil
	}
	if err := l.consensus.Compact(retainedEntries); err != nil {
		return err
	}
	base, err := l.consensus.Checkpoint()
	if err != nil {
		return err
	}
	if err := l.storage.Rewrite(base); err != nil {
		return err
	}
	l.compactAt = max(minCompactBytes, 2*l.storage.Size()) // a large state is not written again at every turn
	return nil
}

// publishStatus notes who leads.
func (l *eventLoop) publishStatus() {
	status := l.consensus.Status()
	leadTerm := uint64(0)
	if l.consensus.IsLeader() {
		leadTerm = status.Term
	}
	l.voter.mu.Lock()
	l.voter.status = status
	l.voter.gatherer.SetLeaderTerm(leadTerm)
	l.voter.mu.Unlock()
	if leadTerm != l.leadTerm {
		l.leadTerm, l.leadSince = leadTerm, time.Since(processStart)
		for seq, done := range l.pendingProposals {
			done <- consensus.Outcome{Err: coordination.ErrOutcomeUnknown}
			delete(l.pendingProposals, seq)
		}
	}
	if status.Leader != l.loggedLeader && status.Leader != 0 {
		l.loggedLeader = status.Leader
		l.logger.Info("a voter leads", zap.Uint64("number", status.Leader), zap.Uint64("term", status.Term))
	}
}

func (l *eventLoop) propose(propose func(*eventLoop) (uint64, error), done chan consensus.Outcome) {
	seq, err := propose(l)
	if err != nil {
		done <- consensus.Outcome{Err: err}
		return
	}
	l.pendingProposals[seq] = done
}

// complete gives callers what became of their calls.
func (l *eventLoop) complete(d consensus.AppliedResult) {
	for _, o := range d.Outcomes {
		if done, ok := l.pendingProposals[o.Seq]; ok {
			done <- o
			delete(l.pendingProposals, o.Seq)
		}
	}
	l.pendingReads.HandleApplied(d, time.Since(processStart))
}

// handleMessage takes a message. What is refused is said once for each reason, as it comes again with each message.
func (l *eventLoop) handleMessage(message []byte) error {
	digests, err := l.consensus.HandleMessage(message)
	if errors.Is(err, consensus.ErrRejected) && !l.loggedRejections[err.Error()] && len(l.loggedRejections) < maxLoggedRejections {
		l.loggedRejections[err.Error()] = true
		l.logger.Warn("message of another voter", zap.Error(err))
	}
	l.voter.mu.Lock()
	defer l.voter.mu.Unlock()
	l.voter.gatherer.AddFromVoter(digests)
	return err
}

// maxLoggedRejections is how many reasons to refuse a message are said: a faulty sender must not fill the log.
const maxLoggedRejections = 16
