package policy_test

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"
	"time"

	"harrierhoist/internal/gateway/upstream/subset"
	"harrierhoist/internal/lab/virtualtime"
	"harrierhoist/policy"
)

// simulation runs a case with simulated gateways and servers on a virtual clock.
type simulation struct {
	warmUpCase
	*virtualtime.Scheduler
	settings policy.Settings
	end      time.Duration
	random   *rand.Rand
	gateways []*gateway
	servers  []*server
}

// server is a simulated server that serves one request at a time.
type server struct {
	number    uint32
	startedAt time.Duration // time of its restart; 0: it has not restarted
	freeAt    time.Duration // time at which its queue is empty
	failing   bool          // it fails half of its attempts
	received  []arrival     // attempts in the order of arrival
}

// gateway is a simulated gateway and the host of its module.
type gateway struct {
	*simulation
	index         int
	incarnation   int  // number of starts
	notified      bool // it knows of the servers' restart
	onlyRestarted bool // its endpoint list contains only the restarted servers
	module        *policy.Gateway
	subset        *subset.Subset
	attempts      map[uint32]int     // number of attempts by request ID
	units         map[uint32]float64 // units by request ID
	lastID        uint32
}

// simulate runs a case with a number of gateways.
func simulate(c warmUpCase, gateways int, seed int64) *simulation {
	servers := 20
	if gateways > 100 {
		servers = 30
	}
	sim := &simulation{
		warmUpCase: c, Scheduler: virtualtime.New(time.Hour),
		random: rand.New(rand.NewSource(seed)), settings: simulationSettings(gateways),
	}
	sim.end = time.Hour + restartAt + cmp.Or(c.watchTime, watchTime)
	sim.meanUnits = cmp.Or(c.meanUnits, 1)
	for i := range servers {
		failing := i >= servers-int(c.failingFraction*float64(servers))
		sim.servers = append(sim.servers, &server{number: uint32(i + 1), failing: failing})
	}
	for i := range gateways {
		sim.gateways = append(sim.gateways, &gateway{simulation: sim, index: i})
	}
	for _, g := range sim.gateways {
		g.schedule()
	}
	sim.After(restartAt, func() {
		for _, s := range sim.restarted() {
			s.startedAt, s.freeAt = sim.Now(), sim.Now()
		}
	})
	for at, ok := sim.Next(); ok && at < sim.end; at, ok = sim.Next() {
		sim.Step()
	}
	return sim
}

func simulationSettings(gateways int) policy.Settings {
	class := func(name string, effect policy.Effect) policy.TrafficClass {
		return policy.TrafficClass{
			Name: name, LatencyObjective: 500 * time.Millisecond, Timeout: 2 * time.Second, Weight: 1, Effect: effect,
		}
	}
	return policy.Settings{
		Gateways: gateways, Zones: 1, ClockTick: 2 * time.Millisecond, MaxUnits: 8, MaxAttempts: 5,
		SendsRetryAfter: true, MaxRetryAfter: 2 * time.Second, DrainGrace: time.Second,
		ArrivalSlack: 8 * time.Millisecond, WarmUpStart: 0.15, WarmUpTime: 20 * time.Second,
		OverloadFactor: 2, OverloadSpan: 1500 * time.Millisecond,
		Plans:   []policy.Plan{{Name: "all"}},
		Classes: []policy.TrafficClass{class("look", policy.Idempotent), class("pay", policy.NonIdempotent)},
	}
}

// schedule schedules the events of the gateway: its starts, requests and notifications.
func (g *gateway) schedule() {
	g.After(0, g.start)
	if g.gatewayRestartAt > 0 {
		g.After(g.gatewayRestartAt, g.start)
	}
	g.After(time.Duration(g.random.Float64()*float64(100*time.Millisecond)), g.arrive)
	g.After(restartAt, func() {
		delay := networkDelay
		if g.notifyDelay != nil {
			delay += g.notifyDelay(g.index)
		}
		g.After(delay, g.notify)
		if g.warmServersLeave > 0 {
			g.After(g.warmServersLeave+delay, func() {
				g.onlyRestarted = true
				g.sendEndpoints(policy.ListFull)
			})
		}
	})
}

// start starts the gateway with a new module. Attempts of an earlier incarnation are forgotten.
func (g *gateway) start() {
	module, err := policy.New(g.settings, g.random.Int63(), g)
	if err != nil {
		panic(err)
	}
	g.incarnation++
	g.module, g.subset, g.units = module, subset.New(g.index, len(g.gateways), 15*time.Second), map[uint32]float64{}
	g.attempts = map[uint32]int{}
	g.sendEndpoints(policy.ListCached)
}

// notify informs the gateway of the servers' restart.
func (g *gateway) notify() {
	g.notified = true
	g.sendEndpoints(policy.ListFull)
}

// sendEndpoints passes the module its subset of the servers that the gateway knows.
func (g *gateway) sendEndpoints(kind policy.ListKind) {
	var all []subset.Candidate
	for _, s := range g.servers {
		endpoint := policy.Endpoint{Server: s.number, State: policy.Ready, Capacity: 1, Rack: int(s.number) / 4}
		switch restarts := slices.Contains(g.restarted(), s); {
		case !restarts && g.onlyRestarted:
			continue
		case restarts && g.notified:
			endpoint.StartedAt = s.startedAt
		case restarts && !g.silentBefore:
			continue
		}
		all = append(all, subset.Candidate{NameHash: subset.HashName(fmt.Sprint(s.number)), Endpoint: endpoint})
	}
	selected, sharing := g.subset.Select(g.Now(), all)
	g.module.SetSharingGateways(sharing)
	g.module.HandleEndpoints(g.Now(), kind, selected)
}

// arrive draws the time of the next request, sends it and calls itself again. If the time is more
// than maxInterval away, it draws again after maxInterval, as the rate may have changed.
func (g *gateway) arrive() {
	t, rate := g.Now()-time.Hour, steadyLoad*warmRate*float64(len(g.servers))/float64(len(g.gateways))
	if g.load != nil {
		rate *= g.load(t)
	}
	if g.gatewayShare != nil {
		rate *= g.gatewayShare(t, g.index)
	}
	const maxInterval = 200 * time.Millisecond
	interval := maxInterval
	if rate > 0 {
		interval = time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
	}
	if interval >= maxInterval {
		g.After(maxInterval, g.arrive)
		return
	}
	g.After(interval, func() {
		if g.subset.NeedsSelection(g.Now()) {
			g.sendEndpoints(policy.ListFull)
		}
		units := 1.0
		if g.warmUpCase.units != nil {
			units = g.warmUpCase.units(g.random.Float64())
		}
		g.lastID++
		g.units[g.lastID] = units
		g.module.HandleRequest(g.Now(), policy.Request{
			ID: g.lastID, Class: min(int(g.lastID%5), 1), Customer: uint64(g.lastID % 7),
			GatewayCount: len(g.gateways), Units: units, Deadline: g.Now() + 2*time.Second,
		})
		g.arrive()
	})
}
