package upstream

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// newDecision returns a decision to send an attempt to a server. Its BeginSend always returns true.
func newDecision(ctx context.Context, address string, deadline time.Time) dispatch.Decision {
	return dispatch.Decision{
		Server: dispatch.Server{Address: address}, Deadline: deadline, WriteDeadline: deadline, Context: ctx,
		BeginSend: func() bool { return true },
	}
}

// decisionWithin returns a decision that has the given timeout and is never cancelled.
func decisionWithin(address string, timeout time.Duration) dispatch.Decision {
	return newDecision(context.Background(), address, time.Now().Add(timeout))
}

// attemptOnce makes an attempt and fails the test if its outcome is not the wanted one.
func attemptOnce(t *testing.T, pool *Pool, server *fakes.Server, want policy.Outcome) dispatch.Result {
	t.Helper()
	command := &Command{Verb: "SVC.QUERY", Customer: "01", ID: "02", ParamsBefore: "c=a,d=", ParamsAfter: ",k=7"}
	got, value := pool.Attempt(decisionWithin(server.Addr, 5*time.Second), command)
	if got.Outcome != want || (value != nil) != (want == policy.Answered) {
		t.Fatalf("outcome %v (value %v), want %v", got.Outcome, value, want)
	}
	value.Free()
	return got
}

// keyOfAddress returns the key of a server without a name.
func keyOfAddress(address string) endpointKey { return endpointKey{address: address} }

func newTestPool(maxConnections int) *Pool {
	return New(time.Second, time.Minute, []string{"inflight", "util"}, maxConnections)
}

func TestAttempt_outcomes(t *testing.T) {
	for _, test := range []struct {
		name, answer string
		want         policy.Outcome
		wantCost     float64
	}{
		{"value", fakes.FormatValue("hello", 3), policy.Answered, 3},
		{"error", "-ERR failed used=3,cost=2 inflight=7\r\n", policy.Errored, 2},
		{"busy", "-BUSY\r\n", policy.Rejected, 0},
		{"connection closed", fakes.CloseConn, policy.Reset, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server := fakes.NewServer(t, func([]string) string { return test.answer })
			got := attemptOnce(t, newTestPool(10), server, test.want)
			words := strings.Join(server.NextCommand(t), " ")
			if !strings.HasPrefix(words, "SVC.QUERY 01 02 c=a,d=") || !strings.HasSuffix(words, ",k=7") {
				t.Errorf("the server received %q", words)
			}
			if got.ActualUnits != test.wantCost {
				t.Errorf("cost %v, want %v", got.ActualUnits, test.wantCost)
			}
		})
	}
}

func TestAttempt_silentServerTimesOut(t *testing.T) {
	server := fakes.NewServer(t, func([]string) string { return "" })
	decision := decisionWithin(server.Addr, 100*time.Millisecond)
	if got, _ := newTestPool(10).Attempt(decision, &Command{Verb: "SVC.QUERY"}); got.Outcome != policy.TimedOut {
		t.Errorf("outcome %v", got.Outcome)
	}
}

func TestParseReply_loadReportIsReadByName(t *testing.T) {
	server := fakes.NewServer(t, func([]string) string {
		return "*3\r\n$1\r\nv\r\n$-1\r\n$25\r\ninflight=7,x=1,util=0.610\r\n"
	})
	got := attemptOnce(t, newTestPool(9), server, policy.Answered).LoadReport
	if len(got) != 2 || got[0] != 7 || got[1] != 0.61 {
		t.Errorf("got %v", got)
	}
}

func TestAttempt_cancellingClosesConnection(t *testing.T) {
	server := fakes.NewServer(t, func([]string) string { return "" })
	pool := newTestPool(10)
	ctx, cancel := context.WithCancel(context.Background())
	outcomes := make(chan policy.Outcome)
	go func() {
		got, _ := pool.Attempt(newDecision(ctx, server.Addr, time.Now().Add(time.Minute)), &Command{Verb: "SVC.SUBMIT"})
		outcomes <- got.Outcome
	}()
	server.NextCommand(t)
	cancel()
	if got := <-outcomes; got != policy.Cancelled {
		t.Errorf("outcome %v", got)
	}
	if n, err := server.NextConn(t).Read(make([]byte, 1)); err == nil {
		t.Errorf("the connection is still open, %d bytes read from it", n)
	}
	got, _ := pool.Attempt(newDecision(ctx, server.Addr, time.Now().Add(time.Minute)), &Command{})
	if got.Outcome != policy.NotSent || pool.connections.open != 0 || server.PendingCommands() != 0 {
		t.Errorf("cancelled before it began: outcome %v, %d connections", got.Outcome, pool.connections.open)
	}
}

