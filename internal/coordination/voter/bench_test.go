package voter

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"harrierhoist/internal/coordination/observation"
)

// One write at a time through three voters with a real disk each, messages in memory.
func BenchmarkVoter_Commit(b *testing.B) {
	group := newTestCluster(b, 3)
	group.startAll(tempFolders(b, 3))
	leader := group.waitForLeader()
	took := make([]time.Duration, 0, b.N)
	b.ResetTimer()
	for i := range b.N {
		began := time.Now()
		if _, err := leader.Propose(b.Context(), writeCommand(uint64(i+1), uint64(i), "a decision")); err != nil {
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
func BenchmarkVoter_Take(b *testing.B) {
	for _, processes := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint(processes), func(b *testing.B) {
			group := newTestCluster(b, 1)
			group.startAll(tempFolders(b, 1))
			leader := group.waitForLeader()
			var names []string
			for i := range 60 {
				names = append(names, fmt.Sprint("count ", i))
			}
			all := make([]observation.Digest, processes)
			for i := range all {
				all[i] = observation.Digest{Process: fmt.Sprint("g", i), Incarnation: 1, Counts: map[string]uint64{}}
			}
			b.ResetTimer()
			for i := range b.N {
				for k := range all {
					all[k].Serial = uint64(i + 1)
					for _, name := range names {
						all[k].Counts[name] = uint64(i)
					}
				}
				leader.AddDigests(all)
			}
		})
	}
}

// Reads that come all at once and wait for nothing, at one of three voters.
func BenchmarkVoter_Reads(b *testing.B) {
	group := newTestCluster(b, 3)
	group.startAll(tempFolders(b, 3))
	group.mustWrite(writeCommand(1, 0, "a"))
	for _, n := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			leader := group.waitForLeader()
			for range b.N {
				done := make(chan error, n)
				for range n {
					go func() {
						_, err := leader.Read(b.Context(), nil, 0)
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
