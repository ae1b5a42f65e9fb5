package upstream

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

func TestIdle_connectionIsReusedUnlessClosedByServer(t *testing.T) {
	s := fakes.NewServer(t, func([]string) string { return fakes.FormatValue("hello", 1) })
	p := newTestPool(10)
	attemptOnce(t, p, s, policy.Answered)
	p.ageIdle(s)
	first := p.idleConnections[endpointKey{address: s.Addr}][0]
	attemptOnce(t, p, s, policy.Answered)
	if connections := p.idleConnections[endpointKey{address: s.Addr}]; len(connections) != 1 || connections[0] != first { // who else came may be a stranger
		t.Fatalf("%d connections idle after two pushes in turn", len(connections))
	}
	_ = s.NextConn(t).Close()
	fakes.Eventually(t, "the close", func() bool { return !p.idleConnections[endpointKey{address: s.Addr}][0].IsQuiet() })
	p.ageIdle(s)
	attemptOnce(t, p, s, policy.Answered) // written to the closed one, it would have ended as a reset
}

func TestIdle_connectionIsClosedBeforeServersLimit(t *testing.T) {
	s := fakes.NewServer(t, func([]string) string { return fakes.FormatValue("hello", 1) })
	p := New(time.Second, time.Second, nil, 10)
	attemptOnce(t, p, s, policy.Answered)
	p.ageIdle(s) // beyond half of the limit
	attemptOnce(t, p, s, policy.Answered)
	if n := s.ConnCount(); n != 2 {
		t.Errorf("%d connections, want a new one", n)
	}
}

func TestIdle_silentServerLosesItsConnections(t *testing.T) {
	silent := false
	s := fakes.NewServer(t, func([]string) string {
		if silent {
			return ""
		}
		return fakes.FormatValue("hello", 1)
	})
	p := newTestPool(10)
	conn, _ := p.acquire(context.Background(), endpointKey{address: s.Addr}, time.Now().Add(time.Minute))
	attemptOnce(t, p, s, policy.Answered)
	p.putIdle(endpointKey{address: s.Addr}, conn)
	silent = true
	command := &Command{Verb: "SVC.QUERY"}
	if got, _ := p.Attempt(decisionWithin(s.Addr, 50*time.Millisecond), command); got.Outcome != policy.TimedOut {
		t.Fatalf("ended %v", got.Outcome)
	}
	if n := len(p.idleConnections[endpointKey{address: s.Addr}]); n != 0 || p.open != 0 {
		t.Errorf("%d idle and %d open connections left to a silent machine", n, p.open)
	}
}

