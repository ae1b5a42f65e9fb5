package baseline

import (
	"math/rand"
	"slices"
	"time"

	"harrierhoist/policy"
)

// plainPolicy is what the baselines have in common: a token bucket for each customer, and one
// attempt at most.
type plainPolicy struct {
	settings   policy.Settings
	host       policy.Host
	random     *rand.Rand
	ready      []uint32       // servers
	inFlight   map[uint32]int // attempts by server
	requests   map[uint32]*request
	buckets    map[uint64]*bucket             // by customer
	quotaShare func(r policy.Request) float64 // part of the quota that this gateway gives out; 0: no quota
	pickServer func() uint32
}

// request is a request without the result of its attempt.
type request struct {
	policy.Request
	done bool // answered, or its client disconnected
}

// bucket is a customer's token bucket.
type bucket struct {
	tokens     float64
	refilledAt time.Duration
}

func newPlainPolicy(settings policy.Settings, seed int64, host policy.Host) *plainPolicy {
	return &plainPolicy{
		settings: settings, host: host, random: rand.New(rand.NewSource(seed)), inFlight: map[uint32]int{},
		requests: map[uint32]*request{}, buckets: map[uint64]*bucket{},
	}
}

// randomServer draws a ready server.
func (p *plainPolicy) randomServer() uint32 { return p.ready[p.random.Intn(len(p.ready))] }

// betterOfTwo draws two ready servers and returns the one with fewer attempts in flight.
func (p *plainPolicy) betterOfTwo() uint32 {
	first := p.randomServer()
	second := p.randomServer()
	if p.inFlight[second] < p.inFlight[first] {
		return second
	}
	return first
}

// leastLoaded returns a ready server with the fewest attempts in flight, the first of them from a
// random one on.
func (p *plainPolicy) leastLoaded() uint32 {
	first := p.random.Intn(len(p.ready))
	best := p.ready[first]
	for i := range p.ready {
		if server := p.ready[(first+i)%len(p.ready)]; p.inFlight[server] < p.inFlight[best] {
			best = server
		}
	}
	return best
}

// SetSharingGateways does nothing: no baseline uses it.
func (p *plainPolicy) SetSharingGateways(float64) {}

// HandleEndpoints keeps the servers that are ready.
func (p *plainPolicy) HandleEndpoints(_ time.Duration, kind policy.ListKind, list []policy.Endpoint) {
	if kind == policy.ListFailed {
		return
	}
	if kind != policy.ListDelta {
		p.ready = nil
	}
	for _, endpoint := range list {
		p.ready = slices.DeleteFunc(p.ready, func(server uint32) bool { return server == endpoint.Server })
		if endpoint.State == policy.Ready {
			p.ready = append(p.ready, endpoint.Server)
		}
	}
}

// ticksBeforeDeadline is how many ticks of the clock before its deadline a request is answered.
const ticksBeforeDeadline = 2

// HandleRequest sends a request to a server, or rejects it.
func (p *plainPolicy) HandleRequest(now time.Duration, r policy.Request) {
	if !p.admit(now, r) || len(p.ready) == 0 {
		p.host.Reject(r.ID, 0)
		return
	}
	p.requests[r.ID] = &request{Request: r}
	p.host.SetTimer(uint64(r.ID), r.Deadline-now-ticksBeforeDeadline*p.settings.ClockTick)
	server := p.pickServer()
	p.inFlight[server]++
	p.host.Attempt(r.ID, server, r.Deadline)
}

// admit takes a request's units from this gateway's share of the customer's quota.
func (p *plainPolicy) admit(now time.Duration, request policy.Request) bool {
	plan := &p.settings.Plans[request.Plan]
	share := p.quotaShare(request)
	if share <= 0 || plan.Rate <= 0 {
		return true
	}
	capacity := max(plan.Burst*share, request.Units) // a smaller bucket would never admit the request
	b := p.buckets[request.Customer]
	if b == nil {
		b = &bucket{tokens: capacity, refilledAt: now}
		p.buckets[request.Customer] = b
	}
	b.tokens = min(b.tokens+plan.Rate*share*(now-b.refilledAt).Seconds(), capacity)
	b.refilledAt = now
	if b.tokens < request.Units {
		return false
	}
	b.tokens -= request.Units
	return true
}

// HandleAttemptResult ends a request with its only attempt.
func (p *plainPolicy) HandleAttemptResult(_ time.Duration, result policy.AttemptResult) {
	p.inFlight[result.Server]--
	request := p.requests[result.RequestID]
	if request == nil {
		return
	}
	delete(p.requests, request.ID)
	p.host.CancelTimer(uint64(request.ID))
	if request.done || result.Final {
		return
	}
	switch result.Outcome {
	case policy.Rejected, policy.ConnectFailed, policy.NotSent: // it did not run
		p.host.Reject(request.ID, 0)
	default:
		p.answerUnknown(request)
	}
}

// answerUnknown answers a request that may have run.
func (p *plainPolicy) answerUnknown(r *request) {
	if p.settings.Classes[r.Class].Effect == policy.Idempotent {
		p.host.Reject(r.ID, 0)
	} else {
		p.host.Terminate(r.ID)
	}
}

// HandleDisconnect notes that a request needs no answer; the result of its attempt ends it.
func (p *plainPolicy) HandleDisconnect(_ time.Duration, requestID uint32) {
	if r := p.requests[requestID]; r != nil {
		r.done = true
	}
}

// HandleTimer answers a request whose deadline is near, and cancels its attempt.
func (p *plainPolicy) HandleTimer(_ time.Duration, token uint64) {
	r := p.requests[uint32(token)]
	if r == nil || r.done {
		return
	}
	r.done = true
	p.answerUnknown(r)
	p.host.Cancel(r.ID, 0)
}

// HandleCount is never called: no baseline calls the counter.
func (p *plainPolicy) HandleCount(time.Duration, policy.CountResult) {}
