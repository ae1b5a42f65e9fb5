package fleet

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/gate"
	"harrierhoist/internal/standin"
	"harrierhoist/policy"
)

// push sends one task and checks how it ends.
func push(t *testing.T, f *Fleet, s *standin.Server, want policy.Outcome) gate.Result {
	t.Helper()
	e := &Parcel{Verb: "SVC.QUERY", Customer: "01", ID: "02", Before: "c=a,d=", After: ",k=7"}
	got, value := f.Push(context.Background(), gate.Server{Dial: s.Addr}, e, time.Now().Add(5*time.Second))
	if got.Outcome != want || (value != nil) != (want == policy.Answered) {
		t.Fatalf("ended %v (value %v), want %v", got.Outcome, value, want)
	}
	value.Free()
	return got
}

func fleet(most int) *Fleet { return New(time.Second, time.Minute, []string{"inflight", "util"}, most) }

func TestOutcomesAreTold(t *testing.T) {
	answers := map[string]policy.Outcome{
		standin.Value("hello", 3):                  policy.Answered,
		"-ERR failed used=3,cost=2 inflight=7\r\n": policy.Errored,
		"-BUSY\r\n":    policy.Full,
		standin.HangUp: policy.Reset,
		"":             policy.TimedOut,
	}
	for text, want := range answers {
		s := standin.NewServer(t, func([]string) string { return text })
		f := fleet(10)
		if want == policy.TimedOut {
			e := &Parcel{Verb: "SVC.QUERY"}
			if got, _ := f.Push(context.Background(), gate.Server{Dial: s.Addr}, e, time.Now().Add(100*time.Millisecond)); got.Outcome != want {
				t.Errorf("%q: ended %v", text, got.Outcome)
			}
			continue
		}
		got := push(t, f, s, want)
		if words := strings.Join(s.Got(t), " "); !strings.HasPrefix(words, "SVC.QUERY 01 02 c=a,d=") || !strings.HasSuffix(words, ",k=7") {
			t.Errorf("sent %q", words)
		}
		if cost := map[policy.Outcome]float64{policy.Answered: 3, policy.Errored: 2}[want]; got.Billed != cost {
			t.Errorf("%q: billed %v", text, got.Billed)
		}
	}
}

func TestLoadReportsAreReadByName(t *testing.T) {
	s := standin.NewServer(t, func([]string) string { return "*3\r\n$1\r\nv\r\n$-1\r\n$25\r\ninflight=7,x=1,util=0.610\r\n" })
	if got := push(t, fleet(9), s, policy.Answered).Report; len(got) != 2 || got[0] != 7 || got[1] != 0.61 {
		t.Errorf("got %v", got)
	}
}

func TestConnectionIsUsedAgainButNotOneThatTheServerClosed(t *testing.T) {
	s := standin.NewServer(t, func([]string) string { return standin.Value("hello", 1) })
	f := fleet(10)
	push(t, f, s, policy.Answered)
	push(t, f, s, policy.Answered)
	if n := s.Conns(); n != 1 {
		t.Fatalf("%d connections for two pushes in turn", n)
	}
	_ = s.Conn(t).Close()
	standin.Eventually(t, "the close", func() bool { return !f.kept[spot{dial: s.Addr}][0].Quiet() })
	push(t, f, s, policy.Answered) // written to the closed one, it would have ended as a reset
}

func TestIdleConnectionIsDroppedBeforeTheServerDropsIt(t *testing.T) {
	s := standin.NewServer(t, func([]string) string { return standin.Value("hello", 1) })
	f := New(time.Second, 20*time.Millisecond, nil, 10)
	push(t, f, s, policy.Answered)
	time.Sleep(11 * time.Millisecond) // beyond half of the limit
	push(t, f, s, policy.Answered)
	if n := s.Conns(); n != 2 {
		t.Errorf("%d connections, want a new one", n)
	}
}

