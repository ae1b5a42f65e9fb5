package upstream

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/dispatch"
	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// newDecision is a choice of a server for a push that may begin.
func newDecision(ctx context.Context, address string, deadline time.Time) dispatch.Decision {
	return dispatch.Decision{Server: dispatch.Server{Address: address}, Deadline: deadline, WriteDeadline: deadline, Context: ctx, Begin: func() bool { return true }}
}

// decisionWithin is one that nobody calls off.
func decisionWithin(address string, span time.Duration) dispatch.Decision {
	return newDecision(context.Background(), address, time.Now().Add(span))
}

// attemptOnce sends one task and checks how it ends.
func attemptOnce(t *testing.T, p *Pool, s *fakes.Server, want policy.Outcome) dispatch.Result {
	t.Helper()
	command := &Command{Verb: "SVC.QUERY", Customer: "01", ID: "02", ParamsBefore: "c=a,d=", ParamsAfter: ",k=7"}
	got, value := p.Attempt(decisionWithin(s.Addr, 5*time.Second), command)
	if got.Outcome != want || (value != nil) != (want == policy.Answered) {
		t.Fatalf("ended %v (value %v), want %v", got.Outcome, value, want)
	}
	value.Free()
	return got
}

func newTestPool(maxConnections int) *Pool {
	return New(time.Second, time.Minute, []string{"inflight", "util"}, maxConnections)
}

func TestAttempt_outcomes(t *testing.T) {
	answers := map[string]policy.Outcome{
		fakes.FormatValue("hello", 3):              policy.Answered,
		"-ERR failed used=3,cost=2 inflight=7\r\n": policy.Errored,
		"-BUSY\r\n":     policy.Rejected,
		fakes.CloseConn: policy.Reset,
		"":              policy.TimedOut,
	}
	for text, want := range answers {
		s := fakes.NewServer(t, func([]string) string { return text })
		p := newTestPool(10)
		if want == policy.TimedOut {
			command := &Command{Verb: "SVC.QUERY"}
			if got, _ := p.Attempt(decisionWithin(s.Addr, 100*time.Millisecond), command); got.Outcome != want {
				t.Errorf("%q: ended %v", text, got.Outcome)
			}
			continue
		}
		got := attemptOnce(t, p, s, want)
		words := strings.Join(s.NextCommand(t), " ")
		if !strings.HasPrefix(words, "SVC.QUERY 01 02 c=a,d=") || !strings.HasSuffix(words, ",k=7") {
			t.Errorf("sent %q", words)
		}
		if cost := map[policy.Outcome]float64{policy.Answered: 3, policy.Errored: 2}[want]; got.Billed != cost {
			t.Errorf("%q: billed %v", text, got.Billed)
		}
	}
}

func TestParseReply_loadReportIsReadByName(t *testing.T) {
	s := fakes.NewServer(t, func([]string) string { return "*3\r\n$1\r\nv\r\n$-1\r\n$25\r\ninflight=7,x=1,util=0.610\r\n" })
	if got := attemptOnce(t, newTestPool(9), s, policy.Answered).LoadReport; len(got) != 2 || got[0] != 7 || got[1] != 0.61 {
		t.Errorf("got %v", got)
	}
}

func TestAttempt_cancellingClosesConnection(t *testing.T) {
	s := fakes.NewServer(t, func([]string) string { return "" })
	p := newTestPool(10)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan policy.Outcome)
	go func() {
		got, _ := p.Attempt(newDecision(ctx, s.Addr, time.Now().Add(time.Minute)), &Command{Verb: "SVC.SUBMIT"})
		ended <- got.Outcome
	}()
	s.NextCommand(t)
	cancel()
	if got := <-ended; got != policy.Cancelled {
		t.Errorf("ended %v", got)
	}
	if n, err := s.NextConn(t).Read(make([]byte, 1)); err == nil {
		t.Errorf("the server still has a connection, with %d bytes", n)
	}
	got, _ := p.Attempt(newDecision(ctx, s.Addr, time.Now().Add(time.Minute)), &Command{})
	if got.Outcome != policy.NotSent || p.open != 0 || s.PendingCommands() != 0 {
		t.Errorf("given up before it began: ended %v, %d connections", got.Outcome, p.open)
	}
}

