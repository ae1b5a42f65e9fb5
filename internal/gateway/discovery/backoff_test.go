package discovery

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// Guards against pauses that delay the list of a recovered agent beyond maxUpdateDelay.
func TestRun_listIsAppliedSoonAfterAnyRunOfFailures(t *testing.T) {
	for name, fail := range agentFailures {
		runVirtualInEachMode(t, name, func(t *testing.T, isPolled bool) {
			addr, calls := scriptedAgent(listen(t), func(call agentCall, conn net.Conn) {
				switch {
				case call.number <= 4:
					fail(conn)
				case call.number == 5:
					holdOpen(conn)
				default:
					writeFull(conn, 7, "s-1")
				}
			})
			startWatcher(t, addr, options{isPolled: isPolled})
			recovered := nextCallWhere(t, calls, func(call agentCall) bool {
				if call.isWatch() {
					t.Errorf("got watch %+v before there was a list", call)
				}
				return call.number == 4
			})
			next := nextCallWhere(t, calls, watchFrom(7))
			if elapsed := next.at.Sub(recovered.at); elapsed > maxUpdateDelay {
				t.Errorf("list applied %v after the agent recovered", elapsed)
			}
		})
	}
}

// In a run of failures of any length, the pauses between calls are random. Calls that last
// callDuration begin at most 2 s apart.
func TestHandleFailure_pausesAreRandomAndBounded(t *testing.T) {
	for _, row := range []struct {
		err                error
		isPolled           bool
		call               callKind
		callDuration       time.Duration // assumed duration of each call
		minPause, maxPause time.Duration // bounds of the pause after the first three failures of a run
		minInterval        time.Duration // minimum average time between the starts of calls
	}{
		{
			err: errTimeout, isPolled: true, callDuration: listTimeout,
			minPause: minTimeoutPause, maxPause: maxTimeoutPause, minInterval: 1600 * time.Millisecond,
		},
		{
			err: errRejected, isPolled: true, minPause: 600 * time.Millisecond, maxPause: 2 * time.Second,
			minInterval: 1200 * time.Millisecond,
		},
		{
			err: errRejected, minPause: 600 * time.Millisecond, maxPause: 2 * time.Second,
			minInterval: 1200 * time.Millisecond,
		},
		{
			err: io.EOF, isPolled: true, call: watchCall, minPause: 600 * time.Millisecond, maxPause: 2 * time.Second,
			minInterval: 1200 * time.Millisecond,
		},
		{err: errTimeout, callDuration: listTimeout, minInterval: listTimeout},
		{err: io.EOF, minPause: minShortPause, maxPause: maxShortPause, minInterval: 120 * time.Millisecond},
		{
			err: errTimeout, call: watchCall, callDuration: minWatchWait + watchGrace,
			minInterval: minWatchWait + watchGrace,
		},
		{
			err: errTimeout, isPolled: true, call: watchCall, callDuration: minWatchWait + watchGrace,
			minInterval: minWatchWait + watchGrace,
		},
	} {
		t.Run(fmt.Sprintf("%v, polled %v, watch %v", row.err, row.isPolled, row.call == watchCall), func(t *testing.T) {
			s := newIdleSession(t, row.isPolled)
			for range 3 {
				s.handleFailure(row.err, row.call)
			}
			seen := map[time.Duration]bool{}
			sum := time.Duration(0)
			const draws = 500
			for range draws {
				pause := s.handleFailure(row.err, row.call).pause
				if pause < row.minPause || pause > row.maxPause || row.callDuration+pause > 2*time.Second {
					t.Fatalf("pause of %v is out of bounds", pause)
				}
				seen[pause] = true
				sum += row.callDuration + pause
			}
			if row.maxPause > 0 && len(seen) < draws/2 {
				t.Errorf("%d distinct pauses in %d, want at least half", len(seen), draws)
			}
			if interval := sum / draws; interval < row.minInterval {
				t.Errorf("average time between calls is %v", interval)
			}
		})
	}
}

