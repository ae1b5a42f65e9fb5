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

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/settlement"
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

var testSettings = Settings{Zones: []string{"ha", "hb", "nobody's"}, Plans: []string{"small", "wide"}, Classes: []policy.TrafficClass{
	{LatencyObjective: 600 * time.Millisecond}, {LatencyObjective: 600 * time.Millisecond, Effect: policy.NonIdempotent},
}}

func clockAtZero() time.Duration { return 0 }

func debtCounts(a *Accounts) map[string]uint64 {
	all := map[string]uint64{}
	a.ReportDebts(func(name string, n uint64) { all[name] = n })
	return all
}

func debtOfA(a *Accounts, ledgerID string) uint64 {
	return debtCounts(a)[settlement.DebtCountName(ledgerID, settlement.Pair{Debtor: "a", Creditor: "b"})]
}

// The design's words on what a task costs, push by push: true units from the answer, what was told where none comes
// and it may have run, nothing where it never ran; nothing at its own partner's servers and at nobody's.
func TestRequestTracker_chargesAttemptByOutcome(t *testing.T) {
	for _, c := range []struct {
		hall   int
		how    policy.Outcome
		billed float64
		want   uint64
	}{
		{1, policy.Answered, 5.25, 5250},
		{1, policy.Answered, 0, 2000},
		{1, policy.Errored, 0, 2000},
		{1, policy.TimedOut, 0, 2000},
		{1, policy.Reset, 0, 2000},
		{1, policy.Cancelled, 0, 2000},
		{1, policy.Rejected, 0, 0},
		{1, policy.ConnectFailed, 0, 0},
		{1, policy.NotSent, 0, 0},
		{0, policy.Answered, 5, 0},
		{2, policy.Answered, 5, 0},
	} {
		a := New(testTerms(), testSettings, "x", 1, clockAtZero)
		tracker := a.TrackRequest(0, policy.Request{Customer: 1, Plan: 1, Units: 2})
		tracker.OnAttemptStart(c.hall)
		if got := debtOfA(a, "x"); got != 0 {
			t.Errorf("%+v: %d owed before it ended", c, got)
		}
		tracker.OnAttemptEnd(time.Second, c.how, c.billed)
		sum := uint64(0)
		for _, n := range debtCounts(a) {
			sum += n
		}
		if got := debtOfA(a, "x"); got != c.want || sum != c.want {
			t.Errorf("%+v: %d owed, %d in all", c, got, sum)
		}
	}
	var none *Accounts
	none.TrackRequest(0, policy.Request{}).OnAttemptStart(1) // off: nothing to do, nothing to fall over
	if New(testTerms(), testSettings, "x", 1, clockAtZero).TrackRequest(0, policy.Request{Customer: 9}) != nil {
		t.Error("a customer of no partner has a claim")
	}
}

// A task is counted once, as its first try went; repeats and clients that left say nothing of how it was served.
func TestRequestTracker_countsServiceOncePerRequest(t *testing.T) {
	a := New(testTerms(), testSettings, "x", 1, clockAtZero)
	request := policy.Request{Customer: 1, Units: 2}
	again := request
	again.Repeat = true
	for i, d := range []time.Duration{500, 700, 0, 0, 100} {
		in := request
		if i == 4 {
			in = again
		}
		t := a.TrackRequest(0, in)
		t.OnAttemptStart(0)
		switch i {
		case 2: // terminated; its push comes back later
			t.OnRequestEnd(false)
			t.OnAttemptEnd(0, policy.Cancelled, 0)
		case 3:
			t.OnRequestEnd(true)
			t.OnAttemptEnd(0, policy.Reset, 0)
		default:
			t.OnAttemptEnd(d*time.Millisecond, policy.Answered, 3)
		}
	}
	a.TrackRequest(0, request).OnRequestEnd(false) // never pushed
	got := map[string]uint64{}
	a.ReportMetrics(func(name string, n uint64) { got[name] = n })
	for metric, want := range map[settlement.Metric]uint64{
		settlement.MetricRequests: 3, settlement.MetricLate: 2, settlement.MetricIdempotentUnits: 8000,
		settlement.MetricIdempotentRequests: 4, settlement.MetricServedUnits: 9000,
	} {
		if n := got[settlement.MetricName(metric, "a")]; n != want {
			t.Errorf("evidence %d is %d, not %d", metric, n, want)
		}
	}
}

