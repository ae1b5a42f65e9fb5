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

// attemptAsync makes an attempt and sends its outcome once it has one.
func (p *Pool) attemptAsync(decision dispatch.Decision) chan policy.Outcome {
	outcomes := make(chan policy.Outcome, 1)
	go func() {
		got, value := p.Attempt(decision, &Command{Verb: "SVC.SUBMIT", Customer: "01", ID: "02"})
		value.Free()
		outcomes <- got.Outcome
	}()
	return outcomes
}

// awaitDial waits until a connection is coming up.
func (p *Pool) awaitDial(t *testing.T) {
	t.Helper()
	fakes.Eventually(t, "a dial", func() bool {
		p.connections.mu.Lock()
		defer p.connections.mu.Unlock()
		return p.connections.open > 0
	})
}

// Nothing is written on a connection that comes up late, for an attempt that was cancelled
// meanwhile or whose write deadline has passed: here the server takes no connection until after
// that.
func TestAttempt_writesNothingOnLateConnection(t *testing.T) {
	for name, test := range map[string]struct {
		writeTimeout   time.Duration
		connectTimeout time.Duration // 0: a minute
		isOnlyTime     bool          // the write deadline is the deadline
		isCancelled    bool          // while it dials
		want           policy.Outcome
	}{
		"cancelled":            {writeTimeout: time.Minute, isCancelled: true, want: policy.NotSent},
		"too late for a retry": {writeTimeout: 100 * time.Millisecond, want: policy.NotSent},
		"never comes up": {
			writeTimeout: time.Minute, connectTimeout: 100 * time.Millisecond, want: policy.ConnectFailed,
		},
		"takes until the deadline": {
			writeTimeout: 100 * time.Millisecond, isOnlyTime: true, want: policy.ConnectFailed,
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
			if test.isOnlyTime {
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
					t.Errorf("outcome %v, %d connections", got, pool.connections.open)
				}
			case <-time.After(10 * time.Second):
				t.Error("still dialing")
			}
			if text := server.CollectBytes(t, 1500*time.Millisecond); text != "" { // a lost SYN comes again after 1 s
				t.Errorf("written: %q", text)
			}
		})
	}
}

// Between the connection and the first byte the attempt may be cancelled: Begin, asked right before
// the byte, settles it, and the connection serves the next attempt.
func TestAttempt_cancelledBeforeFirstByteWritesNothing(t *testing.T) {
	server := fakes.NewServer(t, func([]string) string { return fakes.FormatValue("hello", 1) })
	pool := newTestPool(10)
	for _, idle := range []int{1, 0} { // a new connection is kept, one that was idle is closed
		ctx, cancel := context.WithCancel(context.Background())
		decision := newDecision(ctx, server.Addr, time.Now().Add(time.Minute))
		decision.BeginSend = func() bool {
			cancel()
			return false
		}
		got, idleNow := <-pool.attemptAsync(decision), len(pool.connections.idle[keyOfAddress(server.Addr)])
		if got != policy.NotSent || pool.connections.open != idle || idleNow != idle {
			t.Errorf("outcome %v, %d connections", got, pool.connections.open)
		}
		pool.ageIdle(server)
	}
	attemptOnce(t, pool, server, policy.Answered)
	if n := server.PendingCommands(); n != 1 {
		t.Errorf("%d commands came", n)
	}
}

// ageIdle makes the idle connections to a server idle for a second longer.
func (p *Pool) ageIdle(server *fakes.Server) {
	for _, conn := range p.connections.idle[keyOfAddress(server.Addr)] {
		conn.lastUsed = conn.lastUsed.Add(-time.Second)
	}
}

// What was begun goes on, however late it is for a retry; what is late right before its first byte
// is not begun.
func TestAttempt_writeDeadlineEndsBeforeFirstByteOnly(t *testing.T) {
	answer := make(chan string)
	server := fakes.NewServer(t, func([]string) string { return <-answer })
	pool := newTestPool(10)
	decision := decisionWithin(server.Addr, time.Minute)
	// The loop runs once, unless the machine is slower than the timeout.
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
			t.Fatalf("begun in time: outcome %v", got)
		}
	}
	pool.ageIdle(server) // the connection is there at once: only the last reading of the clock is left
	asked := false
	decision.BeginSend = func() bool { asked = true; return true }
	if got := <-pool.attemptAsync(decision); got != policy.NotSent || asked || server.PendingCommands() != 1 {
		t.Errorf("too late: outcome %v, begun %v, %d commands", got, asked, server.PendingCommands())
	}
}
