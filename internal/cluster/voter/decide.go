package voter

import (
	"context"
	"strconv"
	"time"

	"harrierhoist/internal/cluster"
	"harrierhoist/internal/cluster/evidence"
	"harrierhoist/internal/cluster/tables"
)

// pass tells the leader what was merged here.
func (k *desk) pass() {
	s := k.core.Status()
	if s.Leader == 0 || s.Leader == s.Number {
		return
	}
	k.v.mu.Lock()
	all := k.v.gather.Pass(s.Term)
	k.v.mu.Unlock()
	if m, ok, err := k.core.Evidence(all); ok && err == nil {
		k.send(m.To, m.Body)
	}
}

// seen is what the deciders go by, or false: this voter doesn't lead, or doesn't know all that was acknowledged yet.
func (v *Voter) seen(ctx context.Context) (s cluster.Seen, now time.Duration, ok bool) {
	type answer struct {
		sums  map[string]uint64
		since time.Duration
		ok    bool
	}
	got := make(chan answer, 1)
	if v.ask(ctx, func(k *desk) {
		k.core.Mark()
		if !k.core.Settled() || k.led == 0 {
			got <- answer{}
			return
		}
		v.mu.Lock()
		sums := v.gather.Sums()
		v.mu.Unlock()
		got <- answer{sums, k.since, true}
	}) != nil {
		return s, 0, false
	}
	select {
	case a := <-got:
		s = cluster.Seen{Sums: a.sums, Since: a.since, Totals: func(table string) map[string]uint64 {
			return of(v, func(k *desk) map[string]uint64 { return k.core.State().Totals(table) })
		}, Held: func(table string) tables.Entry {
			return of(v, func(k *desk) tables.Entry { return k.core.State().Table(table) })
		}}
		return s, time.Since(began), a.ok
	case <-v.over:
		return s, 0, false
	}
}

// began is what the deciders' clock counts from; it is monotonic.
var began = time.Now()

// of has the owner look something up; the zero value once the voter has ended.
func of[T any](v *Voter, look func(*desk) T) (none T) {
	got := make(chan T, 1)
	if v.ask(context.Background(), func(k *desk) { got <- look(k) }) != nil {
		return none
	}
	select {
	case t := <-got:
		return t
	case <-v.over:
		return none
	}
}

// decide asks the deciders while this voter leads, and writes what they decide. It has a goroutine of its own, so that
// a long decision delays no heartbeat.
func (v *Voter) decide(by string) {
	clock := time.NewTicker(decideEvery)
	defer clock.Stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	v.routines.Go(func() { // ends what waits below once the voter ends
		<-v.over
		cancel()
	})
	number, raised := uint64(0), time.Now()
	for {
		select {
		case <-clock.C:
		case <-v.over:
			return
		}
		seen, now, ok := v.seen(ctx)
		if !ok {
			continue
		}
		v.mu.Lock()
		deciders := v.deciders
		v.mu.Unlock()
		for _, d := range deciders {
			held := seen.Held(d.Table())
			value, write := d.Decide(now, seen)
			if !write {
				continue
			}
			number++
			v.write(ctx, tables.Command{Kind: tables.Write, By: by, Number: number, Table: d.Table(), Epoch: held.Epoch,
				Value: value})
		}
		if time.Since(raised) >= raiseEvery {
			raised = time.Now()
			v.raise(ctx, seen.Totals(ExactTable))
		}
	}
}

// write proposes once. A write that is lost or comes too late is no matter: the decider is asked again with what stands.
func (v *Voter) write(ctx context.Context, c tables.Command) {
	ctx, cancel := context.WithTimeout(ctx, writePatience)
	defer cancel()
	_, _ = v.Propose(ctx, c)
}

// raise writes the exact counts that grew since they were written last, by whichever leader.
func (v *Voter) raise(ctx context.Context, stand map[string]uint64) {
	grown := map[string]uint64{}
	v.mu.Lock()
	for _, d := range v.gather.Exact() {
		for name, n := range d.Exact {
			full := evidence.Name(d.Process, strconv.FormatUint(d.Incarnation, 10), name)
			if n > stand[full] {
				grown[full] = n
			}
		}
	}
	v.mu.Unlock()
	if len(grown) > 0 {
		v.write(ctx, tables.Command{Kind: tables.Raise, Table: ExactTable, Totals: grown})
	}
}
