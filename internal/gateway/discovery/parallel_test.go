package discovery

import (
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// Guards against a list that is delayed by a call which the agent received before an outage and
// never answers.
func TestFetchFull_startsParallelCallWhileAnotherIsPending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan bool)
		addr, calls := scriptedAgent(listen(t), func(call agentCall, conn net.Conn) {
			switch {
			case call.number == 1:
				holdOpen(conn)
				close(ended)
			case !call.isWatch():
				select {
				case <-ended:
					t.Error("first call was canceled before the second one was answered")
				default:
				}
				writeFull(conn, 7, "s-1")
			default:
				holdOpen(conn)
			}
		})
		startWatcher(t, addr, options{})
		watch := nextCallWhere(t, calls, agentCall.isWatch)
		if !watch.isWatchFrom(7) || watch.connection == 1 || watch.onConnection == 1 {
			t.Errorf("got watch %+v, want one from version 7 on the second call's connection", watch)
		}
		<-ended
	})
}

// At most maxParallelCalls calls, which is four, are pending at the same time.
func TestFetchFull_parallelCallsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var open, maxOpen atomic.Int64
		addr, calls := scriptedAgent(listen(t), func(_ agentCall, conn net.Conn) {
			n := open.Add(1)
			for seen := maxOpen.Load(); n > seen && !maxOpen.CompareAndSwap(seen, n); seen = maxOpen.Load() {
			}
			holdOpen(conn)
			open.Add(-1)
		})
		startWatcher(t, addr, options{})
		first := nextCall(t, calls)
		last := nextCallWhere(t, calls, func(call agentCall) bool { return call.number == 9 })
		if interval := last.at.Sub(first.at) / 8; interval < minStagger {
			t.Errorf("average time between calls is %v", interval)
		}
		if n := maxOpen.Load(); n < 2 || n > int64(maxParallelCalls) {
			t.Errorf("%d calls were pending at the same time", n)
		}
	})
}

// Guards against a connection that stays open after the answer to a parallel call was malformed.
func TestFetchFull_malformedParallelAnswerClosesItsConnection(t *testing.T) {
	listener, ended := fakes.Listen(t), make(chan struct{})
	addr, calls := scriptedAgent(listener, func(call agentCall, conn net.Conn) {
		if call.connection != 2 {
			holdOpen(conn)
			return
		}
		writeAnswer(conn, "no list")
		holdOpen(conn) // waits until the watcher closes the connection
		close(ended)
	})
	startWatcher(t, addr, options{})
	nextCallWhere(t, calls, func(call agentCall) bool { return call.connection == 2 })
	fakes.Eventually(t, "end of the connection", func() bool {
		select {
		case <-ended:
			return true
		default:
			return false
		}
	})
}

// Guards against dials that hang and delay the following ones.
func TestRun_hangingDialTimesOut(t *testing.T) {
	runVirtualInEachMode(t, "unreachable for six seconds", func(t *testing.T, isPolled bool) {
		listener := listen(t)
		startWatcher(t, listener.Addr().String(), options{isPolled: isPolled})
		time.Sleep(6 * time.Second)
		reachableAt := time.Now()
		_, calls := scriptedAgent(listener, answerListHoldWatches(7, "s-1"))
		if next := nextCallWhere(t, calls, agentCall.isWatch); next.at.Sub(reachableAt) > listTimeout+maxTimeoutPause {
			t.Errorf("list applied %v after the agent became reachable", next.at.Sub(reachableAt))
		}
	})
}
