package account

import (
	"cmp"
	"math"
	"time"

	"harrierhoist/internal/settlement"
	"harrierhoist/policy"
)

// noAnswer is longer than any task takes.
const noAnswer = time.Duration(math.MaxInt64)

// RequestTracker is one task on its way, as the till follows it. A nil claim is of no partner: nothing is counted for it. Its
// calls are made one after another.
type RequestTracker struct {
	accounts         *Accounts
	partners         *settlement.PartnerIndex
	partner          int // partner
	preferred        int // partner whose servers its first push is to go to; 0: none
	units            float64
	estimate         uint64 // thousandths
	isElectable      bool   // pure and not a repeat: its first push counts
	isAttempted      bool
	startedAt        time.Duration
	latencyObjective time.Duration
	charged          *balance // where its push stands that is out; nil where that owes nobody
	zone             int
	isCounted        bool
}

// TrackRequest takes a task, and gives its claim.
func (a *Accounts) TrackRequest(now time.Duration, request policy.Request) *RequestTracker {
	if a == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	partner := 0
	if a.terms.On && request.Class < len(a.settings.Classes) {
		partner = a.partners.PartnerOf(request.Customer, request.Plan)
	}
	if partner == 0 {
		return nil
	}
	class := &a.settings.Classes[request.Class]
	t := &RequestTracker{
		accounts: a, partners: a.partners, partner: partner, units: request.Units, estimate: settlement.Thousandths(request.Units), startedAt: now,
		latencyObjective: class.LatencyObjective, isElectable: class.Effect == policy.Idempotent && !request.Repeat, isCounted: request.Repeat,
	}
	if t.isElectable && len(a.shares) > 0 && a.now() < a.sharesUntil {
		draw := a.random.Float64()
		for _, s := range a.shares {
			if s.creditor == partner {
				if draw -= s.fraction; draw < 0 {
					t.preferred = s.debtor
					break
				}
			}
		}
	}
	return t
}

// PreferredPartner is the partner whose servers the task's first push is to prefer; 0: none.
func (t *RequestTracker) PreferredPartner() int {
	if t == nil {
		return 0
	}
	return t.preferred
}

// OnAttemptStart tells of a push to a hall.
func (t *RequestTracker) OnAttemptStart(zone int) {
	if t == nil {
		return
	}
	a := t.accounts
	a.mu.Lock()
	defer a.mu.Unlock()
	t.zone = zone
	owner := t.partners.ZoneOwner(zone)
	if t.isElectable && !t.isAttempted {
		a.addMetric(t.partners, settlement.MetricIdempotentUnits, t.partner, t.estimate)
		a.addMetric(t.partners, settlement.MetricIdempotentRequests, t.partner, 1)
		if t.preferred > 0 {
			a.addMetric(t.partners, settlement.MetricElective, t.preferred, 1)
			if owner == t.preferred {
				a.addMetric(t.partners, settlement.MetricElectivePlaced, t.preferred, 1)
			}
		}
	}
	t.isAttempted = true
	if owner == 0 || owner == t.partner {
		return
	}
	p := settlement.Pair{Debtor: t.partners.Names[t.partner], Creditor: t.partners.Names[owner]}
	if t.charged = a.balances[p]; t.charged == nil {
		t.charged = &balance{}
		a.balances[p] = t.charged
	}
	t.charged.inFlight += t.estimate
	a.signalChange()
}

// OnAttemptEnd tells how the push ended that was sent last. Its server's owner is owed the true units; what was told where no
// answer tells them and it may have run; nothing where it never did.
func (t *RequestTracker) OnAttemptEnd(now time.Duration, outcome policy.Outcome, billedUnits float64) {
	if t == nil {
		return
	}
	a := t.accounts
	a.mu.Lock()
	defer a.mu.Unlock()
	debt := t.estimate
	switch outcome {
	case policy.Answered:
		debt = settlement.Thousandths(cmp.Or(billedUnits, t.units))
		if owner := t.partners.ZoneOwner(t.zone); owner > 0 {
			a.addMetric(t.partners, settlement.MetricServedUnits, owner, debt)
		}
		t.countService(now - t.startedAt)
	case policy.Rejected, policy.ConnectFailed, policy.NotSent:
		debt = 0
	}
	if t.charged != nil {
		t.charged.debt += debt
		t.charged.inFlight -= t.estimate
		t.charged = nil
		a.signalChange()
	}
}

// OnRequestEnd tells that the task is over without an answer. One that its client left is no word on how it was served.
func (t *RequestTracker) OnRequestEnd(disconnected bool) {
	if t == nil {
		return
	}
	t.accounts.mu.Lock()
	defer t.accounts.mu.Unlock()
	if disconnected {
		t.isCounted = true
	}
	t.countService(noAnswer)
}

// countService counts how a first try was served, once. One that was never pushed was not let in by its plan, or found no
// server: it is left out, as it has taken nothing from anyone and most such are over their plan.
func (t *RequestTracker) countService(elapsed time.Duration) {
	if t.isCounted || !t.isAttempted {
		return
	}
	t.isCounted = true
	t.accounts.addMetric(t.partners, settlement.MetricRequests, t.partner, 1)
	if elapsed > t.latencyObjective/2 {
		t.accounts.addMetric(t.partners, settlement.MetricSlow, t.partner, 1)
	}
	if elapsed > t.latencyObjective {
		t.accounts.addMetric(t.partners, settlement.MetricLate, t.partner, 1)
	}
}

// addMetric adds to evidence, under the lock.
func (a *Accounts) addMetric(partners *settlement.PartnerIndex, metric settlement.Metric, partner int, n uint64) {
	name := partners.Names[partner]
	c := a.metrics[name]
	if c == nil {
		c = new([settlement.MetricCount]uint64)
		a.metrics[name] = c
	}
	c[metric] += n
}

// signalChange has the disk follow.
func (a *Accounts) signalChange() {
	if a.changed != nil {
		select {
		case a.changed <- struct{}{}:
		default: // it will see this too
		}
	}
}
