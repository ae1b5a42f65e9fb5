package votersimulation

import (
	"fmt"
	"testing"
	"time"

	"harrierhoist/internal/testing/golden"
)

// goldenInterval is how often a run is inspected.
const goldenInterval = 5 * time.Millisecond

// recordState writes down the state of the voters, lease holders and reporters.
func (s *simulation) recordState(to *golden.Digest) {
	to.Printf("%d %d %d %d\n", s.now(), s.report.Events, s.report.Answered, s.highestEpoch)
	for _, n := range s.nodes {
		status := n.consensus.Status()
		to.Printf("voter %d %v %v %v %d: %d %d %d %d\n", n.member.Number, n.up, n.suspended, n.syncing, n.incarnation,
			status.Leader, status.Term, status.Applied, len(n.synced))
	}
	for _, h := range s.leaseHolders {
		to.Printf("holder %d %d %d %d\n", h.voterIndex, h.epoch, h.leaseEnd, h.attempt)
	}
	for _, r := range s.reporters {
		to.Printf("teller %d %d %d %d\n", r.voterIndex, r.count, r.serial, r.session)
	}
}

// goldenRun simulates a seed as Run does, and returns a hash of all that was seen, answered and
// written.
func goldenRun(t *testing.T, seed uint64, bug Bug) string {
	t.Helper()
	sim := newSimulation(seed, bug, 3+2*int(seed%2))
	sim.after(0, sim.injectFault)
	sum := golden.NewDigest()
	for until := goldenInterval; until <= runDuration; until += goldenInterval {
		sim.runUntil(until)
		sim.recordState(sum)
	}
	sim.checkEndState()
	for _, operation := range sim.history {
		input, output := operation.Input.(call), operation.Output.(answer)
		sum.Printf("call %d %d %d: %v %d %q: %v %v %d %q\n", operation.ClientId, operation.Call, operation.Return,
			input.write, input.epoch, input.value, output.known, output.applied, output.epoch, output.value)
	}
	for _, n := range sim.nodes {
		for _, record := range n.synced {
			sum.Printf("record %d %x\n", n.member.Number, record)
		}
		state, err := n.consensus.State().Snapshot()
		sum.Printf("state %x %v\n", state, err)
	}
	whole := Run(seed, bug)
	if whole.Events != sim.report.Events || whole.Answered != sim.report.Answered || whole.Trace != sim.report.Trace {
		t.Errorf("seed %d: %+v, but %+v step by step", seed, whole, sim.report)
	}
	return fmt.Sprintf("%d events, %d answered, %d problems, %s", sim.report.Events, sim.report.Answered,
		len(sim.report.Violations),
		sum)
}

// The same seeds give the same as in the version before: messages, writes, draws and times.
func TestGolden_runs(t *testing.T) {
	for _, test := range []struct {
		name string
		seed uint64
		bug  Bug
		want string
	}{
		{
			"three voters", 2, NoBug,
			"5286 events, 75 answered, 0 problems, d368ffdc4798f620cf3977a15520971f925619ded46266d6ce81bea530725f72",
		},
		{
			"five voters", 3, NoBug,
			"9016 events, 75 answered, 0 problems, fa4bff9bb8594e0283d0b6ba9f20e575687fe6a0a009faaa3620a46dcc0cec80",
		},
		{
			"a holder that ignores its lease", 1, LeaseIgnored,
			"8629 events, 75 answered, 1 problems, 83bd60653d46183f7cd2eebb89d3c393b6e697d23eaa1db29a8211dd72ab528b",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := goldenRun(t, test.seed, test.bug); got != test.want {
				t.Error(got)
			}
		})
	}
}

// Which voters lead after crashes of the leader, and when.
func TestGolden_leaderKills(t *testing.T) {
	sim := newSimulation(1, NoBug, 3)
	got := ""
	for range 5 {
		sim.runUntil(sim.now() + 2*time.Second)
		leader := sim.leader()
		if leader == nil {
			t.Fatal("no leader")
		}
		got += fmt.Sprintf("%d ", leader.member.Number)
		leader.crash()
		sim.after(time.Second, leader.restart)
	}
	got += fmt.Sprintf("%d %d", sim.now(), sim.report.Events)
	if want := "1 2 3 1 3 9990413614 3885"; got != want {
		t.Error(got)
	}
}
