package consensus

import (
	"fmt"
	"testing"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/statemachine"
)

// testCluster is a group of voters whose messages are delivered at once.
type testCluster struct {
	t           *testing.T
	nodes       map[uint64]*Node // that run, by number
	records     map[uint64][][]byte
	lastApplied map[uint64]AppliedResult // the last one with an outcome
	rejected    []error
	sent        []Message
}

// maxTestNumber is the highest number that tests give to a voter.
const maxTestNumber = 9

func testMember(number uint64) coordination.Member {
	return coordination.Member{
		Number:  number,
		Name:    fmt.Sprint("v", number),
		Address: fmt.Sprint("a", number),
		DiskID:  fmt.Sprint("d", number),
	}
}

func newTestCluster(t *testing.T, voters uint64) *testCluster {
	t.Helper()
	cluster := &testCluster{
		t:           t,
		nodes:       map[uint64]*Node{},
		records:     map[uint64][][]byte{},
		lastApplied: map[uint64]AppliedResult{},
	}
	var initialMembers []coordination.Member
	for i := range voters {
		initialMembers = append(initialMembers, testMember(i+1))
	}
	for _, member := range initialMembers {
		cluster.startNode(member, Incarnation{1, 1}, initialMembers)
	}
	return cluster
}

func (tc *testCluster) startNode(member coordination.Member, incarnation Incarnation,
	initialMembers []coordination.Member,
) *Node {
	tc.t.Helper()
	node, err := NewNode(member, incarnation, initialMembers, tc.records[member.Number], member.Number)
	if err != nil {
		tc.t.Fatal(err)
	}
	if tc.records[member.Number] == nil {
		checkpoint, err := node.Checkpoint()
		if err != nil {
			tc.t.Fatal(err)
		}
		tc.records[member.Number] = [][]byte{checkpoint}
	}
	tc.nodes[member.Number] = node
	return node
}

// settle has all nodes work, in the order of their numbers, until none has anything to do.
func (tc *testCluster) settle() {
	tc.t.Helper()
	for busy := true; busy; {
		busy = false
		for number := uint64(1); number <= maxTestNumber; number++ {
			if node := tc.nodes[number]; node != nil && tc.work(number, node) {
				busy = true
			}
		}
	}
}

// work does what a node has ready, and reports whether there was anything.
func (tc *testCluster) work(number uint64, node *Node) bool {
	tc.t.Helper()
	ready, ok, err := node.Ready()
	if err != nil {
		tc.t.Fatal(err)
	}
	if !ok {
		return false
	}
	if ready.Record != nil {
		tc.records[number] = append(tc.records[number], ready.Record)
	}
	for _, message := range append(ready.EarlyMessages, ready.Messages...) {
		tc.deliver(message)
	}
	applied, err := node.Advance(ready)
	if err != nil {
		tc.t.Fatal(err)
	}
	if len(applied.Outcomes) > 0 {
		tc.lastApplied[number] = applied
	}
	return true
}

func (tc *testCluster) deliver(message Message) {
	tc.sent = append(tc.sent, message)
	if to := tc.nodes[message.To.Number]; to != nil {
		if _, err := to.HandleMessage(message.Body); err != nil {
			tc.rejected = append(tc.rejected, err)
		}
	}
}

func (tc *testCluster) waitForLeader() *Node {
	tc.t.Helper()
	for range 100 {
		for number := uint64(1); number <= maxTestNumber; number++ {
			if node := tc.nodes[number]; node != nil {
				if node.IsEstablishedLeader() {
					return node
				}
				node.Tick()
				tc.settle()
			}
		}
	}
	tc.t.Fatal("no leader")
	return nil
}

func (tc *testCluster) mustWrite(number, epoch uint64) {
	tc.t.Helper()
	if _, err := tc.waitForLeader().Propose(statemachine.Command{
		Kind: statemachine.Write, Proposer: "t", Number: number, Table: "plan", Epoch: epoch, Value: []byte("v"),
	}); err != nil {
		tc.t.Fatal(err)
	}
	tc.settle()
}
