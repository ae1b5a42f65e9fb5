package follow

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/cluster/evidence"
	"harrierhoist/internal/standin"
)

func TestWritesAreHeldAsTheyCome(t *testing.T) {
	v := newVoter("v1")
	f, _ := begin(t, quick, v)
	if h := f.Held("plan"); h.Epoch != 0 {
		t.Errorf("holds %+v", h)
	}
	for epoch := uint64(1); epoch < 4; epoch++ {
		changed := f.Changed()
		v.write("plan", epoch, fmt.Sprint(epoch))
		standin.Eventually(t, "the write", func() bool {
			<-changed
			changed = f.Changed()
			return f.Held("plan").Epoch == epoch
		})
	}
	if h := f.Held("plan"); string(h.Value) != "3" || h.Until <= f.Now() {
		t.Errorf("holds %+v at %v", h, f.Now())
	}
	// A table that was never written is held as such, with a lease of its own.
	if h := f.Held("debts"); h.Epoch != 0 || h.Until <= f.Now() {
		t.Errorf("holds %+v at %v", h, f.Now())
	}
}

// A process cut off from all voters: its lease ends in time, it says so once, and once when it is back.
func TestCutOffLeaseEndsInTimeAndIsSaidOnce(t *testing.T) {
	one, two := newVoter("v1"), newVoter("v2")
	one.write("plan", 1, "x")
	two.write("plan", 1, "x")
	f, said := begin(t, quick, one, two)
	standin.Eventually(t, "the plan", func() bool { return f.Held("plan").Epoch == 1 })
	one.cut.Store(true)
	two.cut.Store(true)
	cut := f.Now()
	changed := f.Changed()
	standin.Eventually(t, "the end of the lease", func() bool { return lines(said, "its lease is over") == 1 })
	<-changed
	h := f.Held("plan")
	if h.Epoch != 1 || h.Until > f.Now() || h.Until > cut+quick.Lease {
		t.Errorf("cut off at %v, held %+v", cut, h)
	}
	time.Sleep(quick.Lease) // it is said once, not each time
	one.cut.Store(false)
	standin.Eventually(t, "the lease again", func() bool { return lines(said, "confirmed again") == 1 && f.Held("plan").Until > f.Now() })
	if n := lines(said, "its lease is over"); n != 1 {
		t.Errorf("said %d times", n)
	}
}

// A voter fails: the next takes over within the lease, and what is counted there is a session of its own.
func TestNextVoterTakesOverWithinTheLease(t *testing.T) {
	one, two := newVoter("v1"), newVoter("v2")
	f, said := begin(t, quick, one, two)
	var n atomic.Uint64
	f.Witness(func(add func(string, uint64)) { add("pushes", n.Add(1)) })
	f.WitnessExact(func(add func(string, uint64)) { add("owed", 7); add("owed", 1) })
	standin.Eventually(t, "digests", func() bool { return len(one.told()) > 2 && f.Held(GroupTable).Epoch == 1 })
	one.cut.Store(true)
	standin.Eventually(t, "digests at the other", func() bool { return len(two.told()) > 2 })
	time.Sleep(2 * quick.Lease)
	if lines(said, "lease is over") > 0 || f.Held(GroupTable).Until <= f.Now() {
		t.Error("the lease ended")
	}
	all := append(one.told(), two.told()...)
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
func TestNobodyWaitsForAVoter(t *testing.T) {
	f := New("g1", 3, []Source{asleep{}}, Timing{Lease: time.Hour, DigestEvery: time.Millisecond}, Boot, zap.NewNop())
	f.Witness(func(add func(string, uint64)) { add("pushes", 1) })
	ctx, end := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { f.Run(ctx) })
	began := time.Now()
	for range 100_000 {
		f.Held("plan")
		f.Changed()
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("100,000 looks took %v", took)
	}
	end()
	done.Wait()
}

type asleep struct{}

func (asleep) Name() string { return "asleep" }
func (asleep) Tell(ctx context.Context, _ evidence.Digest) error {
	<-ctx.Done()
	return ctx.Err()
}
func (asleep) Read(ctx context.Context, _ map[string]uint64, _ time.Duration) (Answer, error) {
	<-ctx.Done()
	return Answer{}, ctx.Err()
}

// Voters that lost all disks begin their epochs anew: a plan held from before must not look confirmed by them.
func TestTablesOfAnotherBeginningAreNotTaken(t *testing.T) {
	one, two := newVoter("v1"), newVoter("v2")
	one.write("plan", 5, "old")
	f, said := begin(t, quick, one, two)
	standin.Eventually(t, "the plan", func() bool { return f.Held("plan").Epoch == 5 })
	two.group = []byte("h")
	two.write("plan", 2, "new")
	one.cut.Store(true)
	standin.Eventually(t, "a word on it", func() bool { return lines(said, "began anew") == 1 && lines(said, "its lease is over") == 1 })
	if h := f.Held("plan"); h.Epoch != 5 || h.Until > f.Now() {
		t.Errorf("holds %+v at %v", h, f.Now())
	}
}

// A fleet is spread over the voters.
func TestFleetIsSpreadOverVoters(t *testing.T) {
	first := map[string]int{}
	for i := range 3000 {
		order := Order(fmt.Sprintf("gateway-%d", i), []Source{newVoter("a"), newVoter("b"), newVoter("c")})
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
func TestDigestsGiveWayToSlowVoters(t *testing.T) {
	pace := 1.0
	for range 100 {
		if next := nextPace(pace, true); next < pace || next > paceMost {
			t.Fatalf("%g after %g", next, pace)
		} else {
			pace = next
		}
	}
	n := 0
	for ; pace > 1; n++ {
		pace = nextPace(pace, false)
	}
	if n > 25 || nextPace(1, false) != 1 {
		t.Errorf("%d quick ones until as often as before", n)
	}
}
