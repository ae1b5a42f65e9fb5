package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/coordination/follower"
	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/transport"
	"harrierhoist/internal/testing/fakes"
)

// countingSource is a voter at the end of a link whose calls are counted.
type countingSource struct {
	name, address  string
	client         *transport.Client
	digests, reads *atomic.Int64
}

func (s countingSource) Name() string { return s.name }

func (s countingSource) SendDigest(ctx context.Context, d observation.Digest) error {
	s.digests.Add(1)
	return s.client.Digests(ctx, s.address, []observation.Digest{d})
}

func (s countingSource) Read(ctx context.Context, known map[string]uint64, wait time.Duration) (follower.ReadResult, error) {
	s.reads.Add(1)
	found, group, err := s.client.Read(ctx, s.address, known, wait)
	return follower.ReadResult{Tables: found, GroupID: group}, err
}

// resourcesUsed is what a process has used so far: CPU, and bytes that it read and wrote, on sockets and disk alike.
func (c *voterCluster) resourcesUsed(name string) (cpu time.Duration, in, out int64) {
	pid := c.processes[name].Process.Pid
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, path := range threads { // a thread that ended is missed; few do
		stat, _ := os.ReadFile(path)
		var ran int64
		_, _ = fmt.Sscan(string(stat), &ran)
		cpu += time.Duration(ran)
	}
	io, _ := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	_, _ = fmt.Sscanf(string(io), "rchar: %d\nwchar: %d", &in, &out)
	return cpu, in, out
}

// Measures what followers cost the voters; BURDEN says how many, by commas. Its table is in docs/cluster.md.
func TestFollowerLoad(t *testing.T) {
	sizes := os.Getenv("BURDEN")
	if sizes == "" {
		t.Skip("a measurement: BURDEN=30,300,3000")
	}
	for size := range strings.SplitSeq(sizes, ",") {
		n, _ := strconv.Atoi(size)
		t.Run(size, func(t *testing.T) { measureBurden(t, n) })
	}
}

// followerStartSpan is how long the followers take to start.
const followerStartSpan = 6 * time.Second

func measureBurden(t *testing.T, n int) {
	c := newVoterCluster(t, "v1", "v2", "v3")
	c.voters = "connections = 8192\n" + c.voters // ends [process]
	c.start("v1", "v2", "v3")
	c.writeTable("plan", 0, "0")
	calls := map[string]*[2]atomic.Int64{}
	for name := range c.addresses {
		calls[name] = &[2]atomic.Int64{}
	}
	ctx, end := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer end()
	var all []*follower.Follower
	for i := range n {
		process, client := fmt.Sprintf("g%d", i), transport.NewClient(transport.Network{}, 2)
		var voters []follower.Source
		for _, name := range []string{"v1", "v2", "v3"} {
			voters = append(voters, countingSource{name, c.addresses[name], client, &calls[name][0], &calls[name][1]})
		}
		f := follower.New(process, 1, follower.PreferenceOrder(process, voters),
			follower.Timing{Lease: 2 * time.Second, DigestInterval: 200 * time.Millisecond}, follower.SystemUptime, zap.NewNop())
		var count atomic.Uint64
		f.RegisterCounters(func(add func(string, uint64)) { // as many as a gateway that pushes to six halls has
			for hall := range 6 {
				for of := range 8 {
					add(observation.JoinName("push", "hall-a", fmt.Sprint("hall-", hall), fmt.Sprint("outcome-", of)), count.Add(1))
				}
			}
		})
		all = append(all, f)
		running.Go(func() { f.Run(ctx); client.Close() })
		time.Sleep(followerStartSpan / time.Duration(n))
	}
	holds := func(epoch uint64) int {
		held := 0
		for _, f := range all {
			if h := f.Cached("plan"); h.Epoch >= epoch && h.LeaseEnd > f.Now() {
				held++
			}
		}
		return held
	}
	fakes.Eventually(t, "all follow", func() bool { return holds(1) == n })
	time.Sleep(2 * time.Second)
	leader := c.leader()
	type sample struct {
		cpu            time.Duration
		in, out        int64
		digests, reads int64
	}
	look := func() map[string]sample {
		at := map[string]sample{}
		for name := range c.addresses {
			cpu, in, out := c.resourcesUsed(name)
			at[name] = sample{cpu, in, out, calls[name][0].Load(), calls[name][1].Load()}
		}
		return at
	}
	before, began := look(), time.Now()
	const writes = 10
	var half, last []time.Duration // from the write's answer until half, and all, of the followers hold it
	lapsed := 0
	for epoch := uint64(1); epoch <= writes; epoch++ {
		c.writeTable("plan", epoch, strings.Repeat("p", 4096))
		wrote, next := time.Now(), time.Now().Add(time.Second)
		for held, halfway := 0, false; held < n && time.Since(wrote) < 5*time.Second; {
			if held = holds(epoch + 1); held*2 >= n && !halfway {
				half, halfway = append(half, time.Since(wrote)), true
			}
			time.Sleep(time.Millisecond)
		}
		last = append(last, time.Since(wrote))
		time.Sleep(time.Until(next))
		lapsed += n - holds(1)
	}
	took := time.Since(began).Seconds()
	after := look()
	slices.Sort(half)
	slices.Sort(last)
	for _, name := range []string{"v1", "v2", "v3"} {
		a, b := before[name], after[name]
		t.Logf("%d followers: %s (leads: %v): %.0f digests/s, %.0f reads/s, %.0f kB/s in, %.0f kB/s out, %.1f%% of a core", n, name,
			name == leader, float64(b.digests-a.digests)/took, float64(b.reads-a.reads)/took, float64(b.in-a.in)/took/1e3,
			float64(b.out-a.out)/took/1e3, 100*(b.cpu-a.cpu).Seconds()/took)
	}
	t.Logf("%d followers: from a write's answer to half of them %v, to all %v (medians of %d); at the most %v; leases over: %d",
		n, half[writes/2], last[writes/2], writes, last[writes-1], lapsed)
	if lapsed > 0 || len(half) < writes {
		t.Error("the fleet is too much for its voters")
	}
}
