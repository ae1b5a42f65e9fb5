package account

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"harrierhoist/internal/control/settlement"
	"harrierhoist/internal/testing/golden"
	"harrierhoist/policy"
)

// goldenDraws is the SHA-256 of the partners that 10,000 requests prefer, as computed at commit
// 8c168ca.
const goldenDraws = "ac62757cf5b2d1e11dd49c47e18a06be7bd8aea9c59805901c0d214c8eee9fb0"

// The draws that select requests to settle a debt depend only on the seed.
func TestGolden_electiveDraws(t *testing.T) {
	terms := testTerms()
	terms.Partners = append(terms.Partners, settlement.Partner{Name: "c", Zones: []string{"nobody's"}})
	accounts := New(Config{Terms: terms, Settings: testSettings, LedgerID: "x", Seed: 42, Now: clockAtZero})
	accounts.ApplyState(settlement.State{Shares: []settlement.Share{
		{Pair: settlement.Pair{Debtor: "a", Creditor: "b"}, PPM: settlement.PartsPerMillion / 5},
		{Pair: settlement.Pair{Debtor: "c", Creditor: "b"}, PPM: settlement.PartsPerMillion / 10},
		{Pair: settlement.Pair{Debtor: "b", Creditor: "a"}, PPM: settlement.PartsPerMillion / 2},
	}}, time.Second)
	digest := golden.NewDigest()
	drawCounts := map[int]int{}
	for i := range 10_000 {
		request := policy.Request{Customer: 9, Plan: 1, Class: i % 7 / 6, Repeat: i%11 == 0}
		if i%3 == 0 {
			request.Customer = 1
		}
		preferred := accounts.TrackRequest(0, request).PreferredPartner()
		drawCounts[preferred]++
		digest.Println(preferred)
	}
	if got := digest.String(); got != goldenDraws {
		t.Errorf("hash of the draws (requests by partner: %v): got %s, want %s", drawCounts, got, goldenDraws)
	}
}

// goldenMetrics and goldenDebts are the counters that a gateway reports in its digests after
// goldenAttempts.
var (
	goldenMetrics = []string{
		"debts\x1fasked\x1fa=2",
		"debts\x1fasked\x1fb=0",
		"debts\x1flate\x1fa=2",
		"debts\x1flate\x1fb=1",
		"debts\x1fpure\x1fa=4000",
		"debts\x1fpure\x1fb=6000",
		"debts\x1fpures\x1fa=2",
		"debts\x1fpures\x1fb=2",
		"debts\x1fserved\x1fa=3000",
		"debts\x1fserved\x1fb=6250",
		"debts\x1fslow\x1fa=2",
		"debts\x1fslow\x1fb=2",
		"debts\x1ftasks\x1fa=3",
		"debts\x1ftasks\x1fb=2",
		"debts\x1fwent\x1fa=1",
		"debts\x1fwent\x1fb=0",
	}
	goldenDebts = []string{"owe\x1f1k2j3\x1fa\x1fb=7250", "owe\x1f1k2j3\x1fb\x1fa=3000"}
)

var goldenAttempts = []struct {
	request policy.Request
	zone    int
	outcome policy.Outcome
	elapsed time.Duration
	billed  float64
}{
	{policy.Request{Customer: 1, Units: 2}, 1, policy.Answered, 100 * time.Millisecond, 5.25},
	{policy.Request{Customer: 1, Units: 2, Class: 1}, 1, policy.TimedOut, time.Second, 0},
	{policy.Request{Customer: 1, Units: 2}, 1, policy.Rejected, 0, 0},
	{policy.Request{Customer: 9, Plan: 1, Units: 3}, 0, policy.Answered, 400 * time.Millisecond, 0},
	{policy.Request{Customer: 9, Plan: 1, Units: 3}, 1, policy.Answered, 700 * time.Millisecond, 1},
}

func TestGolden_reportedCounts(t *testing.T) {
	accounts := New(testConfig("1k2j3", clockAtZero))
	pair := settlement.Pair{Debtor: "a", Creditor: "b"}
	shares := []settlement.Share{{Pair: pair, PPM: settlement.PartsPerMillion}}
	accounts.ApplyState(settlement.State{Shares: shares}, time.Second)
	for _, attempt := range goldenAttempts {
		tracker := accounts.TrackRequest(0, attempt.request)
		tracker.OnAttemptStart(attempt.zone)
		tracker.OnAttemptEnd(attempt.elapsed, attempt.outcome, attempt.billed)
		tracker.OnRequestEnd(false)
	}
	for name, test := range map[string]struct {
		report func(add func(string, uint64))
		want   []string
	}{
		"metrics": {accounts.ReportMetrics, goldenMetrics},
		"debts":   {accounts.ReportDebts, goldenDebts},
	} {
		counts := map[string]uint64{}
		test.report(func(name string, n uint64) { counts[name] = n })
		var lines []string
		for _, name := range slices.Sorted(maps.Keys(counts)) {
			lines = append(lines, fmt.Sprintf("%s=%d", name, counts[name]))
		}
		if !slices.Equal(lines, test.want) {
			t.Errorf("%s: got %q, want %q", name, lines, test.want)
		}
	}
}
