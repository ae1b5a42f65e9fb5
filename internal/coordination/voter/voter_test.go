package voter

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
	"harrierhoist/internal/coordination/wal"
	"harrierhoist/internal/testing/fakes"
)

// All voters are stopped at once and started again: what was acknowledged is still there, and is
// not written twice.
func TestVoter_acknowledgedWritesSurviveARestartOfAll(t *testing.T) {
	group := newTestCluster(t, 3)
	folders := tempFolders(t, 3)
	group.startAll(folders)
	if r := group.mustWrite(writeCommand(1, 0, "a")); !r.Applied || r.Epoch != 1 {
		t.Fatalf("%+v", r)
	}
	for id := range uint64(3) {
		group.stop(id + 1)
	}
	group.startAll(folders)
	if r := group.mustWrite(writeCommand(1, 0, "a")); !r.Applied || r.Epoch != 1 {
		t.Errorf("written again: %+v", r)
	}
	for id := range uint64(3) {
		got, err := group.voters[id+1].Read(shortContext(t), nil, 0)
		if err != nil || string(got["plan"].Value) != "a" || got["plan"].Epoch != 1 {
			t.Errorf("voter %d: %v, %v", id+1, got, err)
		}
	}
}

// A leader isolated from the others answers no read and writes nothing; the others go on without
// it.
func TestVoter_isolatedLeaderAnswersNoRead(t *testing.T) {
	group := newTestCluster(t, 3)
	group.startAll(tempFolders(t, 3))
	group.mustWrite(writeCommand(1, 0, "a"))
	old := group.waitForLeader()
	group.mu.Lock()
	group.isolated[old.Status().Number] = true
	group.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if got, err := old.Read(ctx, nil, 0); !errors.Is(err, coordination.ErrNoQuorum) {
		t.Errorf("%v, %v", got, err)
	}
	if r := group.mustWrite(writeCommand(2, 1, "b")); r.Epoch != 2 {
		t.Errorf("%+v", r)
	}
}

// A read waits for a change and returns it; without any it ends with its wait.
func TestVoter_readWaitsForAChange(t *testing.T) {
	group := newTestCluster(t, 3)
	group.startAll(tempFolders(t, 3))
	group.mustWrite(writeCommand(1, 0, "a"))
	known := map[string]uint64{"plan": 1}
	for _, v := range group.voters {
		if got, err := v.Read(shortContext(t), known, 50*time.Millisecond); err != nil || len(got) != 0 {
			t.Errorf("%v, %v", got, err)
		}
	}
	changes := make(chan map[string]statemachine.Table, 3)
	for _, v := range group.voters {
		group.deliveries.Go(func() {
			got, _ := v.Read(shortContext(t), known, 4*time.Second)
			changes <- got
		})
	}
	group.mustWrite(writeCommand(2, 1, "b"))
	for range 3 {
		if got := <-changes; string(got["plan"].Value) != "b" {
			t.Errorf("read returned %v", got)
		}
	}
}

// sumController writes the sum that it sees where the table holds another.
type sumController struct{}

func (sumController) Table() string { return "sum" }
func (sumController) Decide(_ time.Duration, input coordination.ControllerInput) ([]byte, bool) {
	now := fmt.Sprint(input.Sums["pushes"], input.Totals(ExactTable)[observation.JoinName("g1", "7", "owed")])
	return []byte(now), now != string(input.Table("sum").Value)
}

// Digests sent to any voter reach the controllers once, at each leader in turn.
func TestVoter_digestsReachTheControllers(t *testing.T) {
	group := newTestCluster(t, 3)
	group.startAll(tempFolders(t, 3), sumController{})
	leader := group.waitForLeader()
	var follower *Voter
	for _, v := range group.voters {
		if v != leader {
			follower = v
		}
	}
	addDigest := func(serial, n uint64) {
		follower.AddDigests([]observation.Digest{{
			Process: "g1", Incarnation: 7, Serial: serial,
			Counts: map[string]uint64{"pushes": n}, Exact: map[string]uint64{"owed": n},
		}})
	}
	addDigest(1, 100)
	serial, n := uint64(1), uint64(100)
	seen := func() string {
		got, _ := follower.Read(shortContext(t), nil, 0)
		return string(got["sum"].Value)
	}
	fakes.Eventually(t, "growth at the leader", func() bool {
		serial++
		n += 10
		addDigest(serial, n)
		var sum, exact uint64
		_, _ = fmt.Sscan(seen(), &sum, &exact)
		if sum > n-100 || exact > n {
			t.Fatalf("more than was counted: %d, %d of %d", sum, exact, n)
		}
		return sum > 0 && exact > 0
	})
	fakes.Eventually(t, "last count", func() bool { return seen()[len(seen())-len(fmt.Sprint(n)):] == fmt.Sprint(n) })
}

