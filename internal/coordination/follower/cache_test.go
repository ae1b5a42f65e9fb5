package follower

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/statemachine"
)

// A cached value that may be used until a time was the table's value at some moment no longer than
// a lease before that time, and epochs never go back, even where results come late, twice or in
// another order.
func TestTableCache_valueIsNeverOlderThanItsLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t)
		var reads []drawnRead
		cache := newTableCache()
		highest := uint64(0)
		for range rapid.IntRange(1, 20).Draw(t, "reads") {
			read, ok := drawRead(t, history, cache.knownEpochs()["plan"])
			if !ok {
				continue // no voter confirms that it has less than was read before
			}
			reads = append(reads, read)
			for range rapid.IntRange(0, 2).Draw(t, "arrivals") {
				arrived := rapid.SampledFrom(reads).Draw(t, "which")
				cache.merge(arrived.tables, arrived.sent, drawnLease)
				cached := cache.get("plan")
				if cached.Epoch < highest {
					t.Fatalf("epoch %d after %d", cached.Epoch, highest)
				}
				highest = cached.Epoch
				history.checkCached(t, cached)
			}
		}
	})
}

// drawnLease is the lease of the drawn reads.
const drawnLease = 2 * time.Second

// drawnRead is the result of a read, and when the read was sent.
type drawnRead struct {
	tables map[string]statemachine.Table
	sent   time.Duration
}

// drawRead draws a read by a process that has the known epoch, and false where the voters are
// behind that.
func drawRead(t *rapid.T, h history, known uint64) (drawnRead, bool) {
	sent := time.Duration(rapid.IntRange(0, 20_000).Draw(t, "sent")) * time.Millisecond
	confirmed := sent + time.Duration(rapid.IntRange(0, 500).Draw(t, "delay"))*time.Millisecond
	read := drawnRead{sent: sent, tables: map[string]statemachine.Table{}}
	epoch := h.epochAt(confirmed)
	if epoch > known {
		read.tables["plan"] = statemachine.Table{Epoch: epoch, Value: fmt.Append(nil, epoch)}
	}
	return read, epoch >= known
}

// checkCached checks that a cached value was the table's at some moment from the lease's beginning
// on.
func (h history) checkCached(t *rapid.T, cached coordination.CachedTable) {
	t.Helper()
	if cached.Epoch > 0 && string(cached.Value) != fmt.Sprint(cached.Epoch) {
		t.Fatalf("epoch %d has the value of %s", cached.Epoch, cached.Value)
	}
	from := cached.LeaseEnd - drawnLease
	if cached.LeaseEnd > 0 && h.epochAt(from) > cached.Epoch {
		t.Fatalf("epoch %d cached until %v, and at %v it was %d", cached.Epoch, cached.LeaseEnd, from, h.epochAt(from))
	}
}

// history is when a table of the voters came to each epoch.
type history []time.Duration

func drawHistory(t *rapid.T) (h history) {
	at := time.Duration(0)
	for range rapid.IntRange(0, 8).Draw(t, "writes") {
		at += time.Duration(rapid.IntRange(1, 3000).Draw(t, "pause")) * time.Millisecond
		h = append(h, at)
	}
	return h
}

func (h history) epochAt(when time.Duration) (epoch uint64) {
	for _, written := range h {
		if written <= when {
			epoch++
		}
	}
	return epoch
}

// slowSource takes 700 ms of the test's clock to answer.
type slowSource struct {
	silentSource
	now *time.Duration
}

func (s slowSource) Read(context.Context, map[string]uint64, time.Duration) (ReadResult, error) {
	*s.now += 700 * time.Millisecond
	return ReadResult{Tables: map[string]statemachine.Table{"plan": {Epoch: 1}}, GroupID: []byte("g")}, nil
}

// A result that was long on its way tells what was, not what is: the lease counts from when the
// read was sent.
func TestFollower_leaseCountsFromTheSendingOfTheRead(t *testing.T) {
	now := 10 * time.Second
	f := New("g1", 1, nil, Timing{}, func() time.Duration { return now }, zap.NewNop())
	if err := f.reader.readOnce(t.Context(), slowSource{now: &now}, 0, 2*time.Second); err != nil {
		t.Fatal(err)
	}
	cached := f.Cached("plan")
	if cached.Epoch != 1 || cached.LeaseEnd != 12*time.Second || now != 10700*time.Millisecond {
		t.Errorf("cached %+v at %v", cached, now)
	}
}

// A read that was sent earlier and arrives later does not shorten the lease.
func TestTableCache_leaseNeverGoesBack(t *testing.T) {
	cache := newTableCache()
	cache.merge(map[string]statemachine.Table{"plan": {Epoch: 1}}, 3*time.Second, drawnLease)
	cache.merge(nil, 2*time.Second, drawnLease)
	if got := cache.get("plan").LeaseEnd; got != 5*time.Second {
		t.Errorf("the lease ends at %v, want 5 s", got)
	}
}
