package discovery

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"harrierhoist/internal/config"
	"harrierhoist/internal/dispatch"
	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// newIdleWatcher is a roster that doesn't watch yet, with its gate.
func newIdleWatcher(t *testing.T, discovery string) (*Watcher, *dispatch.Dispatcher) {
	t.Helper()
	settings := forwardingSettings()
	dispatcher, err := dispatch.New(settings, 1, dispatch.Dependencies{}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	go dispatcher.RunTimers(t.Context())
	w, err := New(&config.Gateway{Discovery: discovery, Settings: settings}, dispatcher, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	w.dial = dialPipe
	return w, dispatcher
}

// runWatcher has a roster watch until the test ends, or the end that it gives is called; ended is closed then.
func runWatcher(t *testing.T, w *Watcher) (end func(), ended chan bool) {
	ctx, end := context.WithCancel(t.Context())
	ended = make(chan bool)
	go func() {
		w.Run(ctx)
		close(ended)
	}()
	t.Cleanup(func() { end(); <-ended })
	return end, ended
}

// fullListAgent answers calls for the whole list with one server, and leaves watches without a word.
func fullListAgent(t *testing.T, seq int, name string) (addr string, calls chan agentCall) {
	return scriptedAgent(listen(t), func(a agentCall, c net.Conn) {
		if a.query == "" {
			writeAnswer(c, fakes.FormatList(seq, true, readyHost(name)))
		} else {
			holdOpen(c)
		}
	})
}

// The answer of an old address comes half before a move, and half after it, while the new one is silent.
func TestSetAgent_laterAnswerOfTheOldAgentIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		let := make(chan bool)
		text := fakes.FormatList(8, true, readyHost("s-old"))
		old, olds := scriptedAgent(listen(t), func(a agentCall, c net.Conn) {
			if a.all == 1 {
				writeAnswer(c, fakes.FormatList(7, true, readyHost("s-1")))
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+text[:20])
			<-let
			_, _ = io.WriteString(c, text[20:])
			_ = c.Close()
		})
		next, nexts := scriptedAgent(listen(t), func(_ agentCall, c net.Conn) { holdOpen(c) })
		w, dispatcher := newIdleWatcher(t, old)
		runWatcher(t, w)
		nextCallWhere(t, olds, func(a agentCall) bool { return a.isWatchFrom(7) })
		w.SetAgent(next, false)
		close(let)
		nextCall(t, nexts)
		if name := chosenServer(dispatcher); name != "s-1" {
			t.Errorf("in force: %q", name)
		}
	})
}

// An answer that was read before the move, and comes to be applied after it.
func TestSetAgent_answerReadBeforeIsIgnoredAfter(t *testing.T) {
	w, dispatcher := newIdleWatcher(t, "a:1")
	ctx, end := context.WithCancel(t.Context())
	w.cancelSession = end
	tell := func(name string) {
		one := dispatch.Server{Name: name, Address: "x", Endpoint: policy.Endpoint{State: policy.Ready, Capacity: 1}}
		w.apply(ctx, &endpointList{isFull: true, servers: []dispatch.Server{one}})
	}
	tell("s-1")
	w.SetAgent("b:1", false)
	tell("s-2")
	if name := chosenServer(dispatcher); name != "s-1" {
		t.Errorf("in force: %q", name)
	}
}

// Moves that come faster than they are followed: the latest address is the one watched, from its whole list.
func TestSetAgent_latestOfSeveralIsFollowed(t *testing.T) {
	for name, moves := range map[string]struct {
		before, after []string // moves before the watch begins, and once a is watched
		last          string
	}{
		"before the watch":         {before: []string{"b", "c"}, last: "c"},
		"away and back before it":  {before: []string{"b", "a"}, last: "a"},
		"one after the other":      {after: []string{"b", "c"}, last: "c"},
		"away and back":            {after: []string{"b", "a"}, last: "a"},
		"away, back and away once": {after: []string{"b", "a", "b"}, last: "b"},
	} {
		runVirtual(t, name, func(t *testing.T) {
			addrs, calls := map[string]string{}, map[string]chan agentCall{}
			for seq, n := range []string{"a", "b", "c"} {
				addrs[n], calls[n] = fullListAgent(t, seq+1, "s-"+n)
			}
			w, dispatcher := newIdleWatcher(t, addrs["a"])
			for _, to := range moves.before {
				w.SetAgent(addrs[to], false)
			}
			runWatcher(t, w)
			if len(moves.after) > 0 {
				nextCallWhere(t, calls["a"], agentCall.isWatch)
			}
			for _, to := range moves.after {
				w.SetAgent(addrs[to], false)
			}
			if a := nextCallWhere(t, calls[moves.last], func(agentCall) bool { return true }); a.query != "" {
				t.Errorf("asked first with %q", a.query)
			}
			nextCallWhere(t, calls[moves.last], agentCall.isWatch)
			if name := chosenServer(dispatcher); name != "s-"+moves.last {
				t.Errorf("in force: %q", name)
			}
		})
	}
}

// A new configuration that names the address as before leaves its watch alone; one that says that its lists are pushed no
// more, or from now on, has it begun again.
func TestSetAgent_sameAddressKeepsTheWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		let := make(chan bool)
		var first atomic.Bool
		addr, calls := scriptedAgent(listen(t), func(a agentCall, c net.Conn) {
			switch {
			case a.query == "":
				writeAnswer(c, fakes.FormatList(7, true, readyHost("s-1")))
			case !first.Swap(true):
				<-let
				writeAnswer(c, fakes.FormatList(8, false, readyHost("s-1")))
			default:
				holdOpen(c)
			}
		})
		w, _ := newIdleWatcher(t, addr)
		runWatcher(t, w)
		open := nextCallWhere(t, calls, agentCall.isWatch)
		w.SetAgent(addr, false)
		close(let)
		if a := nextCall(t, calls); !a.isWatchFrom(8) || a.connection != open.connection {
			t.Errorf("asked %+v", a)
		}
		w.SetAgent(addr, true)
		if a := nextCall(t, calls); a.isWatch() || a.connection == open.connection {
			t.Errorf("asked %+v", a)
		}
	})
}

// Watch ends with its context, and leaves no connection behind: in mid-watch, beside a silent agent, in a pause.
func TestRun_leavesNoConnectionOpen(t *testing.T) {
	for name, fail := range map[string]func(net.Conn){"silence": holdOpen, "503": agentFailures["503"], "a watch": nil} {
		runVirtualInEachMode(t, name, func(t *testing.T, poll bool) {
			var open atomic.Int64
			addr, _ := scriptedAgent(listen(t), func(a agentCall, c net.Conn) {
				if fail == nil && a.query == "" {
					writeAnswer(c, fakes.FormatList(7, true, readyHost("s-1")))
					return
				}
				open.Add(1)
				defer open.Add(-1)
				if fail != nil {
					fail(c)
				}
				holdOpen(c)
			})
			w, _ := newIdleWatcher(t, addr)
			seen, logs := observer.New(zap.InfoLevel)
			w.agent.isPolled, w.log = poll, zap.New(seen)
			end, ended := runWatcher(t, w)
			most := int64(1)
			if name == "silence" && !poll {
				most = 2
			}
			fakes.Eventually(t, "calls", func() bool {
				return open.Load() >= most && (name != "503" || logs.Len() > 0) // it was read
			})
			end()
			<-ended
			fakes.Eventually(t, "no call left", func() bool { return open.Load() == 0 })
		})
	}
}
