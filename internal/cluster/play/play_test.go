package play

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// each runs seeds side by side and gives their reports.
func each(seeds int, bug Bug) []Report {
	all := make([]Report, seeds)
	var next atomic.Int64
	var on sync.WaitGroup
	for range 8 {
		on.Go(func() {
			for i := next.Add(1) - 1; i < int64(seeds); i = next.Add(1) - 1 {
				all[i] = Run(uint64(i), bug)
			}
		})
	}
	on.Wait()
	return all
}

func TestNothingAcknowledgedIsLostUnderFaults(t *testing.T) {
	began, seeds, done, events := time.Now(), 300, 0, 0
	for seed, r := range each(seeds, None) {
		if len(r.Problems) > 0 {
			t.Errorf("seed %d: %v", seed, r.Problems)
		}
		done, events = done+r.Done, events+r.Events
	}
	t.Logf("%d schedules, %d calls, %d events, %.0f schedules a minute", seeds, done, events,
		float64(seeds)/time.Since(began).Minutes())
	if done < 40*seeds {
		t.Errorf("%d calls answered in %d schedules: too few to tell", done, seeds)
	}
}
