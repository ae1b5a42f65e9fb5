package voter

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
	"harrierhoist/internal/coordination/wal"
	"harrierhoist/internal/testing/fakes"
)

// All voters are killed at once and started again: what was acknowledged stands, and is not written twice.
func TestVoter_allKilledAtOnceKeepAcknowledgedWrites(t *testing.T) {
	tc, f := newTestCluster(t, 3), tempFolders(t, 3)
	tc.startAll(f)
	if r := tc.mustWrite(writeCommand(1, 0, "a")); !r.Applied || r.Epoch != 1 {
		t.Fatalf("%+v", r)
	}
	for id := range uint64(3) {
		tc.stop(id + 1)
	}
	tc.startAll(f)
	if r := tc.mustWrite(writeCommand(1, 0, "a")); !r.Applied || r.Epoch != 1 {
		t.Errorf("written again: %+v", r)
	}
	for id := range uint64(3) {
		got, err := tc.voters[id+1].Read(shortContext(t), nil, 0)
		if err != nil || string(got["plan"].Value) != "a" || got["plan"].Epoch != 1 {
			t.Errorf("voter %d: %v, %v", id+1, got, err)
		}
	}
}

// A leader cut off from the others confirms no read and writes nothing; the others go on without it.
func TestVoter_isolatedLeaderAnswersNoRead(t *testing.T) {
	tc := newTestCluster(t, 3)
	tc.startAll(tempFolders(t, 3))
	tc.mustWrite(writeCommand(1, 0, "a"))
	old := tc.waitForLeader()
	tc.mu.Lock()
	tc.isolated[old.Status().Number] = true
	tc.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if got, err := old.Read(ctx, nil, 0); !errors.Is(err, coordination.ErrNoQuorum) {
		t.Errorf("%v, %v", got, err)
	}
	if r := tc.mustWrite(writeCommand(2, 1, "b")); r.Epoch != 2 {
		t.Errorf("%+v", r)
	}
}

// A read waits for news and brings it; without any it ends with its wait.
func TestVoter_readWaitsForAChange(t *testing.T) {
	tc := newTestCluster(t, 3)
	tc.startAll(tempFolders(t, 3))
	tc.mustWrite(writeCommand(1, 0, "a"))
	known := map[string]uint64{"plan": 1}
	for _, v := range tc.voters {
		if got, err := v.Read(shortContext(t), known, 50*time.Millisecond); err != nil || len(got) != 0 {
			t.Errorf("%v, %v", got, err)
		}
	}
	changes := make(chan map[string]statemachine.Table, 3)
	for _, v := range tc.voters {
		tc.deliveries.Go(func() {
			got, _ := v.Read(shortContext(t), known, 4*time.Second)
			changes <- got
		})
	}
	tc.mustWrite(writeCommand(2, 1, "b"))
	for range 3 {
		if got := <-changes; string(got["plan"].Value) != "b" {
			t.Errorf("read brought %v", got)
		}
	}
}

// sumController is a decider that writes the sum it sees where it is another than what stands.
type sumController struct{}

func (sumController) Table() string { return "sum" }
func (sumController) Decide(_ time.Duration, input coordination.ControllerInput) ([]byte, bool) {
	now := fmt.Sprint(input.Sums["pushes"], input.Totals(ExactTable)[observation.JoinName("g1", "7", "owed")])
	return []byte(now), now != string(input.Table("sum").Value)
}

// What processes tell any voter reaches the deciders at the leader once, whoever leads.
func TestVoter_digestsReachTheControllers(t *testing.T) {
	tc := newTestCluster(t, 3)
	tc.startAll(tempFolders(t, 3), sumController{})
	leader := tc.waitForLeader()
	var follower *Voter
	for _, v := range tc.voters {
		if v != leader {
			follower = v
		}
	}
	addDigest := func(serial, n uint64) {
		follower.AddDigests([]observation.Digest{{Process: "g1", Incarnation: 7, Serial: serial,
			Counts: map[string]uint64{"pushes": n}, Exact: map[string]uint64{"owed": n}}})
	}
	addDigest(1, 100)
	serial, n := uint64(1), uint64(100)
	seen := func() string {
		got, _ := follower.Read(shortContext(t), nil, 0)
		return string(got["sum"].Value)
	}
	fakes.Eventually(t, "growth at the leader", func() bool {
		serial, n = serial+1, n+10
		addDigest(serial, n)
		time.Sleep(20 * time.Millisecond)
		var sum, exact uint64
		_, _ = fmt.Sscan(seen(), &sum, &exact)
		if sum > n-100 || exact > n {
			t.Fatalf("more than was told: %d, %d of %d", sum, exact, n)
		}
		return sum > 0 && exact > 0
	})
	fakes.Eventually(t, "last count", func() bool { return seen()[len(seen())-len(fmt.Sprint(n)):] == fmt.Sprint(n) })
}