func TestCheckHealth_reportsLoad(t *testing.T) {
	server := fakes.NewServer(t, func(words []string) string {
		if strings.Join(words, " ") != "INFO load" {
			return "-ERR\r\n"
		}
		return "$19\r\ninflight=2,util=0.5\r\n"
	})
	results := make(chan dispatch.Result, 1)
	newTestPool(1).CheckHealth(dispatch.Server{Address: server.Addr}, func(r dispatch.Result) { results <- r })
	if got := <-results; got.Outcome != policy.Answered || len(got.LoadReport) != 2 || got.LoadReport[1] != 0.5 {
		t.Errorf("result %+v", got)
	}
}

// A health check that ends without a valid reply counts as timed out.
func TestCheckHealth_outcomes(t *testing.T) {
	for reply, want := range map[string]policy.Outcome{
		"+PONG\r\n":    policy.Answered,
		"-ERR\r\n":     policy.Errored,
		"nonsense\r\n": policy.TimedOut,
	} {
		server := fakes.NewServer(t, func([]string) string { return reply })
		results := make(chan dispatch.Result, 1)
		newTestPool(1).CheckHealth(dispatch.Server{Address: server.Addr}, func(r dispatch.Result) { results <- r })
		if got := <-results; got.Outcome != want {
			t.Errorf("%q: outcome %v, want %v", reply, got.Outcome, want)
		}
	}
}

func TestAttempt_extraReplyIsNotReadAsNextReply(t *testing.T) {
	server := fakes.NewServer(t, func([]string) string {
		return fakes.FormatValue("hello", 1) + fakes.FormatValue("hello", 7)
	})
	pool := newTestPool(10)
	attemptOnce(t, pool, server, policy.Answered)
	if got := attemptOnce(t, pool, server, policy.Answered); got.ActualUnits != 1 || server.ConnCount() != 2 {
		t.Errorf("cost %v with %d connections, want 1 with 2", got.ActualUnits, server.ConnCount())
	}
}

func TestAttempt_malformedAnswerClosesConnection(t *testing.T) {
	for _, text := range []string{
		"nonsense\r\n", "*1\r\n$-1\r\n", "*3\r\n$-1\r\n$-1\r\n$-1\r\n", "$5\r\nhello\r\n", "+OK\r\n", ":7\r\n",
		"*2\r\n$1\r\nv\r\n$-1\r\n", "*3\r\n$3000000000\r\nvv", "*3\r\n$1\r\nvvv\r\n$-1\r\n$-1\r\n",
		"-BUSY x\r\n", "-BUSYBUSY\r\n", "-\x00\xff\r\n", "-ERR\r\n", strings.Repeat("-", 1<<20),
		"*3\r\n$1\r\nv\r\n$-1\r\n$12\r\ninflight=7,u", // the server pauses here, long before the deadline
	} {
		server := fakes.NewServer(t, func([]string) string { return text })
		pool := New(100*time.Millisecond, time.Minute, nil, 10)
		if attemptOnce(t, pool, server, policy.Reset); pool.connections.open != 0 {
			t.Errorf("%.20q: the connection was not closed", text)
		}
	}
}

func TestParseReply_invalidNumberIsIgnored(t *testing.T) {
	for _, attribute := range []string{"cost=x", "cost=-1", "cost=NaN", "cost=Inf", "cost", "???"} {
		server := fakes.NewServer(t, func([]string) string {
			return fmt.Sprintf("*3\r\n$1\r\nv\r\n$%d\r\n%s\r\n$-1\r\n", len(attribute), attribute)
		})
		if got := attemptOnce(t, newTestPool(9), server, policy.Answered); got.ActualUnits != 0 {
			t.Errorf("%s: cost %v, want none", attribute, got.ActualUnits)
		}
	}
}

// The customer's usage of its rate, as reported by a server, must be stored in the result.
func TestParseAttribute_usage(t *testing.T) {
	pool := &Pool{}
	for attribute, want := range map[string]float64{
		"used=37,cost=4": 1.37, "used=0": 1, "cost=4": 0, "used=x": 0, "used=-3": 0,
	} {
		var result dispatch.Result
		pool.parseAttribute(&result, attribute)
		if result.Usage < want-1e-9 || result.Usage > want+1e-9 {
			t.Errorf("%s: usage %v, want %v", attribute, result.Usage, want)
		}
	}
}
