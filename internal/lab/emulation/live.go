// Package live plays a world in real time, on loopback sockets before real gateways: emulated servers, a counter and
// discovery, each on a free port. Its servers and clients keep the same ledger as the virtual ones. Work is waiting,
// not computing: an emulated core is a place, so that one machine holds many.
package emulation

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"harrierhoist/internal/lab/invariants"
	"harrierhoist/internal/lab/scenario"
)

const (
	loopback = "127.0.0.1:0"
	unknown  = -1 // the gateway that a push came from: a server cannot tell
)

// Book is a ledger that many may write in.
type Book struct {
	mu sync.Mutex
	*invariants.Checker
	start time.Time
}

// Note lends the ledger and the time since the start.
func (b *Book) Note(note func(l *invariants.Checker, at time.Duration)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	note(b.Checker, time.Since(b.start))
}

// World is a world that runs.
type World struct {
	*scenario.Scenario
	Book      *Book
	Counter   *Counter
	Discovery *Discovery
	Servers   []*Server
	mu        sync.Mutex
	named     int
}

// Start starts a world's servers, counter and discovery.
func Start(w *scenario.Scenario, seed uint64) (*World, error) {
	l := &World{Scenario: w}
	site := w.PolicySettings(0)
	l.Book = &Book{start: time.Now(), Checker: invariants.New(invariants.Limits{
		AnswerSlack: w.Rules.AnswerSlack.D() + 50*time.Millisecond,
		DrainGrace:  w.Rules.DrainGrace.D() + 50*time.Millisecond, Plans: site.Plans,
	})}
	var err error
	if l.Discovery, err = newDiscovery(); err != nil {
		return nil, err
	}
	if w.Counter.Rate > 0 {
		if l.Counter, err = newCounter(w); err != nil {
			return nil, err
		}
	}
	for i := range w.Servers.Count {
		if _, err := l.Add(i%w.Gateways.Zones, i/w.Servers.RackSize, seed+uint64(i), 0); err != nil {
			return nil, err
		}
	}
	l.Tell()
	return l, nil
}

// Add starts a server; born 0 means long ago.
func (l *World) Add(hall, cell int, seed uint64, bornMs int64) (*Server, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.named++
	s, err := newServer(l, uint32(l.named), seed)
	if err != nil {
		return nil, err
	}
	s.hall, s.cell, s.born = hall, cell, bornMs
	l.Servers = append(l.Servers, s)
	return s, nil
}

// Tell has discovery tell the whole list as it stands.
func (l *World) Tell() {
	l.mu.Lock()
	defer l.mu.Unlock()
	var hosts []host
	for _, s := range l.Servers {
		if s.health != "terminated" {
			hosts = append(hosts, host{
				Host: s.Name, Dial: s.Addr, Site: hallName(s.hall), Class: "std", Block: s.cell, Health: s.health,
				Share: 1, BornMs: s.born,
			})
		}
	}
	l.Discovery.tell(hosts)
}

// Mark sets what discovery says of a server: "in_service", "terminating" or "terminated".
func (l *World) Mark(s *Server, health string) {
	l.mu.Lock()
	s.health = health
	l.mu.Unlock()
	s.draining.Store(health == "terminating")
	l.Tell()
}

// Close ends all of it.
func (l *World) Close() {
	for _, s := range l.Servers {
		s.Kill()
	}
	if l.Counter != nil {
		l.Counter.close()
	}
	l.Discovery.close()
}

func hallName(n int) string { return "hall-" + string(rune('a'+n%26)) }

// Told is the configuration that a gateway of this world is started with, as JSON.
func (l *World) Told(me int, listen string, sockets int) ([]byte, error) {
	w := l.Scenario
	ms := func(s scenario.Span) float64 { return float64(s.D()) / float64(time.Millisecond) }
	effects := map[string]string{"pure": "read_like", "receipted": "idempotency_key", "effectful": "non_idempotent"}
	groups := map[string]string{"all": "all", "hall": "zone", "cell": "cell", "": "all"}
	var lanes, plans []map[string]any
	for _, n := range w.Classes {
		lanes = append(lanes, map[string]any{
			"Name": n.Name, "AimMs": ms(n.LatencyObjective), "DeadlineMs": ms(n.Timeout), "Worth": n.Weight,
			"LateShare": n.LateFraction, "Effect": effects[n.Effect], "Group": groups[n.Group], "WindowMs": ms(n.DedupWindow),
		})
	}
	for _, p := range w.Plans {
		plans = append(plans, map[string]any{
			"Name": p.Name, "UnitsPerS": p.Rate, "PeakUnits": p.Burst, "CeilingRate": p.CeilingRate,
			"CapDepth": p.CeilingBurst, "CeilingSlack": p.CeilingSlack, "Pays": p.Price, "OverCost": p.OverQuotaCost,
		})
	}
	var halls []string
	for i := range w.Gateways.Zones {
		halls = append(halls, hallName(i))
	}
	d := w.PolicySettings(me)
	counter := ""
	if l.Counter != nil {
		counter = l.Counter.Addr
	}
	return json.Marshal(map[string]any{
		"name": fmt.Sprintf("n%d", me), "listen": listen, "discovery": l.Discovery.Addr, "counter": counter,
		"seed": fmt.Sprintf("%016x", w.Seed*1000+uint64(me)), "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": sockets},
		"settings": map[string]any{
			"Balancers": w.Gateways.Count, "Me": me, "MyZone": d.MyZone, "Dcs": halls, "Models": []string{"std"},
			"TickMs": 2, "RequestClasses": lanes, "TiersOfService": plans,
			"FamilyInfo": map[string]any{"HasCounter": l.Counter != nil, "CountLimitMs": ms(w.Counter.Timeout), "Settles": true, "MostUnits": d.MaxUnits},
			"Rules": map[string]any{
				"DrainGraceMs": ms(w.Rules.DrainGrace), "ColdFrom": w.Servers.WarmUpStart, "WarmAfterMs": ms(w.Servers.WarmUpTime),
				"FallMultiple": w.Rules.OverloadFactor, "TipAfterMs": ms(w.Rules.OverloadSpan), "AnswerSlackMs": ms(w.Rules.AnswerSlack),
			},
			"PolicyLimits": map[string]any{
				"Cancelling": true, "RetryAfter": true, "MaxRetryAfterMs": 2000, "TryLimit": w.Gateways.MaxAttempts,
				"ConnectTimeoutMs": ms(w.Network.ConnectTimeout), "IdleCloseMs": ms(w.Servers.IdleTimeout),
			},
		},
	})
}