func TestGivingUpClosesTheConnection(t *testing.T) {
	s := standin.NewServer(t, func([]string) string { return "" })
	f := fleet(10)
	ctx, giveUp := context.WithCancel(context.Background())
	ended := make(chan policy.Outcome)
	go func() {
		got, _ := f.Push(ctx, gate.Server{Dial: s.Addr}, &Parcel{Verb: "SVC.SUBMIT"}, time.Now().Add(time.Minute))
		ended <- got.Outcome
	}()
	s.Got(t)
	giveUp()
	if got := <-ended; got != policy.Cancelled {
		t.Errorf("ended %v", got)
	}
	if n, err := s.Conn(t).Read(make([]byte, 1)); err == nil {
		t.Errorf("the server still has a connection, with %d bytes", n)
	}
	got, _ := f.Push(ctx, gate.Server{Dial: s.Addr}, &Parcel{}, time.Now().Add(time.Minute))
	if got.Outcome != policy.Moot || f.open != 0 || s.Commands() != 0 {
		t.Errorf("given up before it began: ended %v, %d connections", got.Outcome, f.open)
	}
}

func TestSilentMachineLosesItsIdleConnections(t *testing.T) {
	silent := false
	s := standin.NewServer(t, func([]string) string {
		if silent {
			return ""
		}
		return standin.Value("hello", 1)
	})
	f := fleet(10)
	one, _ := f.take(context.Background(), spot{dial: s.Addr}, time.Now().Add(time.Minute))
	push(t, f, s, policy.Answered)
	f.keep(spot{dial: s.Addr}, one)
	silent = true
	e := &Parcel{Verb: "SVC.QUERY"}
	if got, _ := f.Push(context.Background(), gate.Server{Dial: s.Addr}, e, time.Now().Add(50*time.Millisecond)); got.Outcome != policy.TimedOut {
		t.Fatalf("ended %v", got.Outcome)
	}
	if n := len(f.kept[spot{dial: s.Addr}]); n != 0 || f.open != 0 {
		t.Errorf("%d idle and %d open connections left to a silent machine", n, f.open)
	}
}

