package consensus

import (
	"fmt"
	"testing"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/statemachine"
)

// testCluster is some voters whose messages arrive at once.
type testCluster struct {
	t           *testing.T
	nodes       map[uint64]*Node
	records     map[uint64][][]byte
	lastApplied map[uint64]AppliedResult // the last that had something
	rejected    []error
	sent        []Message
}

func testMember(number uint64) coordination.Member {
	return coordination.Member{Number: number, Name: fmt.Sprint("v", number), Address: fmt.Sprint("a", number), DiskID: fmt.Sprint("d", number)}
}

func newTestCluster(t *testing.T, number uint64) *testCluster {
	tc := &testCluster{t: t, nodes: map[uint64]*Node{}, records: map[uint64][][]byte{}, lastApplied: map[uint64]AppliedResult{}}
	var initialMembers []coordination.Member
	for i := range number {
		initialMembers = append(initialMembers, testMember(i+1))
	}
	for i := range number {
		tc.startNode(testMember(i+1), Incarnation{1, 1}, initialMembers)
	}
	return tc
}

func (tc *testCluster) startNode(member coordination.Member, incarnation Incarnation, initialMembers []coordination.Member) *Node {
	tc.t.Helper()
	n, err := NewNode(member, incarnation, initialMembers, tc.records[member.Number], member.Number)
	if err != nil {
		tc.t.Fatal(err)
	}
	if tc.records[member.Number] == nil {
		b, err := n.Checkpoint()
		if err != nil {
			tc.t.Fatal(err)
		}
		tc.records[member.Number] = [][]byte{b}
	}
	tc.nodes[member.Number] = n
	return n
}

// settle does all that follows from what was done last.
func (tc *testCluster) settle() {
	tc.t.Helper()
	for busy := true; busy; {
		busy = false
		for id := uint64(1); id <= 9; id++ {
			n := tc.nodes[id]
			if n == nil {
				continue
			}
			ready, ok, err := n.Ready()
			if err != nil {
				tc.t.Fatal(err)
			}
			if !ok {
				continue
			}
			busy = true
			if ready.Record != nil {
				tc.records[id] = append(tc.records[id], ready.Record)
			}
			for _, m := range append(ready.EarlyMessages, ready.Messages...) {
				tc.sent = append(tc.sent, m)
				if to := tc.nodes[m.To.Number]; to != nil {
					if _, err := to.HandleMessage(m.Body); err != nil {
						tc.rejected = append(tc.rejected, err)
					}
				}
			}
			done, err := n.Advance(ready)
			if err != nil {
				tc.t.Fatal(err)
			}
			if len(done.Outcomes) > 0 {
				tc.lastApplied[id] = done
			}
		}
	}
}

func (tc *testCluster) waitForLeader() *Node {
	tc.t.Helper()
	for range 100 {
		for id := uint64(1); id <= 9; id++ {
			if n := tc.nodes[id]; n != nil {
				if n.IsEstablishedLeader() {
					return n
				}
				n.Tick()
				tc.settle()
			}
		}
	}
	tc.t.Fatal("no leader")
	return nil
}

func (tc *testCluster) mustWrite(number, epoch uint64) {
	tc.t.Helper()
	n := tc.waitForLeader()
	if _, err := n.Propose(statemachine.Command{Kind: statemachine.Write, Proposer: "t", Number: number, Table: "plan", Epoch: epoch,
		Value: []byte("v")}); err != nil {
		tc.t.Fatal(err)
	}
	tc.settle()
}
