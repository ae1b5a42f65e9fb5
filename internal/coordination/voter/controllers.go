package voter

import (
	"context"
	"strconv"
	"sync"
	"time"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
)

// decimal is the base of an incarnation's number in the names of exact counts.
const decimal = 10

// processStart is the origin of the controllers' and reads' clock; it is monotonic.
var processStart = time.Now()

// elapsed is the time since processStart.
func elapsed() time.Duration { return time.Since(processStart) }

// controllerRunner runs the controllers while this voter leads, and writes what they decide. It has
// a goroutine of its own, so that a long decision delays no heartbeat.
type controllerRunner struct {
	proposer string // names the commands: the voter's process and the incarnation of its disk
	mailbox  *mailbox
	digests  *digestStore
	propose  func(context.Context, statemachine.Command) (statemachine.Result, error)

	lastNumber         uint64    // number of the latest command; it grows by one with each
	exactCountsWritten time.Time // when the exact counts were last compared with the log

	mu          sync.Mutex // guards controllers
	controllers []coordination.Controller
}

func (r *controllerRunner) set(controllers []coordination.Controller) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.controllers = controllers
}

func (r *controllerRunner) current() []coordination.Controller {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.controllers
}

// run works until the context ends.
func (r *controllerRunner) run(ctx context.Context) {
	ticker := time.NewTicker(controlInterval)
	defer ticker.Stop()
	r.exactCountsWritten = time.Now()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		input, now, ok := r.input(ctx)
		if !ok {
			continue
		}
		r.runControllers(ctx, now, input)
		if time.Since(r.exactCountsWritten) >= exactCountsInterval {
			r.exactCountsWritten = time.Now()
			r.writeExactCounts(ctx, input.Totals(ExactTable))
		}
	}
}

// input returns what the controllers decide by and the time of their clock; ok is false where they
// must not run. On its way it has the leader bind disks to the numbers of new members.
func (r *controllerRunner) input(ctx context.Context) (input coordination.ControllerInput, now time.Duration, ok bool) {
	type leadership struct {
		sums  map[string]uint64
		since time.Duration
	}
	leads, err := ask(ctx, r.mailbox, func(loop *eventLoop) *leadership {
		loop.consensus.ProposeDiskIDs()
		if !loop.mayRunControllers() {
			return nil
		}
		return &leadership{r.digests.sums(), loop.leadSince}
	})
	if err != nil || leads == nil {
		return input, 0, false
	}
	return coordination.ControllerInput{
		Sums:         leads.sums,
		LeadingSince: leads.since,
		Totals: func(table string) map[string]uint64 {
			// Of a voter that has stopped there are none. No decision by them can be written then.
			totals, _ := ask(
				ctx,
				r.mailbox,
				func(l *eventLoop) map[string]uint64 { return l.consensus.State().Totals(table) },
			)
			return totals
		},
		Table: func(table string) statemachine.Table {
			found, _ := ask(
				ctx,
				r.mailbox,
				func(l *eventLoop) statemachine.Table { return l.consensus.State().Table(table) },
			)
			return found
		},
	}, elapsed(), true
}

// runControllers asks each controller for the next value of its table, and writes it.
func (r *controllerRunner) runControllers(ctx context.Context, now time.Duration, input coordination.ControllerInput) {
	for _, controller := range r.current() {
		current := input.Table(controller.Table())
		value, write := controller.Decide(now, input)
		if !write {
			continue
		}
		r.lastNumber++
		r.write(ctx, statemachine.Command{
			Kind: statemachine.Write, Proposer: r.proposer, Number: r.lastNumber,
			Table: controller.Table(), Epoch: current.Epoch, Value: value,
		})
	}
}

// write proposes a command once. Its outcome does not matter: where the write is lost or comes too
// late, the controllers run again with what the table then holds.
func (r *controllerRunner) write(ctx context.Context, command statemachine.Command) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, _ = r.propose(ctx, command)
}

// writeExactCounts writes the exact counts that are higher than the written ones, which are those
// in the log. Earlier leaders may have written them.
func (r *controllerRunner) writeExactCounts(ctx context.Context, written map[string]uint64) {
	grown := map[string]uint64{}
	for _, digest := range r.digests.exactCounts() {
		for name, count := range digest.Exact {
			full := observation.JoinName(digest.Process, strconv.FormatUint(digest.Incarnation, decimal), name)
			if count > written[full] {
				grown[full] = count
			}
		}
	}
	if len(grown) > 0 {
		r.write(ctx, statemachine.Command{Kind: statemachine.RaiseTotals, Table: ExactTable, Totals: grown})
	}
}
