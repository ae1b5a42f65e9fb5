package simulation

import (
	"crypto/sha256"
	"fmt"
	"io"
	"testing"
	"time"
)

// goldenStep is how often a run is looked at while it is played.
const goldenStep = 5 * time.Millisecond

// recordState writes down how the voters and holders stand at a moment.
func (s *simulation) recordState(to io.Writer) {
	fmt.Fprintf(to, "%d %d %d %d\n", s.now, s.report.Events, s.report.Answered, s.highestEpoch)
	for _, n := range s.nodes {
		status := n.consensus.Status()
		fmt.Fprintf(to, "voter %d %v %v %v %d: %d %d %d %d\n", n.member.Number, n.up, n.suspended, n.syncing, n.incarnation,
			status.Leader, status.Term, status.Applied, len(n.synced))
	}
	for _, h := range s.leaseHolders {
		fmt.Fprintf(to, "holder %d %d %d %d\n", h.voterIndex, h.epoch, h.leaseEnd, h.attempt)
	}
	for _, r := range s.reporters {
		fmt.Fprintf(to, "teller %d %d %d %d\n", r.voterIndex, r.count, r.serial, r.session)
	}
}

// goldenRun plays a seed as Run does, and gives a hash of all that was seen, answered and written.
func goldenRun(t *testing.T, seed uint64, bug Bug) string {
	t.Helper()
	s := newSimulation(seed, bug, 3+2*int(seed%2))
	s.after(0, s.injectFault)
	sum := sha256.New()
	for until := goldenStep; until <= runDuration; until += goldenStep {
		s.runUntil(until)
		s.recordState(sum)
	}
	s.checkEndState()
	for _, o := range s.history {
		input, output := o.Input.(call), o.Output.(answer)
		fmt.Fprintf(sum, "call %d %d %d: %v %d %q: %v %v %d %q\n", o.ClientId, o.Call, o.Return, input.write, input.epoch,
			input.value, output.known, output.applied, output.epoch, output.value)
	}
	for _, n := range s.nodes {
		for _, record := range n.synced {
			fmt.Fprintf(sum, "record %d %x\n", n.member.Number, record)
		}
		state, err := n.consensus.State().Snapshot()
		fmt.Fprintf(sum, "state %x %v\n", state, err)
	}
	if r := Run(seed, bug); r.Events != s.report.Events || r.Answered != s.report.Answered || r.Trace != s.report.Trace {
		t.Errorf("seed %d: %+v, but %+v step by step", seed, r, s.report)
	}
	return fmt.Sprintf("%d events, %d answered, %d problems, %x", s.report.Events, s.report.Answered, len(s.report.Violations),
		sum.Sum(nil))
}

// The same seeds give what they gave in the version before: messages, writes, draws and times.
func TestGolden_runs(t *testing.T) {
	for _, c := range []struct {
		name string
		seed uint64
		bug  Bug
		want string
	}{
		{"three voters", 2, NoBug,
			"5286 events, 75 answered, 0 problems, d368ffdc4798f620cf3977a15520971f925619ded46266d6ce81bea530725f72"},
		{"five voters", 3, NoBug,
			"9016 events, 75 answered, 0 problems, fa4bff9bb8594e0283d0b6ba9f20e575687fe6a0a009faaa3620a46dcc0cec80"},
		{"a holder that ignores its lease", 1, LeaseIgnored,
			"8629 events, 75 answered, 1 problems, 83bd60653d46183f7cd2eebb89d3c393b6e697d23eaa1db29a8211dd72ab528b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := goldenRun(t, c.seed, c.bug); got != c.want {
				t.Error(got)
			}
		})
	}
}

// Which voter leads, and which entries stand where, after kills of the leader.
func TestGolden_leaderKills(t *testing.T) {
	s := newSimulation(1, NoBug, 3)
	got := ""
	for range 5 {
		s.runUntil(s.now + 2*time.Second)
		leader := s.leader()
		if leader == nil {
			t.Fatal("no leader")
		}
		got += fmt.Sprintf("%d ", leader.member.Number)
		leader.crash()
		s.after(time.Second, leader.restart)
	}
	got += fmt.Sprintf("%d %d", s.now, s.report.Events)
	if want := "1 2 3 1 3 9990413614 3885"; got != want {
		t.Error(got)
	}
}
