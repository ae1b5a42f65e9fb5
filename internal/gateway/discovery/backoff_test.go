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

// Guards against pauses so long that an agent which is back is read after maxUpdateDelay.
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
					t.Errorf("called %+v, without a list", call)
				}
				return call.number == 4
			})
			next := nextCallWhere(t, calls, watchFrom(7))
			if elapsed := next.at.Sub(recovered.at); elapsed > maxUpdateDelay {
				t.Errorf("applied after %v", elapsed)
			}
		})
	}
}

// Calls begin at most 2 s apart however long the run of failures, and the pauses of a run differ.
func TestHandleFailure_pausesAreRandomAndBounded(t *testing.T) {
	for _, row := range []struct {
		err         error
		isPolled    bool
		call        callKind
		took        time.Duration // by a call
		least, most time.Duration // of the pause after it, once the run has lasted
		perCall     time.Duration // a gateway calls no oftener
	}{
		{
			err: errTimeout, isPolled: true, took: listTimeout, least: minTimeoutPause, most: maxTimeoutPause,
			perCall: 1600 * time.Millisecond,
		},
		{
			err: errRejected, isPolled: true, least: 600 * time.Millisecond, most: 2 * time.Second,
			perCall: 1200 * time.Millisecond,
		},
		{err: errRejected, least: 600 * time.Millisecond, most: 2 * time.Second, perCall: 1200 * time.Millisecond},
		{
			err: io.EOF, isPolled: true, call: watchCall, least: 600 * time.Millisecond, most: 2 * time.Second,
			perCall: 1200 * time.Millisecond,
		},
		{err: errTimeout, took: listTimeout, perCall: listTimeout},
		{err: io.EOF, least: minShortPause, most: maxShortPause, perCall: 120 * time.Millisecond},
		{err: errTimeout, call: watchCall, took: minWatchWait + watchGrace, perCall: minWatchWait + watchGrace},
		{err: errTimeout, isPolled: true, call: watchCall, took: minWatchWait + watchGrace, perCall: minWatchWait + watchGrace},
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
				if pause < row.least || pause > row.most || row.took+pause > 2*time.Second {
					t.Fatalf("pauses %v", pause)
				}
				seen[pause] = true
				sum += row.took + pause
			}
			if row.most > 0 && len(seen) < draws/2 {
				t.Errorf("%d pauses of %d differ", len(seen), draws)
			}
			if interval := sum / draws; interval < row.perCall {
				t.Errorf("a call every %v", interval)
			}
		})
	}
}

// The first pauses after calls that failed at once are shorter, and an answered watch restores
// them.
func TestHandleList_answeredWatchResetsBackoff(t *testing.T) {
	s := newIdleSession(t, true)
	for range 5 {
		s.handleFailure(io.EOF, watchCall)
	}
	s.handleList(t.Context(), &endpointList{version: 1, isFull: true}, fullListCall, 0)
	if pause := s.backoff.NextBackOff(); pause < 600*time.Millisecond {
		t.Errorf("a full list ended the run: a pause of %v", pause)
	}
	s.handleList(t.Context(), &endpointList{version: 1}, watchCall, time.Second)
	if pause := s.handleFailure(io.EOF, watchCall).pause; pause > initialBackoff*3/2 {
		t.Errorf("a pause of %v", pause)
	}
}

// The first failure of a run is followed by a call at once where the agent is notified, and in both
// modes by one that finds another version; further failures are not.
func TestHandleFailure_firstFailureIsRetriedImmediately(t *testing.T) {
	for _, row := range []struct {
		name     string
		isPolled bool
		err      error
		second   time.Duration // at least
	}{
		{"notified, connection ended", false, io.EOF, minShortPause},
		{"notified, another version", false, errVersionMismatch, minShortPause},
		{"polled, another version", true, errVersionMismatch, initialBackoff / 2},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := newIdleSession(t, row.isPolled)
			first := s.handleFailure(row.err, watchCall).pause
			second := s.handleFailure(row.err, watchCall).pause
			if first != 0 || second < row.second {
				t.Errorf("pauses of %v, %v", first, second)
			}
		})
	}
}

// A watch that is answered at once without a change is begun again after a pause, which is short
// enough to continue it.
func TestWatch_agentThatDoesNotWaitIsPolledWithPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		addr, calls := listThenAgent(t, func(connection int, conn net.Conn) {
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
			t.Errorf("a watch every %v", interval)
		}
	})
}

// rejectingAgent rejects a number of calls, as an overbooked discovery does, and gives its list to
// later ones; it counts the calls.
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

// Guards against gateways that start together and keep discovery overbooked by their calls.
func TestRun_rejectedFleetBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const gateways, duration = 40, 4 * time.Second
		addr, calls := rejectingAgent(t, math.MaxInt64)
		for range gateways {
			startWatcher(t, addr, options{known: fullList(1)})
		}
		time.Sleep(duration)
		if callsPerGateway := float64(calls.Load()) / gateways; callsPerGateway > 6 || callsPerGateway < 2 {
			t.Errorf("%.1f calls a gateway in %v", callsPerGateway, duration)
		}
	})
}

// Backoff delays the list by a bounded time once discovery answers again.
func TestRun_listIsReadOnceDiscoveryAnswersAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		addr, _ := rejectingAgent(t, 2)
		w := startWatcher(t, addr, options{})
		select {
		case <-w.FirstList():
		case <-time.After(3 * time.Second):
			t.Error("no list after two rejections")
		}
	})
}

// A caller distinguishes errors by what they wrap.
func TestGet_errorsAreTyped(t *testing.T) {
	for name, want := range map[string]error{"silence": errTimeout, "503": errRejected, "never ends": errTooLong} {
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