func TestNoMoreConnectionsThanHandedOut(t *testing.T) {
	answer := func([]string) string { return standin.Value("hello", 1) }
	a, b := standin.NewServer(t, answer), standin.NewServer(t, answer)
	f := fleet(1)
	push(t, f, a, policy.Answered)
	push(t, f, b, policy.Answered) // takes the place of the idle one
	if _, err := a.Conn(t).Read(make([]byte, 1)); err == nil {
		t.Error("the idle connection stands")
	}
	busy, err := f.take(context.Background(), spot{dial: b.Addr}, time.Now().Add(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	push(t, f, a, policy.NoConnect)
	f.drop(busy)
	push(t, f, a, policy.Answered)
}

func TestProbeTellsTheLoad(t *testing.T) {
	s := standin.NewServer(t, func(words []string) string {
		if strings.Join(words, " ") != "INFO load" {
			return "-ERR\r\n"
		}
		return "$19\r\ninflight=2,util=0.5\r\n"
	})
	told := make(chan gate.Result, 1)
	fleet(1).Probe(gate.Server{Dial: s.Addr}, func(r gate.Result) { told <- r })
	if got := <-told; got.Outcome != policy.Answered || len(got.Report) != 2 || got.Report[1] != 0.5 {
		t.Errorf("told %+v", got)
	}
}

func TestSecondReplyIsNotTakenForTheNextOnes(t *testing.T) {
	s := standin.NewServer(t, func([]string) string { return standin.Value("hello", 1) + standin.Value("hello", 7) })
	f := fleet(10)
	push(t, f, s, policy.Answered)
	if got := push(t, f, s, policy.Answered); got.Billed != 1 || s.Conns() != 2 {
		t.Errorf("billed %v on %d connections", got.Billed, s.Conns())
	}
}

func TestSpoiltAnswerMayHaveRunAndEndsItsConnection(t *testing.T) {
	for _, text := range []string{
		"nonsense\r\n", "*1\r\n$-1\r\n", "*3\r\n$-1\r\n$-1\r\n$-1\r\n", "$5\r\nhello\r\n", "+OK\r\n", ":7\r\n",
		"*2\r\n$1\r\nv\r\n$-1\r\n", "*3\r\n$3000000000\r\nvv", "*3\r\n$1\r\nvvv\r\n$-1\r\n$-1\r\n",
		"-BUSY x\r\n", "-BUSYBUSY\r\n", "-\x00\xff\r\n", "-ERR\r\n", strings.Repeat("-", 1<<20),
		"*3\r\n$1\r\nv\r\n$-1\r\n$12\r\ninflight=7,u", // it stops there, long before the task's time is up
	} {
		s := standin.NewServer(t, func([]string) string { return text })
		f := New(100*time.Millisecond, time.Minute, nil, 10)
		if push(t, f, s, policy.Reset); f.open != 0 {
			t.Errorf("%.20q: its connection is kept", text)
		}
	}
}

func TestFigureThatIsNoneIsNotTakenForUse(t *testing.T) {
	for _, note := range []string{"cost=x", "cost=-1", "cost=NaN", "cost=Inf", "cost", "???"} {
		s := standin.NewServer(t, func([]string) string {
			return fmt.Sprintf("*3\r\n$1\r\nv\r\n$%d\r\n%s\r\n$-1\r\n", len(note), note)
		})
		if got := push(t, fleet(9), s, policy.Answered); got.Billed != 0 {
			t.Errorf("%s: billed %v", note, got.Billed)
		}
	}
}

func TestWhatComesRightBehindAnAnswerIsWaitedForWhereAnotherConnectionRests(t *testing.T) {
	s := standin.NewServer(t, func([]string) string { return standin.Value("hello", 1) })
	f := fleet(10)
	rested, _ := f.take(context.Background(), spot{dial: s.Addr}, time.Now().Add(time.Minute))
	latest, _ := f.take(context.Background(), spot{dial: s.Addr}, time.Now().Add(time.Minute))
	f.keep(spot{dial: s.Addr}, rested)
	time.Sleep(restLeast)
	f.keep(spot{dial: s.Addr}, latest)
	latest.used = time.Now().Add(time.Hour)
	if c := f.idle(spot{dial: s.Addr}); c != rested {
		t.Error("the one that was just used is used again")
	}
	if c := f.idle(spot{dial: s.Addr}); c != latest {
		t.Error("the only one is not used")
	}
}

func TestConnectionsThatRestedLongAreNotUsedWhereSuchWereLost(t *testing.T) {
	var r rests
	now := time.Now()
	for range 40 { // two in a hundred are lost after any rest, and most after long ones
		r.add(now, 20*time.Millisecond, false)
	}
	r.add(now, 20*time.Millisecond, true)
	for range 3 {
		r.add(now, 150*time.Millisecond, true)
		r.add(now, 150*time.Millisecond, false)
	}
	for rest, stale := range map[time.Duration]bool{0: false, 20 * time.Millisecond: false, 150 * time.Millisecond: true, time.Minute: true} {
		if r.stale(rest) != stale {
			t.Errorf("after %v: stale %v", rest, !stale)
		}
	}
	r.add(now.Add(staleHalf), 20*time.Millisecond, false)
	if r.stale(150 * time.Millisecond) {
		t.Error("a longer rest is not tried again")
	}
}

func TestStaleConnectionsCostAFewPushesAndNoMore(t *testing.T) {
	s := standin.NewServer(t, func([]string) string { return standin.Value("hello", 1) })
	f := fleet(10)
	lost := 0
	for range 12 { // the server ends each connection that it is asked on a second time
		for len(f.kept[spot{dial: s.Addr}]) == 0 {
			push(t, f, s, policy.Answered)
		}
		c := f.kept[spot{dial: s.Addr}][0]
		c.used = time.Now().Add(-200 * time.Millisecond)
		_ = c.Conn.Conn.(*net.TCPConn).CloseWrite() // its end is seen by the next push alone
		e := &Parcel{Verb: "SVC.QUERY"}
		if got, value := f.Push(context.Background(), gate.Server{Dial: s.Addr}, e, time.Now().Add(5*time.Second)); got.Outcome != policy.Answered {
			lost++
		} else {
			value.Free()
		}
	}
	if lost == 0 || lost > staleLeast+1 {
		t.Errorf("%d of 12 pushes were lost", lost)
	}
}

// The use of a customer's rate that servers tell was read and dropped.
func TestUseOfTheRateIsPassedOn(t *testing.T) {
	f := &Fleet{}
	for note, want := range map[string]float64{"used=37,cost=4": 1.37, "used=0": 1, "cost=4": 0, "used=x": 0, "used=-3": 0} {
		var out gate.Result
		f.read(&out, note)
		if out.Use < want-1e-9 || out.Use > want+1e-9 {
			t.Errorf("%s stands for %v, want %v", note, out.Use, want)
		}
	}
}
