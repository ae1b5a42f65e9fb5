package discovery

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/dispatch"
	"harrierhoist/internal/testing/fakes"
)

const maxUpdateDelay = 5 * time.Second // from when an agent could give its list to when it is in force

// agentFailures are the ways in which a call to an agent fails.
var agentFailures = map[string]func(net.Conn){
	"silence": holdOpen, "reset": resetConnection, "trickle": trickle("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{"),
	"503": func(c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	},
	"cut off": func(c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n"+fakes.FormatList(9, true, readyHost("s-9"))[:60])
		_ = c.Close()
	},
	"empty":         func(c net.Conn) { writeAnswer(c, "") },
	"changes":       func(c net.Conn) { writeAnswer(c, fakes.FormatList(9, false, readyHost("s-9"))) },
	"wrong content": func(c net.Conn) { writeAnswer(c, "<html><body>It works!</body></html>") },
	"never ends": func(c net.Conn) {
		blanks := strings.Repeat(" ", 1<<16)
		for _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+fakes.FormatList(9, true, readyHost("s-9"))); err == nil; {
			_, err = io.WriteString(c, blanks)
		}
	},
}

// An agent that fails four calls, and is back as the fourth is out, holds one more: its list is in force within the 5 s.
// With pauses that grew to 8 s, and the wait for the gate's wish after each, it took 7 to 20 s where lists are asked for.
func TestRun_listIsAppliedSoonAfterAnyRunOfFailures(t *testing.T) {
	for name, fail := range agentFailures {
		runVirtualInEachMode(t, name, func(t *testing.T, poll bool) {
			addr, calls := scriptedAgent(listen(t), func(a agentCall, c net.Conn) {
				switch {
				case a.all <= 4:
					fail(c)
				case a.all == 5:
					holdOpen(c)
				default:
					writeAnswer(c, fakes.FormatList(7, true, readyHost("s-1")))
				}
			})
			if _, err := startWatcherInMode(t, poll, addr, "null"); err != nil {
				t.Fatal(err)
			}
			back := nextCallWhere(t, calls, func(a agentCall) bool {
				if a.query != "" {
					t.Errorf("asked %+v, with no list", a)
				}
				return a.all == 4
			})
			next := nextCallWhere(t, calls, func(a agentCall) bool { return a.isWatchFrom(7) })
			if took := next.at.Sub(back.at); took > maxUpdateDelay {
				t.Errorf("in force after %v", took)
			}
		})
	}
}

// Calls begin at most 2 s apart however long the run of failures, and no two gateways pause alike.
func TestHandleFailure_pausesAreRandomAndBounded(t *testing.T) {
	for _, c := range []struct {
		err               error
		poll, watched     bool
		took, least, most time.Duration // by a call; of the pause after it, once the run has lasted
		perCall           time.Duration // a gateway calls no oftener
	}{
		{err: errTimeout, poll: true, took: listTimeout, least: minSilencePause, most: maxSilencePause, perCall: 1600 * time.Millisecond},
		{err: errRejected, poll: true, least: 600 * time.Millisecond, most: 2 * time.Second, perCall: 1200 * time.Millisecond},
		{err: errRejected, least: 600 * time.Millisecond, most: 2 * time.Second, perCall: 1200 * time.Millisecond},
		{err: io.EOF, poll: true, watched: true, least: 600 * time.Millisecond, most: 2 * time.Second,
			perCall: 1200 * time.Millisecond},
		{err: errTimeout, took: listTimeout, perCall: listTimeout},
		{err: io.EOF, least: minPause, most: maxPause, perCall: 120 * time.Millisecond},
		{err: errTimeout, watched: true, took: minWatch + watchGrace, perCall: minWatch + watchGrace},
		{err: errTimeout, poll: true, watched: true, took: minWatch + watchGrace, perCall: minWatch + watchGrace},
	} {
		t.Run(fmt.Sprintf("%v, asked for %v, watched %v", c.err, c.poll, c.watched), func(t *testing.T) {
			dispatcher, err := dispatch.New(forwardingSettings(), 1, dispatch.Dependencies{}, zap.NewNop())
			if err != nil {
				t.Fatal(err)
			}
			s := newSession(&Watcher{dispatcher: dispatcher, log: zap.NewNop(), random: rand.New(rand.NewPCG(1, 1))}, agent{isPolled: c.poll})
			for range 3 {
				s.handleFailure(c.err, c.watched)
			}
			seen, sum := map[time.Duration]bool{}, time.Duration(0)
			const draws = 500
			for range draws {
				wait := s.handleFailure(c.err, c.watched)
				if wait < c.least || wait > c.most || c.took+wait > 2*time.Second {
					t.Fatalf("waits %v", wait)
				}
				seen[wait] = true
				sum += c.took + wait
			}
			if c.most > 0 && len(seen) < draws/2 {
				t.Errorf("%d pauses of %d differ", len(seen), draws)
			}
			if each := sum / draws; each < c.perCall {
				t.Errorf("a call every %v", each)
			}
		})
	}
}