// The first backoff pauses of a run are shorter than later ones. An answered watch resets the
// backoff, and a full list does not.
func TestHandleList_answeredWatchResetsBackoff(t *testing.T) {
	s := newIdleSession(t, true)
	for range 5 {
		s.handleFailure(io.EOF, watchCall)
	}
	s.handleList(t.Context(), &endpointList{version: 1, isFull: true}, fullListCall, 0)
	if pause := s.backoff.NextBackOff(); pause < 600*time.Millisecond {
		t.Errorf("pause of %v after a full list, so the list reset the backoff", pause)
	}
	s.handleList(t.Context(), &endpointList{version: 1}, watchCall, time.Second)
	if pause := s.handleFailure(io.EOF, watchCall).pause; pause > initialBackoff*3/2 {
		t.Errorf("pause of %v after an answered watch, so the watch did not reset the backoff", pause)
	}
}

// After the first failure of a run, a notified agent is called again without a pause. After a
// version mismatch this applies in both modes. Later failures of the run are followed by a pause.
func TestHandleFailure_firstFailureIsRetriedImmediately(t *testing.T) {
	for _, row := range []struct {
		name           string
		isPolled       bool
		err            error
		minSecondPause time.Duration
	}{
		{"notified, connection closed", false, io.EOF, minShortPause},
		{"notified, version mismatch", false, errVersionMismatch, minShortPause},
		{"polled, version mismatch", true, errVersionMismatch, initialBackoff / 2},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := newIdleSession(t, row.isPolled)
			first := s.handleFailure(row.err, watchCall).pause
			second := s.handleFailure(row.err, watchCall).pause
			if first != 0 || second < row.minSecondPause {
				t.Errorf("pauses of %v and %v", first, second)
			}
		})
	}
}

// If an agent answers a watch immediately without a change, the next watch begins after a pause.
func TestWatch_agentThatDoesNotWaitIsCalledWithPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		addr, calls := fullListFirstAgent(t, func(connection int, conn net.Conn) {
			writeAnswer(conn, fakes.FormatList(connection, false))
		})
		startWatcher(t, addr, options{})
		const watches = 8
		first := nextCallWhere(t, calls, agentCall.isWatch)
		last := first
		for range watches {
			last = nextCallWhere(t, calls, agentCall.isWatch)
		}
		if interval := last.at.Sub(first.at) / watches; interval < minShortPause {
			t.Errorf("average time between watches is %v", interval)
		}
	})
}

// rejectingAgent starts an agent that rejects the first calls, as an overloaded discovery does, and
// answers later ones with its list. It returns the address and a counter of the calls.
func rejectingAgent(t *testing.T, rejected int64) (string, *atomic.Int64) {
	t.Helper()
	calls := &atomic.Int64{}
	addr, _ := scriptedAgent(listen(t), func(_ agentCall, conn net.Conn) {
		if calls.Add(1) <= rejected {
			agentFailures["503"](conn)
			return
		}
		writeFull(conn, 1, "s-1")
	})
	return addr, calls
}

// Guards against a fleet that starts at the same time and keeps discovery overloaded by its calls.
func TestRun_rejectedFleetBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const gateways, duration = 40, 4 * time.Second
		addr, calls := rejectingAgent(t, math.MaxInt64)
		for range gateways {
			startWatcher(t, addr, options{known: fullList(1)})
		}
		time.Sleep(duration)
		if callsPerGateway := float64(calls.Load()) / gateways; callsPerGateway > 6 || callsPerGateway < 2 {
			t.Errorf("%.1f calls per gateway in %v", callsPerGateway, duration)
		}
	})
}

// Backoff delays the list by at most 3 s if discovery rejects two calls and answers the third.
func TestRun_listIsReadOnceDiscoveryAnswersAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		addr, _ := rejectingAgent(t, 2)
		w := startWatcher(t, addr, options{})
		select {
		case <-w.FirstListApplied():
		case <-time.After(3 * time.Second):
			t.Error("no list after two rejections")
		}
	})
}

// Errors of get wrap the error of their kind.
func TestGet_errorsAreTyped(t *testing.T) {
	for name, want := range map[string]error{
		"silence": errTimeout, "503": errRejected, "unbounded answer": errTooLong,
	} {
		runVirtual(t, name, func(t *testing.T) {
			addr, _ := scriptedAgent(listen(t), func(_ agentCall, conn net.Conn) { agentFailures[name](conn) })
			c := newConnection(dialPipe)
			defer c.close()
			if _, err := c.get(t.Context(), "http://"+addr+"/", time.Minute); !errors.Is(err, want) {
				t.Errorf("got %v, want %v", err, want)
			}
		})
	}
}
