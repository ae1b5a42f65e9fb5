package follower

import (
	"testing"
	"time"

	"harrierhoist/internal/coordination/statemachine"
	"harrierhoist/internal/testing/fakes"
)

// A lease that is shortened holds from then on: for what was read before, and for reads that were
// sent before and arrive later. A lease that is lengthened holds for reads sent from then on.
func TestTableCache_leaseIsShortenedAndLengthened(t *testing.T) {
	const long, short = 20 * time.Second, 2 * time.Second
	cache := newTableCache()
	want := func(step string, end time.Duration) {
		t.Helper()
		if got := cache.get("plan").LeaseEnd; got != end {
			t.Errorf("%s: the lease ends at %v, want %v", step, got, end)
		}
	}
	cache.merge(map[string]statemachine.Table{"plan": {Epoch: 1}}, 0, long)
	cache.merge(nil, 5*time.Second, long)
	want("read under the long lease", 25*time.Second)
	changed := cache.nextChange()
	cache.limitLease(short)
	want("shortened", 7*time.Second)
	select {
	case <-changed:
	default:
		t.Error("nobody was woken as the lease was shortened")
	}
	cache.merge(nil, 6*time.Second, long)
	want("a read sent before it was shortened", 8*time.Second)
	cache.limitLease(long)
	want("lengthened", 8*time.Second)
	cache.merge(nil, 7*time.Second, short)
	want("a read sent before it was lengthened", 9*time.Second)
	cache.merge(nil, 8*time.Second, long)
	want("a read sent after it was lengthened", 28*time.Second)
}

// Guards against a process that acts by a replaced table after its lease: the lease was shortened by
// a reload, and the process was cut off later. The waiting read, which was sent for the longer lease,
// is made again at once, so that the lease does not end in between.
func TestFollower_shorterLeaseHoldsAtOnce(t *testing.T) {
	longTiming := Timing{Lease: 20 * time.Second, DigestInterval: quickTiming.DigestInterval}
	source := newFakeSource("v1")
	source.set("plan", 1, "x")
	f, logs := startFollower(t, longTiming, source)
	fakes.Eventually(t, "the plan", func() bool { return f.Cached("plan").Epoch == 1 })
	time.Sleep(2 * quickTiming.Lease) // the waiting read was sent before
	f.Reconfigure([]Source{source}, quickTiming)
	fakes.Eventually(t, "a read under the shorter lease", func() bool { return f.Cached("plan").LeaseEnd > f.Now() })
	time.Sleep(2 * quickTiming.Lease)
	if n := countLines(logs, "lease expired"); n > 1 || f.Cached("plan").LeaseEnd <= f.Now() {
		t.Errorf("the lease expired %d times, and ends at %v, now %v", n, f.Cached("plan").LeaseEnd, f.Now())
	}
	expired := countLines(logs, "lease expired")
	isolatedAt := f.Now()
	source.isolated.Store(true)
	if end := f.Cached("plan").LeaseEnd; end > isolatedAt+quickTiming.Lease {
		t.Errorf("the lease ends %v after the isolation, want %v at most", end-isolatedAt, quickTiming.Lease)
	}
	fakes.Eventually(t, "the end of the lease", func() bool { return countLines(logs, "lease expired") > expired })
	if passed := f.Now() - isolatedAt; passed > longTiming.Lease/2 {
		t.Errorf("logged %v after the isolation", passed)
	}
}
