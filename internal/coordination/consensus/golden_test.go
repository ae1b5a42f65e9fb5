package consensus

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
	"harrierhoist/internal/testing/golden"
)

// goldenCluster is three voters that write, lose one, compact, take in a fourth by a snapshot, and
// have one start again.
func goldenCluster(t *testing.T) *testCluster {
	t.Helper()
	cluster := newTestCluster(t, 3)
	leader := cluster.waitForLeader()
	for i := range uint64(3) {
		cluster.mustWrite(i+1, i)
	}
	cluster.mustWrite(3, 2) // repeated
	cluster.mustWrite(4, 1) // at an earlier epoch
	if _, err := leader.Propose(statemachine.Command{
		Kind: statemachine.RaiseTotals, Table: "exact",
		Totals: map[string]uint64{"g1\x1f7\x1fowed": 12, "g2\x1f1\x1fowed": 3},
	}); err != nil {
		t.Fatal(err)
	}
	cluster.settle()
	lagging := leader.Self().Number%3 + 1
	delete(cluster.nodes, lagging)
	if _, err := leader.ChangeMembership(testMember(4), false); err != nil {
		t.Fatal(err)
	}
	cluster.settle()
	if err := leader.Compact(2); err != nil {
		t.Fatal(err)
	}
	cluster.startNode(testMember(4), Incarnation{1, 9}, nil)
	cluster.startNode(testMember(lagging), Incarnation{2, 5}, nil)
	for range 2 * snapshotTimeoutTicks {
		leader.Tick()
		cluster.settle()
	}
	cluster.mustWrite(5, 3)
	if len(cluster.rejected) > 0 {
		t.Fatal(cluster.rejected)
	}
	return cluster
}

// recordLines returns the records of all voters as lines of text.
func (tc *testCluster) recordLines() string {
	var b strings.Builder
	for number := uint64(1); number <= 4; number++ {
		for _, record := range tc.records[number] {
			fmt.Fprintf(&b, "%d %x\n", number, record)
		}
	}
	return b.String()
}

// readRecords is the inverse of recordLines.
func readRecords(t *testing.T, text string) map[uint64][][]byte {
	t.Helper()
	all := map[uint64][][]byte{}
	for line := range strings.Lines(text) {
		var number uint64
		var record []byte
		if _, err := fmt.Sscanf(line, "%d %x", &number, &record); err != nil {
			t.Fatal(err)
		}
		all[number] = append(all[number], record)
	}
	return all
}

// The records of the same events are the same bytes, and so are the messages.
func TestGolden_recordsAndMessagesOfACluster(t *testing.T) {
	cluster := goldenCluster(t)
	golden.Check(t, "records.hex", []byte(cluster.recordLines()))
	sum := golden.NewDigest()
	for _, m := range cluster.sent {
		sum.Printf("%d %x\n", m.To.Number, m.Body)
	}
	if got := fmt.Sprintf("%d messages, %s", len(cluster.sent), sum); got != goldenMessages {
		t.Errorf("%s", got)
	}
}

const goldenMessages = "331 messages, bff6437d9df63a15f174621116fa535f75f949f7561352f29479237932584b65"

// What a disk holds from the version before is read: members, tables and all that follows; and
// written again the same.
func TestGolden_recordsAreRead(t *testing.T) {
	states := ""
	bases := ""
	records := readRecords(t, string(golden.Read(t, "records.hex")))
	for number := uint64(1); number <= 4; number++ {
		n, err := NewNode(testMember(number), Incarnation{3, 1}, nil, records[number], number)
		if err != nil {
			t.Fatal(err)
		}
		base, err := n.Checkpoint()
		if err != nil {
			t.Fatal(err)
		}
		if again, err := NewNode(testMember(number), Incarnation{4, 1}, nil, [][]byte{base}, number); err != nil {
			t.Error(err)
		} else if b, err := again.Checkpoint(); err != nil || !bytes.Equal(b, base) {
			t.Errorf("voter %d: read again as %x, %v", number, b, err)
		}
		snapshot, err := n.State().Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		bases += fmt.Sprintf("%d %x\n", number, base)
		members := len(n.Status().Members)
		states += fmt.Sprintf("%d applied %d, %d members, %x\n", number, n.AppliedIndex(), members, snapshot)
	}
	golden.Check(t, "bases.hex", []byte(bases))
	golden.Check(t, "states.txt", []byte(states))
}

