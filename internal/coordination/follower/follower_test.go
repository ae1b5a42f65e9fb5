package follower

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/testing/fakes"
)

// A write at the voter reaches the cache, with a lease.
func TestFollower_cachesWritesAsTheyCome(t *testing.T) {
	v := newFakeSource("v1")
	f, _ := startFollower(t, quickTiming, v)
	if cached := f.Cached("plan"); cached.Epoch != 0 {
		t.Errorf("cached %+v", cached)
	}
	for epoch := uint64(1); epoch < 4; epoch++ {
		changed := f.Changed()
		v.set("plan", epoch, fmt.Sprint(epoch))
		fakes.Eventually(t, "the write", func() bool {
			<-changed
			changed = f.Changed()
			return f.Cached("plan").Epoch == epoch
		})
	}
	if cached := f.Cached("plan"); string(cached.Value) != "3" || cached.LeaseEnd <= f.Now() {
		t.Errorf("cached %+v at %v", cached, f.Now())
	}
	// That a table was never written is confirmed by a lease too.
	if cached := f.Cached("debts"); cached.Epoch != 0 || cached.LeaseEnd <= f.Now() {
		t.Errorf("cached %+v at %v", cached, f.Now())
	}
}

// A process isolated from all voters: its lease expires in time, which is logged once, and once
// when it is renewed.
func TestFollower_isolatedLeaseExpiresInTimeAndIsLoggedOnce(t *testing.T) {
	one, two := newFakeSource("v1"), newFakeSource("v2")
	one.set("plan", 1, "x")
	two.set("plan", 1, "x")
	f, logs := startFollower(t, quickTiming, one, two)
	fakes.Eventually(t, "the plan", func() bool { return f.Cached("plan").Epoch == 1 })
	one.isolated.Store(true)
	two.isolated.Store(true)
	isolatedAt := f.Now()
	changed := f.Changed()
	fakes.Eventually(t, "the end of the lease", func() bool { return countLines(logs, "lease expired") == 1 })
	<-changed
	cached := f.Cached("plan")
	if cached.Epoch != 1 || cached.LeaseEnd > f.Now() || cached.LeaseEnd > isolatedAt+quickTiming.Lease {
		t.Errorf("isolated at %v, cached %+v", isolatedAt, cached)
	}
	time.Sleep(quickTiming.Lease) // it is logged once, not at each look
	one.isolated.Store(false)
	fakes.Eventually(t, "the lease again", func() bool {
		return countLines(logs, "lease renewed") == 1 && f.Cached("plan").LeaseEnd > f.Now()
	})
	if n := countLines(logs, "lease expired"); n != 1 {
		t.Errorf("logged %d times", n)
	}
}

// A voter fails: the next takes over within the lease, and what is counted there is a session of
// its own.
func TestFollower_nextVoterTakesOverWithinTheLease(t *testing.T) {
	one, two := newFakeSource("v1"), newFakeSource("v2")
	f, logs := startFollower(t, quickTiming, one, two)
	var n atomic.Uint64
	f.RegisterCounters(func(add func(string, uint64)) { add("pushes", n.Add(1)) })
	f.RegisterExactCounters(func(add func(string, uint64)) { add("owed", 7); add("owed", 1) })
	fakes.Eventually(t, "digests", func() bool { return len(one.received()) > 2 && f.Cached(GroupTable).Epoch == 1 })
	one.isolated.Store(true)
	fakes.Eventually(t, "digests at the other", func() bool { return len(two.received()) > 2 })
	time.Sleep(2 * quickTiming.Lease)
	if countLines(logs, "lease expired") > 0 || f.Cached(GroupTable).LeaseEnd <= f.Now() {
		t.Error("the lease expired")
	}
	all := append(one.received(), two.received()...)
	for i, digest := range all[1:] {
		previous := all[i]
		isLater := digest.Serial > previous.Serial && digest.Session >= previous.Session
		isCounted := digest.Counts["pushes"] > previous.Counts["pushes"] && digest.Exact["owed"] == 8
		isOwn := digest.Process == "g1" && digest.Incarnation == 3
		if !isLater || !isCounted || !isOwn {
			t.Errorf("%+v after %+v", digest, previous)
		}
	}
	if last := all[len(all)-1]; last.Session == all[0].Session {
		t.Error("the session is the same at another voter")
	}
}

// A silent voter answers nothing, and does not close its connection either. Lookups do not wait for
// it.
func TestFollower_lookupsNeverWaitForAVoter(t *testing.T) {
	timing := Timing{Lease: time.Hour, DigestInterval: time.Millisecond}
	f := New("g1", 3, []Source{silentSource{}}, timing, SystemUptime, zap.NewNop())
	f.RegisterCounters(func(add func(string, uint64)) { add("pushes", 1) })
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { f.Run(ctx) })
	began := time.Now()
	for range 100_000 {
		f.Cached("plan")
		f.Changed()
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("100,000 lookups took %v", took)
	}
	cancel()
	running.Wait()
}

// silentSource is a voter that never answers.
type silentSource struct{}

func (silentSource) Name() string { return "silent" }

func (silentSource) SendDigest(ctx context.Context, _ observation.Digest) error {
	<-ctx.Done()
	return ctx.Err()
}

func (silentSource) Read(ctx context.Context, _ map[string]uint64, _ time.Duration) (ReadResult, error) {
	<-ctx.Done()
	return ReadResult{}, ctx.Err()
}

// Voters that lost all disks start their epochs from 0: they must not confirm a plan that was
// cached before.
func TestFollower_tablesOfAnotherGroupAreRejected(t *testing.T) {
	one, two := newFakeSource("v1"), newFakeSource("v2")
	one.set("plan", 5, "old")
	f, logs := startFollower(t, quickTiming, one, two)
	fakes.Eventually(t, "the plan", func() bool { return f.Cached("plan").Epoch == 5 })
	two.groupID = []byte("h")
	two.set("plan", 2, "new")
	one.isolated.Store(true)
	fakes.Eventually(t, "both log lines", func() bool {
		return countLines(logs, "started anew") == 1 && countLines(logs, "lease expired") == 1
	})
	if cached := f.Cached("plan"); cached.Epoch != 5 || cached.LeaseEnd > f.Now() {
		t.Errorf("cached %+v at %v", cached, f.Now())
	}
}

// Processes are spread over the voters.
func TestPreferenceOrder_spreadsProcessesOverVoters(t *testing.T) {
	first := map[string]int{}
	for i := range 3000 {
		voters := []Source{newFakeSource("a"), newFakeSource("b"), newFakeSource("c")}
		order := PreferenceOrder(fmt.Sprintf("gateway-%d", i), voters)
		first[order[0].Name()]++
		if len(order) != 3 || order[0].Name() == order[1].Name() || order[1].Name() == order[2].Name() {
			t.Fatalf("order %v", order)
		}
	}
	for name, n := range first {
		if n < 900 || n > 1100 {
			t.Errorf("%s is first for %d of 3000", name, n)
		}
	}
}

// Slow voters get fewer digests, and as many as before soon after they are quick again.
func TestNextSlowdown_backsOffFromSlowVotersAndRecovers(t *testing.T) {
	slowdown := 1.0
	for range 100 {
		next := nextSlowdown(slowdown, true)
		if next < slowdown || next > maxSlowdown {
			t.Fatalf("%g after %g", next, slowdown)
		}
		slowdown = next
	}
	n := 0
	for ; slowdown > 1; n++ {
		slowdown = nextSlowdown(slowdown, false)
	}
	if n > 25 || nextSlowdown(1, false) != 1 {
		t.Errorf("%d quick ones until as often as before", n)
	}
}
