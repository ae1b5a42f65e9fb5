package upstream

import (
	"cmp"
	"context"
	"testing"
	"time"

	"harrierhoist/internal/dispatch"
	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// attemptAsync is how a push ended, once it has.
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
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.open > 0
	})
}

// Nothing is written on a connection that comes up late, for an attempt that was called off meanwhile or whose time to
// be repeated is over: here the server takes no connection until after that.
func TestAttempt_writesNothingOnLateConnection(t *testing.T) {
	for name, c := range map[string]struct {
		by, within   time.Duration
		all, callOff bool // by is all the time there is; it is called off while dialing
		want         policy.Outcome
	}{
		"called off":            {by: time.Minute, callOff: true, want: policy.NotSent},
		"too late for a repeat": {by: 100 * time.Millisecond, want: policy.NotSent},
		"it never comes up":     {by: time.Minute, within: 100 * time.Millisecond, want: policy.ConnectFailed},
		"it takes all the time": {by: 100 * time.Millisecond, all: true, want: policy.ConnectFailed},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := fakes.NewSaturatedServer(t)
			p := New(cmp.Or(c.within, time.Minute), time.Minute, nil, 10)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			decision := newDecision(ctx, s.Addr, time.Now().Add(time.Minute))
			if decision.WriteDeadline = time.Now().Add(c.by); c.all {
				decision.Deadline = decision.WriteDeadline
			}
			outcomes := p.attemptAsync(decision)
			if c.callOff {
				p.awaitDial(t)
				cancel()
			}
			select {
			case got := <-outcomes:
				if got != c.want || p.open != 0 {
					t.Errorf("ended %v, %d connections", got, p.open)
				}
			case <-time.After(10 * time.Second):
				t.Error("still dialing")
			}
			if text := s.CollectBytes(t, 1500*time.Millisecond); text != "" { // a lost SYN comes again after 1 s
				t.Errorf("written: %q", text)
			}
		})
	}
}

// Between the connection and the first byte the attempt may be called off: the one question before the byte settles
// it, and the connection serves the next push.
func TestAttempt_cancelledBeforeFirstByteWritesNothing(t *testing.T) {
	s := fakes.NewServer(t, func([]string) string { return fakes.FormatValue("hello", 1) })
	p := newTestPool(10)
	for _, idle := range []int{1, 0} { // a new connection is kept, one that had rested is dropped
		ctx, cancel := context.WithCancel(context.Background())
		decision := newDecision(ctx, s.Addr, time.Now().Add(time.Minute))
		decision.Begin = func() bool {
			cancel()
			return false
		}
		if got := <-p.attemptAsync(decision); got != policy.NotSent || p.open != idle || len(p.idleConnections[endpointKey{address: s.Addr}]) != idle {
			t.Errorf("ended %v, %d connections", got, p.open)
		}
		p.ageIdle(s)
	}
	attemptOnce(t, p, s, policy.Answered)
	if n := s.PendingCommands(); n != 1 {
		t.Errorf("%d commands came", n)
	}
}

// ageIdle makes the idle connections to a server rested ones.
func (p *Pool) ageIdle(s *fakes.Server) {
	for _, conn := range p.idleConnections[endpointKey{address: s.Addr}] {
		conn.lastUsed = conn.lastUsed.Add(-time.Second)
	}
}

// What was begun goes on, however late it is for a repeat; what is late right before its first byte is not begun.
func TestAttempt_writeDeadlineEndsBeforeFirstByteOnly(t *testing.T) {
	answer := make(chan string)
	s := fakes.NewServer(t, func([]string) string { return <-answer })
	p := newTestPool(10)
	decision := decisionWithin(s.Addr, time.Minute)
	for span := 100 * time.Millisecond; s.PendingCommands() == 0; span *= 2 { // once, unless we are slower than that
		decision.WriteDeadline = time.Now().Add(span)
		outcomes := p.attemptAsync(decision)
		fakes.Eventually(t, "a command", func() bool { return s.PendingCommands() > 0 || len(outcomes) > 0 })
		if len(outcomes) > 0 {
			continue
		}
		fakes.Eventually(t, "the end of the time", func() bool { return time.Now().After(decision.WriteDeadline) })
		answer <- fakes.FormatValue("hello", 1)
		if got := <-outcomes; got != policy.Answered {
			t.Fatalf("begun in time it ended %v", got)
		}
	}
	p.ageIdle(s) // the connection is there at once: only the last look at the clock is left
	asked := false
	decision.Begin = func() bool { asked = true; return true }
	if got := <-p.attemptAsync(decision); got != policy.NotSent || asked || s.PendingCommands() != 1 {
		t.Errorf("too late it ended %v, begun %v, %d commands", got, asked, s.PendingCommands())
	}
}
