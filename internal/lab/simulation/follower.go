package simulation

import (
	"fmt"
	"math"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/control/failover"
	"harrierhoist/internal/control/failover/routing"
	"harrierhoist/internal/control/failover/zonestats"
	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/internal/lab/scenario"
)

const (
	// maxMissedDigests is how many digests in a row without an answer make a gateway turn to
	// another voter.
	maxMissedDigests = 2
	// readTimeoutSlack is how long after its wait a read without an answer is given up.
	readTimeoutSlack = 300 * time.Millisecond
	// readRetryPause is the time between a read that failed and the next.
	readRetryPause = 100 * time.Millisecond
	// digestPhases is the number of phases over which the gateways' digests are spread.
	digestPhases = 97
	// endlessLease is the lease of a table that a gateway decides by itself.
	endlessLease = time.Duration(math.MaxInt64)
)

// follower is a gateway's part in coordination: it sends digests to a voter, reads the table, and
// steers the gateway by it.
type follower struct {
	coordinator     *coordinator
	index           int
	gateway         *gateway
	recorder        *zonestats.Recorder
	voter           int // that it talks to
	missedDigests   int // in a row
	serial, session uint64
	lastRead        uint64 // number of the latest read; an answer to an earlier one is late
	cached          coordination.CachedTable
	updater         *routing.Updater
	steering        dispatch.Steering  // of the gateway's subset
	steeringUntil   time.Duration      // when it ends
	nextSteering    *dispatch.Steering // what follows it; nil: it does not end
	local           localController    // where each gateway decides by itself
}

// start starts with an incarnation of the gateway; nothing of the last one is left.
func (f *follower) start(gateway *gateway) {
	coordinator := f.coordinator
	*f = follower{
		coordinator: coordinator,
		index:       f.index,
		gateway:     gateway,
		session:     f.session + 1,
		lastRead:    f.lastRead + 1,
	}
	f.recorder = zonestats.New(coordinator.zones, gateway.zone, &coordinator.engine.settings)
	f.updater = routing.New(cachedTables{f}, f, coordinator.zones, coordinator.zones[gateway.zone], zap.NewNop())
	if coordinator.settings.Mode == scenario.CoordinationLocal {
		f.local = newLocalController(coordinator)
	} else {
		f.voter = f.nearestVoter()
		f.read()
	}
	first := coordinator.settings.DigestInterval.D() * time.Duration(f.index%digestPhases+1) / digestPhases
	incarnation := gateway.incarnation
	coordinator.engine.clock.After(first, func() { f.sendDigests(incarnation) })
	f.updater.Update()
}

// nearestVoter is the voter that a gateway starts with: of its zone, else of its region, else any.
func (f *follower) nearestVoter() int {
	regions := f.coordinator.engine.regions
	voters := f.coordinator.voters
	for _, isNear := range []func(zone int) bool{
		func(zone int) bool { return zone == f.gateway.zone },
		func(zone int) bool { return regions[zone] == regions[f.gateway.zone] },
	} {
		for i := range voters {
			if v := (f.index + i) % len(voters); isNear(voters[v].zone) {
				return v
			}
		}
	}
	return f.index % len(voters)
}

// sendDigests sends a digest in each interval until the incarnation ends.
func (f *follower) sendDigests(incarnation int) {
	if f.gateway.incarnation != incarnation || !f.gateway.alive {
		return
	}
	f.coordinator.engine.clock.After(f.coordinator.settings.DigestInterval.D(), func() { f.sendDigests(incarnation) })
	f.gateway.run(incarnation, f.sendDigest)
}

// sendDigest sends what the gateway counted to its voter, or decides by it where each gateway
// decides by itself.
func (f *follower) sendDigest() {
	coordinator := f.coordinator
	counts := map[string]uint64{}
	f.recorder.WriteCounts(coordinator.engine.clock.Now(), func(name string, n uint64) { counts[name] += n })
	if coordinator.settings.Mode == scenario.CoordinationLocal {
		f.decideLocally(counts)
		return
	}
	f.updater.Update() // whether the gateway's own zone is lost may have changed
	f.serial++
	digest := observation.Digest{
		Process: fmt.Sprint("g", f.index), Incarnation: uint64(f.gateway.incarnation), Serial: f.serial,
		Session: f.session, Counts: counts,
	}
	v := coordinator.voters[f.voter]
	if !v.dead && coordinator.send(f.gateway.zone, v.zone, func() { v.receiveDigest(digest) }) {
		f.missedDigests = 0
		return
	}
	f.missedDigests++
	if f.missedDigests >= maxMissedDigests {
		f.switchVoter()
	}
}

// switchVoter turns to the next voter.
func (f *follower) switchVoter() {
	f.voter = (f.voter + 1) % len(f.coordinator.voters)
	f.missedDigests = 0
	f.session++
}

// read asks its voter for a later table, and reads again after each answer or timeout.
func (f *follower) read() {
	c := f.coordinator
	g := f.gateway
	sentAt := f.coordinator.engine.clock.Now()
	f.lastRead++
	current := reading{f, f.lastRead, g.incarnation}
	v := c.voters[f.voter]
	answer := func(table statemachine.Table, confirmed bool) {
		c.send(v.zone, g.zone, func() { current.run(func() { f.handleRead(current, table, confirmed, sentAt) }) })
	}
	c.send(g.zone, v.zone, func() { v.read(&read{knownEpoch: f.cached.Epoch, answer: answer}) })
	c.engine.clock.After(c.settings.ReadWait.D()+readTimeoutSlack, func() {
		current.run(func() {
			f.switchVoter()
			f.read()
		})
	})
}

// handleRead takes the answer to a read. A lease counts from when the read was sent.
func (f *follower) handleRead(current reading, table statemachine.Table, confirmed bool, sentAt time.Duration) {
	c := f.coordinator
	if !confirmed {
		f.switchVoter()
		c.engine.clock.After(readRetryPause, func() { current.run(f.read) })
		return
	}
	f.adopt(table, sentAt+c.settings.Lease.D())
	f.read()
}

// reading is a read that a follower has begun.
type reading struct {
	follower    *follower
	number      uint64
	incarnation int // of the gateway
}

// run runs an action unless the gateway's incarnation has ended or another read has begun.
func (r reading) run(action func()) {
	r.follower.gateway.run(r.incarnation, func() {
		if r.follower.lastRead == r.number {
			action()
		}
	})
}

// adopt caches a table with its lease, unless a later one is cached.
func (f *follower) adopt(table statemachine.Table, leaseEnd time.Duration) {
	if table.Epoch < f.cached.Epoch {
		return
	}
	f.cached = coordination.CachedTable{
		Name:     failover.TableName,
		Epoch:    table.Epoch,
		Value:    table.Value,
		LeaseEnd: leaseEnd,
	}
	f.updater.Update()
}
