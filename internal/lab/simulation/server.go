package simulation

import (
	"math"
	"strconv"
	"time"

	"harrierhoist/internal/upstream/subset"
	"harrierhoist/policy"
)

// server is one back end: cores that each work on one task, and a queue before them.
type server struct {
	engine     *engine
	id         uint32
	nameHash   uint64 // of its name, as in the gateway's part of the servers
	zone, rack int
	speed      float64
	startedAt  time.Duration // of its latest start; 0: long ago
	restarts   int           // in the play
	state      policy.EndpointState

	dead            bool // its process is gone: connections are refused
	silent          bool // its machine is gone: nothing comes back
	errorRate       float64
	slowdown        float64
	silentClasses   map[int]bool // lanes that it never answers
	overloadedUntil time.Duration

	busyCores      int
	queue          []*attempt
	running        map[*attempt]bool
	connections    int
	recentArrivals []arrival // within TipAfter, while it is cold
	recentWork     float64   // sum of their work
	workDone       time.Duration
	incarnation    int // counts deaths: what was begun before one does not end
	dedupUntil     map[uint64]time.Duration
}

type arrival struct {
	at   time.Duration
	work float64
}

// addServer starts a server; since 0 means long ago.
func (e *engine) addServer(hall, cell int, since time.Duration) *server {
	speed := e.scenario.Servers.Speed
	s := &server{
		engine: e, id: uint32(len(e.servers) + 1), zone: hall, rack: cell, startedAt: since, state: policy.Ready, slowdown: 1,
		speed: speed[0] + (speed[1]-speed[0])*e.modelRandom.Float64(), running: map[*attempt]bool{}, errorRate: e.scenario.Servers.ErrorRate,
		silentClasses: map[int]bool{}, dedupUntil: map[uint64]time.Duration{},
	}
	if since > 0 {
		s.restarts = 1
	}
	s.nameHash = subset.HashName("s-" + strconv.Itoa(int(s.id)))
	e.servers = append(e.servers, s)
	return s
}

func (s *server) endpoint() policy.Endpoint {
	return policy.Endpoint{Server: s.id, State: s.state, Capacity: 1, StartedAt: s.startedAt, Rack: s.rack, Zone: s.zone}
}

// warmth is the part of its speed that it has.
func (s *server) warmUpFraction() float64 {
	if s.startedAt == 0 || s.engine.scenario.Servers.WarmUpTime <= 0 {
		return 1
	}
	grown := float64(s.engine.clock.Now()-s.startedAt) / float64(s.engine.scenario.Servers.WarmUpTime)
	from := s.engine.scenario.Servers.WarmUpStart
	return min(1, from+(1-from)*max(grown, 0))
}

// capacity is in core-seconds of speed 1 a second.
func (s *server) capacity() float64 {
	return float64(s.engine.scenario.Servers.Cores) * s.speed * s.warmUpFraction() / s.slowdown
}

// restart brings a server back cold.
func (s *server) restart() {
	s.dropWork()
	s.dead, s.silent, s.overloadedUntil = false, false, 0
	s.startedAt = s.engine.clock.Now()
	s.restarts++
	s.dedupUntil = map[uint64]time.Duration{}
}

// die ends all that it has.
func (s *server) dropWork() {
	s.incarnation++
	for a := range s.running {
		delete(s.running, a)
	}
	s.queue, s.busyCores, s.recentArrivals, s.recentWork = nil, 0, nil, 0
}

// arrive takes a push that has come whole.
func (s *server) receive(a *attempt) {
	e := s.engine
	switch {
	case s.dead:
		e.reply(a, policy.Reset, 0)
		return
	case s.silent || s.silentClasses[a.try.class]:
		return
	case s.state == policy.Draining:
		e.reply(a, policy.Rejected, 0)
		return
	}
	if s.warmUpFraction() < 1 && s.checkOverload(a) {
		return
	}
	switch {
	case e.clock.Now() < s.overloadedUntil:
		e.reply(a, policy.Errored, 0)
	case s.errorRate > 0 && e.modelRandom.Float64() < s.errorRate:
		e.reply(a, policy.Errored, 0)
	case s.isDuplicate(a):
		e.reply(a, policy.Answered, a.try.actualUnits)
	case s.busyCores < e.scenario.Servers.Cores:
		s.startWork(a)
	case len(s.queue) >= e.scenario.Servers.QueueLimit:
		e.reply(a, policy.Rejected, 0)
	default:
		s.queue = append(s.queue, a)
	}
}

