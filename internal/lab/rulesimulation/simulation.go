// Package counts plays counting rules in virtual time: a few gateways, each with the module itself, around a switch of
// rules with faults, and beside a canary. It is emulated: what it shows is what the rules and their switch do, not what
// a network does. Bugs can be planted, to see that its checks find them.
package rulesimulation

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"harrierhoist/internal/countingrule"
	"harrierhoist/policy"
)

const (
	tableLease   = 2 * time.Second        // of the table
	switchLead   = 4 * time.Second        // from an entry to its edge: a lease and two waits
	readInterval = 200 * time.Millisecond // between two reads of the table
)

// Bug is a bug that is planted.
type Bug string

// The bugs.
const (
	NoBug        Bug = ""
	BugNoLease   Bug = "no fence"   // a process goes by the table that it has, past its lease
	BugWrongRule Bug = "wrong rule" // an answer weighs what the rule in force then says
)

// Simulation is the gateways, a counter, servers that always answer and the table.
type Simulation struct {
	random       *rand.Rand
	now          time.Duration
	queue        eventQueue
	sequence     int
	counter      map[uint64]float64
	charged      map[uint64]float64 // by name
	table        countingrule.Table
	resolved     map[uint64]*countingrule.Resolved
	settings     policy.Settings
	gateways     []*gateway
	requests     []*request
	bug          Bug
	onAdmission  func(*gateway, *request) // told of each task that is taken, and of its end
	onCompletion func(*gateway, *request)
}

// request is one as the servers and the clients saw it.
type request struct {
	id             uint32
	customer       uint64
	class          int
	acceptedAt     time.Duration // when its gateway took it
	forwardedAt    time.Duration // when it was pushed
	assignment     countingrule.Assignment
	reservations   []countingrule.Reservation
	forwarded      bool
	passed         []bool // by hold
	answers        int
	lost           bool // its gateway died: its client saw the connection close
	weight, billed float64
	deadline       time.Duration
}

// gateway is one gateway.
type gateway struct {
	*Simulation
	module           *policy.Gateway
	incarnation      int
	handlingCount    bool // the module is being told a total
	isolated, asleep bool
	deferred         []func() // what waits for it to wake
	leaseEnd         time.Duration
	hasTable         bool
	table            countingrule.Table
	admission        *countingrule.Admission
	inFlight         map[uint32]*request
	config           *countingrule.Config
}

func newSimulation(seed uint64, settings policy.Settings, rules []countingrule.Rule) *Simulation {
	s := &Simulation{random: rand.New(rand.NewPCG(seed, 11)), now: time.Hour, counter: map[uint64]float64{},
		charged:  map[uint64]float64{},
		resolved: map[uint64]*countingrule.Resolved{}, settings: countingrule.WithRulePlans(settings, rules), table: countingrule.Table{Rules: rules}}
	for _, rule := range append([]countingrule.Rule{{}}, rules...) {
		s.resolved[rule.Version], _ = countingrule.Resolve(rule, s.settings)
	}
	for range settings.Gateways {
		g := &gateway{Simulation: s, config: &countingrule.Config{DesiredVersion: rules[0].Version, Rules: rules}}
		s.gateways = append(s.gateways, g)
		g.start()
		s.after(0, g.renewLease)
	}
	return s
}

func (s *Simulation) after(delay time.Duration, action func()) {
	s.sequence++
	heap.Push(&s.queue, scheduledEvent{s.now + delay, s.sequence, action})
}

func (s *Simulation) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		next := heap.Pop(&s.queue).(scheduledEvent)
		s.now = next.at
		next.do()
	}
	s.now = until
}

