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
		request := policy.Request{Customer: uint64(partner+1) << 16, Units: meanUnits, Class: nonIdempotentClass}
		if s.random.Float64() < s.IdempotentFraction {
			request.Class = idempotentClass
		}
		tracker := g.accounts.TrackRequest(s.clock.Now(), request)
		s.attempt(g, tracker, partner, s.chooseZone(partner, tracker.PreferredPartner()), trueUnits)
	}
}

// chooseZone returns the zone of a request's attempt. Preferred is the number of a partner, from 1;
// 0: none.
func (s *simulation) chooseZone(partner, preferred int) int {
	zone := partner
	if preferred > 0 && !s.isZoneOut(preferred-1) && (s.IgnoreQueues || s.queueDelay(preferred-1) < maxElectiveQueue) {
		zone = preferred - 1
		s.moved++
	}
	if s.isZoneOut(zone) {
		zone = (partner + 1 + s.random.IntN(s.Partners-1)) % s.Partners
	}
	return zone
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

// serve puts a request into a zone's queue, and returns when it ends.
func (s *simulation) serve(zone int, units float64) time.Duration {
	now := s.clock.Now()
	serviceTime := time.Duration(units * float64(timePerUnit))
	if s.SlowFrom > 0 && zone == 1 && now >= s.SlowFrom && now < s.SlowFrom+slowTime {
		serviceTime *= slowFactor
	}
	server := s.nextFreeServer(zone)
	endsAt := max(s.serverFreeAt[zone][server], now) + serviceTime
	s.serverFreeAt[zone][server] = endsAt
	return endsAt
}

func (s *simulation) attempt(from *gateway, tracker *account.RequestTracker, partner, zone int, trueUnits float64) {
	tracker.OnAttemptStart(zone)
	from.trackers[tracker] = true
	from.persist()
	startedAt := s.clock.Now()
	endsAt := s.serve(zone, trueUnits)
	outcome := policy.Answered
	billedUnits := trueUnits
	debt := settlement.Thousandths(trueUnits)
	if endsAt-startedAt > requestTimeout {
		endsAt = startedAt + requestTimeout
		outcome = policy.TimedOut
		billedUnits = 0
		debt = settlement.Thousandths(meanUnits)
	}
	if startedAt >= s.outageEnd() {
		s.firstAttempts[partner]++
		if endsAt-startedAt <= latencyObjective {
			s.onTimeAttempts[partner]++
		}
	}
	pair := settlement.Pair{Debtor: s.partnerNames[partner], Creditor: s.partnerNames[zone]}
	s.clock.At(endsAt, func() {
		if from.trackers[tracker] {
			delete(from.trackers, tracker)
			tracker.OnAttemptEnd(s.clock.Now(), outcome, billedUnits)
			from.persist()
			if outcome != policy.Answered {
				tracker.OnRequestEnd(false)
			}
		} else { // its process has crashed: the estimate is owed where the ledger is stored
			debt = settlement.Thousandths(meanUnits)
		}
		if partner != zone {
			s.trueDebts[pair] += debt
		}
	})
}