// A voter whose disk is full stops: it sends nothing more, and its callers get ErrStopped.
func TestVoter_fullDiskStopsIt(t *testing.T) {
	group := newTestCluster(t, 1)
	var full atomic.Bool
	if err := group.start(1, t.TempDir(), fullDisk{full: &full}, group.initialMembers); err != nil {
		t.Fatal(err)
	}
	v := group.waitForLeader()
	group.mustWrite(writeCommand(1, 0, "a"))
	full.Store(true)
	if r, err := v.Propose(shortContext(t), writeCommand(2, 1, "b")); !errors.Is(err, coordination.ErrStopped) {
		t.Errorf("%+v, %v", r, err)
	}
	if _, err := v.Read(shortContext(t), nil, 0); !errors.Is(err, coordination.ErrStopped) {
		t.Errorf("read: %v", err)
	}
}

// A leader whose disk has become slow sends no heartbeats while it waits for it: another voter
// leads, writes go on, and the slow one still has what it acknowledged.
func TestVoter_leaderWithASlowDiskIsReplaced(t *testing.T) {
	group := newTestCluster(t, 3)
	syncDelays := make([]atomic.Int64, 4) // by the voter's number
	for i := range uint64(3) {
		disk := slowDisk{syncDelay: &syncDelays[i+1]}
		if err := group.start(i+1, t.TempDir(), disk, group.initialMembers); err != nil {
			t.Fatal(err)
		}
	}
	group.mustWrite(writeCommand(1, 0, "a"))
	old := group.waitForLeader()
	syncDelays[old.Status().Number].Store(int64(700 * time.Millisecond))
	for i := range uint64(20) {
		if r := group.mustWrite(writeCommand(i+2, i+1, "b")); !r.Applied || r.Epoch != i+2 {
			t.Fatalf("write %d: %+v", i, r)
		}
	}
	if group.waitForLeader() == old {
		t.Error("the slow voter still leads")
	}
	syncDelays[old.Status().Number].Store(0)
	if got, err := old.Read(shortContext(t), nil, 0); err != nil || got["plan"].Epoch != 21 {
		t.Errorf("%v, %v", got["plan"].Epoch, err)
	}
}

// A voter whose folder was emptied comes back under its old number: the others reject it, it stops,
// and what was acknowledged is still there. Under a new number it joins and gets everything.
func TestVoter_emptiedFolderNeedsANewNumber(t *testing.T) {
	group := newTestCluster(t, 3)
	folders := tempFolders(t, 3)
	group.startAll(folders)
	group.mustWrite(writeCommand(1, 0, "a"))
	lead := group.waitForLeader().Status().Number
	emptiedNumber := lead%3 + 1
	fakes.Eventually(t, "the IDs of all disks", func() bool {
		for _, m := range group.waitForLeader().Status().Members {
			if m.DiskID == "" {
				return false
			}
		}
		return true
	})
	group.stop(emptiedNumber)
	group.mustWrite(writeCommand(2, 1, "b"))
	if err := group.start(emptiedNumber, t.TempDir(), wal.OSFileOps{}, group.initialMembers); err != nil {
		t.Fatal(err)
	}
	group.mu.Lock()
	emptied := group.voters[emptiedNumber]
	group.mu.Unlock()
	if _, err := emptied.Read(shortContext(t), nil, 0); !errors.Is(err, coordination.ErrStopped) {
		t.Errorf("it still answers: %v", err)
	}
	group.stop(emptiedNumber)
	if err := group.start(4, t.TempDir(), wal.OSFileOps{}, nil); err != nil {
		t.Fatal(err)
	}
	for _, change := range []struct {
		member coordination.Member
		remove bool
	}{{member(emptiedNumber), true}, {member(4), false}} {
		fakes.Eventually(t, "change of the membership", func() bool {
			return group.waitForLeader().ChangeMembership(shortContext(t), change.member, change.remove) == nil
		})
	}
	got, err := group.voters[4].Read(shortContext(t), nil, 0)
	if err != nil || string(got["plan"].Value) != "b" {
		t.Errorf("the new voter holds %v, %v", got, err)
	}
	old := group.waitForLeader()
	old.TransferLeadership(shortContext(t))
	// A voter that is stopped before another one leads might not have sent its vote.
	if status := old.Status(); status.Leader == 0 || status.Leader == status.Number {
		t.Errorf("it handed the lead to nobody: %+v", status)
	}
	if next := group.waitForLeader(); next == old {
		t.Error("no other voter leads")
	}
}
