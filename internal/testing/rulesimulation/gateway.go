package rulesimulation

import (
	"time"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/policy"
)

// gateway is one gateway with its decision module, of which it is the host.
type gateway struct {
	sim              *Simulation
	module           *policy.Gateway
	incarnation      int
	handlingCount    bool // the module is handling a count
	isolated, asleep bool
	deferred         []func() // what waits until it is awake
	leaseEnd         time.Duration
	hasTable         bool
	table            countingrule.Table
	admission        *countingrule.Admission
	inFlight         map[uint32]*request
	config           *countingrule.Config
}

// start begins an incarnation: nothing is remembered.
func (g *gateway) start() {
	g.incarnation++
	for _, request := range g.inFlight {
		request.lost = true
	}
	g.deferred = nil
	g.inFlight = map[uint32]*request{}
	g.hasTable = false
	g.leaseEnd = 0
	g.table = countingrule.Table{}
	g.admission = countingrule.NewAdmission(g.sim.settings.Gateways)
	g.module = must(policy.New(g.sim.settings, int64(g.sim.random.Uint64()>>1), g))
	var endpoints []policy.Endpoint
	for i := range uint32(4) {
		endpoints = append(endpoints, policy.Endpoint{Server: i + 1, State: policy.Ready})
	}
	g.module.HandleEndpoints(g.sim.clock.Now(), policy.ListFull, endpoints)
}

// deliver brings the gateway an event after a time: once it is awake, and in the same incarnation.
func (g *gateway) deliver(delay time.Duration, action func()) {
	incarnation := g.incarnation
	g.sim.clock.After(delay, func() {
		switch {
		case incarnation != g.incarnation:
		case g.asleep:
			g.deferred = append(g.deferred, action)
		default:
			action()
		}
	})
}

// resume wakes the gateway.
func (g *gateway) resume() {
	g.asleep = false
	deferred := g.deferred
	g.deferred = nil
	for _, action := range deferred {
		action()
	}
}

// renewLease reads the table, again and again. The lease counts from when the read was sent.
func (g *gateway) renewLease() (again bool) {
	if !g.isolated && !g.asleep {
		sentAt := g.sim.clock.Now()
		table := g.sim.table
		g.deliver(g.sim.between(time.Millisecond, 20*time.Millisecond), func() {
			g.hasTable = true
			g.leaseEnd = sentAt + tableLease
			g.table = table
		})
	}
	return true
}

// accept does what the enforcer and the dispatcher do with a request.
func (g *gateway) accept(customer uint64, class int) {
	s := g.sim
	accepted := &request{
		id: uint32(len(s.requests) + 1), customer: customer, class: class,
		acceptedAt: s.clock.Now(), deadline: s.clock.Now() + time.Second,
	}
	s.requests = append(s.requests, accepted)
	g.deliver(0, func() { g.admit(accepted) })
	incarnation := g.incarnation
	s.clock.After(3*time.Second, func() { accepted.lost = accepted.lost || incarnation != g.incarnation })
}

func (g *gateway) admit(request *request) {
	s := g.sim
	request.acceptedAt = s.clock.Now()
	if request.deadline <= request.acceptedAt { // it waited while the gateway slept
		request.answers++
		return
	}
	g.inFlight[request.id] = request
	versions := g.candidates()
	request.assignment = s.resolved[versions[0]].Assign(request.customer, request.class, 0)
	request.weight = request.assignment.Weight
	for _, version := range versions[1:] {
		other := s.resolved[version].Assign(request.customer, request.class, 0)
		request.reservations = append(request.reservations,
			g.admission.Reserve(other, s.settings.Plans[other.Plan], 1, s.clock.Now()))
	}
	if s.onAdmission != nil {
		s.onAdmission(g, request)
	}
	g.checkReservations(request)
}

// candidates are the versions that a request has to pass now.
func (g *gateway) candidates() []uint64 {
	now := g.sim.clock.Now()
	if g.sim.bug == BugNoLease {
		return []uint64{g.table.InForce(now)}
	}
	return g.table.CandidateVersions(now, g.tableStatus(now), g.config)
}

// tableStatus is what the gateway knows of its table at a time.
func (g *gateway) tableStatus(now time.Duration) countingrule.TableStatus {
	switch {
	case now < g.leaseEnd:
		return countingrule.TableLeased
	case g.hasTable:
		return countingrule.TableExpired
	default:
		return countingrule.TableNeverReceived
	}
}

// checkReservations charges a request's reservations and forwards it once all counts have answered.
func (g *gateway) checkReservations(request *request) {
	pending := len(request.reservations)
	admitted := true
	for _, reservation := range request.reservations {
		g.addUnits(reservation.Name, reservation.WeightedUnits, func(count float64) {
			passed, previous := g.admission.HandleCount(reservation, count, true)
			request.passed = append(request.passed, passed)
			admitted = admitted && passed
			if previous != nil {
				g.carryOver(reservation, *previous)
			}
			pending--
			if pending == 0 {
				g.forward(request, admitted)
			}
		})
	}
	if pending == 0 {
		g.forward(request, true)
	}
}

// carryOver adds the deficit of the previous window to the reservation's.
func (g *gateway) carryOver(to countingrule.Reservation, previous countingrule.Window) {
	g.addUnits(previous.Name, 0, func(count float64) {
		g.addUnits(to.Name, to.Deficit(previous, count), func(float64) {})
	})
}

// forward hands a request to the decision module, or rejects it.
func (g *gateway) forward(request *request, admitted bool) {
	if !admitted || g.sim.clock.Now() >= request.deadline {
		g.complete(request.id)
		return
	}
	g.module.HandleRequest(g.sim.clock.Now(), policy.Request{
		ID:           request.id,
		Class:        request.class,
		Plan:         request.assignment.Plan,
		Customer:     request.assignment.Key,
		GatewayCount: g.sim.settings.Gateways,
		Units:        request.assignment.Weight,
		Deadline:     request.deadline,
	})
}

// addUnits calls the counter.
func (g *gateway) addUnits(name uint64, units float64, done func(count float64)) {
	s := g.sim
	s.clock.After(s.between(time.Millisecond, 3*time.Millisecond), func() {
		s.counter[name] += units
		s.charged[name] += units
		count := s.counter[name]
		g.deliver(s.between(time.Millisecond, 3*time.Millisecond), func() { done(count) })
	})
}

// complete gives a request its final answer, and settles its reservations.
func (g *gateway) complete(id uint32) {
	request := g.inFlight[id]
	if request == nil {
		return
	}
	delete(g.inFlight, id)
	request.answers++
	if g.sim.onCompletion != nil {
		g.sim.onCompletion(g, request)
	}
	for i, reservation := range request.reservations {
		used := 0.0
		if request.forwarded {
			used = reservation.WeightedUnits
		}
		admitted := i < len(request.passed) && request.passed[i]
		if correction := g.admission.Settle(reservation, admitted, used, countingrule.Charged); correction != 0 {
			g.addUnits(reservation.Name, correction, func(float64) {})
		}
	}
}
