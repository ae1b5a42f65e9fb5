// Package baseline has the plain policies that every result stands beside. They keep the module's interface and the
// rules that need no knowledge of others: a final answer for each task, no push to what the list does not call
// ready, no second push of what may have run.
package baseline

import (
	"math/rand"
	"slices"
	"time"

	"harrierhoist/policy"
)

// Decider is the face of the module to those who host it.
type Policy interface {
	SetSharers(by float64)
	HandleEndpoints(now time.Duration, kind policy.ListKind, list []policy.Endpoint)
	HandleRequest(now time.Duration, t policy.Request)
	HandleAttemptResult(now time.Duration, p policy.AttemptResult)
	HandleDisconnect(now time.Duration, task uint32)
	HandleTimer(now time.Duration, token uint64)
	HandleCount(now time.Duration, t policy.CountResult)
}

// Make makes a decider.
type Constructor func(settings policy.Settings, seed int64, host policy.Host) (Policy, error)

// Module makes the module itself.
func Module(settings policy.Settings, seed int64, host policy.Host) (Policy, error) {
	return policy.New(settings, seed, host)
}

// All are the policies by name.
var ByName = map[string]Constructor{"module": Module, "random": Random, "even": Even, "bucket": Bucket}

// Names are the policies in the order of tables.
var Names = []string{"module", "random", "even", "bucket"}

// plain is what the three have in common.
type baselinePolicy struct {
	settings   policy.Settings
	host       policy.Host
	random     *rand.Rand
	ready      []uint32
	inFlight   map[uint32]int // pushes by server
	requests   map[uint32]*request
	buckets    map[uint64]*bucket
	quotaShare func(t policy.Request) float64 // part of the plan that a gateway may give out; 0: all is let in
	pickServer func(p *baselinePolicy) uint32
}

type request struct {
	policy.Request
	server    uint32
	attempted bool
	done      bool
}

type bucket struct {
	tokens     float64
	refilledAt time.Duration
}

func newBaselinePolicy(settings policy.Settings, seed int64, host policy.Host) *baselinePolicy {
	return &baselinePolicy{
		settings: settings, host: host, random: rand.New(rand.NewSource(seed)), inFlight: map[uint32]int{},
		requests: map[uint32]*request{}, buckets: map[uint64]*bucket{},
	}
}

// Random lets all in, to a server drawn at random.
func Random(settings policy.Settings, seed int64, host policy.Host) (Policy, error) {
	p := newBaselinePolicy(settings, seed, host)
	p.quotaShare = func(policy.Request) float64 { return 0 }
	p.pickServer = (*baselinePolicy).randomServer
	return p, nil
}

// Even gives each customer its even share of the limit at each gateway of its set, and pushes where it has least
// out.
func Even(settings policy.Settings, seed int64, host policy.Host) (Policy, error) {
	p := newBaselinePolicy(settings, seed, host)
	p.quotaShare = func(t policy.Request) float64 { return 1 / float64(max(t.GatewayCount, 1)) }
	p.pickServer = (*baselinePolicy).leastLoaded
	return p, nil
}

// Bucket gives each customer its whole limit at each gateway, and pushes to the better of two drawn at random.
func Bucket(settings policy.Settings, seed int64, host policy.Host) (Policy, error) {
	p := newBaselinePolicy(settings, seed, host)
	p.quotaShare = func(policy.Request) float64 { return 1 }
	p.pickServer = (*baselinePolicy).betterOfTwo
	return p, nil
}

func (p *baselinePolicy) randomServer() uint32 { return p.ready[p.random.Intn(len(p.ready))] }

func (p *baselinePolicy) betterOfTwo() uint32 {
	a, b := p.randomServer(), p.randomServer()
	if p.inFlight[b] < p.inFlight[a] {
		return b
	}
	return a
}