// What stands in the log, in a snapshot and between voters, one of each.
func TestGolden_encodings(t *testing.T) {
	one := testMember(1)
	for name, test := range map[string]struct {
		value any
		want  string
	}{
		"command": {&logEntry{Seq: 1<<32 + 5, From: 2, Command: &statemachine.Command{
			Kind: statemachine.Write, Proposer: "g1/1", Number: 3,
			Table: "plan", Epoch: 2, Value: []byte("v"),
		}}, goldenCommand},
		"mark":   {&logEntry{Seq: 1<<32 + 6, From: 2, Disk: &one}, goldenDisk},
		"change": {&membershipChange{Seq: 1<<32 + 7, From: 2, Member: one, Remove: true}, goldenChange},
		"picture": {&snapshotData{
			Membership: membership{
				Members: []coordination.Member{one, testMember(2)}, HighestNumber: 2, ClusterID: 1 << 63,
			},
			State: []byte("state"),
		}, goldenSnapshotData},
		"record": {&record{
			Self: &one, Snapshot: []byte("snapshot"), Entries: [][]byte{[]byte("e1"), []byte("e2")},
			HardState: []byte("hard"),
		}, goldenRecord},
		"envelope": {
			&envelope{
				From: one, Incarnation: Incarnation{2, 1 << 50}, ClusterID: 9,
				RaftMessages: [][]byte{[]byte("m1"), []byte("m2")},
			},
			goldenEnvelope,
		},
		"envelope with digests": {
			&envelope{From: one, Incarnation: Incarnation{2, 5}, Digests: []observation.Digest{{
				Process: "g1", Incarnation: 3, Serial: 4, Session: 5,
				Counts: map[string]uint64{"n": 1},
				Exact:  map[string]uint64{"m": 2},
			}}},
			goldenDigests,
		},
	} {
		t.Run(name, func(t *testing.T) {
			golden.CheckCBOR(t, encMode.Marshal, test.value, test.want)
		})
	}
}

// A message ends with its checksum.
func TestGolden_messageChecksum(t *testing.T) {
	received := envelope{
		From: testMember(1), Incarnation: Incarnation{2, 5}, ClusterID: 9, RaftMessages: [][]byte{[]byte("m1")},
	}
	got, err := received.encode()
	if err != nil || hex.EncodeToString(got) != goldenChecksummed {
		t.Errorf("written as %x, %v", got, err)
	}
	sealed, err := hex.DecodeString(goldenChecksummed)
	if err != nil {
		t.Fatal(err)
	}
	if read, err := decodeEnvelope(sealed); err != nil || !reflect.DeepEqual(read, received) {
		t.Errorf("read as %+v, %v", read, err)
	}
}

const (
	goldenCommand      = "a3011b0000000100000005020203a70101026467312f3103030464706c616e050206417607f6"
	goldenDisk         = "a3011b0000000100000006020204a40101026276310362613104626431"
	goldenChange       = "a4011b0000000100000007020203a4010102627631036261310462643104f5"
	goldenSnapshotData = "a201a30182a40101026276310362613104626431a401020262763203626132046264320202" +
		"031b800000000000000002457374617465"
	goldenRecord   = "a401a401010262763103626131046264310248736e617073686f740382426531426532044468617264"
	goldenEnvelope = "a401a4010102627631036261310462643103a20102021b000400000000000004090582426d31426d32"
	goldenDigests  = "a401a4010102627631036261310462643103a20102020504000681a601626731020303" +
		"0404a1616e0105a1616d020605"
	goldenChecksummed = "a401a4010102627631036261310462643103a20102020504090581426d3151e5439c1bc43276"
)
