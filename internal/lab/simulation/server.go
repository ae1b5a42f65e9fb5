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
	e          *engine
	id         uint32
	mark       uint64 // of its name, as in the gateway's part of the servers
	hall, cell int
	speed      float64
	since      time.Duration // of its latest start; 0: long ago
	starts     int           // in the play
	stage      policy.EndpointState

	dead   bool // its process is gone: connections are refused
	silent bool // its machine is gone: nothing comes back
	errors float64
	slow   float64
	mute   map[int]bool // lanes that it never answers
	fallen time.Duration

	busy    int
	queue   []*attempt
	running map[*attempt]bool
	conns   int
	recent  []arrival // within TipAfter, while it is cold
	asked   float64   // sum of their work
	worked  time.Duration
	life    int // counts deaths: what was begun before one does not end
	keys    map[uint64]time.Duration
}

type arrival struct {
	at   time.Duration
	work float64
}

// addServer starts a server; since 0 means long ago.
func (e *engine) addServer(hall, cell int, since time.Duration) *server {
	speed := e.w.Servers.Speed
	s := &server{
		e: e, id: uint32(len(e.servers) + 1), hall: hall, cell: cell, since: since, stage: policy.Ready, slow: 1,
		speed: speed[0] + (speed[1]-speed[0])*e.chance.Float64(), running: map[*attempt]bool{}, errors: e.w.Servers.Errors,
		mute: map[int]bool{}, keys: map[uint64]time.Duration{},
	}
	if since > 0 {
		s.starts = 1
	}
	s.mark = subset.HashName("s-" + strconv.Itoa(int(s.id)))
	e.servers = append(e.servers, s)
	return s
}

func (s *server) listed() policy.Endpoint {
	return policy.Endpoint{Server: s.id, State: s.stage, Capacity: 1, StartedAt: s.since, Rack: s.cell, Zone: s.hall}
}

// warmth is the part of its speed that it has.
func (s *server) warmth() float64 {
	if s.since == 0 || s.e.w.Servers.WarmAfter <= 0 {
		return 1
	}
	grown := float64(s.e.clock.Now()-s.since) / float64(s.e.w.Servers.WarmAfter)
	from := s.e.w.Servers.ColdFrom
	return min(1, from+(1-from)*max(grown, 0))
}

// capacity is in core-seconds of speed 1 a second.
func (s *server) capacity() float64 {
	return float64(s.e.w.Servers.Cores) * s.speed * s.warmth() / s.slow
}

// restart brings a server back cold.
func (s *server) restart() {
	s.die()
	s.dead, s.silent, s.fallen = false, false, 0
	s.since = s.e.clock.Now()
	s.starts++
	s.keys = map[uint64]time.Duration{}
}

// die ends all that it has.
func (s *server) die() {
	s.life++
	for a := range s.running {
		delete(s.running, a)
	}
	s.queue, s.busy, s.recent, s.asked = nil, 0, nil, 0
}

// arrive takes a push that has come whole.
func (s *server) arrive(a *attempt) {
	e := s.e
	switch {
	case s.dead:
		e.reply(a, policy.Reset, 0)
		return
	case s.silent || s.mute[a.try.lane]:
		return
	case s.stage == policy.Draining:
		e.reply(a, policy.Rejected, 0)
		return
	}
	if s.warmth() < 1 && s.tips(a) {
		return
	}
	switch {
	case e.clock.Now() < s.fallen:
		e.reply(a, policy.Errored, 0)
	case s.errors > 0 && e.chance.Float64() < s.errors:
		e.reply(a, policy.Errored, 0)
	case s.remembers(a):
		e.reply(a, policy.Answered, a.try.cost)
	case s.busy < e.w.Servers.Cores:
		s.begin(a)
	case len(s.queue) >= e.w.Servers.Queue:
		e.reply(a, policy.Rejected, 0)
	default:
		s.queue = append(s.queue, a)
	}
}

// tips tells whether a push makes a cold server fall: more work was sent to it over TipAfter than the stated multiple
// of what it can do now.
func (s *server) tips(a *attempt) bool {
	e, over := s.e, s.e.w.Rules.TipAfter.D()
	s.recent = append(s.recent, arrival{e.clock.Now(), a.work.Seconds()})
	s.asked += a.work.Seconds()
	for s.recent[0].at < e.clock.Now()-over {
		s.asked -= s.recent[0].work
		s.recent = s.recent[1:]
	}
	// A handful of tasks is no overload, however heavy: it needs as many as the cores and four more.
	rate, most := s.asked/over.Seconds(), s.capacity()*e.w.Rules.FallMultiple
	if e.clock.Now() < s.fallen || len(s.recent) < e.w.Servers.Cores+4 || rate <= most {
		return false
	}
	s.fallen = e.clock.Now() + e.w.Rules.Fall.D()
	e.ledger.Fell(e.clock.Now(), s.id, rate, s.capacity())
	return false
}

// remembers tells whether this group of servers has a receipt for the task's key.
func (s *server) remembers(a *attempt) bool {
	lane := &s.e.site.Classes[a.try.lane]
	if lane.Effect != policy.Keyed {
		return false
	}
	for _, o := range s.e.servers {
		same := lane.Group == policy.GroupAll || lane.Group == policy.GroupZone && o.hall == s.hall ||
			lane.Group == policy.GroupRack && o.cell == s.cell
		if until, has := o.keys[a.try.request.key]; same && has && s.e.clock.Now() < until {
			return true
		}
	}
	return false
}

// begin works on a task; its effect happens now.
func (s *server) begin(a *attempt) {
	e := s.e
	if s.remembers(a) { // another of the group began it while it waited here
		e.reply(a, policy.Answered, a.try.cost)
		return
	}
	s.busy++
	s.running[a] = true
	e.ledger.Ran(e.clock.Now(), s.id, a.try.id)
	if lane := &e.site.Classes[a.try.lane]; lane.Effect == policy.Keyed {
		s.keys[a.try.request.key] = e.clock.Now() + lane.DedupWindow + 2*time.Second
	}
	took := time.Duration(float64(a.work) / (s.speed * s.warmth()) * s.slow)
	if a.fresh {
		took += e.w.Servers.Handshake.D()
	}
	s.worked += took
	life := s.life
	e.clock.After(took, func() {
		if s.life != life || !s.running[a] {
			return
		}
		delete(s.running, a)
		s.busy--
		e.reply(a, policy.Answered, a.try.cost)
		s.next()
	})
}

func (s *server) next() {
	for s.busy < s.e.w.Servers.Cores && len(s.queue) > 0 {
		a := s.queue[0]
		s.queue = s.queue[1:]
		s.begin(a)
	}
}

// stop hears that a push was given up.
func (s *server) stop(a *attempt) {
	how := s.e.w.Servers.Stop
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
		s.busy--
		s.next()
	}
}

// draw gives a task's work.
func (e *engine) draw(lane int) time.Duration {
	l := &e.w.Lanes[lane]
	mean := float64(l.Work.D())
	switch l.Spread {
	case "exponential":
		return time.Duration(mean * e.arrivals.ExpFloat64())
	case "lognormal":
		sigma := math.Sqrt(math.Log(1 + l.CV*l.CV))
		return time.Duration(mean * math.Exp(sigma*e.arrivals.NormFloat64()-sigma*sigma/2))
	}
	return time.Duration(mean)
}
