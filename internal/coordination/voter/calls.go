package voter

import (
	"context"
	"errors"
	"time"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/consensus"
	"harrierhoist/internal/coordination/statemachine"
)

// mailbox hands calls to the event loop. It may be used by several goroutines at once.
type mailbox struct {
	calls   chan func(*eventLoop)
	stopped chan struct{} // closed once the event loop has ended
}

func newMailbox() *mailbox {
	return &mailbox{calls: make(chan func(*eventLoop), mailboxSize), stopped: make(chan struct{})}
}

// enqueue has the event loop run a call; it does not wait until that is done. Errors: ErrStopped,
// or the context's.
func (m *mailbox) enqueue(ctx context.Context, call func(*eventLoop)) error {
	select {
	case <-m.stopped:
		return coordination.ErrStopped
	default:
	}
	select {
	case m.calls <- call:
		return nil
	case <-m.stopped:
		return coordination.ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ask has the event loop run a call and waits for its result. Errors: ErrStopped, or the context's.
func ask[T any](ctx context.Context, m *mailbox, call func(*eventLoop) T) (result T, err error) {
	results := make(chan T, 1)
	if err := m.enqueue(ctx, func(l *eventLoop) { results <- call(l) }); err != nil {
		return result, err
	}
	select {
	case result = <-results:
		return result, nil
	case <-m.stopped:
		return result, coordination.ErrStopped
	case <-ctx.Done():
		return result, ctx.Err()
	}
}

// HandleMessage implements coordination.Voter.
func (v *Voter) HandleMessage(ctx context.Context, message []byte) error {
	rejected, err := ask(ctx, v.mailbox, func(l *eventLoop) error { return l.handleMessage(message) })
	if err != nil {
		return err
	}
	return rejected
}

// Propose implements coordination.Voter.
func (v *Voter) Propose(ctx context.Context, command statemachine.Command) (statemachine.Result, error) {
	return v.proposeAndWait(ctx, func(n *consensus.Node) (uint64, error) { return n.Propose(command) })
}

// ChangeMembership implements coordination.Voter.
func (v *Voter) ChangeMembership(ctx context.Context, member coordination.Member, remove bool) error {
	_, err := v.proposeAndWait(
		ctx,
		func(n *consensus.Node) (uint64, error) { return n.ChangeMembership(member, remove) },
	)
	return err
}

// proposeAndWait has the event loop propose something, and waits for the outcome.
func (v *Voter) proposeAndWait(ctx context.Context,
	propose func(*consensus.Node) (uint64, error),
) (statemachine.Result, error) {
	done := make(chan consensus.Outcome, 1)
	if err := v.mailbox.enqueue(ctx, func(l *eventLoop) { l.propose(propose, done) }); err != nil {
		if errors.Is(err, coordination.ErrStopped) {
			return statemachine.Result{}, err
		}
		return statemachine.Result{}, coordination.ErrNotLeader // the context ended before the event loop took it
	}
	select {
	case outcome := <-done:
		return outcome.Result, outcome.Err
	case <-v.mailbox.stopped:
		return statemachine.Result{}, coordination.ErrStopped
	case <-ctx.Done():
		return statemachine.Result{}, coordination.ErrOutcomeUnknown
	}
}

// Read implements coordination.Voter.
func (v *Voter) Read(
	ctx context.Context,
	known map[string]uint64,
	wait time.Duration,
) (map[string]statemachine.Table, error) {
	found := make(chan map[string]statemachine.Table, 1)
	read := &consensus.PendingRead{
		KnownEpochs: known,
		Deadline:    elapsed() + wait,
		Respond:     func(tables map[string]statemachine.Table) { found <- tables },
		IsCanceled:  func() bool { return ctx.Err() != nil },
	}
	if err := v.mailbox.enqueue(ctx, func(l *eventLoop) { l.pendingReads.Add(read, elapsed()) }); err != nil {
		if errors.Is(err, coordination.ErrStopped) {
			return nil, err
		}
		return nil, coordination.ErrNoQuorum
	}
	select {
	case tables := <-found:
		return tables, nil
	case <-v.mailbox.stopped:
		return nil, coordination.ErrStopped
	case <-ctx.Done():
		return nil, coordination.ErrNoQuorum
	}
}
