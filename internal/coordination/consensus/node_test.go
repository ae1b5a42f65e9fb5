package consensus

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/statemachine"
)

// A voter that joins after the log was compacted, and one that lags behind it, are sent a snapshot;
// both then hold the whole state.
func TestNode_joiningAndLaggingVotersReceiveASnapshot(t *testing.T) {
	cluster := newTestCluster(t, 3)
	leader := cluster.waitForLeader()
	lagging := leader.Self().Number%3 + 1
	stopped := cluster.nodes[lagging]
	delete(cluster.nodes, lagging)
	for i := range uint64(20) {
		cluster.mustWrite(i+1, i)
	}
	if err := leader.Compact(2); err != nil {
		t.Fatal(err)
	}
	cluster.nodes[lagging] = stopped
	if _, err := leader.ChangeMembership(testMember(4), false); err != nil {
		t.Fatal(err)
	}
	cluster.startNode(testMember(4), Incarnation{1, 1}, nil)
	for range 2 * snapshotTimeoutTicks {
		leader.Tick()
		cluster.settle()
	}
	want, _ := leader.State().Snapshot()
	for id, n := range cluster.nodes {
		if got, _ := n.State().Snapshot(); !bytes.Equal(got, want) || len(n.Status().Members) != 4 {
			t.Errorf("voter %d holds another state, or knows the members %v", id, n.Status().Members)
		}
	}
	_, err := leader.ChangeMembership(testMember(2), true)
	if err != nil && !errors.Is(err, coordination.ErrNotLeader) {
		t.Error(err)
	}
	cluster.settle()
	cluster.waitForLeader()
}

// A number is never reused, and the last member stays.
func TestChangeMembership_invalidChangesAreRejected(t *testing.T) {
	cluster := newTestCluster(t, 1)
	leader := cluster.waitForLeader()
	for _, test := range []struct {
		name   string
		member coordination.Member
		remove bool
		want   string
	}{
		{"reused number", testMember(1), false, "number 1 was given"},
		{"removal of an unknown number", testMember(7), true, "no member"},
		{"removal of the last member", testMember(1), true, "last member"},
		{"no name", coordination.Member{Number: 2}, false, "name and an address"},
		{
			"reused address",
			coordination.Member{Number: 2, Name: "x", Address: "a1"},
			false,
			"another member has the address",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := leader.ChangeMembership(test.member, test.remove)
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got %v, want an error with %q", err, test.want)
			}
		})
	}
}

// A change that is proposed while another is pending would be lost silently.
func TestChangeMembership_secondChangeIsRejectedUntilTheFirstIsApplied(t *testing.T) {
	cluster := newTestCluster(t, 3)
	leader := cluster.waitForLeader()
	_, first := leader.ChangeMembership(testMember(4), false)
	_, second := leader.ChangeMembership(testMember(5), false)
	if first != nil || !errors.Is(second, ErrChangePending) {
		t.Errorf("%v, then %v", first, second)
	}
	cluster.settle()
	outcomes := cluster.lastApplied[leader.Self().Number].Outcomes
	if len(outcomes) != 1 || outcomes[0].Err != nil {
		t.Errorf("%+v", outcomes)
	}
	if _, err := leader.ChangeMembership(testMember(5), false); err != nil {
		t.Errorf("after the first: %v", err)
	}
}

// startKnownCluster starts three voters that know each other's disks.
func startKnownCluster(t *testing.T) (leader, follower *Node) {
	t.Helper()
	cluster := newTestCluster(t, 3)
	leader = cluster.waitForLeader()
	leader.ProposeDiskIDs()
	cluster.settle()
	for number, node := range cluster.nodes {
		if member, _ := node.membership.find(2); member.DiskID != "d2" {
			t.Fatalf("voter %d does not know the disk of number 2", number)
		}
	}
	return leader, cluster.nodes[leader.Self().Number%3+1]
}

// Disks that were emptied, copied or restored from an older copy, and other installations are
// rejected.
func TestHandleMessage_unknownSendersAreRejected(t *testing.T) {
	leader, follower := startKnownCluster(t)
	genuine := leader.newEnvelope()
	genuine.Incarnation = Incarnation{2, 5}
	for _, test := range []struct {
		name   string
		change func(*envelope)
		want   string // in the error; "": none
	}{
		{"genuine", func(*envelope) {}, ""},
		{"another nonce", func(e *envelope) { e.Incarnation.Nonce = 6 }, "came twice"},
		{"earlier incarnation", func(e *envelope) { e.Incarnation = Incarnation{1, 1} }, "earlier incarnation"},
		{"another disk", func(e *envelope) { e.From.DiskID = "other" }, "another disk"},
		{"another cluster", func(e *envelope) { e.ClusterID++ }, "another log"},
		{"receiver's own number", func(e *envelope) { e.From.Number = follower.Self().Number }, "claims to be number"},
	} {
		t.Run(test.name, func(t *testing.T) {
			outgoing := genuine
			test.change(&outgoing)
			message, err := outgoing.encode()
			if err != nil {
				t.Fatal(err)
			}
			_, err = follower.HandleMessage(message)
			rejected := errors.Is(err, ErrRejected) && strings.Contains(err.Error(), test.want)
			if test.want == "" && err != nil || test.want != "" && !rejected {
				t.Errorf("got %v, want an error with %q", err, test.want)
			}
		})
	}
}

