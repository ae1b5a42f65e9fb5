package core

import (
	"fmt"
	"testing"

	"harrierhoist/internal/cluster"
	"harrierhoist/internal/cluster/tables"
)

// row is some voters whose messages arrive at once.
type row struct {
	t       *testing.T
	cores   map[uint64]*Core
	disks   map[uint64][][]byte
	done    map[uint64]Done // the last that had something
	refused []error
	sent    []Message
}

func member(n uint64) cluster.Member {
	return cluster.Member{Number: n, Name: fmt.Sprint("v", n), Address: fmt.Sprint("a", n), Disk: fmt.Sprint("d", n)}
}

func newRow(t *testing.T, n uint64) *row {
	r := &row{t: t, cores: map[uint64]*Core{}, disks: map[uint64][][]byte{}, done: map[uint64]Done{}}
	var first []cluster.Member
	for i := range n {
		first = append(first, member(i+1))
	}
	for i := range n {
		r.start(member(i+1), Life{1, 1}, first)
	}
	return r
}

func (r *row) start(m cluster.Member, l Life, first []cluster.Member) *Core {
	r.t.Helper()
	c, err := Start(m, l, first, r.disks[m.Number], m.Number)
	if err != nil {
		r.t.Fatal(err)
	}
	if r.disks[m.Number] == nil {
		b, err := c.Base()
		if err != nil {
			r.t.Fatal(err)
		}
		r.disks[m.Number] = [][]byte{b}
	}
	r.cores[m.Number] = c
	return c
}

// settle does all that follows from what was done last.
func (r *row) settle() {
	r.t.Helper()
	for busy := true; busy; {
		busy = false
		for id := uint64(1); id <= 9; id++ {
			c := r.cores[id]
			if c == nil {
				continue
			}
			ready, ok, err := c.Ready()
			if err != nil {
				r.t.Fatal(err)
			}
			if !ok {
				continue
			}
			busy = true
			if ready.Record != nil {
				r.disks[id] = append(r.disks[id], ready.Record)
			}
			for _, m := range append(ready.Early, ready.Messages...) {
				r.sent = append(r.sent, m)
				if to := r.cores[m.To.Number]; to != nil {
					if _, err := to.Step(m.Body); err != nil {
						r.refused = append(r.refused, err)
					}
				}
			}
			done, err := c.Done(ready)
			if err != nil {
				r.t.Fatal(err)
			}
			if len(done.Results) > 0 {
				r.done[id] = done
			}
		}
	}
}

func (r *row) leader() *Core {
	r.t.Helper()
	for range 100 {
		for id := uint64(1); id <= 9; id++ {
			if c := r.cores[id]; c != nil {
				if c.Settled() {
					return c
				}
				c.Tick()
				r.settle()
			}
		}
	}
	r.t.Fatal("no leader")
	return nil
}

func (r *row) write(n, epoch uint64) {
	r.t.Helper()
	c := r.leader()
	if _, err := c.Propose(tables.Command{Kind: tables.Write, By: "t", Number: n, Table: "plan", Epoch: epoch,
		Value: []byte("v")}); err != nil {
		r.t.Fatal(err)
	}
	r.settle()
}
