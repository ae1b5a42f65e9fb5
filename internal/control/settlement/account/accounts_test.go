package account

import (
	"context"
	"math"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"harrierhoist/internal/control/settlement"
	"harrierhoist/internal/coordination"
	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

func testTerms() settlement.Terms {
	terms := settlement.DefaultTerms()
	terms.On = true
	terms.Partners = []settlement.Partner{
		{Name: "a", Zones: []string{"ha"}, Customers: []string{"0000000000000001"}},
		{Name: "b", Zones: []string{"hb"}, Plans: []string{"wide"}},
	}
	return terms
}

var testSettings = Settings{
	Zones: []string{"ha", "hb", "nobody's"},
	Plans: []string{"small", "wide"},
	Classes: []policy.TrafficClass{
		{LatencyObjective: 600 * time.Millisecond},
		{LatencyObjective: 600 * time.Millisecond, Effect: policy.NonIdempotent},
	},
}

func clockAtZero() time.Duration { return 0 }

// testConfig returns a configuration with the given ledger ID and clock.
func testConfig(ledgerID string, now func() time.Duration) Config {
	return Config{Terms: testTerms(), Settings: testSettings, LedgerID: ledgerID, Seed: 1, Now: now}
}

func newTestAccounts() *Accounts { return New(testConfig("x", clockAtZero)) }

func newTestContext(t *testing.T) (context.Context, context.CancelFunc) {
	t.Helper()
	return context.WithCancel(t.Context())
}

// reportedDebts returns the debts that accounts report, by counter name.
func reportedDebts(a *Accounts) map[string]uint64 {
	counts := map[string]uint64{}
	a.ReportDebts(func(name string, n uint64) { counts[name] = n })
	return counts
}

// reportedDebtOfA returns the reported debt of partner a to partner b in a ledger.
func reportedDebtOfA(a *Accounts, ledgerID string) uint64 {
	return reportedDebts(a)[settlement.DebtCountName(ledgerID, settlement.Pair{Debtor: "a", Creditor: "b"})]
}

// An answered attempt owes the units of the answer. One that may have run without an answer owes
// the estimate, and one that never ran owes nothing. Attempts on servers of the request's own
// partner, or of no partner, owe nothing.
func TestRequestTracker_chargesAttemptByOutcome(t *testing.T) {
	const ownZone, otherZone, unownedZone = 0, 1, 2
	for _, test := range []struct {
		name    string
		zone    int
		outcome policy.Outcome
		billed  float64
		want    uint64
	}{
		{"answered with its units", otherZone, policy.Answered, 5.25, 5250},
		{"answered without units", otherZone, policy.Answered, 0, 2000},
		{"error", otherZone, policy.Errored, 0, 2000},
		{"timeout", otherZone, policy.TimedOut, 0, 2000},
		{"reset", otherZone, policy.Reset, 0, 2000},
		{"cancelled", otherZone, policy.Cancelled, 0, 2000},
		{"rejected", otherZone, policy.Rejected, 0, 0},
		{"connect failed", otherZone, policy.ConnectFailed, 0, 0},
		{"not sent", otherZone, policy.NotSent, 0, 0},
		{"answered in its own zone", ownZone, policy.Answered, 5, 0},
		{"answered in a zone without an owner", unownedZone, policy.Answered, 5, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			accounts := newTestAccounts()
			tracker := accounts.TrackRequest(0, policy.Request{Customer: 1, Plan: 1, Units: 2})
			tracker.OnAttemptStart(test.zone)
			if got := reportedDebtOfA(accounts, "x"); got != 0 {
				t.Errorf("debt before the attempt ended: got %d, want 0", got)
			}
			tracker.OnAttemptEnd(time.Second, test.outcome, test.billed)
			sum := uint64(0)
			for _, n := range reportedDebts(accounts) {
				sum += n
			}
			if got := reportedDebtOfA(accounts, "x"); got != test.want || sum != test.want {
				t.Errorf("debt of a to b: got %d; sum of all debts: got %d; want %d for both", got, sum, test.want)
			}
		})
	}
}

func TestRequestTracker_nilCountsNothing(t *testing.T) {
	var nilAccounts *Accounts
	nilAccounts.TrackRequest(0, policy.Request{}).OnAttemptStart(1) // must not panic
	if newTestAccounts().TrackRequest(0, policy.Request{Customer: 9}) != nil {
		t.Error("got a tracker for a request of no partner, want nil")
	}
}

