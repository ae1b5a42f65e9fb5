package consensus

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
)

// A voter that joins after the log was cut short, and one that lags behind it, are sent a snapshot; both then hold all.
func TestNode_joiningAndLaggingVotersReceiveASnapshot(t *testing.T) {
	tc := newTestCluster(t, 3)
	leader := tc.waitForLeader()
	lagging := leader.Self().Number%3 + 1
	stopped := tc.nodes[lagging]
	delete(tc.nodes, lagging)
	for i := range uint64(20) {
		tc.mustWrite(i+1, i)
	}
	if err := leader.Compact(2); err != nil {
		t.Fatal(err)
	}
	tc.nodes[lagging] = stopped
	if _, err := leader.ChangeMembership(testMember(4), false); err != nil {
		t.Fatal(err)
	}
	tc.startNode(testMember(4), Incarnation{1, 1}, nil)
	for range 2 * snapshotTimeoutTicks {
		leader.Tick()
		tc.settle()
	}
	want, _ := leader.State().Snapshot()
	for id, n := range tc.nodes {
		if got, _ := n.State().Snapshot(); !bytes.Equal(got, want) || len(n.Status().Members) != 4 {
			t.Errorf("voter %d holds other tables, or knows %v", id, n.Status().Members)
		}
	}
	if _, err := leader.ChangeMembership(testMember(2), true); err != nil && !errors.Is(err, coordination.ErrNotLeader) {
		t.Error(err)
	}
	tc.settle()
	tc.waitForLeader()
}

// A number is never used twice, and the last member stays.
func TestChangeMembership_invalidChangesAreRejected(t *testing.T) {
	tc := newTestCluster(t, 1)
	leader := tc.waitForLeader()
	for _, c := range []struct {
		m      coordination.Member
		remove bool
		word   string
	}{{testMember(1), false, "number 1 was given"}, {testMember(7), true, "no member"}, {testMember(1), true, "last member"},
		{coordination.Member{Number: 2}, false, "name and an address"},
		{coordination.Member{Number: 2, Name: "x", Address: "a1"}, false, "another member has the address"}} {
		if _, err := leader.ChangeMembership(c.m, c.remove); err == nil || !strings.Contains(err.Error(), c.word) {
			t.Errorf("%+v: %v", c, err)
		}
	}
}

// A change that comes while another is on its way would be lost without a word.
func TestChangeMembership_secondChangeIsRejectedUntilTheFirstIsApplied(t *testing.T) {
	tc := newTestCluster(t, 3)
	leader := tc.waitForLeader()
	_, first := leader.ChangeMembership(testMember(4), false)
	_, second := leader.ChangeMembership(testMember(5), false)
	if first != nil || !errors.Is(second, ErrChangePending) {
		t.Errorf("%v, then %v", first, second)
	}
	tc.settle()
	if applied := tc.lastApplied[leader.Self().Number]; len(applied.Outcomes) != 1 || applied.Outcomes[0].Err != nil {
		t.Errorf("%+v", applied)
	}
	if _, err := leader.ChangeMembership(testMember(5), false); err != nil {
		t.Errorf("after the first: %v", err)
	}
}

// Disks that were emptied, copied or put back from an older copy, removed members and other installations are refused.
func TestHandleMessage_unknownSendersAreRejected(t *testing.T) {
	tc := newTestCluster(t, 3)
	leader := tc.waitForLeader()
	leader.ProposeDiskIDs()
	tc.settle()
	for id, n := range tc.nodes {
		if member, _ := n.membership.find(2); member.DiskID != "d2" {
			t.Fatalf("voter %d does not know the disk of number 2", id)
		}
	}
	receiver := tc.nodes[leader.Self().Number%3+1]
	from := leader.newEnvelope()
	from.Incarnation = Incarnation{2, 5}
	for _, c := range []struct {
		word string
		make func(*envelope)
	}{{"", func(*envelope) {}}, {"came twice", func(e *envelope) { e.Incarnation.Nonce = 6 }},
		{"earlier life", func(e *envelope) { e.Incarnation = Incarnation{1, 1} }},
		{"another disk", func(e *envelope) { e.From.DiskID = "other" }},
		{"another log", func(e *envelope) { e.ClusterID++ }},
		{"says to be number", func(e *envelope) { e.From.Number = receiver.Self().Number }}} {
		received := from
		c.make(&received)
		b, _ := received.encode()
		_, err := receiver.HandleMessage(b)
		refused := errors.Is(err, ErrRejected) && strings.Contains(err.Error(), c.word)
		if c.word == "" && err != nil || c.word != "" && !refused {
			t.Errorf("%q: %v", c.word, err)
		}
	}
	b, _ := from.encode()
	for i := range b {
		b[i] ^= 1 << (i % 8)
		if _, err := receiver.HandleMessage(b); !errors.Is(err, ErrRejected) {
			t.Errorf("byte %d flipped: %v", i, err)
		}
		if _, err := receiver.HandleMessage(b[:i]); !errors.Is(err, ErrRejected) {
			t.Errorf("cut at byte %d: %v", i, err)
		}
		b[i] ^= 1 << (i % 8)
	}
}