// tips tells whether a push makes a cold server fall: more work was sent to it over TipAfter than the stated multiple
// of what it can do now.
func (s *server) checkOverload(a *attempt) bool {
	e, over := s.engine, s.engine.scenario.Rules.OverloadSpan.D()
	s.recentArrivals = append(s.recentArrivals, arrival{e.clock.Now(), a.work.Seconds()})
	s.recentWork += a.work.Seconds()
	for s.recentArrivals[0].at < e.clock.Now()-over {
		s.recentWork -= s.recentArrivals[0].work
		s.recentArrivals = s.recentArrivals[1:]
	}
	// A handful of tasks is no overload, however heavy: it needs as many as the cores and four more.
	rate, most := s.recentWork/over.Seconds(), s.capacity()*e.scenario.Rules.OverloadFactor
	if e.clock.Now() < s.overloadedUntil || len(s.recentArrivals) < e.scenario.Servers.Cores+4 || rate <= most {
		return false
	}
	s.overloadedUntil = e.clock.Now() + e.scenario.Rules.OverloadDowntime.D()
	e.checker.ServerOverloaded(e.clock.Now(), s.id, rate, s.capacity())
	return false
}

// remembers tells whether this group of servers has a receipt for the task's key.
func (s *server) isDuplicate(a *attempt) bool {
	lane := &s.engine.settings.Classes[a.try.class]
	if lane.Effect != policy.Keyed {
		return false
	}
	for _, o := range s.engine.servers {
		same := lane.Group == policy.GroupAll || lane.Group == policy.GroupZone && o.zone == s.zone ||
			lane.Group == policy.GroupRack && o.rack == s.rack
		if until, has := o.dedupUntil[a.try.request.key]; same && has && s.engine.clock.Now() < until {
			return true
		}
	}
	return false
}

// begin works on a task; its effect happens now.
func (s *server) startWork(a *attempt) {
	e := s.engine
	if s.isDuplicate(a) { // another of the group began it while it waited here
		e.reply(a, policy.Answered, a.try.actualUnits)
		return
	}
	s.busyCores++
	s.running[a] = true
	e.checker.EffectRan(e.clock.Now(), s.id, a.try.id)
	if lane := &e.settings.Classes[a.try.class]; lane.Effect == policy.Keyed {
		s.dedupUntil[a.try.request.key] = e.clock.Now() + lane.DedupWindow + 2*time.Second
	}
	took := time.Duration(float64(a.work) / (s.speed * s.warmUpFraction()) * s.slowdown)
	if a.newConnection {
		took += e.scenario.Servers.HandshakeWork.D()
	}
	s.workDone += took
	life := s.incarnation
	e.clock.After(took, func() {
		if s.incarnation != life || !s.running[a] {
			return
		}
		delete(s.running, a)
		s.busyCores--
		e.reply(a, policy.Answered, a.try.actualUnits)
		s.startQueued()
	})
}

func (s *server) startQueued() {
	for s.busyCores < s.engine.scenario.Servers.Cores && len(s.queue) > 0 {
		a := s.queue[0]
		s.queue = s.queue[1:]
		s.startWork(a)
	}
}

// stop hears that a push was given up.
func (s *server) cancel(a *attempt) {
	how := s.engine.scenario.Servers.Cancellation
	if how == "none" || s.dead || s.silent {
		return
	}
	for i, q := range s.queue {
		if q == a {
			s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
			return
		}
	}
	if how == "all" && s.running[a] {
		delete(s.running, a)
		s.busyCores--
		s.startQueued()
	}
}

// draw gives a task's work.
func (e *engine) drawWork(lane int) time.Duration {
	l := &e.scenario.Classes[lane]
	mean := float64(l.Work.D())
	switch l.Distribution {
	case "exponential":
		return time.Duration(mean * e.arrivalRandom.ExpFloat64())
	case "lognormal":
		sigma := math.Sqrt(math.Log(1 + l.CV*l.CV))
		return time.Duration(mean * math.Exp(sigma*e.arrivalRandom.NormFloat64()-sigma*sigma/2))
	}
	return time.Duration(mean)
}
