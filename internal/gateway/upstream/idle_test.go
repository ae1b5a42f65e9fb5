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
	server := fakes.NewServer(t, func([]string) string { return fakes.FormatValue("hello", 1) })
	pool := newTestPool(10)
	attemptOnce(t, pool, server, policy.Answered)
	pool.ageIdle(server)
	first := pool.connections.idle[keyOfAddress(server.Addr)][0]
	attemptOnce(t, pool, server, policy.Answered)
	if idle := pool.connections.idle[keyOfAddress(server.Addr)]; len(idle) != 1 || idle[0] != first {
		t.Fatalf("%d connections idle after two consecutive attempts, want the first one only", len(idle))
	}
	_ = server.NextConn(t).Close()
	fakes.Eventually(t, "the close", func() bool {
		return !pool.connections.idle[keyOfAddress(server.Addr)][0].IsIdle()
	})
	pool.ageIdle(server)
	attemptOnce(t, pool, server, policy.Answered) // on the closed connection it would have ended with Reset
}

func TestIdle_connectionIsClosedBeforeServersLimit(t *testing.T) {
	server := fakes.NewServer(t, func([]string) string { return fakes.FormatValue("hello", 1) })
	pool := New(time.Second, time.Second, nil, 10)
	attemptOnce(t, pool, server, policy.Answered)
	pool.ageIdle(server) // longer than half of the servers' limit
	attemptOnce(t, pool, server, policy.Answered)
	if n := server.ConnCount(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

func TestIdle_connectionsAreClosedAfterTimedOutAttempt(t *testing.T) {
	silent := false
	server := fakes.NewServer(t, func([]string) string {
		if silent {
			return ""
		}
		return fakes.FormatValue("hello", 1)
	})
	pool := newTestPool(10)
	conn, _ := pool.connections.acquire(context.Background(), keyOfAddress(server.Addr), time.Now().Add(time.Minute))
	attemptOnce(t, pool, server, policy.Answered)
	pool.connections.putIdle(keyOfAddress(server.Addr), conn)
	silent = true
	command := &Command{Verb: "SVC.QUERY"}
	got, _ := pool.Attempt(decisionWithin(server.Addr, 50*time.Millisecond), command)
	if got.Outcome != policy.TimedOut {
		t.Fatalf("outcome %v", got.Outcome)
	}
	if n := len(pool.connections.idle[keyOfAddress(server.Addr)]); n != 0 || pool.connections.open != 0 {
		t.Errorf("%d idle and %d open connections to the unresponsive server, want none", n, pool.connections.open)
	}
}

func TestPool_holdsNoMoreThanMaxConnections(t *testing.T) {
	answer := func([]string) string { return fakes.FormatValue("hello", 1) }
	first, second := fakes.NewServer(t, answer), fakes.NewServer(t, answer)
	pool := newTestPool(1)
	attemptOnce(t, pool, first, policy.Answered)
	attemptOnce(t, pool, second, policy.Answered) // replaces the idle connection
	if _, err := first.NextConn(t).Read(make([]byte, 1)); err == nil {
		t.Error("the idle connection is still open")
	}
	busy, err := pool.connections.acquire(context.Background(), keyOfAddress(second.Addr), time.Now().Add(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	attemptOnce(t, pool, first, policy.NotSent) // the pool is exhausted, which is no failure of the server
	pool.connections.close(busy)
	attemptOnce(t, pool, first, policy.Answered)
}

// A server may send a second reply shortly after the first, too late for the check of the
// connection for unread bytes. If the connection is reused too soon, the next request gets that
// reply. A new connection must be used instead, even if the pool has to close the idle one to make
// room for it. Here the server sends the second reply when it receives the next command.
func TestIdle_lateExtraReplyIsNotReadAsNextReply(t *testing.T) {
	for _, maxConnections := range []int{10, 1} {
		first := make(chan net.Conn, 1)
		var server *fakes.Server
		server = fakes.NewServer(t, func([]string) string {
			select {
			case c := <-first:
				_, _ = io.WriteString(c, fakes.FormatValue("late", 7))
			default:
				first <- server.NextConn(t)
			}
			return fakes.FormatValue("hello", 1)
		})
		pool := newTestPool(maxConnections)
		attemptOnce(t, pool, server, policy.Answered)
		// The time is in the future so that minIdleBeforeReuse has not passed on a slow machine.
		pool.connections.idle[keyOfAddress(server.Addr)][0].lastUsed = time.Now().Add(time.Minute)
		if got := attemptOnce(t, pool, server, policy.Answered); got.ActualUnits != 1 {
			t.Errorf("cost %v, want 1: the late reply was read as this one", got.ActualUnits)
		}
	}
}

func TestIdle_connectionIsReusedAfterMinIdle(t *testing.T) {
	server := fakes.NewServer(t, func([]string) string { return fakes.FormatValue("hello", 1) })
	pool := newTestPool(10)
	earlier, _ := pool.connections.acquire(context.Background(), keyOfAddress(server.Addr), time.Now().Add(time.Minute))
	latest, _ := pool.connections.acquire(context.Background(), keyOfAddress(server.Addr), time.Now().Add(time.Minute))
	pool.connections.putIdle(keyOfAddress(server.Addr), earlier)
	pool.ageIdle(server)
	pool.connections.putIdle(keyOfAddress(server.Addr), latest)
	latest.lastUsed = time.Now().Add(time.Hour)
	if conn := pool.connections.takeIdle(keyOfAddress(server.Addr)); conn != earlier {
		t.Error("want the earlier connection, as the latest was just used")
	}
	if conn := pool.connections.takeIdle(keyOfAddress(server.Addr)); conn != nil {
		t.Error("a connection was reused before minIdleBeforeReuse")
	}
	latest.lastUsed = time.Now().Add(-minIdleBeforeReuse)
	if conn := pool.connections.takeIdle(keyOfAddress(server.Addr)); conn != latest {
		t.Error("a connection was not reused after minIdleBeforeReuse")
	}
}

func TestIdleLosses_idleTimeWithManyLossesIsStale(t *testing.T) {
	var losses idleLosses
	now := time.Now()
	for range 40 { // few connections are lost after 20 ms, and half of them after 150 ms
		losses.record(now, 20*time.Millisecond, false)
	}
	losses.record(now, 20*time.Millisecond, true)
	for range 3 {
		losses.record(now, 150*time.Millisecond, true)
		losses.record(now, 150*time.Millisecond, false)
	}
	for idleFor, stale := range map[time.Duration]bool{
		0: false, 20 * time.Millisecond: false, 150 * time.Millisecond: true, time.Minute: true,
	} {
		if losses.isStale(idleFor) != stale {
			t.Errorf("after %v: stale %v, want %v", idleFor, !stale, stale)
		}
	}
	losses.record(now.Add(lossHalfLife), 20*time.Millisecond, false)
	if losses.isStale(150 * time.Millisecond) {
		t.Error("a stale idle time is not tried again after lossHalfLife")
	}
}

func TestIdleLosses_staleConnectionsCostFewAttempts(t *testing.T) {
	server := fakes.NewServer(t, func([]string) string { return fakes.FormatValue("hello", 1) })
	pool := newTestPool(10)
	lost := 0
	for range 12 { // each connection ends before its second command is written
		for len(pool.connections.idle[keyOfAddress(server.Addr)]) == 0 {
			attemptOnce(t, pool, server, policy.Answered)
		}
		conn := pool.connections.idle[keyOfAddress(server.Addr)][0]
		conn.lastUsed = time.Now().Add(-200 * time.Millisecond)
		_ = conn.Conn.Conn.(*net.TCPConn).CloseWrite() // the next attempt is the first to detect it
		command := &Command{Verb: "SVC.QUERY"}
		got, value := pool.Attempt(decisionWithin(server.Addr, 5*time.Second), command)
		if got.Outcome != policy.Answered {
			lost++
		} else {
			value.Free()
		}
	}
	if lost == 0 || lost > minLosses+1 {
		t.Errorf("%d of 12 attempts were lost, want 1 to %v", lost, minLosses+1)
	}
}
