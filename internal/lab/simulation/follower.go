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
	maxMissedDigests = 2
	// readLate is how long after its wait a read is given up.
	readTimeoutSlack = 300 * time.Millisecond
	// readPause is the time between a read that failed and the next.
	readRetryPause = 100 * time.Millisecond
	// forever is a lease that does not end: of what a gateway decides itself.
	endlessLease = time.Duration(math.MaxInt64)
	// shedAway is as in the gate.
	shedRetryAfter = time.Second
)

// follower is a gateway's part in what is held in common.
type follower struct {
	coordinator     *coordinator
	index           int
	gateway         *gateway
	recorder        *zonestats.Recorder
	voter, misses   int
	serial, session uint64
	lastRead        uint64 // counts reads; an answer to an earlier one is late
	cached          coordination.CachedTable
	updater         *routing.Updater
	steering        dispatch.Steering  // what the pool is steered by
	steeringUntil   time.Duration      // when that ends
	nextSteering    *dispatch.Steering // and what follows; nil: it has no end
	// Of those that decide alone.
	observations *observation.Merger
	controller   coordination.Controller
	leadingSince time.Duration
}

// begin begins a life of a gateway: it holds nothing.
func (f *follower) start(g *gateway) {
	c := f.coordinator
	*f = follower{coordinator: c, index: f.index, gateway: g, session: f.session + 1, lastRead: f.lastRead + 1}
	f.recorder = zonestats.New(c.zones, g.zone, &c.engine.settings)
	f.updater = routing.New(cachedTables{f}, f, c.zones, c.zones[g.zone], zap.NewNop())
	if c.settings.Mode == scenario.CoordinationLocal {
		f.startLocalController()
	} else {
		f.voter = f.nearestVoter()
		f.read()
	}
	first := c.settings.DigestInterval.D() * time.Duration(f.index%97+1) / 97 // not all at once
	life := g.incarnation
	c.engine.clock.After(first, func() { f.sendDigests(life) })
	f.updater.Update()
}

// nearest is the voter that it turns to first: in its hall, else in its region, else any.
func (f *follower) nearestVoter() int {
	regions, voters := f.coordinator.engine.regions, f.coordinator.voters
	for _, near := range []func(hall int) bool{
		func(hall int) bool { return hall == f.gateway.zone },
		func(hall int) bool { return regions[hall] == regions[f.gateway.zone] },
	} {
		for i := range voters {
			if v := (f.index + i) % len(voters); near(voters[v].zone) {
				return v
			}
		}
	}
	return f.index % len(voters)
}

// beat sends a digest, and again after its time.
func (f *follower) sendDigests(life int) {
	if f.gateway.incarnation != life || !f.gateway.alive {
		return
	}
	f.coordinator.engine.clock.After(f.coordinator.settings.DigestInterval.D(), func() { f.sendDigests(life) })
	f.gateway.run(life, f.sendDigest)
}

func (f *follower) sendDigest() {
	c, now := f.coordinator, f.coordinator.engine.clock.Now()
	counts := map[string]uint64{}
	f.recorder.WriteCounts(now, func(name string, n uint64) { counts[name] += n })
	if c.settings.Mode == scenario.CoordinationLocal {
		f.decideLocally(counts)
		return
	}
	f.updater.Update() // it may see its own hall with other eyes
	f.serial++
	d := observation.Digest{
		Process: fmt.Sprint("g", f.index), Incarnation: uint64(f.gateway.incarnation), Serial: f.serial,
		Session: f.session,
		Counts:  counts,
	}
	v := c.voters[f.voter]
	if !v.dead && c.send(f.gateway.zone, v.zone, func() {
		if !v.dead {
			c.countMessage(v, func(m *Messages) *int { return &m.Digests })
			v.direct.Add(d)
		}
	}) {
		f.misses = 0
		return
	}
	if f.misses++; f.misses >= maxMissedDigests {
		f.switchVoter()
	}
}

// turn goes over to the next voter.
func (f *follower) switchVoter() {
	f.voter, f.misses = (f.voter+1)%len(f.coordinator.voters), 0
	f.session++
}

// read asks for what is later than held, again and again.
func (f *follower) read() {
	c, g, life, sent := f.coordinator, f.gateway, f.gateway.incarnation, f.coordinator.engine.clock.Now()
	f.lastRead++
	mine := f.lastRead
	again := func(after time.Duration) {
		c.engine.clock.After(after, func() {
			g.run(life, func() {
				if f.lastRead == mine {
					f.read()
				}
			})
		})
	}
	v := c.voters[f.voter]
	answer := func(e statemachine.Table, confirmed bool) {
		c.send(v.zone, g.zone, func() {
			g.run(life, func() {
				if f.lastRead != mine {
					return
				}
				if !confirmed {
					f.switchVoter()
					again(readRetryPause)
					return
				}
				f.adopt(e, sent+c.settings.Lease.D())
				f.read()
			})
		})
	}
	c.send(g.zone, v.zone, func() { v.read(&read{knownEpoch: f.cached.Epoch, answer: answer}) })
	c.engine.clock.After(c.settings.ReadWait.D()+readTimeoutSlack, func() {
		g.run(life, func() {
			if f.lastRead == mine {
				f.switchVoter()
				f.read()
			}
		})
	})
}

// take takes a table with its lease.
func (f *follower) adopt(e statemachine.Table, until time.Duration) {
	if e.Epoch < f.cached.Epoch {
		return
	}
	f.cached = coordination.CachedTable{Name: failover.Table, Epoch: e.Epoch, Value: e.Value, LeaseEnd: until}
	f.updater.Update()
}
