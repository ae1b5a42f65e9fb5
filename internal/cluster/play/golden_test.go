package play

import (
	"crypto/sha256"
	"fmt"
	"io"
	"testing"
	"time"
)

// goldenStep is how often a run is looked at while it is played.
const goldenStep = 5 * time.Millisecond

// see writes down how the voters and holders stand at a moment.
func (w *world) see(to io.Writer) {
	fmt.Fprintf(to, "%d %d %d %d\n", w.now, w.report.Events, w.report.Done, w.top)
	for _, n := range w.nodes {
		s := n.core.Status()
		fmt.Fprintf(to, "voter %d %v %v %v %d: %d %d %d %d\n", n.member.Number, n.up, n.asleep, n.writing, n.life,
			s.Leader, s.Term, s.Applied, len(n.disk))
	}
	for _, h := range w.holders {
		fmt.Fprintf(to, "holder %d %d %d %d\n", h.at, h.epoch, h.until, h.try)
	}
	for _, t := range w.teller {
		fmt.Fprintf(to, "teller %d %d %d %d\n", t.at, t.count, t.serial, t.session)
	}
}

// goldenRun plays a seed as Run does, and gives a hash of all that was seen, answered and written.
func goldenRun(t *testing.T, seed uint64, bug Bug) string {
	t.Helper()
	w := newWorld(seed, bug, 3+2*int(seed%2))
	w.at(0, w.trouble)
	sum := sha256.New()
	for until := goldenStep; until <= length; until += goldenStep {
		w.run(until)
		w.see(sum)
	}
	w.check()
	for _, o := range w.history {
		input, output := o.Input.(call), o.Output.(answer)
		fmt.Fprintf(sum, "call %d %d %d: %v %d %q: %v %v %d %q\n", o.ClientId, o.Call, o.Return, input.write, input.epoch,
			input.value, output.known, output.applied, output.epoch, output.value)
	}
	for _, n := range w.nodes {
		for _, record := range n.disk {
			fmt.Fprintf(sum, "record %d %x\n", n.member.Number, record)
		}
		state, err := n.core.State().Snapshot()
		fmt.Fprintf(sum, "state %x %v\n", state, err)
	}
	if r := Run(seed, bug); r.Events != w.report.Events || r.Done != w.report.Done || r.Trace != w.report.Trace {
		t.Errorf("seed %d: %+v, but %+v step by step", seed, r, w.report)
	}
	return fmt.Sprintf("%d events, %d answered, %d problems, %x", w.report.Events, w.report.Done, len(w.report.Problems),
		sum.Sum(nil))
}

// The same seeds give what they gave in the version before: messages, writes, draws and times.
func TestGoldenRuns(t *testing.T) {
	for _, c := range []struct {
		name string
		seed uint64
		bug  Bug
		want string
	}{
		{"three voters", 2, None,
			"5286 events, 75 answered, 0 problems, d368ffdc4798f620cf3977a15520971f925619ded46266d6ce81bea530725f72"},
		{"five voters", 3, None,
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
func TestGoldenKills(t *testing.T) {
	w := newWorld(1, None, 3)
	got := ""
	for range 5 {
		w.run(w.now + 2*time.Second)
		l := w.leader()
		if l == nil {
			t.Fatal("no leader")
		}
		got += fmt.Sprintf("%d ", l.member.Number)
		l.crash()
		w.at(time.Second, l.restart)
	}
	got += fmt.Sprintf("%d %d", w.now, w.report.Events)
	if want := "1 2 3 1 3 9990413614 3885"; got != want {
		t.Error(got)
	}
}
