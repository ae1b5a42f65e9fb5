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

// testConfig returns the configuration of accounts with a ledger by that ID.
func testConfig(ledgerID string, now func() time.Duration) Config {
	return Config{Terms: testTerms(), Settings: testSettings, LedgerID: ledgerID, Seed: 1, Now: now}
}

func newTestAccounts() *Accounts { return New(testConfig("x", clockAtZero)) }

func newTestContext(t *testing.T) (context.Context, context.CancelFunc) {
	t.Helper()
	return context.WithCancel(t.Context())
}

// debtCounts returns the debts that accounts report.
func debtCounts(a *Accounts) map[string]uint64 {
	counts := map[string]uint64{}
	a.ReportDebts(func(name string, n uint64) { counts[name] = n })
	return counts
}

// debtOfA returns what a is reported to owe b in a ledger.
func debtOfA(a *Accounts, ledgerID string) uint64 {
	return debtCounts(a)[settlement.DebtCountName(ledgerID, settlement.Pair{Debtor: "a", Creditor: "b"})]
}

// True units from the answer, the estimate where none comes and the attempt may have run, nothing
// where it never ran; nothing at servers of its own partner and at those of no partner.
func TestRequestTracker_chargesAttemptByOutcome(t *testing.T) {
	const ownZone, otherZone, nobodysZone = 0, 1, 2
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
		{"answered in nobody's zone", nobodysZone, policy.Answered, 5, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			accounts := newTestAccounts()
			tracker := accounts.TrackRequest(0, policy.Request{Customer: 1, Plan: 1, Units: 2})
			tracker.OnAttemptStart(test.zone)
			if got := debtOfA(accounts, "x"); got != 0 {
				t.Errorf("%d owed before the attempt ended", got)
			}
			tracker.OnAttemptEnd(time.Second, test.outcome, test.billed)
			sum := uint64(0)
			for _, n := range debtCounts(accounts) {
				sum += n
			}
			if got := debtOfA(accounts, "x"); got != test.want || sum != test.want {
				t.Errorf("%d owed, %d in all, want %d", got, sum, test.want)
			}
		})
	}
}

func TestRequestTracker_nilCountsNothing(t *testing.T) {
	var off *Accounts
	off.TrackRequest(0, policy.Request{}).OnAttemptStart(1) // must not panic
	if newTestAccounts().TrackRequest(0, policy.Request{Customer: 9}) != nil {
		t.Error("a request of no partner is tracked")
	}
}

// A request is counted once, as its first attempt went; repeats and clients that disconnected tell
// nothing of how it was served.
func TestRequestTracker_countsServiceOncePerRequest(t *testing.T) {
	accounts := newTestAccounts()
	begin := func(repeat bool) *RequestTracker {
		tracker := accounts.TrackRequest(0, policy.Request{Customer: 1, Units: 2, Repeat: repeat})
		tracker.OnAttemptStart(0)
		return tracker
	}
	begin(false).OnAttemptEnd(500*time.Millisecond, policy.Answered, 3)
	begin(false).OnAttemptEnd(700*time.Millisecond, policy.Answered, 3)

	terminated := begin(false) // its attempt ends later
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
			t.Errorf("metric %d is %d, want %d", metric, n, want)
		}
	}
}

// Of a creditor's idempotent requests that are no repeats, the share prefers the debtor's servers
// while the lease holds.
func TestAccounts_preferDebtorForStatedFraction(t *testing.T) {
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
		t.Errorf("%d of 10,000 prefer, want about 2,000", n)
	}
	owners, maxFraction := accounts.LendingZones()
	if !slices.Equal(owners, []int{1, 0, 0}) || maxFraction != 0.2 {
		t.Errorf("lending zones %v, %v", owners, maxFraction)
	}
	for name, request := range map[string]policy.Request{
		"non-idempotent": {Customer: 9, Plan: 1, Class: 1},
		"repeat":         {Customer: 9, Plan: 1, Repeat: true},
		"debtor's":       {Customer: 1},
	} {
		if n := countPreferring(request); n != 0 {
			t.Errorf("%s: %d prefer", name, n)
		}
	}
	now = time.Second
	if owners, _ := accounts.LendingZones(); countPreferring(idempotent) != 0 || owners != nil {
		t.Error("goes on after the lease's end")
	}
}

// Shares are taken from the table while its lease holds and a controller writes it; what is
// forgiven is logged once.
func TestAccounts_RunFollowsTable(t *testing.T) {
	client := newFakeCoordination()
	accounts := New(testConfig("x", client.Now))
	core, logs := observer.New(zapcore.InfoLevel)
	updates := make(updateSignal, 10)
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
	client.update(func() { client.now = settlement.StaleAfter }) // nobody has written it again
	<-updates
	if owners, _ := accounts.LendingZones(); owners != nil {
		t.Error("follows a table that no controller writes")
	}
	left := settlement.Amount{Pair: settlement.Pair{Debtor: "a", Creditor: "gone"}, Sum: 5}
	state := settlement.State{
		NetDebts: []settlement.Amount{left}, ForgivenessLog: []settlement.Forgiveness{{Amount: left, Number: 1}},
	}
	write(state)
	state.ForgivenessLog = append(state.ForgivenessLog, settlement.Forgiveness{Amount: left, Number: 2})
	write(state)
	fakes.Eventually(t, "log lines", func() bool {
		return logs.FilterMessage("settlement: debt forgiven for its age").Len() == 2 &&
			logs.FilterMessage("settlement: debt with a partner that is not in the file").Len() == 1 &&
			logs.FilterMessage("settlement: stopped").Len() == 1
	})
	stop()
}
