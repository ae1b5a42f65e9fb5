package dispatch

import (
	"testing"
	"time"

	"harrierhoist/internal/settlement"
	"harrierhoist/internal/settlement/account"
	"harrierhoist/policy"
)

// newSettlingFixture is a story whose gate keeps debts: its hall is b's, the other c's, and customers of the plan are a's.
func newSettlingFixture(t *testing.T) (*fixture, *account.Accounts) {
	f := newFixture(t)
	terms := settlement.DefaultTerms()
	terms.On = true
	terms.Partners = []settlement.Partner{{Name: "a", Plans: []string{"wide"}}, {Name: "b", Zones: []string{"hb"}},
		{Name: "c", Zones: []string{"hc"}}}
	acct := account.New(terms, account.Settings{Zones: []string{"hb", "hc"}, Plans: []string{"wide", "small"},
		Classes: []policy.TrafficClass{{LatencyObjective: time.Second}, {LatencyObjective: time.Second, Effect: policy.NonIdempotent}}}, "x", 1,
		func() time.Duration { return 0 })
	f.dispatcher.SetAccount(acct)
	done := t.Context().Done()
	go func() {
		for { // charges are calls too
			select {
			case call := <-f.counterCalls:
				call.reply(0, policy.Answered)
			case <-done:
				return
			}
		}
	}()
	return f, acct
}

// forwardedWithoutCall brings a task as far as its push.
func (f *fixture) forwardedWithoutCall(class int, timeout time.Duration) (*Request, Decision) {
	f.Helper()
	r := f.admit(class, 0, timeout)
	return r, f.expectAction(r, Forward)
}

func totalOwed(acct *account.Accounts) (sum uint64) {
	acct.ReportDebts(func(_ string, n uint64) { sum += n })
	return sum
}

// What a push owes is counted as it ends, also where its client is gone by then or its task has been terminated.
func TestSettlement_attemptsAreOwedAsTheyEnd(t *testing.T) {
	f, acct := newSettlingFixture(t)
	r, _ := f.forwardedWithoutCall(0, time.Second)
	r.ReportResult(Result{Outcome: policy.Answered, Billed: 3.5})
	if got := totalOwed(acct); got != 3500 {
		t.Errorf("%d owed", got)
	}
	r, _ = f.forwardedWithoutCall(0, time.Second)
	r.Disconnect()
	r.ReportResult(Result{Outcome: policy.Reset})
	if got := totalOwed(acct); got != 5500 {
		t.Errorf("%d owed with a client that left", got)
	}
	r, forward := f.forwardedWithoutCall(1, 100*time.Millisecond)
	<-forward.Context.Done()
	r.ReportResult(Result{Outcome: policy.Cancelled})
	f.expectAction(r, Terminate)
	if got := totalOwed(acct); got != 7500 {
		t.Errorf("%d owed with a task terminated", got)
	}
	counts := map[string]uint64{}
	acct.ReportMetrics(func(name string, n uint64) { counts[name] = n })
	requests, late := counts[settlement.MetricName(settlement.MetricRequests, "a")], counts[settlement.MetricName(settlement.MetricLate, "a")]
	if requests != 2 || late != 1 {
		t.Errorf("%d tasks, %d late", requests, late)
	}
}

// A creditor's elective tasks go to the far server that the debtor lends, while something is settled.
func TestSettlement_electiveRequestsGoToDebtorsServers(t *testing.T) {
	f, acct := newSettlingFixture(t)
	f.dispatcher.HandleEndpoints(policy.ListDelta, []Server{{Name: "s-2", Endpoint: policy.Endpoint{State: policy.Ready, Zone: 1}}})
	pair := settlement.Pair{Debtor: "c", Creditor: "a"}
	for _, shares := range [][]settlement.Share{nil, {{Pair: pair, PPM: settlement.PartsPerMillion}}, nil} {
		acct.ApplyState(settlement.State{Shares: shares}, time.Hour)
		f.dispatcher.UpdateElective()
		for range 20 {
			r, decision := f.forwardedWithoutCall(0, time.Second)
			if (r.claim.PreferredPartner() == 3) != (shares != nil) || shares != nil && decision.Server.Endpoint.Zone != 1 {
				t.Fatalf("shares %v: prefers %d, pushed to hall %d", shares, r.claim.PreferredPartner(), decision.Server.Endpoint.Zone)
			}
			r.ReportResult(Result{Outcome: policy.Answered, Billed: 2})
		}
	}
}
