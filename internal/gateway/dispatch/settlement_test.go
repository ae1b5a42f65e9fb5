package dispatch

import (
	"testing"
	"time"

	"harrierhoist/internal/control/settlement"
	"harrierhoist/internal/control/settlement/account"
	"harrierhoist/policy"
)

// newSettlementFixture returns a dispatcher with accounts. Partner b owns the first zone and c the
// second; customers of the first plan belong to a. Calls to the counter are answered.
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
		for { // charges are counter calls, too
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

// forwardWithCounterServed admits a request and returns its first attempt. The fixture answers the
// counter calls.
func (f *fixture) forwardWithCounterServed(class int, timeout time.Duration) (*Request, Decision) {
	f.Helper()
	request := f.admit(class, 0, timeout)
	return request, f.expectAction(request, Forward)
}

func totalDebt(accounts *account.Accounts) (sum uint64) {
	accounts.ReportDebts(func(_ string, n uint64) { sum += n })
	return sum
}

// The debt of an attempt is counted when the attempt ends, even if its client has disconnected or
// its request was terminated before.
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

// While shares are in force, elective requests of a creditor go to the servers of the debtor, in
// the other zone.
func TestSettlement_electiveRequestsGoToDebtorsServers(t *testing.T) {
	f, accounts := newSettlementFixture(t)
	server := Server{Name: "s-2", Endpoint: policy.Endpoint{State: policy.Ready, Zone: 1}}
	f.dispatcher.HandleEndpoints(policy.ListDelta, []Server{server})
	pair := settlement.Pair{Debtor: "c", Creditor: "a"}
	for _, shares := range [][]settlement.Share{nil, {{Pair: pair, PPM: settlement.PartsPerMillion}}, nil} {
		accounts.ApplyState(settlement.State{Shares: shares}, time.Hour)
		f.dispatcher.UpdateElectiveServers()
		for range 20 {
			request, decision := f.forwardWithCounterServed(0, time.Second)
			preferred, zone := request.tracker.PreferredPartner(), decision.Server.Endpoint.Zone
			// 3 is the number of partner c, the debtor.
			if (preferred == 3) != (shares != nil) || shares != nil && zone != 1 {
				t.Fatalf("shares %v: prefers %d, forwarded to zone %d", shares, preferred, zone)
			}
			request.ReportResult(Result{Outcome: policy.Answered, ActualUnits: 2})
		}
	}
}
