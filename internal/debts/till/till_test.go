package till

import (
	"context"
	"math"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"harrierhoist/internal/cluster"
	"harrierhoist/internal/debts"
	"harrierhoist/internal/standin"
	"harrierhoist/policy"
)

func terms() debts.Terms {
	t := debts.Default()
	t.On = true
	t.Partners = []debts.Partner{{Name: "a", Halls: []string{"ha"}, Customers: []string{"0000000000000001"}},
		{Name: "b", Halls: []string{"hb"}, Plans: []string{"wide"}}}
	return t
}

var site = Site{Halls: []string{"ha", "hb", "nobody's"}, Plans: []string{"small", "wide"}, Lanes: []policy.Lane{
	{SoftLimit: 600 * time.Millisecond}, {SoftLimit: 600 * time.Millisecond, Effect: policy.Effectful}}}

func still() time.Duration { return 0 }

func exact(l *Till) map[string]uint64 {
	all := map[string]uint64{}
	l.ExactCounts(func(name string, n uint64) { all[name] = n })
	return all
}

func owes(l *Till, life string) uint64 {
	return exact(l)[debts.Name(life, debts.Pair{Debtor: "a", Creditor: "b"})]
}

// The design's words on what a task costs, push by push: true units from the answer, what was told where none comes
// and it may have run, nothing where it never ran; nothing at its own partner's servers and at nobody's.
func TestWhatAPushOwes(t *testing.T) {
	for _, c := range []struct {
		hall   int
		how    policy.Outcome
		billed float64
		want   uint64
	}{
		{1, policy.Answered, 5.25, 5250}, {1, policy.Answered, 0, 2000},
		{1, policy.Errored, 0, 2000}, {1, policy.TimedOut, 0, 2000},
		{1, policy.Reset, 0, 2000}, {1, policy.Cancelled, 0, 2000}, {1, policy.Full, 0, 0}, {1, policy.NoConnect, 0, 0},
		{1, policy.Moot, 0, 0}, {0, policy.Answered, 5, 0}, {2, policy.Answered, 5, 0},
	} {
		l := New(terms(), site, "x", 1, still)
		claim := l.Enter(0, policy.Task{Customer: 1, Plan: 1, Units: 2})
		claim.Sent(c.hall)
		if got := owes(l, "x"); got != 0 {
			t.Errorf("%+v: %d owed before it ended", c, got)
		}
		claim.Back(time.Second, c.how, c.billed)
		sum := uint64(0)
		for _, n := range exact(l) {
			sum += n
		}
		if got := owes(l, "x"); got != c.want || sum != c.want {
			t.Errorf("%+v: %d owed, %d in all", c, got, sum)
		}
	}
	var none *Till
	none.Enter(0, policy.Task{}).Sent(1) // off: nothing to do, nothing to fall over
	if New(terms(), site, "x", 1, still).Enter(0, policy.Task{Customer: 9}) != nil {
		t.Error("a customer of no partner has a claim")
	}
}

// A task is counted once, as its first try went; repeats and clients that left say nothing of how it was served.
func TestEvidenceOfService(t *testing.T) {
	l := New(terms(), site, "x", 1, still)
	task := policy.Task{Customer: 1, Units: 2}
	again := task
	again.Repeat = true
	for i, d := range []time.Duration{500, 700, 0, 0, 100} {
		in := task
		if i == 4 {
			in = again
		}
		c := l.Enter(0, in)
		c.Sent(0)
		switch i {
		case 2: // terminated; its push comes back later
			c.Ended(false)
			c.Back(0, policy.Cancelled, 0)
		case 3:
			c.Ended(true)
			c.Back(0, policy.Reset, 0)
		default:
			c.Back(d*time.Millisecond, policy.Answered, 3)
		}
	}
	l.Enter(0, task).Ended(false) // never pushed
	got := map[string]uint64{}
	l.Counts(func(name string, n uint64) { got[name] = n })
	for what, want := range map[debts.What]uint64{debts.Tasks: 3, debts.Late: 2, debts.Pure: 8000,
		debts.Pures: 4, debts.Served: 9000} {
		if n := got[debts.Count(what, "a")]; n != want {
			t.Errorf("evidence %d is %d, not %d", what, n, want)
		}
	}
}

