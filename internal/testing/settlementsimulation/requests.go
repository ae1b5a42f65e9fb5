package settlementsimulation

import (
	"time"

	"harrierhoist/internal/control/settlement"
	"harrierhoist/internal/control/settlement/account"
	"harrierhoist/policy"
)

const (
	latencyObjective = 600 * time.Millisecond
	requestTimeout   = 2 * time.Second
	meanUnits        = 2.0 // of a request; every request states these
	minUnits         = 0.1
	timePerUnit      = 20 * time.Millisecond // at a server
	slowFactor       = 3                     // of a slow server
	slowTime         = 20 * time.Second
	maxElectiveQueue = latencyObjective / 4 // a zone with a longer queue has no capacity for elective attempts
)

// customerShift is the place of a partner's number in those of its customers.
const customerShift = 16

// generateRequests draws the requests of a tick and attempts each: in its partner's zone, where it
// settles a debt, or elsewhere while that zone is lost.
func (s *simulation) generateRequests() {
	if s.clock.Now() >= s.end() {
		return
	}
	for partner := range s.Partners {
		if s.random.Float64() >= s.RequestRate*tick.Seconds() {
			continue
		}
		g := s.gateways[partner+s.Partners*s.random.IntN(s.GatewaysPerZone)]
		trueUnits := max(s.random.ExpFloat64()*meanUnits, minUnits)
		customer := uint64(partner+1) << customerShift
		request := policy.Request{Customer: customer, Units: meanUnits, Class: nonIdempotentClass}
		if s.random.Float64() < s.IdempotentFraction {
			request.Class = idempotentClass
		}
		tracker := g.accounts.TrackRequest(s.clock.Now(), request)
		s.startAttempt(attempt{
			gateway: g, tracker: tracker, partner: partner,
			zone: s.chooseZone(partner, tracker.PreferredPartner()), trueUnits: trueUnits,
		})
	}
}

// chooseZone returns the zone of a request's attempt. Preferred is the number of a partner, from 1;
// 0: none.
func (s *simulation) chooseZone(partner, preferred int) int {
	zone := partner
	if preferred > 0 && s.takesElective(preferred-1) {
		zone = preferred - 1
		s.moved++
	}
	if s.isZoneOut(zone) {
		zone = (partner + 1 + s.random.IntN(s.Partners-1)) % s.Partners
	}
	return zone
}

// takesElective reports whether gateways send elective attempts to a zone.
func (s *simulation) takesElective(zone int) bool {
	if s.isZoneOut(zone) {
		return false
	}
	return s.IgnoreQueues || s.queueDelay(zone) < maxElectiveQueue
}

func (s *simulation) isZoneOut(zone int) bool {
	return zone == 0 && s.clock.Now() >= s.BeforeOutage && s.clock.Now() < s.outageEnd()
}

// queueDelay returns how long a request would wait in a zone.
func (s *simulation) queueDelay(zone int) time.Duration {
	return max(s.serverFreeAt[zone][s.nextFreeServer(zone)]-s.clock.Now(), 0)
}

// nextFreeServer returns the server of a zone that is free first.
func (s *simulation) nextFreeServer(zone int) int {
	next := 0
	for server, freeAt := range s.serverFreeAt[zone] {
		if freeAt < s.serverFreeAt[zone][next] {
			next = server
		}
	}
	return next
}

// slowZone is the zone whose servers become slow where the scenario says so.
const slowZone = 1

// hasSlowZone reports whether the servers of slowZone are slow now.
func (s *simulation) hasSlowZone() bool {
	now := s.clock.Now()
	isSlowAtAll := s.SlowFrom > 0
	return isSlowAtAll && now >= s.SlowFrom && now < s.SlowFrom+slowTime
}

// serve puts a request into a zone's queue, and returns when it ends.
func (s *simulation) serve(zone int, units float64) time.Duration {
	now := s.clock.Now()
	serviceTime := time.Duration(units * float64(timePerUnit))
	if zone == slowZone && s.hasSlowZone() {
		serviceTime *= slowFactor
	}
	server := s.nextFreeServer(zone)
	endsAt := max(s.serverFreeAt[zone][server], now) + serviceTime
	s.serverFreeAt[zone][server] = endsAt
	return endsAt
}

// attempt is a request of a partner on its way through a gateway to a zone.
type attempt struct {
	gateway       *gateway
	tracker       *account.RequestTracker
	partner, zone int
	trueUnits     float64
}

// startAttempt counts an attempt, puts it into its zone's queue, and schedules its end.
func (s *simulation) startAttempt(a attempt) {
	a.tracker.OnAttemptStart(a.zone)
	a.gateway.trackers[a.tracker] = true
	a.gateway.persist()
	startedAt := s.clock.Now()
	endsAt := s.serve(a.zone, a.trueUnits)
	outcome := policy.Answered
	if endsAt-startedAt > requestTimeout {
		endsAt = startedAt + requestTimeout
		outcome = policy.TimedOut
	}
	if startedAt >= s.outageEnd() {
		s.firstAttempts[a.partner]++
		if endsAt-startedAt <= latencyObjective {
			s.onTimeAttempts[a.partner]++
		}
	}
	s.clock.At(endsAt, func() { s.endAttempt(a, outcome) })
}

// endAttempt ends an attempt at its gateway, and counts what it truly owes: the estimate where it
// got no answer or its process has crashed, as a ledger that is stored has it then.
func (s *simulation) endAttempt(a attempt, outcome policy.Outcome) {
	debt := settlement.Thousandths(meanUnits)
	if a.gateway.trackers[a.tracker] {
		delete(a.gateway.trackers, a.tracker)
		billedUnits := 0.0
		if outcome == policy.Answered {
			billedUnits = a.trueUnits
			debt = settlement.Thousandths(a.trueUnits)
		}
		a.tracker.OnAttemptEnd(s.clock.Now(), outcome, billedUnits)
		a.gateway.persist()
		if outcome != policy.Answered {
			a.tracker.OnRequestEnd(false)
		}
	}
	if a.partner != a.zone {
		pair := settlement.Pair{Debtor: s.partnerNames[a.partner], Creditor: s.partnerNames[a.zone]}
		s.trueDebts[pair] += debt
	}
}
