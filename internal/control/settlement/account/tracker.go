package account

import (
	"cmp"
	"math"
	"time"

	"harrierhoist/internal/control/settlement"
	"harrierhoist/policy"
)

// unansweredLatency is the latency of a request that got no answer. It exceeds every objective.
const unansweredLatency = time.Duration(math.MaxInt64)

// RequestTracker counts the debts and the latency of one request. On a nil *RequestTracker, methods
// do nothing: the request belongs to no partner, or settlement is off. The methods of one tracker
// must be called sequentially; different trackers may be used concurrently.
type RequestTracker struct {
	accounts *Accounts
	partners *settlement.PartnerIndex // index of the terms in force when the request began
	partner  int                      // number of the partner that the request belongs to
	// preferredDebtor is the partner whose servers the first attempt should use to settle a debt; 0
	// if the request settles none.
	preferredDebtor  int
	units            float64 // estimate stated by the client
	estimatedDebt    uint64  // units, in thousandths
	startedAt        time.Duration
	latencyObjective time.Duration

	isSettlementEligible bool // class is idempotent and request is no repeat: its first attempt may settle a debt
	hasAttempt           bool
	isLatencyRecorded    bool     // also true if it must not be recorded: for a repeat or a disconnected client
	chargedBalance       *balance // balance that includes the attempt in flight; nil if it owes no partner
	attemptZone          int      // zone of the latest attempt
}

// TrackRequest returns the tracker of a request that starts at now. It returns nil if the request
// belongs to no partner or settlement is off.
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
		units: request.Units, estimatedDebt: settlement.Thousandths(request.Units),
		startedAt: now, latencyObjective: class.LatencyObjective,
		isSettlementEligible: class.Effect == policy.Idempotent && !request.Repeat,
		isLatencyRecorded:    request.Repeat,
	}
	if t.isSettlementEligible && a.isSettling() {
		t.preferredDebtor = a.drawPreferredDebtor(partner)
	}
	return t
}

// drawPreferredDebtor draws a debtor with the probabilities of the creditor's shares. It returns 0
// with the remaining probability. The caller must hold mu.
func (a *Accounts) drawPreferredDebtor(creditor int) int {
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

// PreferredPartner returns the number of the partner whose servers the request's first attempt
// should use, or 0 if there is none.
func (t *RequestTracker) PreferredPartner() int {
	if t == nil {
		return 0
	}
	return t.preferredDebtor
}

// OnAttemptStart counts an attempt in a zone. If the zone belongs to another partner, the balance
// with that partner includes the estimate of the attempt until OnAttemptEnd.
func (t *RequestTracker) OnAttemptStart(zone int) {
	if t == nil {
		return
	}
	t.accounts.mu.Lock()
	defer t.accounts.mu.Unlock()
	t.attemptZone = zone
	owner := t.partners.ZoneOwner(zone)
	if t.isSettlementEligible && !t.hasAttempt {
		t.countFirstAttempt(owner)
	}
	t.hasAttempt = true
	if owner == 0 || owner == t.partner {
		return
	}
	pair := settlement.Pair{Debtor: t.partners.Names[t.partner], Creditor: t.partners.Names[owner]}
	t.chargedBalance = t.accounts.balanceOf(pair)
	t.chargedBalance.inFlight += t.estimatedDebt
	t.accounts.signalChange()
}

// countFirstAttempt counts the first attempt of an eligible request. owner is the partner that owns
// the attempt's zone, or 0.
func (t *RequestTracker) countFirstAttempt(owner int) {
	t.addMetric(settlement.MetricIdempotentUnits, t.partner, t.estimatedDebt)
	t.addMetric(settlement.MetricIdempotentRequests, t.partner, 1)
	if t.preferredDebtor == 0 {
		return
	}
	t.addMetric(settlement.MetricElectiveAttempts, t.preferredDebtor, 1)
	if owner == t.preferredDebtor {
		t.addMetric(settlement.MetricElectivePlaced, t.preferredDebtor, 1)
	}
}

// OnAttemptEnd adds the debt of the latest attempt to the balance with the zone's owner. If the
// outcome is policy.Answered, it also counts the latency of the request. billedUnits is the number
// of units that the answer states, or 0 if it states none.
func (t *RequestTracker) OnAttemptEnd(now time.Duration, outcome policy.Outcome, billedUnits float64) {
	if t == nil {
		return
	}
	t.accounts.mu.Lock()
	defer t.accounts.mu.Unlock()
	debt := t.attemptDebt(outcome, billedUnits)
	if outcome == policy.Answered {
		if owner := t.partners.ZoneOwner(t.attemptZone); owner > 0 {
			t.addMetric(settlement.MetricServedUnits, owner, debt)
		}
		t.recordLatency(now - t.startedAt)
	}
	if t.chargedBalance != nil {
		t.chargedBalance.debt += debt
		t.chargedBalance.inFlight -= t.estimatedDebt
		t.chargedBalance = nil
		t.accounts.signalChange()
	}
}

// attemptDebt returns the debt for an attempt with the given outcome, in thousandths of units.
// An answered attempt owes the units that the answer states, or the estimate if it states none. An
// attempt that a server may have run without answering owes the estimate. An attempt that never ran
// owes nothing.
func (t *RequestTracker) attemptDebt(outcome policy.Outcome, billedUnits float64) uint64 {
	switch outcome {
	case policy.Answered:
		return settlement.Thousandths(cmp.Or(billedUnits, t.units))
	case policy.Rejected, policy.ConnectFailed, policy.NotSent:
		return 0
	case policy.Errored, policy.TimedOut, policy.Reset, policy.Cancelled:
	}
	return t.estimatedDebt
}

// OnRequestEnd counts a request that got no answer as slow and late. If the client disconnected,
// the request is not counted, as its latency is unknown. After an answer OnRequestEnd has no
// effect.
func (t *RequestTracker) OnRequestEnd(disconnected bool) {
	if t == nil {
		return
	}
	t.accounts.mu.Lock()
	defer t.accounts.mu.Unlock()
	if disconnected {
		t.isLatencyRecorded = true
	}
	t.recordLatency(unansweredLatency)
}

// recordLatency counts the request by its latency, at most once. It ignores a request without an
// attempt: its plan did not admit it or no server was available, so it used no partner's capacity.
// The caller must hold mu.
func (t *RequestTracker) recordLatency(elapsed time.Duration) {
	if t.isLatencyRecorded || !t.hasAttempt {
		return
	}
	t.isLatencyRecorded = true
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