// Of a creditor's pure first tries the stated share prefers the debtor's servers, while the lease stands; no others.
func TestElectiveTasksAreAShare(t *testing.T) {
	now := time.Duration(0)
	l := New(terms(), site, "x", 1, func() time.Duration { return now })
	pair := debts.Pair{Debtor: "a", Creditor: "b"}
	l.Take(debts.Value{Shares: []debts.Share{{Pair: pair, Part: debts.Whole / 5}}}, time.Second)
	count := func(task policy.Task) (n int) {
		for range 10_000 {
			if l.Enter(0, task).Prefer() == 1 {
				n++
			}
		}
		return n
	}
	pure := policy.Task{Customer: 9, Plan: 1}
	if n := count(pure); math.Abs(float64(n)-2000) > 200 {
		t.Errorf("%d of 10,000, not about 2,000", n)
	}
	owners, lent := l.Lends()
	if !slices.Equal(owners, []int{1, 0, 0}) || lent != 0.2 {
		t.Errorf("lends %v, %v", owners, lent)
	}
	for name, task := range map[string]policy.Task{"effectful": {Customer: 9, Plan: 1, Lane: 1},
		"repeat":   {Customer: 9, Plan: 1, Repeat: true},
		"debtor's": {Customer: 1}} {
		if n := count(task); n != 0 {
			t.Errorf("%s: %d prefer", name, n)
		}
	}
	now = time.Second
	if owners, _ := l.Lends(); count(pure) != 0 || owners != nil {
		t.Error("the lease is over, and it goes on")
	}
}

// Shares are taken from the table while its lease stands and a decider writes it; what is forgiven is said once.
func TestRunGoesByTheTable(t *testing.T) {
	f := &fake{changed: make(chan struct{})}
	l := New(terms(), site, "x", 1, f.Now)
	core, logs := observer.New(zapcore.InfoLevel)
	gate, ended := make(settler, 10), make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { l.Run(ctx, f, gate, nil, zap.New(core)); close(ended) }()
	table := func(v debts.Value) {
		b, _ := v.Encode()
		f.set(func() { f.held = cluster.Held{Table: debts.Table, Epoch: f.held.Epoch + 1, Value: b, Until: time.Hour} })
	}
	table(debts.Value{Shares: []debts.Share{{Pair: debts.Pair{Debtor: "a", Creditor: "b"}, Part: 500}}})
	<-gate
	f.set(func() { f.now = debts.StaleAfter }) // nobody has written it again
	<-gate
	if owners, _ := l.Lends(); owners != nil {
		t.Error("goes by a table that no decider keeps")
	}
	left := []debts.Amount{{Pair: debts.Pair{Debtor: "a", Creditor: "gone"}, Sum: 5}}
	table(debts.Value{Nets: left, Said: []debts.Entry{{Amount: left[0], Number: 1}}})
	table(debts.Value{Nets: left, Said: []debts.Entry{{Amount: left[0], Number: 1}, {Amount: left[0], Number: 2}}})
	standin.Eventually(t, "lines of the log", func() bool {
		return logs.FilterMessage("a debt is forgiven for its age").Len() == 2 &&
			logs.FilterMessage("a debt stands with a partner that is not in the file").Len() == 1 &&
			logs.FilterMessage("no debt is being settled").Len() == 1
	})
	cancel()
	<-ended
}

// A process dies with a push out, and the next goes on from its disk: what was counted stands, what was out may have
// run. Then the disk fails: nothing of what it holds is told twice, and what comes after is told in a life of its own.
func TestCountsOutliveTheProcess(t *testing.T) {
	d := &disk{}
	run := func(do func(*Till)) {
		f := &fake{changed: make(chan struct{})}
		l := New(terms(), site, "fresh", 1, f.Now)
		l.Load(d)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { l.Run(ctx, f, make(settler, 10), d, zap.NewNop()); close(ended) }()
		standin.Eventually(t, "the till's counts asked for", f.asked)
		do(l)
		cancel()
		<-ended
	}
	push := func(l *Till) *Claim {
		c := l.Enter(0, policy.Task{Customer: 1, Units: 2})
		c.Sent(1)
		return c
	}
	d.life = "first"
	run(func(l *Till) {
		push(l).Back(0, policy.Answered, 7)
		push(l) // out as the process dies
		standin.Eventually(t, "what was counted, told", func() bool { return owes(l, "first") == 7000 })
	})
	run(func(l *Till) {
		standin.Eventually(t, "what was out, owed", func() bool { return owes(l, "first") == 9000 })
		d.Lock()
		d.fails = true
		d.Unlock()
		push(l).Back(0, policy.Answered, 3)
		standin.Eventually(t, "a life of its own", func() bool {
			return owes(l, "fresh+") == 3000 && owes(l, "first") == 9000
		})
		push(l).Back(0, policy.Answered, 1)
		if got := owes(l, "fresh+"); got != 4000 {
			t.Errorf("%d told", got)
		}
	})
}
