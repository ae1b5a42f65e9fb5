package discovery

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

func TestSetAgent_fetchesTheFullListImmediately(t *testing.T) {
	previous := fakes.NewDiscovery(t, fakes.FormatHost("s-1", "x", "in_service"))
	next := fakes.NewDiscovery(t, fakes.FormatHost("s-2", "x", "in_service"))
	w := startWatcher(t, previous.Addr, options{})
	for query := ""; !strings.HasPrefix(query, "since=1&"); { // a watch that stays open
		query = <-previous.Queries
	}
	w.SetAgent(next.Addr, false)
	if query := <-next.Queries; query != "" {
		t.Errorf("first call has query %q, want a call for the full list", query)
	}
	if query := nextWatch(next); !strings.HasPrefix(query, "since=1&") {
		t.Errorf("first watch has query %q, want since=1", query)
	}
}

// Half of an answer of the previous agent arrives before the change, and the other half after it.
// The answer is not applied, although the new agent does not answer.
func TestSetAgent_lateAnswerOfThePreviousAgentIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan bool)
		text := fullList(8, "s-old")
		previous, previousCalls := scriptedAgent(listen(t), func(call agentCall, conn net.Conn) {
			if call.number == 1 {
				writeFull(conn, 7, "s-1")
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+text[:20])
			<-release
			respondThenClose(text[20:])(conn)
		})
		next, nextCalls := scriptedAgent(listen(t), func(_ agentCall, conn net.Conn) { holdOpen(conn) })
		w := startWatcher(t, previous, options{})
		nextCallWhere(t, previousCalls, watchFrom(7))
		w.SetAgent(next, false)
		close(release)
		nextCall(t, nextCalls)
		w.wantServer("after the change", "s-1")
	})
}

// An answer that was read before the agent changed is not applied after the change.
func TestSetAgent_answerReadBeforeTheChangeIsIgnored(t *testing.T) {
	w := newWatcher(t, "a:1", options{})
	ctx, cancel := context.WithCancel(t.Context())
	w.cancelSession = cancel
	apply := func(name string) {
		server := dispatch.Server{Name: name, Address: "x", Endpoint: policy.Endpoint{State: policy.Ready, Capacity: 1}}
		w.apply(ctx, &endpointList{isFull: true, servers: []dispatch.Server{server}})
	}
	apply("s-1")
	w.SetAgent("b:1", false)
	apply("s-2")
	w.wantServer("after the change", "s-1")
}

// After several consecutive changes, the watcher follows the latest agent and begins with its full
// list.
func TestSetAgent_latestOfSeveralIsFollowed(t *testing.T) {
	for name, changes := range map[string]struct {
		before, after []string // agents set before the watcher runs, and once it watches agent a
		last          string
	}{
		"before Run: b, c":          {before: []string{"b", "c"}, last: "c"},
		"before Run: b, a":          {before: []string{"b", "a"}, last: "a"},
		"during the watch: b, c":    {after: []string{"b", "c"}, last: "c"},
		"during the watch: b, a":    {after: []string{"b", "a"}, last: "a"},
		"during the watch: b, a, b": {after: []string{"b", "a", "b"}, last: "b"},
	} {
		runVirtual(t, name, func(t *testing.T) {
			addrs, calls := map[string]string{}, map[string]chan agentCall{}
			for i, agent := range []string{"a", "b", "c"} {
				addrs[agent], calls[agent] = fullListAgent(t, i+1, "s-"+agent)
			}
			w := newWatcher(t, addrs["a"], options{})
			for _, agent := range changes.before {
				w.SetAgent(addrs[agent], false)
			}
			w.start()
			if len(changes.after) > 0 {
				nextCallWhere(t, calls["a"], agentCall.isWatch)
			}
			for _, agent := range changes.after {
				w.SetAgent(addrs[agent], false)
			}
			if call := nextCall(t, calls[changes.last]); call.isWatch() {
				t.Errorf("first call has query %q, want a call for the full list", call.query)
			}
			nextCallWhere(t, calls[changes.last], agentCall.isWatch)
			w.wantServer("once the last is watched", "s-"+changes.last)
		})
	}
}

// SetAgent with the current agent does not interrupt its watch. With the other mode, the watcher
// requests the full list on a new connection.
func TestSetAgent_sameAddressKeepsTheWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan bool)
		var watched atomic.Bool
		addr, calls := scriptedAgent(listen(t), func(call agentCall, conn net.Conn) {
			switch {
			case !call.isWatch():
				writeFull(conn, 7, "s-1")
			case !watched.Swap(true):
				<-release
				writeAnswer(conn, fakes.FormatList(8, false, readyHost("s-1")))
			default:
				holdOpen(conn)
			}
		})
		w := startWatcher(t, addr, options{})
		watch := nextCallWhere(t, calls, agentCall.isWatch)
		w.SetAgent(addr, false)
		close(release)
		if call := nextCall(t, calls); !call.isWatchFrom(8) || call.connection != watch.connection {
			t.Errorf("got call %+v, want a watch from version 8 on the same connection", call)
		}
		w.SetAgent(addr, true)
		if call := nextCall(t, calls); call.isWatch() || call.connection == watch.connection {
			t.Errorf("got call %+v, want a call for the full list on a new connection", call)
		}
	})
}

// Run returns when its context is canceled and leaves no connection open. The context is canceled
// during a watch, during parallel calls to a silent agent, and during a pause.
func TestRun_leavesNoConnectionOpen(t *testing.T) {
	for name, fail := range map[string]func(net.Conn){
		"silence": holdOpen, "503": agentFailures["503"], "a watch": nil,
	} {
		runVirtualInEachMode(t, name, func(t *testing.T, isPolled bool) {
			var open atomic.Int64
			addr, _ := scriptedAgent(listen(t), func(call agentCall, conn net.Conn) {
				if fail == nil && !call.isWatch() {
					writeFull(conn, 7, "s-1")
					return
				}
				open.Add(1)
				defer open.Add(-1)
				if fail != nil {
					fail(conn)
				}
				holdOpen(conn)
			})
			w := newWatcher(t, addr, options{isPolled: isPolled})
			stop, ended := w.start()
			want := int64(1)
			if name == "silence" && !isPolled {
				want = 2 // the first call and a parallel one
			}
			fakes.Eventually(t, "calls", func() bool {
				return open.Load() >= want && (name != "503" || w.logs.Len() > 0) // the rejection has been read
			})
			stop()
			<-ended
			fakes.Eventually(t, "no pending call", func() bool { return open.Load() == 0 })
		})
	}
}