// A voter whose disk is full ends: it says nothing more, and callers hear that it has stopped.
func TestVoter_fullDiskStopsIt(t *testing.T) {
	tc := newTestCluster(t, 1)
	var mu sync.Mutex
	full := false
	hand := fullDisk{full: func() bool { mu.Lock(); defer mu.Unlock(); return full }}
	if err := tc.start(1, t.TempDir(), hand, tc.initialMembers); err != nil {
		t.Fatal(err)
	}
	v := tc.waitForLeader()
	tc.mustWrite(writeCommand(1, 0, "a"))
	mu.Lock()
	full = true
	mu.Unlock()
	if r, err := v.Propose(shortContext(t), writeCommand(2, 1, "b")); !errors.Is(err, coordination.ErrStopped) {
		t.Errorf("%+v, %v", r, err)
	}
	if _, err := v.Read(shortContext(t), nil, 0); !errors.Is(err, coordination.ErrStopped) {
		t.Errorf("read: %v", err)
	}
}

// A leader whose disk has become slow can't say that it is there while it waits for it: another leads, writes go on, and
// the slow one still holds what it acknowledged.
func TestVoter_leaderWithASlowDiskIsReplaced(t *testing.T) {
	tc, takes := newTestCluster(t, 3), make([]atomic.Int64, 4)
	for i := range uint64(3) {
		if err := tc.start(i+1, t.TempDir(), slowDisk{syncDelay: &takes[i+1]}, tc.initialMembers); err != nil {
			t.Fatal(err)
		}
	}
	tc.mustWrite(writeCommand(1, 0, "a"))
	old := tc.waitForLeader()
	takes[old.Status().Number].Store(int64(700 * time.Millisecond))
	for i := range uint64(20) {
		if r := tc.mustWrite(writeCommand(i+2, i+1, "b")); !r.Applied || r.Epoch != i+2 {
			t.Fatalf("write %d: %+v", i, r)
		}
	}
	if tc.waitForLeader() == old {
		t.Error("the slow one leads")
	}
	takes[old.Status().Number].Store(0)
	if got, err := old.Read(shortContext(t), nil, 0); err != nil || got["plan"].Epoch != 21 {
		t.Errorf("%v, %v", got["plan"].Epoch, err)
	}
}

// A voter whose folder was emptied comes back under its old number: the others refuse it, it ends, and what was
// acknowledged stands. Under a new number it joins and holds all.
func TestVoter_emptiedFolderNeedsANewNumber(t *testing.T) {
	tc, f := newTestCluster(t, 3), tempFolders(t, 3)
	tc.startAll(f)
	tc.mustWrite(writeCommand(1, 0, "a"))
	lead := tc.waitForLeader().Status().Number
	emptiedNumber := lead%3 + 1
	fakes.Eventually(t, "marks of all disks", func() bool {
		for _, m := range tc.waitForLeader().Status().Members {
			if m.DiskID == "" {
				return false
			}
		}
		return true
	})
	tc.stop(emptiedNumber)
	tc.mustWrite(writeCommand(2, 1, "b"))
	if err := tc.start(emptiedNumber, t.TempDir(), wal.OSFileOps{}, tc.initialMembers); err != nil {
		t.Fatal(err)
	}
	tc.mu.Lock()
	emptied := tc.voters[emptiedNumber]
	tc.mu.Unlock()
	if _, err := emptied.Read(shortContext(t), nil, 0); !errors.Is(err, coordination.ErrStopped) {
		t.Errorf("it goes on: %v", err)
	}
	tc.stop(emptiedNumber)
	if err := tc.start(4, t.TempDir(), wal.OSFileOps{}, nil); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		m      coordination.Member
		remove bool
	}{{member(emptiedNumber), true}, {member(4), false}} {
		fakes.Eventually(t, "change of the members", func() bool {
			return tc.waitForLeader().ChangeMembership(shortContext(t), c.m, c.remove) == nil
		})
	}
	got, err := tc.voters[4].Read(shortContext(t), nil, 0)
	if err != nil || string(got["plan"].Value) != "b" {
		t.Errorf("the new voter holds %v, %v", got, err)
	}
	old := tc.waitForLeader()
	old.TransferLeadership(shortContext(t))
	if status := old.Status(); status.Leader == 0 || status.Leader == status.Number { // ended now, its vote might not be sent
		t.Errorf("it resigned to nobody: %+v", status)
	}
	if next := tc.waitForLeader(); next == old {
		t.Error("the leader did not resign")
	}
}
