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
	loopback       = "127.0.0.1:0"
	unknownGateway = -1 // the gateway that a push came from: a server cannot tell
)

// Book is a ledger that many may write in.
type Recorder struct {
	mu sync.Mutex
	*invariants.Checker
	start time.Time
}

// Note lends the ledger and the time since the start.
func (r *Recorder) Record(note func(l *invariants.Checker, at time.Duration)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	note(r.Checker, time.Since(r.start))
}

// World is a world that runs.
type World struct {
	*scenario.Scenario
	Recorder  *Recorder
	Counter   *Counter
	Discovery *Discovery
	Servers   []*Server
	mu        sync.Mutex
	started   int
}

// Start starts a world's servers, counter and discovery.
func Start(spec *scenario.Scenario, seed uint64) (*World, error) {
	w := &World{Scenario: spec}
	site := spec.PolicySettings(0)
	w.Recorder = &Recorder{start: time.Now(), Checker: invariants.New(invariants.Limits{
		AnswerSlack: spec.Rules.AnswerSlack.D() + 50*time.Millisecond,
		DrainGrace:  spec.Rules.DrainGrace.D() + 50*time.Millisecond, Plans: site.Plans,
	})}
	var err error
	if w.Discovery, err = newDiscovery(); err != nil {
		return nil, err
	}
	if spec.Counter.Rate > 0 {
		if w.Counter, err = newCounter(spec); err != nil {
			return nil, err
		}
	}
	for i := range spec.Servers.Count {
		if _, err := w.AddServer(i%spec.Gateways.Zones, i/spec.Servers.RackSize, seed+uint64(i), 0); err != nil {
			return nil, err
		}
	}
	w.PublishEndpoints()
	return w, nil
}

// Add starts a server; born 0 means long ago.
func (w *World) AddServer(hall, cell int, seed uint64, bornMs int64) (*Server, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started++
	s, err := newServer(w, uint32(w.started), seed)
	if err != nil {
		return nil, err
	}
	s.zone, s.rack, s.startedMs = hall, cell, bornMs
	w.Servers = append(w.Servers, s)
	return s, nil
}

// Tell has discovery tell the whole list as it stands.
func (w *World) PublishEndpoints() {
	w.mu.Lock()
	defer w.mu.Unlock()
	var hosts []listedHost
	for _, s := range w.Servers {
		if s.health != "terminated" {
			hosts = append(hosts, listedHost{
				Host: s.Name, Dial: s.Addr, Site: zoneName(s.zone), Class: "std", Block: s.rack, Health: s.health,
				Share: 1, BornMs: s.startedMs,
			})
		}
	}
	w.Discovery.publish(hosts)
}

// Mark sets what discovery says of a server: "in_service", "terminating" or "terminated".
func (w *World) SetHealth(s *Server, health string) {
	w.mu.Lock()
	s.health = health
	w.mu.Unlock()
	s.draining.Store(health == "terminating")
	w.PublishEndpoints()
}

// Close ends all of it.
func (w *World) Close() {
	for _, s := range w.Servers {
		s.Kill()
	}
	if w.Counter != nil {
		w.Counter.close()
	}
	w.Discovery.close()
}

func zoneName(n int) string { return "hall-" + string(rune('a'+n%26)) }

// Told is the configuration that a gateway of this world is started with, as JSON.
func (w *World) GatewayConfig(me int, listen string, sockets int) ([]byte, error) {
	spec := w.Scenario
	ms := func(s scenario.Span) float64 { return float64(s.D()) / float64(time.Millisecond) }
	effects := map[string]string{"pure": "read_like", "receipted": "idempotency_key", "effectful": "non_idempotent"}
	groups := map[string]string{"all": "all", "hall": "zone", "cell": "cell", "": "all"}
	var classes, plans []map[string]any
	for _, n := range spec.Classes {
		classes = append(classes, map[string]any{
			"Name": n.Name, "AimMs": ms(n.LatencyObjective), "DeadlineMs": ms(n.Timeout), "Worth": n.Weight,
			"LateShare": n.LateFraction, "Effect": effects[n.Effect], "Group": groups[n.Group], "WindowMs": ms(n.DedupWindow),
		})
	}
	for _, p := range spec.Plans {
		plans = append(plans, map[string]any{
			"Name": p.Name, "UnitsPerS": p.Rate, "PeakUnits": p.Burst, "CeilingRate": p.CeilingRate,
			"CapDepth": p.CeilingBurst, "CeilingSlack": p.CeilingSlack, "Pays": p.Price, "OverCost": p.OverQuotaCost,
		})
	}
	var zones []string
	for i := range spec.Gateways.Zones {
		zones = append(zones, zoneName(i))
	}
	d := spec.PolicySettings(me)
	counter := ""
	if w.Counter != nil {
		counter = w.Counter.Addr
	}
	return json.Marshal(map[string]any{
		"name": fmt.Sprintf("n%d", me), "listen": listen, "discovery": w.Discovery.Addr, "counter": counter,
		"seed": fmt.Sprintf("%016x", spec.Seed*1000+uint64(me)), "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": sockets},
		"settings": map[string]any{
			"Balancers": spec.Gateways.Count, "Me": me, "MyZone": d.MyZone, "Dcs": zones, "Models": []string{"std"},
			"TickMs": 2, "RequestClasses": classes, "TiersOfService": plans,
			"FamilyInfo": map[string]any{"HasCounter": w.Counter != nil, "CountLimitMs": ms(spec.Counter.Timeout), "Settles": true, "MostUnits": d.MaxUnits},
			"Rules": map[string]any{
				"DrainGraceMs": ms(spec.Rules.DrainGrace), "ColdFrom": spec.Servers.WarmUpStart, "WarmAfterMs": ms(spec.Servers.WarmUpTime),
				"FallMultiple": spec.Rules.OverloadFactor, "TipAfterMs": ms(spec.Rules.OverloadSpan), "AnswerSlackMs": ms(spec.Rules.AnswerSlack),
			},
			"PolicyLimits": map[string]any{
				"Cancelling": true, "RetryAfter": true, "MaxRetryAfterMs": 2000, "TryLimit": spec.Gateways.MaxAttempts,
				"ConnectTimeoutMs": ms(spec.Network.ConnectTimeout), "IdleCloseMs": ms(spec.Servers.IdleTimeout),
			},
		},
	})
}