// The latency of a request is counted once. Repeats, requests whose client disconnected, and
// requests without an attempt are not counted.
func TestRequestTracker_countsServiceOncePerRequest(t *testing.T) {
	accounts := newTestAccounts()
	begin := func(repeat bool) *RequestTracker {
		tracker := accounts.TrackRequest(0, policy.Request{Customer: 1, Units: 2, Repeat: repeat})
		tracker.OnAttemptStart(0)
		return tracker
	}
	begin(false).OnAttemptEnd(500*time.Millisecond, policy.Answered, 3)
	begin(false).OnAttemptEnd(700*time.Millisecond, policy.Answered, 3)

	terminated := begin(false) // the attempt ends after the request
	terminated.OnRequestEnd(false)
	terminated.OnAttemptEnd(0, policy.Cancelled, 0)

	disconnected := begin(false)
	disconnected.OnRequestEnd(true)
	disconnected.OnAttemptEnd(0, policy.Reset, 0)

	begin(true).OnAttemptEnd(100*time.Millisecond, policy.Answered, 3)
	accounts.TrackRequest(0, policy.Request{Customer: 1, Units: 2}).OnRequestEnd(false) // never attempted

	got := map[string]uint64{}
	accounts.ReportMetrics(func(name string, n uint64) { got[name] = n })
	for metric, want := range map[settlement.Metric]uint64{
		settlement.MetricRequests: 3, settlement.MetricLate: 2, settlement.MetricIdempotentUnits: 8000,
		settlement.MetricIdempotentRequests: 4, settlement.MetricServedUnits: 9000,
	} {
		if n := got[settlement.MetricName(metric, "a")]; n != want {
			t.Errorf("metric %d: got %d, want %d", metric, n, want)
		}
	}
}

// The share's fraction of a creditor's idempotent requests prefers the debtor's servers until the
// lease expires. Repeats, non-idempotent requests and the debtor's own requests never do.
func TestAccounts_preferDebtorForShareOfRequests(t *testing.T) {
	now := time.Duration(0)
	accounts := New(testConfig("x", func() time.Duration { return now }))
	pair := settlement.Pair{Debtor: "a", Creditor: "b"}
	shares := []settlement.Share{{Pair: pair, PPM: settlement.PartsPerMillion / 5}}
	accounts.ApplyState(settlement.State{Shares: shares}, time.Second)
	countPreferring := func(request policy.Request) (n int) {
		for range 10_000 {
			if accounts.TrackRequest(0, request).PreferredPartner() == 1 {
				n++
			}
		}
		return n
	}
	idempotent := policy.Request{Customer: 9, Plan: 1}
	if n := countPreferring(idempotent); math.Abs(float64(n)-2000) > 200 {
		t.Errorf("%d of 10,000 requests prefer the debtor, want about 2,000", n)
	}
	owners, maxFraction := accounts.LendingZones()
	if !slices.Equal(owners, []int{1, 0, 0}) || maxFraction != 0.2 {
		t.Errorf("LendingZones: got %v, %v, want [1 0 0], 0.2", owners, maxFraction)
	}
	for name, request := range map[string]policy.Request{
		"non-idempotent": {Customer: 9, Plan: 1, Class: 1},
		"repeat":         {Customer: 9, Plan: 1, Repeat: true},
		"debtor's":       {Customer: 1},
	} {
		if n := countPreferring(request); n != 0 {
			t.Errorf("%s: %d requests prefer the debtor, want 0", name, n)
		}
	}
	now = time.Second
	if owners, _ := accounts.LendingZones(); countPreferring(idempotent) != 0 || owners != nil {
		t.Error("shares are still in use after the lease expired")
	}
}

// The table's shares are used until no controller has written the table for settlement.StaleAfter.
// Each forgiven debt and each debt with an unknown partner is logged once.
func TestAccounts_RunFollowsTable(t *testing.T) {
	client := newFakeCoordination()
	accounts := New(testConfig("x", client.Now))
	core, logs := observer.New(zapcore.InfoLevel)
	updates := make(updateNotifications, 10)
	stop := runAccounts(t, accounts, client, updates, zap.New(core))
	write := func(state settlement.State) {
		t.Helper()
		value, err := state.Encode()
		if err != nil {
			t.Fatal(err)
		}
		client.update(func() {
			client.table = coordination.CachedTable{
				Name: settlement.TableName, Epoch: client.table.Epoch + 1, Value: value, LeaseEnd: time.Hour,
			}
		})
	}
	pair := settlement.Pair{Debtor: "a", Creditor: "b"}
	write(settlement.State{Shares: []settlement.Share{{Pair: pair, PPM: 500}}})
	<-updates
	client.update(func() { client.now = settlement.StaleAfter }) // without another write
	<-updates
	if owners, _ := accounts.LendingZones(); owners != nil {
		t.Error("the shares of a stale table are still in use")
	}
	departedDebt := settlement.Amount{Pair: settlement.Pair{Debtor: "a", Creditor: "gone"}, Sum: 5}
	state := settlement.State{
		NetDebts:       []settlement.Amount{departedDebt},
		ForgivenessLog: []settlement.Forgiveness{{Amount: departedDebt, Number: 1}},
	}
	write(state)
	state.ForgivenessLog = append(state.ForgivenessLog, settlement.Forgiveness{Amount: departedDebt, Number: 2})
	write(state)
	fakes.Eventually(t, "log lines", func() bool {
		return logs.FilterMessage("settlement: debt forgiven for its age").Len() == 2 &&
			logs.FilterMessage("settlement: debt with a partner that is not in the file").Len() == 1 &&
			logs.FilterMessage("settlement: stopped").Len() == 1
	})
	stop()
}
