package voter

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/statemachine"
	"harrierhoist/internal/coordination/wal"
	"harrierhoist/internal/testing/fakes"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testCluster is some voters in one process, with real disks and clocks, and messages delivered in
// memory.
type testCluster struct {
	tb             testing.TB
	initialMembers []coordination.Member

	mu         sync.Mutex // guards what follows
	voters     map[uint64]*Voter
	storages   map[uint64]*wal.Log
	isolated   map[uint64]bool
	deliveries sync.WaitGroup
}

func newTestCluster(tb testing.TB, n int) *testCluster {
	tb.Helper()
	tc := &testCluster{
		tb: tb, voters: map[uint64]*Voter{}, storages: map[uint64]*wal.Log{}, isolated: map[uint64]bool{},
	}
	for i := range n {
		tc.initialMembers = append(tc.initialMembers, member(uint64(i+1)))
	}
	tb.Cleanup(func() {
		for id := range tc.storages {
			tc.stop(id)
		}
		tc.deliveries.Wait()
	})
	return tc
}

func member(n uint64) coordination.Member {
	return coordination.Member{Number: n, Name: fmt.Sprintf("v%d", n), Address: fmt.Sprintf("127.0.0.1:%d", 7000+n)}
}

func (tc *testCluster) start(n uint64, folder string, fileOps wal.FileOps, initialMembers []coordination.Member,
	controllers ...coordination.Controller,
) error {
	storage, err := wal.OpenWith(folder, fileOps)
	if err != nil {
		return err
	}
	v, err := Open(tc.tb.Context(), Options{
		Self: member(n), InitialMembers: initialMembers, Log: storage, Controllers: controllers,
		Send:   func(to coordination.Member, message []byte) { tc.deliver(n, to.Number, message) },
		Logger: zap.NewNop(),
	})
	if err != nil {
		return errors.Join(err, storage.Close())
	}
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.voters[n] = v
	tc.storages[n] = storage
	return nil
}

// deliver hands a message over, unless one of the two voters is isolated.
func (tc *testCluster) deliver(from, to uint64, message []byte) {
	tc.mu.Lock()
	receiver := tc.voters[to]
	isolated := tc.isolated[from] || tc.isolated[to]
	tc.mu.Unlock()
	if receiver == nil || isolated {
		return
	}
	tc.deliveries.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = receiver.HandleMessage(ctx, message) // a rejected message is dropped
	})
}

func (tc *testCluster) startAll(folders []string, controllers ...coordination.Controller) {
	for i, folder := range folders {
		if err := tc.start(uint64(i+1), folder, wal.OSFileOps{}, tc.initialMembers, controllers...); err != nil {
			tc.tb.Fatal(err)
		}
	}
}

func (tc *testCluster) stop(n uint64) {
	tc.mu.Lock()
	v := tc.voters[n]
	storage := tc.storages[n]
	delete(tc.voters, n)
	delete(tc.storages, n)
	tc.mu.Unlock()
	if v != nil {
		if err := errors.Join(v.Close(), storage.Close()); err != nil {
			tc.tb.Errorf("voter %d: %v", n, err)
		}
	}
}

func (tc *testCluster) waitForLeader() *Voter {
	var leader *Voter
	fakes.Eventually(tc.tb, "leader", func() bool {
		tc.mu.Lock()
		defer tc.mu.Unlock()
		for id, v := range tc.voters {
			if status := v.Status(); status.Leader == id && !tc.isolated[id] {
				leader = v
				return true
			}
		}
		return false
	})
	return leader
}

func tempFolders(tb testing.TB, n int) (all []string) {
	tb.Helper()
	for range n {
		all = append(all, tb.TempDir())
	}
	return all
}

func shortContext(tb testing.TB) context.Context {
	tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	tb.Cleanup(cancel)
	return ctx
}

func writeCommand(number, epoch uint64, value string) statemachine.Command {
	return statemachine.Command{
		Kind: statemachine.Write, Proposer: "test/1", Number: number, Table: "plan", Epoch: epoch,
		Value: []byte(value),
	}
}

func (tc *testCluster) mustWrite(command statemachine.Command) statemachine.Result {
	for {
		r, err := tc.waitForLeader().Propose(shortContext(tc.tb), command)
		if err == nil {
			return r
		}
		if !errors.Is(err, coordination.ErrNotLeader) && !errors.Is(err, coordination.ErrOutcomeUnknown) {
			tc.tb.Fatal(err)
		}
	}
}

// fullDisk is a disk that is full from some write on.
type fullDisk struct {
	wal.OSFileOps
	full *atomic.Bool
}

func (f fullDisk) Write(file *os.File, b []byte) error {
	if f.full.Load() {
		return errors.New("no space left")
	}
	return f.OSFileOps.Write(file, b)
}

// slowDisk is a disk whose syncs take a while from some moment on.
type slowDisk struct {
	wal.OSFileOps
	syncDelay *atomic.Int64
}

func (s slowDisk) Sync(f *os.File) error {
	time.Sleep(time.Duration(s.syncDelay.Load()))
	return s.OSFileOps.Sync(f)
}
