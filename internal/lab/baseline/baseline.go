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
type Decider interface {
	SetSharers(by float64)
	HandleEndpoints(now time.Duration, kind policy.ListKind, list []policy.Endpoint)
	HandleRequest(now time.Duration, t policy.Request)
	HandleAttemptResult(now time.Duration, p policy.AttemptResult)
	HandleDisconnect(now time.Duration, task uint32)
	HandleTimer(now time.Duration, token uint64)
	HandleCount(now time.Duration, t policy.CountResult)
}

// Make makes a decider.
type Make func(site policy.Settings, seed int64, host policy.Host) (Decider, error)

// Module makes the module itself.
func Module(site policy.Settings, seed int64, host policy.Host) (Decider, error) {
	return policy.New(site, seed, host)
}

// All are the policies by name.
var All = map[string]Make{"module": Module, "random": Random, "even": Even, "bucket": Bucket}

// Names are the policies in the order of tables.
var Names = []string{"module", "random", "even", "bucket"}

// plain is what the three have in common.
type plain struct {
	site    policy.Settings
	host    policy.Host
	chance  *rand.Rand
	ready   []uint32
	out     map[uint32]int // pushes by server
	tasks   map[uint32]*task
	stores  map[uint64]*store
	limited func(t policy.Request) float64 // part of the plan that a gateway may give out; 0: all is let in
	pick    func(p *plain) uint32
}

type task struct {
	policy.Request
	server uint32
	pushed bool
	over   bool
}

type store struct {
	left float64
	at   time.Duration
}

func newPlain(site policy.Settings, seed int64, host policy.Host) *plain {
	return &plain{
		site: site, host: host, chance: rand.New(rand.NewSource(seed)), out: map[uint32]int{},
		tasks: map[uint32]*task{}, stores: map[uint64]*store{},
	}
}

// Random lets all in, to a server drawn at random.
func Random(site policy.Settings, seed int64, host policy.Host) (Decider, error) {
	p := newPlain(site, seed, host)
	p.limited = func(policy.Request) float64 { return 0 }
	p.pick = (*plain).drawn
	return p, nil
}

// Even gives each customer its even share of the limit at each gateway of its set, and pushes where it has least
// out.
func Even(site policy.Settings, seed int64, host policy.Host) (Decider, error) {
	p := newPlain(site, seed, host)
	p.limited = func(t policy.Request) float64 { return 1 / float64(max(t.GatewayCount, 1)) }
	p.pick = (*plain).least
	return p, nil
}

// Bucket gives each customer its whole limit at each gateway, and pushes to the better of two drawn at random.
func Bucket(site policy.Settings, seed int64, host policy.Host) (Decider, error) {
	p := newPlain(site, seed, host)
	p.limited = func(policy.Request) float64 { return 1 }
	p.pick = (*plain).two
	return p, nil
}

func (p *plain) drawn() uint32 { return p.ready[p.chance.Intn(len(p.ready))] }

func (p *plain) two() uint32 {
	a, b := p.drawn(), p.drawn()
	if p.out[b] < p.out[a] {
		return b
	}
	return a
}

func (p *plain) least() uint32 {
	first := p.chance.Intn(len(p.ready))
	best := p.ready[first]
	for i := range p.ready {
		if s := p.ready[(first+i)%len(p.ready)]; p.out[s] < p.out[best] {
			best = s
		}
	}
	return best
}

// SetSharers tells nothing that these use.
func (p *plain) SetSharers(float64) {}

// HandleEndpoints keeps the ready ones.
func (p *plain) HandleEndpoints(_ time.Duration, kind policy.ListKind, list []policy.Endpoint) {
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
func (p *plain) HandleRequest(now time.Duration, t policy.Request) {
	j := &task{Request: t}
	p.tasks[t.ID] = j
	if !p.let(now, t) || len(p.ready) == 0 {
		p.reject(j)
		return
	}
	p.host.SetTimer(uint64(t.ID), t.Deadline-now-2*p.site.ClockTick)
	j.server, j.pushed = p.pick(p), true
	p.out[j.server]++
	p.host.Attempt(t.ID, j.server, t.Deadline)
}

// let takes a task's units from this gateway's part of the customer's store.
func (p *plain) let(now time.Duration, t policy.Request) bool {
	plan, part := &p.site.Plans[t.Plan], p.limited(t)
	if part <= 0 || plan.Rate <= 0 {
		return true
	}
	most := max(plan.Burst*part, t.Units) // a share under one task would let none in, ever
	s := p.stores[t.Customer]
	if s == nil {
		s = &store{left: most, at: now}
		p.stores[t.Customer] = s
	}
	s.left = min(s.left+plan.Rate*part*(now-s.at).Seconds(), most)
	s.at = now
	if s.left < t.Units {
		return false
	}
	s.left -= t.Units
	return true
}

func (p *plain) reject(j *task) {
	j.over = true
	delete(p.tasks, j.ID)
	p.host.Reject(j.ID, 0)
}

// HandleAttemptResult ends a task with its one push.
func (p *plain) HandleAttemptResult(_ time.Duration, e policy.AttemptResult) {
	j := p.tasks[e.RequestID]
	p.out[e.Server]--
	if j == nil {
		return
	}
	delete(p.tasks, j.ID)
	p.host.CancelTimer(uint64(j.ID))
	if j.over || e.Final {
		return
	}
	never := e.Outcome == policy.Rejected || e.Outcome == policy.ConnectFailed || e.Outcome == policy.NotSent
	if lane := p.site.Classes[j.Class]; never || lane.Effect == policy.Idempotent {
		p.host.Reject(j.ID, 0)
	} else {
		p.host.Terminate(j.ID)
	}
}

// HandleDisconnect forgets a task whose client has gone.
func (p *plain) HandleDisconnect(_ time.Duration, task uint32) {
	if j := p.tasks[task]; j != nil {
		j.over = true
	}
}

// HandleTimer ends a task whose time is up.
func (p *plain) HandleTimer(_ time.Duration, token uint64) {
	j := p.tasks[uint32(token)]
	if j == nil || j.over {
		return
	}
	j.over = true
	if p.site.Classes[j.Class].Effect == policy.Idempotent {
		p.host.Reject(j.ID, 0)
	} else {
		p.host.Terminate(j.ID)
	}
	p.host.Cancel(j.ID, 0)
}

// HandleCount is never told: none of these calls the counter.
func (p *plain) HandleCount(time.Duration, policy.CountResult) {}
