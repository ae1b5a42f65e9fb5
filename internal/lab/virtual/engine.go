package virtual

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"harrierhoist/internal/lab/baseline"
	"harrierhoist/internal/lab/ledger"
	"harrierhoist/internal/lab/world"
	"harrierhoist/policy"
)

// origin is where the clock of all machines stands when a play starts: not at nought, which decisions take for never.
const origin = 1000 * time.Hour

// engine is one play.
type engine struct {
	w      *world.World
	now    time.Duration
	seq    uint64
	agenda agenda
	site   policy.Deployment

	chance   *rand.Rand // of servers' work and the network
	arrivals *rand.Rand // of what customers ask: the same whatever the gateways do
	fate     *rand.Rand // of troubles: whom they strike

	servers  []*server // all that ever were; the number is the place and 1
	gateways []*gateway
	counter  *counter
	clients  *clients
	ledger   *ledger.Ledger
	make     baseline.Make

	loadTimes   float64 // what burst makes of the load
	planTimes   []float64
	lagTimes    float64
	answersLost float64
	resets      float64
	cut         map[int]bool // halls cut off from the others
	result      Result
}

// Play plays a world with a policy under a seed.
func Play(w *world.World, seed uint64, made baseline.Make) (*Result, error) {
	e := &engine{w: w, now: origin, make: made, site: w.Deployment(0), loadTimes: 1, lagTimes: 1, cut: map[int]bool{}}
	stream := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, n)) }
	e.chance, e.arrivals, e.fate = stream(1), stream(2), stream(3)
	e.ledger = ledger.New(ledger.Limits{AnswerSlack: w.Rules.AnswerSlack.D(), DrainGrace: w.Rules.DrainGrace.D(), Plans: e.site.Plans})
	e.planTimes = make([]float64, len(w.Plans))
	for i := range e.planTimes {
		e.planTimes[i] = 1
	}
	e.result = newResult(w, seed)
	for i := range w.Servers.Count {
		e.addServer(i%w.Gateways.Halls, i/w.Gateways.Halls/w.Servers.Cell*w.Gateways.Halls+i%w.Gateways.Halls, 0)
	}
	e.counter = newCounter(e)
	setup := stream(4)
	for n := range w.Gateways.Count {
		g := &gateway{e: e, n: n, hall: n % w.Gateways.Halls}
		e.gateways = append(e.gateways, g)
		if err := g.start(setup.Uint64()); err != nil {
			return nil, err
		}
	}
	e.clients = newClients(e, stream(5))
	for i := range w.Troubles {
		if err := e.schedule(w.Troubles[i]); err != nil {
			return nil, err
		}
	}
	e.clients.offer()
	for s := 1; s <= int(math.Ceil(w.Length.D().Seconds())); s++ {
		e.at(origin+time.Duration(s)*time.Second, e.second)
	}
	end := origin + w.Length.D()
	for _, l := range e.site.Lanes {
		end = max(end, origin+w.Length.D()+l.Patience+time.Second)
	}
	for len(e.agenda) > 0 && e.agenda[0].at <= end {
		next := heap.Pop(&e.agenda).(event)
		e.now = next.at
		next.run()
		e.result.Events++
	}
	e.ledger.Finish(end)
	return e.finish(), nil
}

// hop is the time that a message takes between two halls.
func (e *engine) hop(a, b int) time.Duration {
	d := e.w.Network.Same.D()
	if a != b {
		d = e.w.Network.Cross.D()
	}
	return time.Duration(float64(d) * (1 + e.w.Network.Jitter*(2*e.chance.Float64()-1)))
}

// parted tells whether nothing passes between two halls.
func (e *engine) parted(a, b int) bool { return a != b && (e.cut[a] || e.cut[b]) }

// some draws a part of n things, at least one where the part is more than nought.
func (e *engine) some(n int, part float64) []int {
	if n == 0 || part <= 0 {
		return nil
	}
	k := min(max(int(math.Round(part*float64(n))), 1), n)
	drawn := e.fate.Perm(n)[:k]
	return drawn
}

// up are the places of the servers that a list would call ready.
func (e *engine) up() []*server {
	var all []*server
	for _, s := range e.servers {
		if s.stage == policy.Ready {
			all = append(all, s)
		}
	}
	return all
}

// tell has discovery tell a change to every gateway, each after a lag of its own; to one gateway, changes come in
// their order.
func (e *engine) tell(s *server) {
	listed := s.listed()
	for _, g := range e.gateways {
		lag := e.w.Discovery.Lag[0].D()
		lag += time.Duration(e.chance.Float64() * float64(e.w.Discovery.Lag[1].D()-lag))
		g.heard = max(g.heard, e.now+time.Duration(float64(lag)*e.lagTimes))
		e.at(g.heard, func() { g.told(listed) })
	}
}

// second closes a second of the play's record.
func (e *engine) second() {
	r := &e.result
	now := Second{Offered: r.Offered, InTime: r.InTime, Refused: r.Refused, Failed: r.Failed, Gain: r.GainServed, Due: r.GainDue}
	if n := len(r.totals); n > 0 {
		last := r.totals[n-1]
		r.Seconds = append(r.Seconds, Second{now.Offered - last.Offered, now.InTime - last.InTime, now.Refused - last.Refused,
			now.Failed - last.Failed, now.Gain - last.Gain, now.Due - last.Due})
	} else {
		r.Seconds = append(r.Seconds, now)
	}
	r.totals = append(r.totals, now)
}

func (e *engine) finish() *Result {
	r := &e.result
	r.Units, r.Beyond, r.BeyondGain = e.ledger.Sent, e.ledger.Beyond, e.ledger.BeyondGain
	r.Breaches = e.ledger.Breaches
	for i, n := range e.ledger.Counts {
		r.Broken[i] = n
	}
	r.Calls, r.CallsRefused = e.counter.calls, e.counter.refused
	var loads []float64
	for _, s := range e.servers {
		if s.starts == 0 && s.stage == policy.Ready {
			loads = append(loads, s.worked.Seconds())
		}
	}
	r.Uneven = uneven(loads)
	return r
}

// uneven is the deviation of loads over their mean.
func uneven(loads []float64) float64 {
	sum, square := 0.0, 0.0
	for _, l := range loads {
		sum += l
	}
	mean := sum / float64(max(len(loads), 1))
	for _, l := range loads {
		square += (l - mean) * (l - mean)
	}
	if mean == 0 {
		return 0
	}
	return math.Sqrt(square/float64(len(loads))) / mean
}
