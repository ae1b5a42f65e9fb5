package account

import (
	"cmp"
	"math"
	"time"

	"harrierhoist/internal/control/settlement"
	"harrierhoist/policy"
)

// noAnswer is longer than any request takes.
const noAnswer = time.Duration(math.MaxInt64)

// RequestTracker counts what one request owes and how it is served. A nil tracker counts nothing:
// its request is of no partner. Its methods are called one after another.
type RequestTracker struct {
	accounts *Accounts
	partners *settlement.PartnerIndex // of the terms that the request began under
	partner  int                      // whose request it is
	// preferred is the partner whose servers the first attempt is to go to; 0: none.
	preferred        int
	units            float64 // as the client states them
	estimate         uint64  // the same in thousandths
	startedAt        time.Duration
	latencyObjective time.Duration

	isElectable bool // idempotent and no repeat: its first attempt may settle a debt
	isAttempted bool
	isCounted   bool     // how it was served is counted, or never will be: a repeat, or its client left
	charged     *balance // of the attempt in flight; nil where that owes nobody
	zone        int      // of the latest attempt
}

// TrackRequest begins a request, and returns its tracker; nil where it is of no partner or
// settlement is off.
func (a *Accounts) TrackRequest(now time.Duration, request policy.Request) *RequestTracker {
	if a == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.terms.On || request.Class >= len(a.settings.Classes) {
		return nil
	}
	partner := a.partners.PartnerOf(request.Customer, request.Plan)
	if partner == 0 {
		return nil
	}
	class := &a.settings.Classes[request.Class]
	t := &RequestTracker{
		accounts: a, partners: a.partners, partner: partner,
		units: request.Units, estimate: settlement.Thousandths(request.Units),
		startedAt: now, latencyObjective: class.LatencyObjective,
		isElectable: class.Effect == policy.Idempotent && !request.Repeat,
		isCounted:   request.Repeat,
	}
	if t.isElectable && a.isSettling() {
		t.preferred = a.drawPreferred(partner)
	}
	return t
}

// drawPreferred decides which debtor's servers a creditor's request prefers, by a draw from the
// creditor's shares; 0: none.
func (a *Accounts) drawPreferred(creditor int) int {
	draw := a.random.Float64()
	for _, s := range a.shares {
		if s.creditor != creditor {
			continue
		}
		draw -= s.fraction
		if draw < 0 {
			return s.debtor
		}
	}
	return 0
}

// PreferredPartner returns the partner whose servers the request's first attempt is to go to; 0:
// none.
func (t *RequestTracker) PreferredPartner() int {
	if t == nil {
		return 0
	}
	return t.preferred
}

// OnAttemptStart counts an attempt in a zone. The zone's owner is owed an estimate until
// OnAttemptEnd.
func (t *RequestTracker) OnAttemptStart(zone int) {
	if t == nil {
		return
	}
	t.accounts.mu.Lock()
	defer t.accounts.mu.Unlock()
	t.zone = zone
	owner := t.partners.ZoneOwner(zone)
	if t.isElectable && !t.isAttempted {
		t.countFirstAttempt(owner)
	}
	t.isAttempted = true
	if owner == 0 || owner == t.partner {
		return
	}
	pair := settlement.Pair{Debtor: t.partners.Names[t.partner], Creditor: t.partners.Names[owner]}
	t.charged = t.accounts.balanceOf(pair)
	t.charged.inFlight += t.estimate
	t.accounts.signalChange()
}

func (t *RequestTracker) countFirstAttempt(owner int) {
	t.addMetric(settlement.MetricIdempotentUnits, t.partner, t.estimate)
	t.addMetric(settlement.MetricIdempotentRequests, t.partner, 1)
	if t.preferred == 0 {
		return
	}
	t.addMetric(settlement.MetricElectiveAttempts, t.preferred, 1)
	if owner == t.preferred {
		t.addMetric(settlement.MetricElectivePlaced, t.preferred, 1)
	}
}

// OnAttemptEnd counts what the latest attempt owes the zone's owner, and how the request was served
// where it was answered. billedUnits are the units of the answer; 0 where it has none.
func (t *RequestTracker) OnAttemptEnd(now time.Duration, outcome policy.Outcome, billedUnits float64) {
	if t == nil {
		return
	}
	t.accounts.mu.Lock()
	defer t.accounts.mu.Unlock()
	debt := t.debtOf(outcome, billedUnits)
	if outcome == policy.Answered {
		if owner := t.partners.ZoneOwner(t.zone); owner > 0 {
			t.addMetric(settlement.MetricServedUnits, owner, debt)
		}
		t.countService(now - t.startedAt)
	}
	if t.charged != nil {
		t.charged.debt += debt
		t.charged.inFlight -= t.estimate
		t.charged = nil
		t.accounts.signalChange()
	}
}

// debtOf decides what an attempt at another partner's server owes its owner, in thousandths of
// units: the units of the answer, the estimate where the answer tells none or the attempt may have
// run without one, nothing where it never ran.
func (t *RequestTracker) debtOf(outcome policy.Outcome, billedUnits float64) uint64 {
	switch outcome {
	case policy.Answered:
		return settlement.Thousandths(cmp.Or(billedUnits, t.units))
	case policy.Rejected, policy.ConnectFailed, policy.NotSent:
		return 0
	case policy.Errored, policy.TimedOut, policy.Reset, policy.Cancelled:
	}
	return t.estimate
}

// OnRequestEnd ends a request that got no answer. One whose client disconnected tells nothing of
// how it was served.
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

// countService counts once how a request was served, under the lock. A request without an attempt
// is left out: its plan did not admit it or there was no server, so it took nothing from anyone.
func (t *RequestTracker) countService(elapsed time.Duration) {
	if t.isCounted || !t.isAttempted {
		return
	}
	t.isCounted = true
	t.addMetric(settlement.MetricRequests, t.partner, 1)
	if elapsed > t.latencyObjective/2 {
		t.addMetric(settlement.MetricSlow, t.partner, 1)
	}
	if elapsed > t.latencyObjective {
		t.addMetric(settlement.MetricLate, t.partner, 1)
	}
}

func (t *RequestTracker) addMetric(metric settlement.Metric, partner int, n uint64) {
	t.accounts.addMetric(t.partners, metric, partner, n)
}
