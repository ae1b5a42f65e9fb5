package voter

import (
	"context"
	"strconv"
	"time"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
)

// forwardDigests tells the leader what was merged here.
func (l *eventLoop) forwardDigests() {
	status := l.consensus.Status()
	if status.Leader == 0 || status.Leader == status.Number {
		return
	}
	l.voter.mu.Lock()
	all := l.voter.gatherer.ForLeader(status.Term)
	l.voter.mu.Unlock()
	if m, ok, err := l.consensus.DigestMessage(all); ok && err == nil {
		l.send(m.To, m.Body)
	}
}

// controllerInput is what the deciders go by, or false: this voter doesn't lead, or doesn't know all that was acknowledged yet.
func (v *Voter) controllerInput(ctx context.Context) (input coordination.ControllerInput, now time.Duration, ok bool) {
	type answer struct {
		sums  map[string]uint64
		since time.Duration
		ok    bool
	}
	got := make(chan answer, 1)
	if v.enqueue(ctx, func(l *eventLoop) {
		l.consensus.ProposeDiskIDs()
		if !l.consensus.IsEstablishedLeader() || l.leadTerm == 0 {
			got <- answer{}
			return
		}
		v.mu.Lock()
		sums := v.gatherer.Sums()
		v.mu.Unlock()
		got <- answer{sums, l.leadSince, true}
	}) != nil {
		return input, 0, false
	}
	select {
	case a := <-got:
		input = coordination.ControllerInput{Sums: a.sums, LeadingSince: a.since, Totals: func(table string) map[string]uint64 {
			return query(v, func(l *eventLoop) map[string]uint64 { return l.consensus.State().Totals(table) })
		}, Table: func(table string) statemachine.Table {
			return query(v, func(l *eventLoop) statemachine.Table { return l.consensus.State().Table(table) })
		}}
		return input, time.Since(processStart), a.ok
	case <-v.stopped:
		return input, 0, false
	}
}

// processStart is what the deciders' clock counts from; it is monotonic.
var processStart = time.Now()

// query has the owner look something up; the zero value once the voter has ended.
func query[T any](v *Voter, lookUp func(*eventLoop) T) (none T) {
	got := make(chan T, 1)
	if v.enqueue(context.Background(), func(l *eventLoop) { got <- lookUp(l) }) != nil {
		return none
	}
	select {
	case t := <-got:
		return t
	case <-v.stopped:
		return none
	}
}

// runControllers asks the deciders while this voter leads, and writes what they decide. It has a goroutine of its own, so that
// a long decision delays no heartbeat.
func (v *Voter) runControllers(proposer string) {
	ticker := time.NewTicker(controlInterval)
	defer ticker.Stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	v.goroutines.Go(func() { // ends what waits below once the voter ends
		<-v.stopped
		cancel()
	})
	number, raised := uint64(0), time.Now()
	for {
		select {
		case <-ticker.C:
		case <-v.stopped:
			return
		}
		seen, now, ok := v.controllerInput(ctx)
		if !ok {
			continue
		}
		v.mu.Lock()
		controllers := v.controllers
		v.mu.Unlock()
		for _, d := range controllers {
			held := seen.Table(d.Table())
			value, write := d.Decide(now, seen)
			if !write {
				continue
			}
			number++
			v.proposeOnce(ctx, statemachine.Command{Kind: statemachine.Write, Proposer: proposer, Number: number, Table: d.Table(), Epoch: held.Epoch,
				Value: value})
		}
		if time.Since(raised) >= raiseInterval {
			raised = time.Now()
			v.raiseExactCounts(ctx, seen.Totals(ExactTable))
		}
	}
}

// proposeOnce proposes once. A write that is lost or comes too late is no matter: the decider is asked again with what stands.
func (v *Voter) proposeOnce(ctx context.Context, command statemachine.Command) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, _ = v.Propose(ctx, command)
}

// raiseExactCounts writes the exact counts that grew since they were written last, by whichever leader.
func (v *Voter) raiseExactCounts(ctx context.Context, stand map[string]uint64) {
	grown := map[string]uint64{}
	v.mu.Lock()
	for _, d := range v.gatherer.ExactCounts() {
		for name, n := range d.Exact {
			full := observation.JoinName(d.Process, strconv.FormatUint(d.Incarnation, 10), name)
			if n > stand[full] {
				grown[full] = n
			}
		}
	}
	v.mu.Unlock()
	if len(grown) > 0 {
		v.proposeOnce(ctx, statemachine.Command{Kind: statemachine.RaiseTotals, Table: ExactTable, Totals: grown})
	}
}
