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

// countingSource is a voter whose calls are counted.
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

func (s countingSource) Read(
	ctx context.Context, known map[string]uint64, wait time.Duration,
) (follower.ReadResult, error) {
	s.reads.Add(1)
	found, group, err := s.client.Read(ctx, s.address, known, wait)
	return follower.ReadResult{Tables: found, GroupID: group}, err
}

// resourcesUsed is what a process has used so far: CPU time, and bytes that it read and wrote, on
// sockets and disk alike.
func (c *voterCluster) resourcesUsed(name string) (cpu time.Duration, in, out int64) {
	pid := c.processes[name].Process.Pid
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, path := range threads { // a thread that ended is missed; few do
		stat, _ := os.ReadFile(path)
		var ran int64
		_, _ = fmt.Sscan(string(stat), &ran)
		cpu += time.Duration(ran)
	}
	stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	_, _ = fmt.Sscanf(string(stat), "rchar: %d\nwchar: %d", &in, &out)
	return cpu, in, out
}

// TestFollowerLoad measures what followers cost the voters; BURDEN says how many, separated by
// commas. Its table is in docs/cluster.md.
func TestFollowerLoad(t *testing.T) {
	sizes := os.Getenv("BURDEN")
	if sizes == "" {
		t.Skip("a measurement: BURDEN=30,300,3000")
	}
	for size := range strings.SplitSeq(sizes, ",") {
		n, err := strconv.Atoi(size)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(size, func(t *testing.T) { measureFollowers(t, n) })
	}
}

const (
	followerStartSpan = 6 * time.Second // in which the followers start
	measuredWrites    = 10              // one a second
)

// followerFleet is followers within the test's process, of voters in processes of their own.
type followerFleet struct {
	*voterCluster
	followers []*follower.Follower
	calls     map[string]*callCounts // by voter
}

type callCounts struct{ digests, reads atomic.Int64 }

// startFollowers starts followers one after the other, until the context ends; running waits for
// them.
func (f *followerFleet) startFollowers(ctx context.Context, n int, running *sync.WaitGroup) {
	for i := range n {
		process, client := fmt.Sprintf("g%d", i), transport.NewClient(transport.Network{}, 2)
		var voters []follower.Source
		for _, name := range []string{"v1", "v2", "v3"} {
			voters = append(voters,
				countingSource{name, f.addresses[name], client, &f.calls[name].digests, &f.calls[name].reads})
		}
		one := follower.New(process, 1, follower.PreferenceOrder(process, voters),
			follower.Timing{Lease: 2 * time.Second, DigestInterval: 200 * time.Millisecond}, follower.SystemUptime,
			zap.NewNop())
		var count atomic.Uint64
		one.RegisterCounters(func(add func(string, uint64)) { // as many as a gateway with attempts in six zones has
			for zone := range 6 {
				for outcome := range 8 {
					name := observation.JoinName("push", "hall-a", fmt.Sprint("hall-", zone),
						fmt.Sprint("outcome-", outcome))
					add(name, count.Add(1))
				}
			}
		})
		f.followers = append(f.followers, one)
		running.Go(func() { one.Run(ctx); client.Close() })
		time.Sleep(followerStartSpan / time.Duration(n))
	}
}

// following is how many followers have the plan of an epoch or a later one, under a lease.
func (f *followerFleet) following(epoch uint64) (n int) {
	for _, one := range f.followers {
		if plan := one.Cached(planTable); plan.Epoch >= epoch && plan.LeaseEnd > one.Now() {
			n++
		}
	}
	return n
}

// voterLoad is what a voter has used and been called so far.
type voterLoad struct {
	cpu            time.Duration
	in, out        int64
	digests, reads int64
}

func (f *followerFleet) loads() map[string]voterLoad {
	loads := map[string]voterLoad{}
	for name := range f.addresses {
		cpu, in, out := f.resourcesUsed(name)
		loads[name] = voterLoad{cpu, in, out, f.calls[name].digests.Load(), f.calls[name].reads.Load()}
	}
	return loads
}

// writeDelays writes plans, and returns sorted how long each took from the write's answer until
// half, and all, of the followers had it; and how many leases had expired a second after each.
func (f *followerFleet) writeDelays() (half, all []time.Duration, expired int) {
	n := len(f.followers)
	for epoch := uint64(1); epoch <= measuredWrites; epoch++ {
		f.writePlan(epoch, strings.Repeat("p", 4096))
		written := time.Now()
		for have, isHalf := 0, false; have < n && time.Since(written) < 5*time.Second; {
			if have = f.following(epoch + 1); have*2 >= n && !isHalf {
				half, isHalf = append(half, time.Since(written)), true
			}
			time.Sleep(time.Millisecond)
		}
		all = append(all, time.Since(written))
		time.Sleep(time.Until(written.Add(time.Second)))
		expired += n - f.following(1)
	}
	slices.Sort(half)
	slices.Sort(all)
	return half, all, expired
}

func measureFollowers(t *testing.T, n int) {
	t.Helper()
	fleet := &followerFleet{voterCluster: newVoterCluster(t, "v1", "v2", "v3"), calls: map[string]*callCounts{}}
	fleet.voters = "connections = 8192\n" + fleet.voters // ends [process]
	fleet.start("v1", "v2", "v3")
	fleet.writePlan(0, "0")
	for name := range fleet.addresses {
		fleet.calls[name] = &callCounts{}
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	fleet.startFollowers(ctx, n, &running)
	fakes.Eventually(t, "all follow", func() bool { return fleet.following(1) == n })
	time.Sleep(2 * time.Second)
	leader := fleet.leader()
	before, begun := fleet.loads(), time.Now()
	half, all, expired := fleet.writeDelays()
	took, after := time.Since(begun).Seconds(), fleet.loads()
	for _, name := range []string{"v1", "v2", "v3"} {
		was, is := before[name], after[name]
		t.Logf("%d followers: %s (leads: %v): %.0f digests/s, %.0f reads/s, "+
			"%.0f kB/s in, %.0f kB/s out, %.1f%% of a core", n, name,
			name == leader, float64(is.digests-was.digests)/took, float64(is.reads-was.reads)/took,
			float64(is.in-was.in)/took/1e3,
			float64(is.out-was.out)/took/1e3, 100*(is.cpu-was.cpu).Seconds()/took)
	}
	t.Logf("%d followers: from a write's answer to half of them %v, to all %v (medians of %d); "+
		"at the most %v; leases expired: %d",
		n, half[len(half)/2], all[measuredWrites/2], measuredWrites, all[measuredWrites-1], expired)
	if expired > 0 || len(half) < measuredWrites {
		t.Error("the fleet is too much for its voters")
	}
}
