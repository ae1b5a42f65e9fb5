package upstream

import (
	"cmp"
	"context"
	"testing"
	"time"

	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// attemptAsync starts an attempt in the background and returns a channel that receives its outcome.
func (p *Pool) attemptAsync(decision dispatch.Decision) chan policy.Outcome {
	outcomes := make(chan policy.Outcome, 1)
	go func() {
		got, value := p.Attempt(decision, &Command{Verb: "SVC.SUBMIT", Customer: "01", ID: "02"})
		value.Free()
		outcomes <- got.Outcome
	}()
	return outcomes
}

// awaitDial waits until the pool is dialing a connection.
func (p *Pool) awaitDial(t *testing.T) {
	t.Helper()
	fakes.Eventually(t, "a dialed connection", func() bool {
		p.connections.mu.Lock()
		defer p.connections.mu.Unlock()
		return p.connections.open > 0
	})
}

// If an attempt is cancelled or passes its write deadline while its connection is being
// established, nothing may be written on that connection. The server accepts no connection until
// after that.
func TestAttempt_writesNothingOnLateConnection(t *testing.T) {
	for name, test := range map[string]struct {
		writeTimeout   time.Duration
		connectTimeout time.Duration // one minute if 0
		noRetryTime    bool          // the deadline equals the write deadline
		isCancelled    bool          // the attempt is cancelled while it dials
		want           policy.Outcome
	}{
		"cancelled":            {writeTimeout: time.Minute, isCancelled: true, want: policy.NotSent},
		"too late for a retry": {writeTimeout: 100 * time.Millisecond, want: policy.NotSent},
		"connect timeout": {
			writeTimeout: time.Minute, connectTimeout: 100 * time.Millisecond, want: policy.ConnectFailed,
		},
		"deadline passes while dialing": {
			writeTimeout: 100 * time.Millisecond, noRetryTime: true, want: policy.ConnectFailed,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := fakes.NewSaturatedServer(t)
			pool := New(cmp.Or(test.connectTimeout, time.Minute), time.Minute, nil, 10)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			decision := newDecision(ctx, server.Addr, time.Now().Add(time.Minute))
			decision.WriteDeadline = time.Now().Add(test.writeTimeout)
			if test.noRetryTime {
				decision.Deadline = decision.WriteDeadline
			}
			outcomes := pool.attemptAsync(decision)
			if test.isCancelled {
				pool.awaitDial(t)
				cancel()
			}
			select {
			case got := <-outcomes:
				if got != test.want || pool.connections.open != 0 {
					t.Errorf("outcome %v, want %v, with %d connections open", got, test.want, pool.connections.open)
				}
			case <-time.After(10 * time.Second):
				t.Error("the attempt has no outcome after 10 s")
			}
			if text := server.CollectBytes(t, 1500*time.Millisecond); text != "" { // a lost SYN is sent again after 1 s
				t.Errorf("the server received %q, want nothing", text)
			}
		})
	}
}

// An attempt may be cancelled after it has a connection and before its first byte is written. It
// calls BeginSend right before that byte, and writes nothing if BeginSend returns false. A new
// connection is then kept for the next attempt.
func TestAttempt_cancelledBeforeFirstByteWritesNothing(t *testing.T) {
	server := fakes.NewServer(t, func([]string) string { return fakes.FormatValue("hello", 1) })
	pool := newTestPool(10)
	for _, wantIdle := range []int{1, 0} { // a new connection is kept, one that was idle before is closed
		ctx, cancel := context.WithCancel(context.Background())
		decision := newDecision(ctx, server.Addr, time.Now().Add(time.Minute))
		decision.BeginSend = func() bool {
			cancel()
			return false
		}
		got, idleNow := <-pool.attemptAsync(decision), len(pool.connections.idle[keyOfAddress(server.Addr)])
		if got != policy.NotSent || pool.connections.open != wantIdle || idleNow != wantIdle {
			t.Errorf("outcome %v, %d connections open, want %d", got, pool.connections.open, wantIdle)
		}
		pool.ageIdle(server)
	}
	attemptOnce(t, pool, server, policy.Answered)
	if n := server.PendingCommands(); n != 1 {
		t.Errorf("the server received %d commands, want 1", n)
	}
}

// ageIdle adds one second to the idle time of each idle connection to a server.
func (p *Pool) ageIdle(server *fakes.Server) {
	for _, conn := range p.connections.idle[keyOfAddress(server.Addr)] {
		conn.lastUsed = conn.lastUsed.Add(-time.Second)
	}
}

// The write deadline applies only until the command is written. An attempt that was written in time
// continues after the write deadline, and one that has passed it before its first byte is not sent.
func TestAttempt_writeDeadlineAppliesOnlyUntilCommandIsWritten(t *testing.T) {
	answer := make(chan string)
	server := fakes.NewServer(t, func([]string) string { return <-answer })
	pool := newTestPool(10)
	decision := decisionWithin(server.Addr, time.Minute)
	// The loop repeats only if the machine is too slow to write the command within the timeout.
	for timeout := 100 * time.Millisecond; server.PendingCommands() == 0; timeout *= 2 {
		decision.WriteDeadline = time.Now().Add(timeout)
		outcomes := pool.attemptAsync(decision)
		fakes.Eventually(t, "a command", func() bool { return server.PendingCommands() > 0 || len(outcomes) > 0 })
		if len(outcomes) > 0 {
			continue
		}
		fakes.Eventually(t, "the write deadline", func() bool { return time.Now().After(decision.WriteDeadline) })
		answer <- fakes.FormatValue("hello", 1)
		if got := <-outcomes; got != policy.Answered {
			t.Fatalf("attempt written in time: outcome %v", got)
		}
	}
	pool.ageIdle(server) // an idle connection needs no dial, so only the check before BeginSend can fail
	begun := false
	decision.BeginSend = func() bool { begun = true; return true }
	if got := <-pool.attemptAsync(decision); got != policy.NotSent || begun || server.PendingCommands() != 1 {
		t.Errorf("write deadline passed: outcome %v, begun %v, %d commands", got, begun, server.PendingCommands())
	}
}
