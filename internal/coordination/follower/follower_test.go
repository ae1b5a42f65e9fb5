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

func TestFollower_cachesWritesAsTheyCome(t *testing.T) {
	v := newFakeSource("v1")
	f, _ := startFollower(t, quickTiming, v)
	if held := f.Cached("plan"); held.Epoch != 0 {
		t.Errorf("holds %+v", held)
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
	if held := f.Cached("plan"); string(held.Value) != "3" || held.LeaseEnd <= f.Now() {
		t.Errorf("holds %+v at %v", held, f.Now())
	}
	// A table that was never written is held as such, with a lease of its own.
	if held := f.Cached("debts"); held.Epoch != 0 || held.LeaseEnd <= f.Now() {
		t.Errorf("holds %+v at %v", held, f.Now())
	}
}

// A process cut off from all voters: its lease ends in time, it says so once, and once when it is back.
func TestFollower_isolatedLeaseExpiresInTimeAndIsLoggedOnce(t *testing.T) {
	one, two := newFakeSource("v1"), newFakeSource("v2")
	one.set("plan", 1, "x")
	two.set("plan", 1, "x")
	f, logs := startFollower(t, quickTiming, one, two)
	fakes.Eventually(t, "the plan", func() bool { return f.Cached("plan").Epoch == 1 })
	one.isolated.Store(true)
	two.isolated.Store(true)
	cut := f.Now()
	changed := f.Changed()
	fakes.Eventually(t, "the end of the lease", func() bool { return countLines(logs, "its lease is over") == 1 })
	<-changed
	held := f.Cached("plan")
	if held.Epoch != 1 || held.LeaseEnd > f.Now() || held.LeaseEnd > cut+quickTiming.Lease {
		t.Errorf("cut off at %v, held %+v", cut, held)
	}
	time.Sleep(quickTiming.Lease) // it is said once, not each time
	one.isolated.Store(false)
	fakes.Eventually(t, "the lease again", func() bool { return countLines(logs, "confirmed again") == 1 && f.Cached("plan").LeaseEnd > f.Now() })
	if n := countLines(logs, "its lease is over"); n != 1 {
		t.Errorf("said %d times", n)
	}
}

// A voter fails: the next takes over within the lease, and what is counted there is a session of its own.
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
	if countLines(logs, "lease is over") > 0 || f.Cached(GroupTable).LeaseEnd <= f.Now() {
		t.Error("the lease ended")
	}
	all := append(one.received(), two.received()...)
	for i, d := range all[1:] {
		was := all[i]
		if d.Serial <= was.Serial || d.Counts["pushes"] <= was.Counts["pushes"] || d.Exact["owed"] != 8 ||
			d.Process != "g1" || d.Incarnation != 3 || d.Session < was.Session {
			t.Errorf("%+v after %+v", d, was)
		}
	}
	if last := all[len(all)-1]; last.Session == all[0].Session {
		t.Error("it turned to another voter in the same session")
	}
}

// A voter that sleeps answers nothing, and does not hang up either. Whoever asks what is held does not wait for it.
func TestFollower_lookupsNeverWaitForAVoter(t *testing.T) {
	f := New("g1", 3, []Source{silentSource{}}, Timing{Lease: time.Hour, DigestInterval: time.Millisecond}, SystemUptime, zap.NewNop())
	f.RegisterCounters(func(add func(string, uint64)) { add("pushes", 1) })
	ctx, end := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { f.Run(ctx) })
	began := time.Now()
	for range 100_000 {
		f.Cached("plan")
		f.Changed()
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("100,000 looks took %v", took)
	}
	end()
	done.Wait()
}

type silentSource struct{}

func (silentSource) Name() string { return "asleep" }
func (silentSource) SendDigest(ctx context.Context, _ observation.Digest) error {
	<-ctx.Done()
	return ctx.Err()
}
func (silentSource) Read(ctx context.Context, _ map[string]uint64, _ time.Duration) (ReadResult, error) {
	<-ctx.Done()
	return ReadResult{}, ctx.Err()
}

// Voters that lost all disks begin their epochs anew: a plan held from before must not look confirmed by them.
func TestFollower_tablesOfAnotherGroupAreRejected(t *testing.T) {
	one, two := newFakeSource("v1"), newFakeSource("v2")
	one.set("plan", 5, "old")
	f, logs := startFollower(t, quickTiming, one, two)
	fakes.Eventually(t, "the plan", func() bool { return f.Cached("plan").Epoch == 5 })
	two.groupID = []byte("h")
	two.set("plan", 2, "new")
	one.isolated.Store(true)
	fakes.Eventually(t, "a word on it", func() bool { return countLines(logs, "began anew") == 1 && countLines(logs, "its lease is over") == 1 })
	if held := f.Cached("plan"); held.Epoch != 5 || held.LeaseEnd > f.Now() {
		t.Errorf("holds %+v at %v", held, f.Now())
	}
}

// A fleet is spread over the voters.
func TestPreferenceOrder_spreadsProcessesOverVoters(t *testing.T) {
	first := map[string]int{}
	for i := range 3000 {
		order := PreferenceOrder(fmt.Sprintf("gateway-%d", i), []Source{newFakeSource("a"), newFakeSource("b"), newFakeSource("c")})
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

// Voters that are slow get fewer digests, and as many as before soon after they are quick again.
func TestNextSlowdown_backsOffFromSlowVotersAndRecovers(t *testing.T) {
	slowdown := 1.0
	for range 100 {
		if next := nextSlowdown(slowdown, true); next < slowdown || next > maxSlowdown {
			t.Fatalf("%g after %g", next, slowdown)
		} else {
			slowdown = next
		}
	}
	n := 0
	for ; slowdown > 1; n++ {
		slowdown = nextSlowdown(slowdown, false)
	}
	if n > 25 || nextSlowdown(1, false) != 1 {
		t.Errorf("%d quick ones until as often as before", n)
	}
}
