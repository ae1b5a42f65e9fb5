// Package simulation runs a scenario in virtual time: servers, counter, discovery, network and clients are models, and every
// gateway is an instance of the policy, in this process. A scenario and a seed give the same run to the last byte, whatever
// else runs. What it leaves out, against real gateways on sockets, stands in docs/lab.md.
package simulation

import (
	"math"
	"math/rand/v2"
	"time"

	"harrierhoist/internal/lab/baseline"
	"harrierhoist/internal/lab/invariants"
	"harrierhoist/internal/lab/scenario"
	"harrierhoist/internal/virtualtime"
	"harrierhoist/policy"
)

// origin is where the clock of all machines stands when a play starts: not at nought, which decisions take for never.
const origin = 1000 * time.Hour

// engine is one play.
type engine struct {
	w     *scenario.World
	clock *virtualtime.Scheduler
	site  policy.Settings

	chance   *rand.Rand // of servers' work and the network
	arrivals *rand.Rand // of what customers ask: the same whatever the gateways do
	fate     *rand.Rand // of troubles: whom they strike

	servers  []*server // all that ever were; the number is the place and 1
	gateways []*gateway
	counter  *counter
	common   *common // nil: nothing is held in common
	clients  *clients
	ledger   *invariants.Ledger
	make     baseline.Make

	loadTimes   float64 // what burst makes of the load
	planTimes   []float64
	lagTimes    float64
	answersLost float64
	resets      float64
	cut         map[int]bool // halls cut off from the others
	crowded     *crowd
	links       map[[2]int]bool // pairs of halls, the lower first, between which nothing passes
	regions     []int           // of each hall
	sent        []time.Duration // work sent to each hall in this second
	lately      [][]float64     // of each hall, its utilisation in the latest seconds in which it stood whole
	result      Result
}

// Play plays a world with a policy under a seed.
func Play(w *scenario.World, seed uint64, made baseline.Make) (*Result, error) {
	e, err := begin(w, seed, made)
	if err != nil {
		return nil, err
	}
	end := origin + w.Length.D()
	for _, l := range e.site.Classes {
		end = max(end, origin+w.Length.D()+l.Timeout+time.Second)
	}
	e.clock.RunUntil(end)
	e.ledger.Finish(end)
	return e.finish(), nil
}

// begin sets a play up.
func begin(w *scenario.World, seed uint64, made baseline.Make) (*engine, error) {
	e := &engine{
		w: w, clock: virtualtime.New(origin), make: made, site: w.Deployment(0), loadTimes: 1, lagTimes: 1, cut: map[int]bool{},
		links: map[[2]int]bool{}, regions: w.RegionOf(),
		sent:   make([]time.Duration, w.Gateways.Halls),
		lately: make([][]float64, w.Gateways.Halls),
	}
	stream := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, n)) }
	e.chance, e.arrivals, e.fate = stream(1), stream(2), stream(3)
	e.ledger = invariants.New(invariants.Limits{
		AnswerSlack: w.Rules.AnswerSlack.D(), DrainGrace: w.Rules.DrainGrace.D(),
		Plans: e.site.Plans,
	})
	e.planTimes = make([]float64, len(w.Plans))
	for i := range e.planTimes {
		e.planTimes[i] = 1
	}
	e.result = newResult(w, seed)
	e.clock.BeforeEvent = func(time.Duration, uint64) { e.result.Events++ }
	for i := range w.Servers.Count {
		e.addServer(i%w.Gateways.Halls, i/w.Gateways.Halls/w.Servers.Cell*w.Gateways.Halls+i%w.Gateways.Halls, 0)
	}
	e.counter = newCounter(e)
	e.common = newCommon(e, stream(6))
	setup := stream(4)
	for n := range w.Gateways.Count {
		g := &gateway{e: e, n: n, hall: n % w.Gateways.Halls}
		if e.common != nil {
			g.follower = e.common.followers[n]
		}
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
		e.clock.At(origin+time.Duration(s)*time.Second, e.second)
	}
	return e, nil
}

// hop is the time that a message takes between two halls.
func (e *engine) hop(a, b int) time.Duration { return e.hopBy(e.chance, a, b) }

func (e *engine) hopBy(chance *rand.Rand, a, b int) time.Duration {
	d := e.w.Network.Same.D()
	switch {
	case e.regions[a] != e.regions[b] && e.w.Network.Far > 0:
		d = e.w.Network.Far.D()
	case a != b:
		d = e.w.Network.Cross.D()
	}
	return time.Duration(float64(d) * (1 + e.w.Network.Jitter*(2*chance.Float64()-1)))
}

// parted tells whether nothing passes between two halls.
func (e *engine) parted(a, b int) bool {
	return a != b && (e.cut[a] || e.cut[b] || e.links[[2]int{min(a, b), max(a, b)}])
}

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
		g.heard = max(g.heard, e.clock.Now()+time.Duration(float64(lag)*e.lagTimes))
		e.clock.At(g.heard, func() { g.told(listed) })
	}
}
