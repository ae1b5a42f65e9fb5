package policy_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
	"time"

	"harrierhoist/internal/upstream/subset"
	"harrierhoist/policy"
)

// fleet is all gateways and servers of a day.
type fleet struct {
	warmUpCase
	site     policy.Settings
	now, end time.Duration
	random   *rand.Rand
	events   events
	count    int
	gateways []*gateway
	servers  []*server
}

type server struct {
	number  uint32
	since   time.Duration
	free    time.Duration // when what waits there is done
	failing bool
	sent    []arrival // while it is cold
}

type gateway struct {
	*fleet
	index         int
	incarnation   int
	notified      bool
	onlyRestarted bool // with the cold servers
	module        *policy.Gateway
	pool          *subset.Subset
	attempts      map[uint32]int
	units         map[uint32]float64
	lastID        uint32
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, k int) bool {
	return e[i].at < e[k].at || e[i].at == e[k].at && e[i].order < e[k].order
}
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *events) Push(v any)   { *e = append(*e, v.(event)) }
func (e *events) Pop() any {
	v := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return v
}

func (f *fleet) after(d time.Duration, do func()) {
	f.count++
	heap.Push(&f.events, event{f.now + d, f.count, do})
}

// simulate plays a day with so many gateways.
func simulate(d warmUpCase, gateways int, seed int64) *fleet {
	servers := 20
	if gateways > 100 {
		servers = 30
	}
	lane := func(name string, e policy.Effect) policy.TrafficClass {
		return policy.TrafficClass{Name: name, LatencyObjective: 500 * time.Millisecond, Timeout: 2 * time.Second, Weight: 1, Effect: e}
	}
	f := &fleet{warmUpCase: d, now: time.Hour, random: rand.New(rand.NewSource(seed)), site: policy.Settings{Gateways: gateways, Zones: 1,
		ClockTick: 2 * time.Millisecond, MaxUnits: 8, MaxAttempts: 5, RetryAfter: true, MaxRetryAfter: 2 * time.Second,
		DrainGrace: time.Second, ArrivalSlack: 8 * time.Millisecond, WarmUpStart: 0.15, WarmUpTime: 20 * time.Second,
		OverloadFactor: 2, OverloadSpan: 1500 * time.Millisecond, Plans: []policy.Plan{{Name: "all"}},
		Classes: []policy.TrafficClass{lane("look", policy.Idempotent), lane("pay", policy.NonIdempotent)}}}
	f.end = time.Hour + restartAt + cmp.Or(d.watchTime, watchTime)
	f.meanUnits = cmp.Or(d.meanUnits, 1)
	for i := range servers {
		f.servers = append(f.servers, &server{number: uint32(i + 1), failing: i >= servers-int(d.failing*float64(servers))})
	}
	for i := range gateways {
		f.gateways = append(f.gateways, &gateway{fleet: f, index: i})
	}
	for _, g := range f.gateways {
		f.after(0, g.start)
		if d.restart > 0 {
			f.after(d.restart, g.start)
		}
		f.after(time.Duration(f.random.Float64()*float64(100*time.Millisecond)), g.arrive)
		f.after(restartAt, func() {
			wait := networkDelay
			if d.notifiedAfter != nil {
				wait += d.notifiedAfter(g.index)
			}
			f.after(wait, g.notify)
			if d.warmServersLeave > 0 {
				f.after(d.warmServersLeave+wait, func() {
					g.onlyRestarted = true
					g.sendEndpoints(policy.ListFull)
				})
			}
		})
	}
	f.after(restartAt, func() {
		for _, s := range f.restarted() {
			s.since, s.free = f.now, f.now
		}
	})
	for len(f.events) > 0 && f.events[0].at < f.end {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	return f
}

// start begins a life of the gateway; what an earlier one had in hand is forgotten.
func (g *gateway) start() {
	module, err := policy.New(g.site, g.random.Int63(), g)
	if err != nil {
		panic(err)
	}
	g.incarnation++
	g.module, g.pool, g.units = module, subset.New(g.index, len(g.gateways), 15*time.Second), map[uint32]float64{}
	g.attempts = map[uint32]int{}
	g.sendEndpoints(policy.ListCached)
}

func (g *gateway) notify() {
	g.notified = true
	g.sendEndpoints(policy.ListFull)
}

// sendEndpoints hands the module its part of the servers that it was told of.
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
	part, sharers := g.pool.Select(g.now, all)
	g.module.SetSharers(sharers)
	g.module.HandleEndpoints(g.now, kind, part)
}

// arrive brings a task, if one comes within the next moment, and looks again after it.
func (g *gateway) arrive() {
	t, rate := g.now-time.Hour, steadyLoad*warmRate*float64(len(g.servers))/float64(len(g.gateways))
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
		g.after(moment, g.arrive)
		return
	}
	g.after(wait, func() {
		if g.pool.IsDue(g.now) {
			g.sendEndpoints(policy.ListFull)
		}
		units := 1.0
		if g.warmUpCase.units != nil {
			units = g.warmUpCase.units(g.random.Float64())
		}
		g.lastID++
		g.units[g.lastID] = units
		g.module.HandleRequest(g.now, policy.Request{ID: g.lastID, Class: min(int(g.lastID%5), 1), Customer: uint64(g.lastID % 7),
			GatewayCount: len(g.gateways), Units: units, Deadline: g.now + 2*time.Second})
		g.arrive()
	})
}

// Attempt takes a task to a server: it waits there for those before it, and its work takes as long as the server is cold.
func (g *gateway) Attempt(task, to uint32, until time.Duration) {
	s, work, life, at := g.servers[to-1], g.units[task]/g.meanUnits, g.incarnation, g.now
	g.pool.CountAttempt(at)
	number := g.attempts[task]
	g.attempts[task]++
	s.sent = append(s.sent, arrival{at, work, g.notified})
	end := func(wait time.Duration, how policy.Outcome) {
		if how == policy.Answered && at+wait > until {
			wait, how = until-at, policy.TimedOut
		}
		g.after(wait, func() {
			if g.incarnation == life {
				g.module.HandleAttemptResult(g.now, policy.AttemptResult{RequestID: task, Attempt: number, Server: to, Outcome: how, Latency: g.now - at,
					Final: how == policy.Answered})
			}
		})
	}
	free := max(s.free, at+networkDelay)
	begin := time.Hour + restartAt
	switch {
	case g.silentBefore && slices.Contains(g.restarted(), s) && at < begin && at > begin-2*time.Second:
		end(until-at, policy.TimedOut)
	case s.failing && g.random.Float64() < 0.5:
		end(2*networkDelay, policy.Errored)
	case free > at+time.Second:
		end(2*networkDelay, policy.Rejected)
	default:
		s.free = free + time.Duration(work/warmRate/g.warmUpFraction(s, at)*float64(time.Second))
		end(s.free+networkDelay-at, policy.Answered)
	}
}

func (g *gateway) SetTimer(token uint64, after time.Duration) {
	life := g.incarnation
	g.after(after, func() {
		if g.incarnation == life {
			g.module.HandleTimer(g.now, token)
		}
	})
}
func (g *gateway) Cancel(uint32, int)                   {}
func (g *gateway) Reject(uint32, time.Duration)         {}
func (g *gateway) Terminate(uint32)                     {}
func (g *gateway) Count(uint64, time.Duration, float64) {}
func (g *gateway) CheckHealth(uint32)                   {}
func (g *gateway) SendPeer(int, []byte)                 {}
func (g *gateway) WatchEndpoints()                      {}
func (g *gateway) CancelTimer(uint64)                   {}
func (g *gateway) Log(string)                           {}