// Of a creditor's pure first tries the stated share prefers the debtor's servers, while the lease stands; no others.
func TestAccounts_preferDebtorForStatedFraction(t *testing.T) {
	now := time.Duration(0)
	a := New(testTerms(), testSettings, "x", 1, func() time.Duration { return now })
	pair := settlement.Pair{Debtor: "a", Creditor: "b"}
	a.ApplyState(settlement.State{Shares: []settlement.Share{{Pair: pair, PPM: settlement.PartsPerMillion / 5}}}, time.Second)
	count := func(request policy.Request) (n int) {
		for range 10_000 {
			if a.TrackRequest(0, request).PreferredPartner() == 1 {
				n++
			}
		}
		return n
	}
	pure := policy.Request{Customer: 9, Plan: 1}
	if n := count(pure); math.Abs(float64(n)-2000) > 200 {
		t.Errorf("%d of 10,000, not about 2,000", n)
	}
	owners, maxFraction := a.LendingZones()
	if !slices.Equal(owners, []int{1, 0, 0}) || maxFraction != 0.2 {
		t.Errorf("lends %v, %v", owners, maxFraction)
	}
	for name, request := range map[string]policy.Request{
		"effectful": {Customer: 9, Plan: 1, Class: 1},
		"repeat":    {Customer: 9, Plan: 1, Repeat: true},
		"debtor's":  {Customer: 1},
	} {
		if n := count(request); n != 0 {
			t.Errorf("%s: %d prefer", name, n)
		}
	}
	now = time.Second
	if owners, _ := a.LendingZones(); count(pure) != 0 || owners != nil {
		t.Error("the lease is over, and it goes on")
	}
}

// Shares are taken from the table while its lease stands and a decider writes it; what is forgiven is said once.
func TestAccounts_RunFollowsTable(t *testing.T) {
	f := &fakeCoordination{changed: make(chan struct{})}
	a := New(testTerms(), testSettings, "x", 1, f.Now)
	core, logs := observer.New(zapcore.InfoLevel)
	gate, ended := make(updateSignal, 10), make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { a.Run(ctx, f, gate, nil, zap.New(core)); close(ended) }()
	table := func(state settlement.State) {
		b, _ := state.Encode()
		f.update(func() {
			f.held = coordination.CachedTable{Name: settlement.TableName, Epoch: f.held.Epoch + 1, Value: b, LeaseEnd: time.Hour}
		})
	}
	table(settlement.State{Shares: []settlement.Share{{Pair: settlement.Pair{Debtor: "a", Creditor: "b"}, PPM: 500}}})
	<-gate
	f.update(func() { f.now = settlement.StaleAfter }) // nobody has written it again
	<-gate
	if owners, _ := a.LendingZones(); owners != nil {
		t.Error("goes by a table that no decider keeps")
	}
	left := []settlement.Amount{{Pair: settlement.Pair{Debtor: "a", Creditor: "gone"}, Sum: 5}}
	table(settlement.State{NetDebts: left, ForgivenessLog: []settlement.Forgiveness{{Amount: left[0], Number: 1}}})
	table(settlement.State{NetDebts: left, ForgivenessLog: []settlement.Forgiveness{{Amount: left[0], Number: 1}, {Amount: left[0], Number: 2}}})
	fakes.Eventually(t, "lines of the log", func() bool {
		return logs.FilterMessage("a debt is forgiven for its age").Len() == 2 &&
			logs.FilterMessage("a debt stands with a partner that is not in the file").Len() == 1 &&
			logs.FilterMessage("no debt is being settled").Len() == 1
	})
	cancel()
	<-ended
}

// A process dies with a push out, and the next goes on from its disk: what was counted stands, what was out may have
// run. Then the disk fails: nothing of what it holds is told twice, and what comes after is told in a life of its own.
func TestAccounts_countsSurviveRestartAndStoreFailure(t *testing.T) {
	d := &memoryStore{}
	run := func(do func(*Accounts)) {
		f := &fakeCoordination{changed: make(chan struct{})}
		a := New(testTerms(), testSettings, "fresh", 1, f.Now)
		a.Restore(d)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { a.Run(ctx, f, make(updateSignal, 10), d, zap.NewNop()); close(ended) }()
		fakes.Eventually(t, "the till's counts asked for", f.isRegistered)
		do(a)
		cancel()
		<-ended
	}
	push := func(a *Accounts) *RequestTracker {
		t := a.TrackRequest(0, policy.Request{Customer: 1, Units: 2})
		t.OnAttemptStart(1)
		return t
	}
	d.ledgerID = "first"
	run(func(a *Accounts) {
		push(a).OnAttemptEnd(0, policy.Answered, 7)
		push(a) // out as the process dies
		fakes.Eventually(t, "what was counted, told", func() bool { return debtOfA(a, "first") == 7000 })
	})
	run(func(a *Accounts) {
		fakes.Eventually(t, "what was out, owed", func() bool { return debtOfA(a, "first") == 9000 })
		d.Lock()
		d.isFailing = true
		d.Unlock()
		push(a).OnAttemptEnd(0, policy.Answered, 3)
		fakes.Eventually(t, "a life of its own", func() bool {
			return debtOfA(a, "fresh+") == 3000 && debtOfA(a, "first") == 9000
		})
		push(a).OnAttemptEnd(0, policy.Answered, 1)
		if got := debtOfA(a, "fresh+"); got != 4000 {
			t.Errorf("%d told", got)
		}
	})
}
