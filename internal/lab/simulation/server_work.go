package simulation

import (
	"slices"
	"time"

	"harrierhoist/internal/lab/scenario"
	"harrierhoist/policy"
)

// receive takes a complete request.
func (s *server) receive(attempt *attempt) {
	engine := s.engine
	switch {
	case s.dead:
		engine.reply(attempt, policy.Reset, 0)
		return
	case s.silent || s.silentClasses[attempt.try.class]:
		return
	case s.state == policy.Draining:
		engine.reply(attempt, policy.Rejected, 0)
		return
	}
	if s.warmUpFraction() < 1 {
		s.checkOverload(attempt)
	}
	switch {
	case engine.clock.Now() < s.overloadedUntil:
		engine.reply(attempt, policy.Errored, 0)
	case s.errorRate > 0 && engine.modelRandom.Float64() < s.errorRate:
		engine.reply(attempt, policy.Errored, 0)
	case s.isDuplicate(attempt):
		engine.reply(attempt, policy.Answered, attempt.try.actualUnits)
	case s.busyCores < engine.scenario.Servers.Cores:
		s.startWork(attempt)
	case len(s.queue) >= engine.scenario.Servers.QueueLimit:
		engine.reply(attempt, policy.Rejected, 0)
	default:
		s.queue = append(s.queue, attempt)
	}
}

// checkOverload counts a request that a server gets while it is warming up. It overloads the server
// if the work sent over the overload span is more than the scenario's factor times what the server
// can do now.
func (s *server) checkOverload(a *attempt) {
	engine := s.engine
	rules := &engine.scenario.Rules
	now := engine.clock.Now()
	span := rules.OverloadSpan.D()
	s.recentArrivals = append(s.recentArrivals, arrival{now, a.work.Seconds()})
	s.recentWork += a.work.Seconds()
	for s.recentArrivals[0].at < now-span {
		s.recentWork -= s.recentArrivals[0].work
		s.recentArrivals = s.recentArrivals[1:]
	}
	rate := s.recentWork / span.Seconds()
	limit := s.capacity() * rules.OverloadFactor
	isOverloaded := now < s.overloadedUntil
	hasFewRequests := len(s.recentArrivals) < engine.scenario.Servers.Cores+overloadMargin
	if isOverloaded || hasFewRequests || rate <= limit {
		return
	}
	s.overloadedUntil = now + rules.OverloadDowntime.D()
	engine.checker.ServerOverloaded(now, s.id, rate, s.capacity())
}

// isDuplicate reports whether a server of this one's group remembers the request's idempotency key.
func (s *server) isDuplicate(a *attempt) bool {
	class := &s.engine.settings.Classes[a.try.class]
	if class.Effect != policy.Keyed {
		return false
	}
	for _, other := range s.engine.servers {
		until, isKnown := other.dedupUntil[a.try.request.key]
		if isKnown && s.engine.clock.Now() < until && s.isInGroupOf(other, class.Group) {
			return true
		}
	}
	return false
}

// isInGroupOf reports whether two servers are in one group of a kind.
func (s *server) isInGroupOf(other *server, group policy.Group) bool {
	switch group {
	case policy.GroupAll:
		return true
	case policy.GroupZone:
		return other.zone == s.zone
	case policy.GroupRack:
		return other.rack == s.rack
	}
	return false
}

// startWork begins a request on a free core; its effect happens now.
func (s *server) startWork(attempt *attempt) {
	engine := s.engine
	if s.isDuplicate(attempt) { // another of the group began it while it was queued here
		engine.reply(attempt, policy.Answered, attempt.try.actualUnits)
		return
	}
	s.busyCores++
	s.running[attempt] = true
	engine.checker.EffectRan(engine.clock.Now(), s.id, attempt.try.id)
	if class := &engine.settings.Classes[attempt.try.class]; class.Effect == policy.Keyed {
		s.dedupUntil[attempt.try.request.key] = engine.clock.Now() + class.DedupWindow + receiptSlack
	}
	took := time.Duration(float64(attempt.work) / (s.speed * s.warmUpFraction()) * s.slowdown)
	if attempt.newConnection {
		took += engine.scenario.Servers.HandshakeWork.D()
	}
	s.workDone += took
	incarnation := s.incarnation
	engine.clock.After(took, func() {
		if s.incarnation != incarnation || !s.running[attempt] {
			return
		}
		s.release(attempt)
		engine.reply(attempt, policy.Answered, attempt.try.actualUnits)
		s.startQueued()
	})
}

// release frees the core of a request.
func (s *server) release(a *attempt) {
	delete(s.running, a)
	s.busyCores--
}

// startQueued begins queued requests while cores are free.
func (s *server) startQueued() {
	for s.busyCores < s.engine.scenario.Servers.Cores && len(s.queue) > 0 {
		a := s.queue[0]
		s.queue = s.queue[1:]
		s.startWork(a)
	}
}

// cancel handles the notice that nobody waits for an attempt: it ends the work that the scenario's
// cancellation covers.
func (s *server) cancel(a *attempt) {
	scope := s.engine.scenario.Servers.Cancellation
	if scope == scenario.CancelNone || s.dead || s.silent {
		return
	}
	if i := slices.Index(s.queue, a); i >= 0 {
		s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
		return
	}
	if scope == scenario.CancelAll && s.running[a] {
		s.release(a)
		s.startQueued()
	}
}
