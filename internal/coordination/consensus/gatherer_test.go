package consensus

import (
	"testing"

	"harrierhoist/internal/coordination/observation"
)

// What one voter forwards is merged once, by the leader of the term that it was meant for.
func TestGatherer_sumsReachOneLeaderOnly(t *testing.T) {
	voter := NewGatherer("v2", 1)
	leader := NewGatherer("v1", 1)
	addDigest := func(serial uint64) {
		counts := map[string]uint64{"n": 10 * serial}
		voter.AddFromProcesses([]observation.Digest{{Process: "g", Serial: serial, Counts: counts}})
	}
	leader.SetLeaderTerm(4)
	addDigest(1)
	for i := range uint64(3) {
		addDigest(i + 2)
		forwarded := voter.ForLeader(4)
		leader.AddFromVoter(forwarded)
		leader.AddFromVoter(forwarded)
	}
	leader.AddFromVoter(voter.ForLeader(3))
	if got := leader.Sums()["n"]; got != 20 {
		t.Errorf("sum %d, not 20", got)
	}
	if leader.SetLeaderTerm(5); leader.Sums()["n"] != 0 {
		t.Error("sums of an earlier term remain")
	}
}