func (s *Simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

// start begins a life: nothing is remembered.
func (g *gateway) start() {
	g.incarnation++
	for _, request := range g.inFlight {
		request.lost = true
	}
	g.deferred, g.inFlight, g.hasTable, g.leaseEnd, g.table = nil, map[uint32]*request{}, false, 0, countingrule.Table{}
	g.admission = countingrule.NewAdmission(g.settings.Gateways)
	g.module, _ = policy.New(g.settings, int64(g.random.Uint64()>>1), g)
	var endpoints []policy.Endpoint
	for i := range uint32(4) {
		endpoints = append(endpoints, policy.Endpoint{Server: i + 1, State: policy.Ready})
	}
	g.module.HandleEndpoints(g.now, policy.ListFull, endpoints)
}

// deliver brings the node an event after a time: once it is awake, and in the same life.
func (g *gateway) deliver(delay time.Duration, action func()) {
	incarnation := g.incarnation
	g.after(delay, func() {
		switch {
		case incarnation != g.incarnation:
		case g.asleep:
			g.deferred = append(g.deferred, action)
		default:
			action()
		}
	})
}

func (g *gateway) resume() {
	g.asleep = false
	deferred := g.deferred
	g.deferred = nil
	for _, action := range deferred {
		action()
	}
}

// renewLease renews the lease: it counts from when the read was sent.
func (g *gateway) renewLease() {
	if !g.isolated && !g.asleep {
		sentAt, table := g.now, g.Simulation.table
		g.deliver(g.between(time.Millisecond, 20*time.Millisecond), func() { g.hasTable, g.leaseEnd, g.table = true, sentAt+tableLease, table })
	}
	g.after(readInterval, g.renewLease)
}

// accept is what the clerk and the gate do with a task.
func (g *gateway) accept(customer uint64, lane int) {
	request := &request{id: uint32(len(g.requests) + 1), customer: customer, class: lane, acceptedAt: g.now, deadline: g.now + time.Second}
	g.requests = append(g.requests, request)
	g.deliver(0, func() { g.admit(request) })
	incarnation := g.incarnation
	g.after(3*time.Second, func() { request.lost = request.lost || incarnation != g.incarnation })
}

func (g *gateway) admit(request *request) {
	if request.acceptedAt = g.now; request.deadline <= request.acceptedAt { // it waited while we slept
		request.answers++
		return
	}
	g.inFlight[request.id] = request
	versions := g.table.CandidateVersions(g.now, g.now < g.leaseEnd, g.hasTable, g.config)
	if g.bug == BugNoLease {
		versions = []uint64{g.table.InForce(g.now)}
	}
	request.assignment = g.resolved[versions[0]].Assign(request.customer, request.class, 0)
	request.weight = request.assignment.Weight
	for _, v := range versions[1:] {
		assignment := g.resolved[v].Assign(request.customer, request.class, 0)
		request.reservations = append(request.reservations, g.admission.Reserve(assignment, g.settings.Plans[assignment.Plan], 1, g.now))
	}
	if g.onAdmission != nil {
		g.onAdmission(g, request)
	}
	pending, admitted := len(request.reservations), true
	for _, reservation := range request.reservations {
		g.addUnits(reservation.Name, reservation.Units, func(count float64) {
			passed, previous := g.admission.HandleCount(reservation, count, true)
			request.passed = append(request.passed, passed)
			admitted = admitted && passed
			if previous != nil {
				g.addUnits(previous.Name, 0, func(count float64) {
					g.addUnits(reservation.Name, reservation.Deficit(*previous, count), func(float64) {})
				})
			}
			if pending--; pending == 0 {
				g.forward(request, admitted)
			}
		})
	}
	if pending == 0 {
		g.forward(request, true)
	}
}

func (g *gateway) forward(request *request, admitted bool) {
	if !admitted || g.now >= request.deadline {
		g.complete(request.id)
		return
	}
	g.module.HandleRequest(g.now, policy.Request{ID: request.id, Class: request.class, Plan: request.assignment.Plan, Customer: request.assignment.Key,
		GatewayCount: g.settings.Gateways,
		Units:        request.assignment.Weight, Deadline: request.deadline})
}

// addUnits calls the counter.
func (g *gateway) addUnits(name uint64, units float64, done func(float64)) {
	g.after(g.between(time.Millisecond, 3*time.Millisecond), func() {
		g.counter[name] += units
		g.charged[name] += units
		count := g.counter[name]
		g.deliver(g.between(time.Millisecond, 3*time.Millisecond), func() { done(count) })
	})
}

func (g *gateway) complete(id uint32) {
	request := g.inFlight[id]
	if request == nil {
		return
	}
	delete(g.inFlight, id)
	request.answers++
	if g.onCompletion != nil {
		g.onCompletion(g, request)
	}
	for i, reservation := range request.reservations {
		used := 0.0
		if request.forwarded {
			used = reservation.Units
		}
		if correction := g.admission.Settle(reservation, i < len(request.passed) && request.passed[i], used, countingrule.Charged); correction != 0 {
			g.addUnits(reservation.Name, correction, func(float64) {})
		}
	}
}