func TestHandleMessage_damagedMessagesAreRejected(t *testing.T) {
	leader, follower := startKnownCluster(t)
	outgoing := leader.newEnvelope()
	outgoing.Incarnation = Incarnation{2, 5}
	message, err := outgoing.encode()
	if err != nil {
		t.Fatal(err)
	}
	for i := range message {
		message[i] ^= 1 << (i % 8)
		if _, err := follower.HandleMessage(message); !errors.Is(err, ErrRejected) {
			t.Errorf("byte %d flipped: %v", i, err)
		}
		if _, err := follower.HandleMessage(message[:i]); !errors.Is(err, ErrRejected) {
			t.Errorf("cut at byte %d: %v", i, err)
		}
		message[i] ^= 1 << (i % 8)
	}
}

// Records that begin later than they should, or end before the commit index, are noticed.
func TestNewNode_corruptRecordsAreRejected(t *testing.T) {
	cluster := newTestCluster(t, 1)
	for i := range uint64(3) {
		cluster.mustWrite(i+1, i)
	}
	complete := cluster.records[1]
	for name, records := range map[string][][]byte{
		"one missing":  append(append([][]byte{}, complete[:2]...), complete[3:]...),
		"not a record": {[]byte("x")},
		"no beginning": complete[len(complete)-1:],
	} {
		t.Run(name, func(t *testing.T) {
			if n, err := NewNode(testMember(1), Incarnation{2, 1}, nil, records, 1); !errors.Is(err, ErrCorrupt) {
				t.Errorf("node: %v, error: %v", n != nil, err)
			}
		})
	}
	n, err := NewNode(testMember(1), Incarnation{2, 1}, nil, complete, 1)
	if err != nil || n.Status().Members[0].Number != 1 {
		t.Error(err)
	}
}

// Reads share one read index request, and one that waits for changes ends only after another
// request.
func TestReadQueue_readsShareOneReadIndexRequest(t *testing.T) {
	cluster := newTestCluster(t, 1)
	cluster.mustWrite(1, 0)
	node := cluster.waitForLeader()
	queue := NewReadQueue(node)
	answers := 0
	process := func(now time.Duration) {
		for ready, ok, _ := node.Ready(); ok; ready, ok, _ = node.Ready() {
			applied, err := node.Advance(ready)
			if err != nil {
				t.Fatal(err)
			}
			queue.HandleApplied(applied, now)
		}
	}
	seqBefore := node.lastSeq
	for range 100 {
		queue.Add(&PendingRead{Respond: func(changed map[string]statemachine.Table) { answers += len(changed) }}, 0)
	}
	ended := false
	queue.Add(&PendingRead{
		KnownEpochs: map[string]uint64{"plan": 1},
		Deadline:    time.Second,
		Respond:     func(changed map[string]statemachine.Table) { ended = len(changed) == 0 },
	}, 0)
	process(0)
	if answers != 100 || node.lastSeq-seqBefore > 2 || ended {
		t.Errorf("%d answers for %d requests, waiting read ended: %v", answers, node.lastSeq-seqBefore, ended)
	}
	queue.Tick(time.Second)
	process(time.Second)
	if !ended || len(queue.pending) != 0 {
		t.Error("the read did not end with its deadline")
	}
}

// A voter whose number the log binds to another disk has to stop with the next entry that it
// applies.
func TestAdvance_voterWithAnotherDiskHasToStop(t *testing.T) {
	cluster := newTestCluster(t, 1)
	cluster.mustWrite(1, 0)
	node := cluster.waitForLeader()
	node.self.DiskID = "other"
	if _, err := node.Propose(statemachine.Command{Kind: statemachine.Write, Table: "plan", Epoch: 1}); err != nil {
		t.Fatal(err)
	}
	ready, ok, err := node.Ready()
	if !ok || err != nil {
		t.Fatalf("%v, %v", ok, err)
	}
	_, err = node.Advance(ready)
	if !errors.Is(err, ErrDiskMismatch) {
		t.Errorf("%v, want ErrDiskMismatch", err)
	}
}
