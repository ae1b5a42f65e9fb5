package follower

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"harrierhoist/internal/coordination/statemachine"
)

// What a process may act on until a time was the table's value at some moment no longer than a lease before that time,
// and epochs never go back: whatever comes late, twice or in another order.
func TestTableCache_valueIsNeverOlderThanItsLease(t *testing.T) {
	const lease = 2 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		// The voters' history: at which second the table came to each epoch.
		var written []time.Duration
		at := time.Duration(0)
		for range rapid.IntRange(0, 8).Draw(t, "writes") {
			at += time.Duration(rapid.IntRange(1, 3000).Draw(t, "pause")) * time.Millisecond
			written = append(written, at)
		}
		epochAt := func(when time.Duration) (epoch uint64) {
			for _, w := range written {
				if w <= when {
					epoch++
				}
			}
			return epoch
		}
		type read struct {
			known  map[string]uint64
			answer map[string]statemachine.Table
			sent   time.Duration
		}
		c := newTableCache()
		var reads []read
		highest := uint64(0)
		for range rapid.IntRange(1, 20).Draw(t, "reads") {
			sent := time.Duration(rapid.IntRange(0, 20_000).Draw(t, "sent")) * time.Millisecond
			seen := sent + time.Duration(rapid.IntRange(0, 500).Draw(t, "way"))*time.Millisecond // confirmed then
			r := read{known: c.knownEpochs(), sent: sent, answer: map[string]statemachine.Table{}}
			if e := epochAt(seen); e > r.known["plan"] {
				r.answer["plan"] = statemachine.Table{Epoch: e, Value: fmt.Append(nil, e)}
			} else if e < r.known["plan"] {
				continue // no voter confirms that it has less than was read before
			}
			reads = append(reads, r)
			for range rapid.IntRange(0, 2).Draw(t, "arrivals") {
				r := rapid.SampledFrom(reads).Draw(t, "which")
				c.merge(r.answer, r.sent+lease)
				held := c.get("plan")
				if held.Epoch < highest {
					t.Fatalf("epoch %d after %d", held.Epoch, highest)
				}
				highest = held.Epoch
				if held.Epoch > 0 && string(held.Value) != fmt.Sprint(held.Epoch) {
					t.Fatalf("epoch %d has the value of %s", held.Epoch, held.Value)
				}
				// It was the value at some moment from the lease's beginning on.
				if held.LeaseEnd > 0 && epochAt(held.LeaseEnd-lease) > held.Epoch {
					t.Fatalf("epoch %d held until %v, and at %v it was %d", held.Epoch, held.LeaseEnd, held.LeaseEnd-lease, epochAt(held.LeaseEnd-lease))
				}
			}
		}
	})
}

// slowSource takes its time to answer.
type slowSource struct {
	silentSource
	now *time.Duration
}

func (s slowSource) Read(context.Context, map[string]uint64, time.Duration) (ReadResult, error) {
	*s.now += 700 * time.Millisecond
	return ReadResult{Tables: map[string]statemachine.Table{"plan": {Epoch: 1}}, GroupID: []byte("g")}, nil
}

// An answer that was long on its way tells what was, not what is: the lease counts from when the read was sent.
func TestFollower_leaseCountsFromTheSendingOfTheRead(t *testing.T) {
	now := 10 * time.Second
	f := New("g1", 1, nil, Timing{}, func() time.Duration { return now }, zap.NewNop())
	if err := f.readOnce(t.Context(), slowSource{now: &now}, 0, 2*time.Second); err != nil {
		t.Fatal(err)
	}
	if held := f.Cached("plan"); held.Epoch != 1 || held.LeaseEnd != 12*time.Second || now != 10700*time.Millisecond {
		t.Errorf("held %+v at %v", held, now)
	}
}
