package simulation

import (
	"slices"
	"strconv"
	"time"

	"harrierhoist/internal/gateway/upstream/subset"
	"harrierhoist/internal/lab/scenario"
	"harrierhoist/policy"
)

const (
	// receiptSlack is how much longer than the class's window a server remembers an idempotency key.
	receiptSlack = 2 * time.Second
	// overloadMargin is how many requests more than its cores a server must have got lately before it can be overloaded:
	// a handful of requests is no overload, however heavy they are.
	overloadMargin = 4
)

// server is one back end: cores that each work on one request, and a queue in front of them.
type server struct {
	engine     *engine
	id         uint32
	nameHash   uint64 // as in the subsets of gateways
	zone, rack int
	speed      float64
	startedAt  time.Duration // latest start; 0: long before the run
	restarts   int           // starts within the run
	state      policy.EndpointState

	dead            bool // its process is gone: connections are refused
	silent          bool // its machine is gone: nothing comes back
	errorRate       float64
	slowdown        float64      // factor on the time that work takes
	silentClasses   map[int]bool // classes that it never answers
	overloadedUntil time.Duration

	busyCores      int
	queue          []*attempt
	running        map[*attempt]bool
	connections    int
	recentArrivals []arrival // within the overload span, while it is warming up
	recentWork     float64   // sum of their work, in seconds
	workDone       time.Duration
	incarnation    int                      // work of an earlier one does not end
	dedupUntil     map[uint64]time.Duration // by idempotency key
}

// arrival is a request that a server got.
type arrival struct {
	at   time.Duration
	work float64 // seconds
}

// addServer starts a server; startedAt 0 means long ago.
func (e *engine) addServer(zone, rack int, startedAt time.Duration) *server {
	speed := e.scenario.Servers.Speed
	s := &server{
		engine: e, id: uint32(len(e.servers) + 1), zone: zone, rack: rack, startedAt: startedAt, state: policy.Ready,
		slowdown: 1, speed: speed[0] + (speed[1]-speed[0])*e.modelRandom.Float64(), running: map[*attempt]bool{},
		errorRate: e.scenario.Servers.ErrorRate, silentClasses: map[int]bool{}, dedupUntil: map[uint64]time.Duration{},
	}
	if startedAt > 0 {
		s.restarts = 1
	}
	s.nameHash = subset.HashName("s-" + strconv.Itoa(int(s.id)))
	e.servers = append(e.servers, s)
	return s
}

// endpoint is the server as discovery lists it.
func (s *server) endpoint() policy.Endpoint {
	return policy.Endpoint{Server: s.id, State: s.state, Capacity: 1, StartedAt: s.startedAt, Rack: s.rack, Zone: s.zone}
}

// warmUpFraction is the part of its speed that it has.
func (s *server) warmUpFraction() float64 {
	settings := &s.engine.scenario.Servers
	if s.startedAt == 0 || settings.WarmUpTime <= 0 {
		return 1
	}
	elapsed := float64(s.engine.clock.Now()-s.startedAt) / float64(settings.WarmUpTime)
	return min(1, settings.WarmUpStart+(1-settings.WarmUpStart)*max(elapsed, 0))
}

// capacity is the work that it does in a second, in seconds on a core of speed 1.
func (s *server) capacity() float64 {
	return float64(s.engine.scenario.Servers.Cores) * s.speed * s.warmUpFraction() / s.slowdown
}

// restart starts a server again, which then warms up.
func (s *server) restart() {
	s.dropWork()
	s.dead = false
	s.silent = false
	s.overloadedUntil = 0
	s.startedAt = s.engine.clock.Now()
	s.restarts++
	s.dedupUntil = map[uint64]time.Duration{}
}

// remove ends a server's process for good.
func (s *server) remove() {
	s.state = policy.Removed
	s.dropWork()
	s.dead = true
	s.engine.announce(s)
}

// dropWork ends all that it has begun or queued.
func (s *server) dropWork() {
	s.incarnation++
	clear(s.running)
	s.queue = nil
	s.busyCores = 0
	s.recentArrivals = nil
	s.recentWork = 0
}

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

// checkOverload counts a request that a server gets while it is warming up. It overloads the server if the work sent over
// the overload span is more than the scenario's factor times what the server can do now.
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
	if now < s.overloadedUntil || len(s.recentArrivals) < engine.scenario.Servers.Cores+overloadMargin || rate <= limit {
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
		sameGroup := class.Group == policy.GroupAll || class.Group == policy.GroupZone && other.zone == s.zone ||
			class.Group == policy.GroupRack && other.rack == s.rack
		if until, known := other.dedupUntil[a.try.request.key]; sameGroup && known && s.engine.clock.Now() < until {
			return true
		}
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

// cancel handles the notice that nobody waits for an attempt, as far as the scenario's servers heed it.
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