func TestCheckHealth_reportsLoad(t *testing.T) {
	s := fakes.NewServer(t, func(words []string) string {
		if strings.Join(words, " ") != "INFO load" {
			return "-ERR\r\n"
		}
		return "$19\r\ninflight=2,util=0.5\r\n"
	})
	results := make(chan dispatch.Result, 1)
	newTestPool(1).CheckHealth(dispatch.Server{Address: s.Addr}, func(r dispatch.Result) { results <- r })
	if got := <-results; got.Outcome != policy.Answered || len(got.LoadReport) != 2 || got.LoadReport[1] != 0.5 {
		t.Errorf("told %+v", got)
	}
}

func TestAttempt_secondReplyIsNotTakenForNextOne(t *testing.T) {
	s := fakes.NewServer(t, func([]string) string { return fakes.FormatValue("hello", 1) + fakes.FormatValue("hello", 7) })
	p := newTestPool(10)
	attemptOnce(t, p, s, policy.Answered)
	if got := attemptOnce(t, p, s, policy.Answered); got.Billed != 1 || s.ConnCount() != 2 {
		t.Errorf("billed %v on %d connections", got.Billed, s.ConnCount())
	}
}

func TestAttempt_malformedAnswerClosesConnection(t *testing.T) {
	for _, text := range []string{
		"nonsense\r\n", "*1\r\n$-1\r\n", "*3\r\n$-1\r\n$-1\r\n$-1\r\n", "$5\r\nhello\r\n", "+OK\r\n", ":7\r\n",
		"*2\r\n$1\r\nv\r\n$-1\r\n", "*3\r\n$3000000000\r\nvv", "*3\r\n$1\r\nvvv\r\n$-1\r\n$-1\r\n",
		"-BUSY x\r\n", "-BUSYBUSY\r\n", "-\x00\xff\r\n", "-ERR\r\n", strings.Repeat("-", 1<<20),
		"*3\r\n$1\r\nv\r\n$-1\r\n$12\r\ninflight=7,u", // it stops there, long before the task's time is up
	} {
		s := fakes.NewServer(t, func([]string) string { return text })
		p := New(100*time.Millisecond, time.Minute, nil, 10)
		if attemptOnce(t, p, s, policy.Reset); p.open != 0 {
			t.Errorf("%.20q: its connection is kept", text)
		}
	}
}

func TestParseReply_invalidFigureIsIgnored(t *testing.T) {
	for _, attribute := range []string{"cost=x", "cost=-1", "cost=NaN", "cost=Inf", "cost", "???"} {
		s := fakes.NewServer(t, func([]string) string {
			return fmt.Sprintf("*3\r\n$1\r\nv\r\n$%d\r\n%s\r\n$-1\r\n", len(attribute), attribute)
		})
		if got := attemptOnce(t, newTestPool(9), s, policy.Answered); got.Billed != 0 {
			t.Errorf("%s: billed %v", attribute, got.Billed)
		}
	}
}

// The use of a customer's rate that servers tell was read and dropped.
func TestReadFigures_quotaUse(t *testing.T) {
	p := &Pool{}
	for attribute, want := range map[string]float64{"used=37,cost=4": 1.37, "used=0": 1, "cost=4": 0, "used=x": 0, "used=-3": 0} {
		var result dispatch.Result
		p.readFigures(&result, attribute)
		if result.Use < want-1e-9 || result.Use > want+1e-9 {
			t.Errorf("%s stands for %v, want %v", attribute, result.Use, want)
		}
	}
}
