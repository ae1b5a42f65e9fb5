package voter

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"harrierhoist/internal/cluster/evidence"
)

// One write at a time through three voters with a real disk each, messages in memory.
func BenchmarkCommit(b *testing.B) {
	h := newHouse(b, 3)
	h.open(folders(b, 3))
	lead := h.leader()
	took := make([]time.Duration, 0, b.N)
	b.ResetTimer()
	for i := range b.N {
		began := time.Now()
		if _, err := lead.Propose(context.Background(), write(uint64(i+1), uint64(i), "a decision")); err != nil {
			b.Fatal(err)
		}
		took = append(took, time.Since(began))
	}
	b.StopTimer()
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
}

// A digest of 60 counts from each of so many processes, as a voter takes them five times a second.
func BenchmarkTake(b *testing.B) {
	for _, processes := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint(processes), func(b *testing.B) {
			h := newHouse(b, 1)
			h.open(folders(b, 1))
			v := h.leader()
			var names []string
			for i := range 60 {
				names = append(names, fmt.Sprint("count ", i))
			}
			all := make([]evidence.Digest, processes)
			for i := range all {
				all[i] = evidence.Digest{Process: fmt.Sprint("g", i), Incarnation: 1, Counts: map[string]uint64{}}
			}
			b.ResetTimer()
			for i := range b.N {
				for k := range all {
					all[k].Serial = uint64(i + 1)
					for _, name := range names {
						all[k].Counts[name] = uint64(i)
					}
				}
				v.Take(all)
			}
		})
	}
}

// Reads that come all at once and wait for nothing, at one of three voters.
func BenchmarkReads(b *testing.B) {
	h := newHouse(b, 3)
	h.open(folders(b, 3))
	h.write(write(1, 0, "a"))
	for _, n := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v := h.leader()
			for range b.N {
				done := make(chan error, n)
				for range n {
					go func() {
						_, err := v.Read(context.Background(), nil, 0)
						done <- err
					}()
				}
				for range n {
					if err := <-done; err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}
