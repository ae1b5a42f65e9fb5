package simulation

import (
	"strconv"
	"time"

	"harrierhoist/internal/gateway/upstream/subset"
	"harrierhoist/policy"
)

const (
	// receiptSlack is how much longer than the class's window a server remembers an idempotency
	// key.
	receiptSlack = 2 * time.Second
	// overloadMargin is how many requests more than its cores a server must have got within the
	// overload span before it can be overloaded: a few heavy requests are no overload.
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
	return policy.Endpoint{
		Server:    s.id,
		State:     s.state,
		Capacity:  1,
		StartedAt: s.startedAt,
		Rack:      s.rack,
		Zone:      s.zone,
	}
}

// warmUpFraction is the part of its speed that a server has: less than 1 while it warms up.
func (s *server) warmUpFraction() float64 {
	settings := &s.engine.scenario.Servers
	if s.startedAt == 0 || settings.WarmUpTime <= 0 {
		return 1
	}
	elapsed := float64(s.engine.clock.Now()-s.startedAt) / float64(settings.WarmUpTime)
	return min(1, settings.WarmUpStart+(1-settings.WarmUpStart)*max(elapsed, 0))
}

// capacity is the work that a server does in a second, in seconds on a core of speed 1.
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

// dropWork ends all requests that a server has begun or queued.
func (s *server) dropWork() {
	s.incarnation++
	clear(s.running)
	s.queue = nil
	s.busyCores = 0
	s.recentArrivals = nil
	s.recentWork = 0
}
