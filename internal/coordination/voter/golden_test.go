package voter

import (
	"bytes"
	"testing"

	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/wal"
	"harrierhoist/internal/testing/fakes"
	"harrierhoist/internal/testing/golden"
)

// What a voter writes of itself, a decision and the exact counts that grew, has the bytes in the
// log that it had before: testdata has the commands as the code wrote them before its names
// changed.
func TestGolden_leaderCommandsInTheLog(t *testing.T) {
	group := newTestCluster(t, 1)
	folder := t.TempDir()
	if err := group.start(1, folder, wal.OSFileOps{}, group.initialMembers, sumController{}); err != nil {
		t.Fatal(err)
	}
	v := group.waitForLeader()
	stands := func(value string) {
		t.Helper()
		fakes.Eventually(t, "the decision "+value, func() bool {
			found, _ := v.Read(shortContext(t), nil, 0)
			return string(found["sum"].Value) == value
		})
	}
	stands("0 0")
	owed := map[string]uint64{"owed": 300}
	v.AddDigests([]observation.Digest{{Process: "g1", Incarnation: 7, Serial: 1, Exact: owed}})
	stands("0 300")
	group.stop(1)
	log := golden.ReadFolder(t, folder)
	for _, name := range []string{"decision.cbor", "exact.cbor"} {
		if want := golden.Read(t, name); len(want) == 0 || !bytes.Contains(log, want) {
			t.Errorf("%s is not in the log: %q", name, want)
		}
	}
}
