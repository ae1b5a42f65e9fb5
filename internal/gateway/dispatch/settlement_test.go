package dispatch

import (
	"testing"
	"time"

	"harrierhoist/internal/control/settlement"
	"harrierhoist/internal/control/settlement/account"
	"harrierhoist/policy"
)

// newSettlingFixture has a dispatcher that accounts for settlement: its zone is b's, the other c's,
// and customers of the first plan are a's.
func newSettlementFixture(t *testing.T) (*fixture, *account.Accounts) {
	t.Helper()
	f := newFixture(t)
	terms := settlement.DefaultTerms()
	terms.On = true
	terms.Partners = []settlement.Partner{
		{Name: "a", Plans: []string{"wide"}},
		{Name: "b", Zones: []string{"hb"}},
		{Name: "c", Zones: []string{"hc"}},
	}
	settings := account.Settings{
		Zones: []string{"hb", "hc"}, Plans: []string{"wide", "small"},
		Classes: []policy.TrafficClass{
			{LatencyObjective: time.Second},
			{LatencyObjective: time.Second, Effect: policy.NonIdempotent},
		},
	}
	accounts := account.New(account.Config{
		Terms: terms, Settings: settings, LedgerID: "x", Seed: 1, Now: func() time.Duration { return 0 },
	})
	f.dispatcher.SetAccounts(accounts)
	go func() {
		for { // charges are calls too
			select {
			case call := <-f.counterCalls:
				call.reply(0, policy.Answered)
			case <-t.Context().Done():
				return
			}
		}
	}()
	return f, accounts
}

// forwardedWithoutCall brings a request as far as its first attempt; its call to the counter is
// replied to elsewhere.
func (f *fixture) forwardWithCounterServed(class int, timeout time.Duration) (*Request, Decision) {
	f.Helper()
	request := f.admit(class, 0, timeout)
	return request, f.expectAction(request, Forward)
}

func totalDebt(accounts *account.Accounts) (sum uint64) {
	accounts.ReportDebts(func(_ string, n uint64) { sum += n })
	return sum
}

// What an attempt owes is counted as it ends, also where its client has disconnected by then or its
// request was terminated.
func TestSettlement_attemptsCountAsDebtWhenTheyEnd(t *testing.T) {
	f, accounts := newSettlementFixture(t)
	request, _ := f.forwardWithCounterServed(0, time.Second)
	request.ReportResult(Result{Outcome: policy.Answered, ActualUnits: 3.5})
	if got := totalDebt(accounts); got != 3500 {
		t.Errorf("debt of %d", got)
	}
	request, _ = f.forwardWithCounterServed(0, time.Second)
	request.Disconnect()
	request.ReportResult(Result{Outcome: policy.Reset})
	if got := totalDebt(accounts); got != 5500 {
		t.Errorf("debt of %d with a client that disconnected", got)
	}
	request, forward := f.forwardWithCounterServed(1, 100*time.Millisecond)
	<-forward.Context.Done()
	request.ReportResult(Result{Outcome: policy.Cancelled})
	f.expectAction(request, Terminate)
	if got := totalDebt(accounts); got != 7500 {
		t.Errorf("debt of %d with a request terminated", got)
	}
	counts := map[string]uint64{}
	accounts.ReportMetrics(func(name string, n uint64) { counts[name] = n })
	requests := counts[settlement.MetricName(settlement.MetricRequests, "a")]
	late := counts[settlement.MetricName(settlement.MetricLate, "a")]
	if requests != 2 || late != 1 {
		t.Errorf("%d requests, %d late", requests, late)
	}
}

// A creditor's elective requests go to the far server that the debtor lends, while something is
// settled.
func TestSettlement_electiveRequestsGoToDebtorsServers(t *testing.T) {
	f, accounts := newSettlementFixture(t)
	server := Server{Name: "s-2", Endpoint: policy.Endpoint{State: policy.Ready, Zone: 1}}
	f.dispatcher.HandleEndpoints(policy.ListDelta, []Server{server})
	pair := settlement.Pair{Debtor: "c", Creditor: "a"}
	for _, shares := range [][]settlement.Share{nil, {{Pair: pair, PPM: settlement.PartsPerMillion}}, nil} {
		accounts.ApplyState(settlement.State{Shares: shares}, time.Hour)
		f.dispatcher.UpdateElective()
		for range 20 {
			request, decision := f.forwardWithCounterServed(0, time.Second)
			preferred, zone := request.tracker.PreferredPartner(), decision.Server.Endpoint.Zone
			if (preferred == 3) != (shares != nil) || shares != nil && zone != 1 {
				t.Fatalf("shares %v: prefers %d, forwarded to zone %d", shares, preferred, zone)
			}
			request.ReportResult(Result{Outcome: policy.Answered, ActualUnits: 2})
		}
	}
}
