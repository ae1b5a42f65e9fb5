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

// simulation is all gateways and servers of a run.
type simulation struct {
	warmUpCase
	*virtualtime.Scheduler
	settings policy.Settings
	end      time.Duration
	random   *rand.Rand
	gateways []*gateway
	servers  []*server
}

type server struct {
	number  uint32
	since   time.Duration
	free    time.Duration // when what waits there is done
	failing bool
	sent    []arrival // while it warms up
}

type gateway struct {
	*simulation
	index         int
	incarnation   int
	notified      bool
	onlyRestarted bool // with the restarted servers
	module        *policy.Gateway
	subset        *subset.Subset
	attempts      map[uint32]int
	units         map[uint32]float64
	lastID        uint32
}

// simulate runs a case with so many gateways.
func simulate(c warmUpCase, gateways int, seed int64) *simulation {
	servers := 20
	if gateways > 100 {
		servers = 30
	}
	f := &simulation{
		warmUpCase: c, Scheduler: virtualtime.New(time.Hour),
		random: rand.New(rand.NewSource(seed)), settings: simulationSettings(gateways),
	}
	f.end = time.Hour + restartAt + cmp.Or(c.watchTime, watchTime)
	f.meanUnits = cmp.Or(c.meanUnits, 1)
	for i := range servers {
		failing := i >= servers-int(c.failing*float64(servers))
		f.servers = append(f.servers, &server{number: uint32(i + 1), failing: failing})
	}
	for i := range gateways {
		f.gateways = append(f.gateways, &gateway{simulation: f, index: i})
	}
	for _, g := range f.gateways {
		g.schedule()
	}
	f.After(restartAt, func() {
		for _, s := range f.restarted() {
			s.since, s.free = f.Now(), f.Now()
		}
	})
	for at, ok := f.Next(); ok && at < f.end; at, ok = f.Next() {
		f.Step()
	}
	return f
}

func simulationSettings(gateways int) policy.Settings {
	class := func(name string, effect policy.Effect) policy.TrafficClass {
		return policy.TrafficClass{
			Name: name, LatencyObjective: 500 * time.Millisecond, Timeout: 2 * time.Second, Weight: 1, Effect: effect,
		}
	}
	return policy.Settings{
		Gateways: gateways, Zones: 1, ClockTick: 2 * time.Millisecond, MaxUnits: 8, MaxAttempts: 5, RetryAfter: true,
		MaxRetryAfter: 2 * time.Second, DrainGrace: time.Second, ArrivalSlack: 8 * time.Millisecond, WarmUpStart: 0.15,
		WarmUpTime: 20 * time.Second, OverloadFactor: 2, OverloadSpan: 1500 * time.Millisecond,
		Plans:   []policy.Plan{{Name: "all"}},
		Classes: []policy.TrafficClass{class("look", policy.Idempotent), class("pay", policy.NonIdempotent)},
	}
}

// schedule plans what happens to one gateway.
func (g *gateway) schedule() {
	g.After(0, g.start)
	if g.restart > 0 {
		g.After(g.restart, g.start)
	}
	g.After(time.Duration(g.random.Float64()*float64(100*time.Millisecond)), g.arrive)
	g.After(restartAt, func() {
		wait := networkDelay
		if g.notifiedAfter != nil {
			wait += g.notifiedAfter(g.index)
		}
		g.After(wait, g.notify)
		if g.warmServersLeave > 0 {
			g.After(g.warmServersLeave+wait, func() {
				g.onlyRestarted = true
				g.sendEndpoints(policy.ListFull)
			})
		}
	})
}

// start begins an incarnation of the gateway; what an earlier one had in flight is forgotten.
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

func (g *gateway) notify() {
	g.notified = true
	g.sendEndpoints(policy.ListFull)
}

// sendEndpoints hands the module its subset of the servers that it was notified of.
func (g *gateway) sendEndpoints(kind policy.ListKind) {
	var all []subset.Candidate
	for _, s := range g.servers {
		l := policy.Endpoint{Server: s.number, State: policy.Ready, Capacity: 1, Rack: int(s.number) / 4}
		switch fresh := slices.Contains(g.restarted(), s); {
		case !fresh && g.onlyRestarted:
			continue
		case fresh && g.notified:
			l.StartedAt = s.since
		case fresh && !g.silentBefore:
			continue
		}
		all = append(all, subset.Candidate{NameHash: subset.HashName(fmt.Sprint(s.number)), Endpoint: l})
	}
	part, sharers := g.subset.Select(g.Now(), all)
	g.module.SetSharers(sharers)
	g.module.HandleEndpoints(g.Now(), kind, part)
}

// arrive sends a request, if one comes within the next moment, and schedules itself again.
func (g *gateway) arrive() {
	t, rate := g.Now()-time.Hour, steadyLoad*warmRate*float64(len(g.servers))/float64(len(g.gateways))
	if g.load != nil {
		rate *= g.load(t)
	}
	if g.gatewayShare != nil {
		rate *= g.gatewayShare(t, g.index)
	}
	const moment = 200 * time.Millisecond
	wait := moment
	if rate > 0 {
		wait = time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
	}
	if wait >= moment {
		g.After(moment, g.arrive)
		return
	}
	g.After(wait, func() {
		if g.subset.IsDue(g.Now()) {
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
