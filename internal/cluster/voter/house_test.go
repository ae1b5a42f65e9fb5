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

	"harrierhoist/internal/cluster"
	"harrierhoist/internal/cluster/disk"
	"harrierhoist/internal/cluster/tables"
	"harrierhoist/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// house is some voters in one process, with real disks and clocks, and messages handed over in memory.
type house struct {
	t      testing.TB
	first  []cluster.Member
	mu     sync.Mutex
	voters map[uint64]*Voter
	disks  map[uint64]*disk.Disk
	cut    map[uint64]bool
	on     sync.WaitGroup
}

func newHouse(t testing.TB, n int) *house {
	h := &house{t: t, voters: map[uint64]*Voter{}, disks: map[uint64]*disk.Disk{}, cut: map[uint64]bool{}}
	for i := range n {
		h.first = append(h.first, member(uint64(i+1)))
	}
	t.Cleanup(func() {
		for id := range h.disks {
			h.kill(id)
		}
		h.on.Wait()
	})
	return h
}

func member(n uint64) cluster.Member {
	return cluster.Member{Number: n, Name: fmt.Sprintf("v%d", n), Address: fmt.Sprintf("127.0.0.1:%d", 7000+n)}
}

func (h *house) start(n uint64, folder string, hand disk.Hand, first []cluster.Member, d ...cluster.Decider) error {
	k, err := disk.OpenWith(folder, hand)
	if err != nil {
		return err
	}
	v, err := Open(member(n), first, k, d, func(to cluster.Member, message []byte) {
		h.mu.Lock()
		other, cut := h.voters[to.Number], h.cut[n] || h.cut[to.Number]
		h.mu.Unlock()
		if other != nil && !cut {
			h.on.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				_ = other.Step(ctx, message)
			})
		}
	}, zap.NewNop())
	if err != nil {
		return errors.Join(err, k.Close())
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.voters[n], h.disks[n] = v, k
	return nil
}

func (h *house) open(folders []string, d ...cluster.Decider) {
	for i, f := range folders {
		if err := h.start(uint64(i+1), f, disk.Bare{}, h.first, d...); err != nil {
			h.t.Fatal(err)
		}
	}
}

func (h *house) kill(n uint64) {
	h.mu.Lock()
	v, d := h.voters[n], h.disks[n]
	delete(h.voters, n)
	delete(h.disks, n)
	h.mu.Unlock()
	if v != nil {
		_ = v.Close()
		_ = d.Close()
	}
}

func (h *house) leader() *Voter {
	var lead *Voter
	standin.Eventually(h.t, "leader", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		for id, v := range h.voters {
			if s := v.Status(); s.Leader == id && !h.cut[id] {
				lead = v
				return true
			}
		}
		return false
	})
	return lead
}

func folders(t testing.TB, n int) (all []string) {
	for range n {
		all = append(all, t.TempDir())
	}
	return all
}

func within(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func write(number, epoch uint64, value string) tables.Command {
	return tables.Command{Kind: tables.Write, By: "test/1", Number: number, Table: "plan", Epoch: epoch,
		Value: []byte(value)}
}

func (h *house) write(c tables.Command) tables.Result {
	for {
		r, err := h.leader().Propose(within(h.t), c)
		if err == nil {
			return r
		}
		if !errors.Is(err, cluster.ErrNotLeader) && !errors.Is(err, cluster.ErrUnknown) {
			h.t.Fatal(err)
		}
	}
}

// failing is a disk that is full from some write on.
type failing struct {
	disk.Bare
	full func() bool
}

func (f failing) Write(file *os.File, b []byte) error {
	if f.full() {
		return errors.New("no space left")
	}
	return f.Bare.Write(file, b)
}

// slow is a disk whose syncs take a while from some moment on.
type slow struct {
	disk.Bare
	takes *atomic.Int64
}

func (s slow) Sync(f *os.File) error {
	time.Sleep(time.Duration(s.takes.Load()))
	return s.Bare.Sync(f)
}