// The first pauses after calls that were turned away are shorter, and a watch that is answered brings them back.
func TestHandleList_answeredWatchResetsBackoff(t *testing.T) {
	dispatcher, err := dispatch.New(forwardingSettings(), 1, dispatch.Dependencies{}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	s := newSession(&Watcher{dispatcher: dispatcher, log: zap.NewNop(), firstApplied: make(chan struct{})}, agent{isPolled: true})
	for range 5 {
		s.handleFailure(errRejected, true)
	}
	s.handleList(t.Context(), &endpointList{version: 1, isFull: true}, false, 0)
	if again := s.retry.NextBackOff(); again < 600*time.Millisecond {
		t.Errorf("a whole list ended the run: a pause of %v", again)
	}
	s.handleList(t.Context(), &endpointList{version: 1}, true, time.Second)
	if first := s.handleFailure(errRejected, true); first > firstBackoff*3/2 {
		t.Errorf("a pause of %v", first)
	}
}

// The first failure of a run is followed by a call at once where lists are pushed, and anywhere by one that finds another
// version; further ones are not.
func TestHandleFailure_firstFailureIsRetriedAtOnce(t *testing.T) {
	dispatcher, err := dispatch.New(forwardingSettings(), 1, dispatch.Dependencies{}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		polled bool
		err    error
		second time.Duration // at least
	}{{false, io.EOF, minPause}, {false, errVersionMismatch, minPause}, {true, errVersionMismatch, firstBackoff / 2}} {
		w := &Watcher{dispatcher: dispatcher, log: zap.NewNop(), random: rand.New(rand.NewPCG(1, 1))}
		s := newSession(w, agent{isPolled: c.polled})
		if first, second := s.handleFailure(c.err, true), s.handleFailure(c.err, true); first != 0 || second < c.second {
			t.Errorf("pauses of %v, %v after %v", first, second, c.err)
		}
	}
}

// A call that the agent was in the middle of as it fell silent does not keep us from one that is back: another begins
// beside it, and ends it with its answer.
func TestFetchFull_parallelCallBesideAHeldOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan bool)
		addr, calls := scriptedAgent(listen(t), func(a agentCall, c net.Conn) {
			switch {
			case a.all == 1:
				holdOpen(c)
				close(ended)
			case a.query == "":
				select {
				case <-ended:
					t.Error("the held call was given up first")
				default:
				}
				writeAnswer(c, fakes.FormatList(7, true, readyHost("s-1")))
			default:
				holdOpen(c)
			}
		})
		if _, err := startWatcher(t, addr, "null"); err != nil {
			t.Fatal(err)
		}
		if watch := nextCallWhere(t, calls, agentCall.isWatch); !watch.isWatchFrom(7) || watch.connection == 1 || watch.call == 1 {
			t.Errorf("went on with %+v", watch)
		}
		<-ended
	})
}

// Beside a silent call there are never more than four.
func TestFetchFull_parallelCallsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var open, most atomic.Int64
		addr, calls := scriptedAgent(listen(t), func(_ agentCall, c net.Conn) {
			n := open.Add(1)
			for seen := most.Load(); n > seen && !most.CompareAndSwap(seen, n); seen = most.Load() {
			}
			holdOpen(c)
			open.Add(-1)
		})
		if _, err := startWatcher(t, addr, "null"); err != nil {
			t.Fatal(err)
		}
		begun := nextCall(t, calls)
		last := nextCallWhere(t, calls, func(a agentCall) bool { return a.all == 9 })
		if each := last.at.Sub(begun.at) / 8; each < minStagger {
			t.Errorf("a call every %v", each)
		}
		if n := most.Load(); n < 2 || n > int64(maxParallelCalls) {
			t.Errorf("%d calls out at once", n)
		}
	})
}

// A watch that is answered at once with nothing new is not begun again without a pause, but soon enough to go on.
func TestWatch_agentThatDoesNotWaitIsPolledWithPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		addr, calls := listThenAgent(t, func(conn int, c net.Conn) { writeAnswer(c, fakes.FormatList(conn, false)) })
		if _, err := startWatcher(t, addr, "null"); err != nil {
			t.Fatal(err)
		}
		const watches = 8
		first := nextCallWhere(t, calls, agentCall.isWatch)
		last := first
		for range watches {
			last = nextCallWhere(t, calls, agentCall.isWatch)
		}
		if each := last.at.Sub(first.at) / watches; each < minPause {
			t.Errorf("a watch every %v", each)
		}
	})
}
