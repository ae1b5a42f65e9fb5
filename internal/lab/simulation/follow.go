package simulation

import (
	"fmt"
	"math"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
	"harrierhoist/internal/dispatch"
	"harrierhoist/internal/failover"
	"harrierhoist/internal/lab/scenario"
	"harrierhoist/internal/routing"
	"harrierhoist/internal/zonestats"
)

const (
	// missesMost is how many digests in a row without an answer have a gateway turn to another voter.
	missesMost = 2
	// readLate is how long after its wait a read is given up.
	readLate = 300 * time.Millisecond
	// readPause is the time between a read that failed and the next.
	readPause = 100 * time.Millisecond
	// forever is a lease that does not end: of what a gateway decides itself.
	forever = time.Duration(math.MaxInt64)
	// shedAway is as in the gate.
	shedAway = time.Second
)

// follower is a gateway's part in what is held in common.
type follower struct {
	c               *common
	n               int
	g               *gateway
	w               *zonestats.Recorder
	voter, misses   int
	serial, session uint64
	reading         uint64 // counts reads; an answer to an earlier one is late
	held            coordination.CachedTable
	steer           *routing.Updater
	by              dispatch.Steering  // what the pool is steered by
	until           time.Duration      // when that ends
	after           *dispatch.Steering // and what follows; nil: it has no end
	// Of those that decide alone.
	book    *observation.Merger
	decider coordination.Controller
	since   time.Duration
}

// begin begins a life of a gateway: it holds nothing.
func (f *follower) begin(g *gateway) {
	c := f.c
	*f = follower{c: c, n: f.n, g: g, session: f.session + 1, reading: f.reading + 1}
	f.w = zonestats.New(c.halls, g.hall, &c.e.site)
	f.steer = routing.New(commons{f}, f, c.halls, c.halls[g.hall], zap.NewNop())
	if c.w.How == scenario.Own {
		f.alone()
	} else {
		f.voter = f.nearest()
		f.read()
	}
	first := c.w.Digest.D() * time.Duration(f.n%97+1) / 97 // not all at once
	life := g.life
	c.e.clock.After(first, func() { f.beat(life) })
	f.steer.Update()
}

// nearest is the voter that it turns to first: in its hall, else in its region, else any.
func (f *follower) nearest() int {
	regions, voters := f.c.e.regions, f.c.voters
	for _, near := range []func(hall int) bool{
		func(hall int) bool { return hall == f.g.hall },
		func(hall int) bool { return regions[hall] == regions[f.g.hall] },
	} {
		for i := range voters {
			if v := (f.n + i) % len(voters); near(voters[v].hall) {
				return v
			}
		}
	}
	return f.n % len(voters)
}

// beat sends a digest, and again after its time.
func (f *follower) beat(life int) {
	if f.g.life != life || !f.g.alive {
		return
	}
	f.c.e.clock.After(f.c.w.Digest.D(), func() { f.beat(life) })
	f.g.do(life, f.digest)
}

func (f *follower) digest() {
	c, now := f.c, f.c.e.clock.Now()
	counts := map[string]uint64{}
	f.w.WriteCounts(now, func(name string, n uint64) { counts[name] += n })
	if c.w.How == scenario.Own {
		f.decide(counts)
		return
	}
	f.steer.Update() // it may see its own hall with other eyes
	f.serial++
	d := observation.Digest{
		Process: fmt.Sprint("g", f.n), Incarnation: uint64(f.g.life), Serial: f.serial,
		Session: f.session,
		Counts:  counts,
	}
	v := c.voters[f.voter]
	if !v.dead && c.send(f.g.hall, v.hall, func() {
		if !v.dead {
			c.count(v, func(m *Messages) *int { return &m.Digests })
			v.direct.Add(d)
		}
	}) {
		f.misses = 0
		return
	}
	if f.misses++; f.misses >= missesMost {
		f.turn()
	}
}

// turn goes over to the next voter.
func (f *follower) turn() {
	f.voter, f.misses = (f.voter+1)%len(f.c.voters), 0
	f.session++
}

// read asks for what is later than held, again and again.
func (f *follower) read() {
	c, g, life, sent := f.c, f.g, f.g.life, f.c.e.clock.Now()
	f.reading++
	mine := f.reading
	again := func(after time.Duration) {
		c.e.clock.After(after, func() {
			g.do(life, func() {
				if f.reading == mine {
					f.read()
				}
			})
		})
	}
	v := c.voters[f.voter]
	answer := func(e statemachine.Table, confirmed bool) {
		c.send(v.hall, g.hall, func() {
			g.do(life, func() {
				if f.reading != mine {
					return
				}
				if !confirmed {
					f.turn()
					again(readPause)
					return
				}
				f.take(e, sent+c.w.Lease.D())
				f.read()
			})
		})
	}
	c.send(g.hall, v.hall, func() { v.read(&read{known: f.held.Epoch, answer: answer}) })
	c.e.clock.After(c.w.Wait.D()+readLate, func() {
		g.do(life, func() {
			if f.reading == mine {
				f.turn()
				f.read()
			}
		})
	})
}

// take takes a table with its lease.
func (f *follower) take(e statemachine.Table, until time.Duration) {
	if e.Epoch < f.held.Epoch {
		return
	}
	f.held = coordination.CachedTable{Name: failover.Table, Epoch: e.Epoch, Value: e.Value, LeaseEnd: until}
	f.steer.Update()
}