func (p *baselinePolicy) leastLoaded() uint32 {
	first := p.random.Intn(len(p.ready))
	best := p.ready[first]
	for i := range p.ready {
		if s := p.ready[(first+i)%len(p.ready)]; p.inFlight[s] < p.inFlight[best] {
			best = s
		}
	}
	return best
}

// SetSharers tells nothing that these use.
func (p *baselinePolicy) SetSharers(float64) {}

// HandleEndpoints keeps the ready ones.
func (p *baselinePolicy) HandleEndpoints(_ time.Duration, kind policy.ListKind, list []policy.Endpoint) {
	if kind == policy.ListFailed {
		return
	}
	if kind != policy.ListDelta {
		p.ready = nil
	}
	for _, l := range list {
		p.ready = slices.DeleteFunc(p.ready, func(s uint32) bool { return s == l.Server })
		if l.State == policy.Ready {
			p.ready = append(p.ready, l.Server)
		}
	}
}

// HandleRequest pushes a task or rejects it.
func (p *baselinePolicy) HandleRequest(now time.Duration, t policy.Request) {
	r := &request{Request: t}
	p.requests[t.ID] = r
	if !p.admit(now, t) || len(p.ready) == 0 {
		p.reject(r)
		return
	}
	p.host.SetTimer(uint64(t.ID), t.Deadline-now-2*p.settings.ClockTick)
	r.server, r.attempted = p.pickServer(p), true
	p.inFlight[r.server]++
	p.host.Attempt(t.ID, r.server, t.Deadline)
}

// let takes a task's units from this gateway's part of the customer's store.
func (p *baselinePolicy) admit(now time.Duration, t policy.Request) bool {
	plan, part := &p.settings.Plans[t.Plan], p.quotaShare(t)
	if part <= 0 || plan.Rate <= 0 {
		return true
	}
	most := max(plan.Burst*part, t.Units) // a share under one task would let none in, ever
	s := p.buckets[t.Customer]
	if s == nil {
		s = &bucket{tokens: most, refilledAt: now}
		p.buckets[t.Customer] = s
	}
	s.tokens = min(s.tokens+plan.Rate*part*(now-s.refilledAt).Seconds(), most)
	s.refilledAt = now
	if s.tokens < t.Units {
		return false
	}
	s.tokens -= t.Units
	return true
}

func (p *baselinePolicy) reject(r *request) {
	r.done = true
	delete(p.requests, r.ID)
	p.host.Reject(r.ID, 0)
}

// HandleAttemptResult ends a task with its one push.
func (p *baselinePolicy) HandleAttemptResult(_ time.Duration, e policy.AttemptResult) {
	r := p.requests[e.RequestID]
	p.inFlight[e.Server]--
	if r == nil {
		return
	}
	delete(p.requests, r.ID)
	p.host.CancelTimer(uint64(r.ID))
	if r.done || e.Final {
		return
	}
	never := e.Outcome == policy.Rejected || e.Outcome == policy.ConnectFailed || e.Outcome == policy.NotSent
	if lane := p.settings.Classes[r.Class]; never || lane.Effect == policy.Idempotent {
		p.host.Reject(r.ID, 0)
	} else {
		p.host.Terminate(r.ID)
	}
}

// HandleDisconnect forgets a task whose client has gone.
func (p *baselinePolicy) HandleDisconnect(_ time.Duration, task uint32) {
	if r := p.requests[task]; r != nil {
		r.done = true
	}
}

// HandleTimer ends a task whose time is up.
func (p *baselinePolicy) HandleTimer(_ time.Duration, token uint64) {
	r := p.requests[uint32(token)]
	if r == nil || r.done {
		return
	}
	r.done = true
	if p.settings.Classes[r.Class].Effect == policy.Idempotent {
		p.host.Reject(r.ID, 0)
	} else {
		p.host.Terminate(r.ID)
	}
	p.host.Cancel(r.ID, 0)
}

// HandleCount is never told: none of these calls the counter.
func (p *baselinePolicy) HandleCount(time.Duration, policy.CountResult) {}