// A disk that begins later than it should, or ends before what it had committed, does not go unseen.
func TestNewNode_corruptRecordsAreRejected(t *testing.T) {
	tc := newTestCluster(t, 1)
	for i := range uint64(3) {
		tc.mustWrite(i+1, i)
	}
	complete := tc.records[1]
	for name, records := range map[string][][]byte{"one missing": append(append([][]byte{}, complete[:2]...), complete[3:]...),
		"not ours": {[]byte("x")}, "no beginning": complete[len(complete)-1:]} {
		if n, err := NewNode(testMember(1), Incarnation{2, 1}, nil, records, 1); !errors.Is(err, ErrCorrupt) {
			t.Errorf("%s: %v, %v", name, n != nil, err)
		}
	}
	if n, err := NewNode(testMember(1), Incarnation{2, 1}, nil, complete, 1); err != nil || n.Status().Members[0].Number != 1 {
		t.Error(err)
	}
}

// Reads share one confirmation, and one that waits ends only after another.
func TestReadQueue_readsShareOneReadIndexRequest(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.mustWrite(1, 0)
	n := tc.waitForLeader()
	q, answers := NewReadQueue(n), 0
	process := func(now time.Duration) {
		for ready, ok, _ := n.Ready(); ok; ready, ok, _ = n.Ready() {
			done, _ := n.Advance(ready)
			q.HandleApplied(done, now)
		}
	}
	seqBefore := n.lastSeq
	for range 100 {
		q.Add(&PendingRead{Respond: func(f map[string]statemachine.Table) { answers += len(f) }}, 0)
	}
	late := false
	q.Add(&PendingRead{KnownEpochs: map[string]uint64{"plan": 1}, Deadline: time.Second,
		Respond: func(f map[string]statemachine.Table) { late = len(f) == 0 }}, 0)
	process(0)
	if answers != 100 || n.lastSeq-seqBefore > 2 || late {
		t.Errorf("%d answers for %d confirmations, late %v", answers, n.lastSeq-seqBefore, late)
	}
	q.Tick(time.Second)
	process(time.Second)
	if !late || len(q.pending) != 0 {
		t.Error("the read did not end with its wait")
	}
}

// What one voter passes on is taken once, by the leader of the term that it was meant for.
func TestGatherer_sumsReachOneLeaderOnly(t *testing.T) {
	g, lead := NewGatherer("v2", 1), NewGatherer("v1", 1)
	addDigest := func(number uint64) {
		g.AddFromProcesses([]observation.Digest{{Process: "g", Serial: number, Counts: map[string]uint64{"n": 10 * number}}})
	}
	lead.SetLeaderTerm(4)
	addDigest(1)
	for i := range uint64(3) {
		addDigest(i + 2)
		d := g.ForLeader(4)
		lead.AddFromVoter(d)
		lead.AddFromVoter(d)
	}
	lead.AddFromVoter(g.ForLeader(3))
	if got := lead.Sums()["n"]; got != 20 {
		t.Errorf("sum %d, not 20", got)
	}
	if lead.SetLeaderTerm(5); lead.Sums()["n"] != 0 {
		t.Error("sums of an earlier term stay")
	}
}