func TestPool_holdsNoMoreThanMaxConnections(t *testing.T) {
	answer := func([]string) string { return fakes.FormatValue("hello", 1) }
	a, b := fakes.NewServer(t, answer), fakes.NewServer(t, answer)
	p := newTestPool(1)
	attemptOnce(t, p, a, policy.Answered)
	attemptOnce(t, p, b, policy.Answered) // takes the place of the idle one
	if _, err := a.NextConn(t).Read(make([]byte, 1)); err == nil {
		t.Error("the idle connection stands")
	}
	busy, err := p.acquire(context.Background(), endpointKey{address: b.Addr}, time.Now().Add(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	attemptOnce(t, p, a, policy.NotSent) // that we have no place says nothing of the server
	p.closeConnection(busy)
	attemptOnce(t, p, a, policy.Answered)
}

// The second answer comes on the first one's connection when the next command is written: whatever looks at the
// connection before that sees nothing on it. Used before it has rested, it gave that answer to the next task; a new one
// is taken instead, also where the resting one has to make room for it.
func TestIdle_lateSecondReplyIsNotTakenForNextOne(t *testing.T) {
	for _, maxConnections := range []int{10, 1} {
		first := make(chan net.Conn, 1)
		var s *fakes.Server
		s = fakes.NewServer(t, func([]string) string {
			select {
			case c := <-first:
				_, _ = io.WriteString(c, fakes.FormatValue("late", 7))
			default:
				first <- s.NextConn(t)
			}
			return fakes.FormatValue("hello", 1)
		})
		p := newTestPool(maxConnections)
		attemptOnce(t, p, s, policy.Answered)
		p.idleConnections[endpointKey{address: s.Addr}][0].lastUsed = time.Now().Add(time.Minute) // only just answered, however slow we are
		if got := attemptOnce(t, p, s, policy.Answered); got.Billed != 1 {
			t.Errorf("billed %v, as the other answer says", got.Billed)
		}
	}
}

func TestIdle_connectionIsReusedAfterMinIdle(t *testing.T) {
	s := fakes.NewServer(t, func([]string) string { return fakes.FormatValue("hello", 1) })
	p := newTestPool(10)
	rested, _ := p.acquire(context.Background(), endpointKey{address: s.Addr}, time.Now().Add(time.Minute))
	latest, _ := p.acquire(context.Background(), endpointKey{address: s.Addr}, time.Now().Add(time.Minute))
	p.putIdle(endpointKey{address: s.Addr}, rested)
	p.ageIdle(s)
	p.putIdle(endpointKey{address: s.Addr}, latest)
	latest.lastUsed = time.Now().Add(time.Hour)
	if conn := p.takeIdle(endpointKey{address: s.Addr}); conn != rested {
		t.Error("the one that was just used is used again")
	}
	if conn := p.takeIdle(endpointKey{address: s.Addr}); conn != nil {
		t.Error("the only one is used though it has not rested")
	}
	latest.lastUsed = time.Now().Add(-minIdleBeforeReuse)
	if conn := p.takeIdle(endpointKey{address: s.Addr}); conn != latest {
		t.Error("it is not used once it has")
	}
}

func TestIdleLosses_longIdleIsStaleWhereSuchWereLost(t *testing.T) {
	var losses idleLosses
	now := time.Now()
	for range 40 { // two in a hundred are lost after any rest, and most after long ones
		losses.record(now, 20*time.Millisecond, false)
	}
	losses.record(now, 20*time.Millisecond, true)
	for range 3 {
		losses.record(now, 150*time.Millisecond, true)
		losses.record(now, 150*time.Millisecond, false)
	}
	for idleFor, stale := range map[time.Duration]bool{0: false, 20 * time.Millisecond: false, 150 * time.Millisecond: true,
		time.Minute: true} {
		if losses.isStale(idleFor) != stale {
			t.Errorf("after %v: stale %v", idleFor, !stale)
		}
	}
	losses.record(now.Add(lossHalfLife), 20*time.Millisecond, false)
	if losses.isStale(150 * time.Millisecond) {
		t.Error("a longer rest is not tried again")
	}
}

func TestIdleLosses_staleConnectionsCostFewAttempts(t *testing.T) {
	s := fakes.NewServer(t, func([]string) string { return fakes.FormatValue("hello", 1) })
	p := newTestPool(10)
	lost := 0
	for range 12 { // the server ends each connection that it is asked on a second time
		for len(p.idleConnections[endpointKey{address: s.Addr}]) == 0 {
			attemptOnce(t, p, s, policy.Answered)
		}
		conn := p.idleConnections[endpointKey{address: s.Addr}][0]
		conn.lastUsed = time.Now().Add(-200 * time.Millisecond)
		_ = conn.Conn.Conn.(*net.TCPConn).CloseWrite() // its end is seen by the next push alone
		command := &Command{Verb: "SVC.QUERY"}
		if got, value := p.Attempt(decisionWithin(s.Addr, 5*time.Second), command); got.Outcome != policy.Answered {
			lost++
		} else {
			value.Free()
		}
	}
	if lost == 0 || lost > minLosses+1 {
		t.Errorf("%d of 12 pushes were lost", lost)
	}
}
