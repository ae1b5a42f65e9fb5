package discovery

import (
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"harrierhoist/internal/testing/fakes"
)

// emptiedAgent starts an agent that serves s-1 in version 8. It answers the first watch with the
// parameter empty as its body, and leaves later watches unanswered. After that watch, calls for the
// full list wait until release is closed. The handler second answers the first of them, and later
// answers the others.
func emptiedAgent(t *testing.T, empty string, second, later func(net.Conn)) (
	addr string, calls chan agentCall, release chan bool,
) {
	t.Helper()
	release = make(chan bool)
	var emptied, secondServed atomic.Bool
	addr, calls = scriptedAgent(listen(t), func(call agentCall, conn net.Conn) {
		switch {
		case call.isWatch() && emptied.Swap(true):
			holdOpen(conn)
		case call.isWatch():
			writeAnswer(conn, empty)
		case !emptied.Load():
			writeFull(conn, 8, "s-1")
		default:
			<-release
			if secondServed.Swap(true) {
				later(conn)
			} else {
				second(conn)
			}
		}
	})
	return addr, calls, release
}

// An empty full list that would remove all servers is applied only after a call on a new connection
// has confirmed it. Until then the previous list stays in force. A second list that contains
// servers is applied instead of the empty one.
func TestRun_emptyFullListIsAppliedOnceConfirmed(t *testing.T) {
	removed := fakes.FormatHost("s-1", "127.0.0.1:9", "terminated")
	none, some := respondWith(fullList(9)), respondWith(fullList(9, "s-2"))
	for name, row := range map[string]struct {
		empty         string
		second, later func(conn net.Conn)
		wantServer    string // server that requests are forwarded to afterwards
		wantConfirmed int    // number of logged confirmations
	}{
		"empty again":               {fullList(9), none, none, "", 1},
		"null again":                {`{"seq":9,"whole":true,"hosts":null}`, none, none, "", 1},
		"all terminated, then none": {fakes.FormatList(9, true, removed), none, none, "", 1},
		"servers again":             {fullList(9), some, some, "s-2", 0},
		"a failure, then empty":     {fullList(9), agentFailures["503"], none, "", 1},
		"silence, then empty":       {fullList(9), holdOpen, none, "", 1},
	} {
		runVirtualInEachMode(t, name, func(t *testing.T, isPolled bool) {
			addr, calls, release := emptiedAgent(t, row.empty, row.second, row.later)
			w := startWatcher(t, addr, options{isPolled: isPolled})
			watch, full := nextCallWhere(t, calls, agentCall.isWatch), nextCall(t, calls)
			if full.isWatch() || full.connection == watch.connection {
				t.Errorf("got call %+v after watch %+v, want a call for the full list on a new connection", full, watch)
			}
			if elapsed := full.at.Sub(watch.at); elapsed > maxUpdateDelay/2 {
				t.Errorf("confirmation requested after %v", elapsed)
			}
			w.wantServer("before the confirmation", "s-1")
			close(release)
			next := nextCallWhere(t, calls, watchFrom(9))
			if elapsed := next.at.Sub(watch.at); elapsed > maxUpdateDelay {
				t.Errorf("list applied after %v", elapsed)
			}
			w.wantServer("after the confirmation", row.wantServer)
			w.wantLogged("confirmation requested", 1)
			w.wantLogged("empty endpoint list confirmed", row.wantConfirmed)
		})
	}
}

// Changes that remove all servers need no confirmation. Neither does an empty list if there was no
// server before.
func TestRun_deltaThatLeavesNoServerNeedsNoConfirmation(t *testing.T) {
	discovery := fakes.NewDiscovery(t, readyHost("s-1"))
	w := startWatcher(t, discovery.Addr, options{})
	<-w.FirstListApplied()
	discovery.Publish(false, fakes.FormatHost("s-1", "127.0.0.1:9", "terminated"))
	for query := ""; !strings.HasPrefix(query, "since=2&"); {
		query = <-discovery.Queries
	}
	w.wantServer("after the change", "")
	w.wantLogged("", 0)

	empty := fakes.NewDiscovery(t)
	w = startWatcher(t, empty.Addr, options{known: fullList(1)})
	<-w.FirstListApplied()
	w.wantLogged("", 0)
}

// A gateway is ready when the first list from discovery has been applied. An unconfirmed empty list
// is not applied.
func TestFirstListApplied_isClosedByAnAppliedList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan bool)
		addr, calls := scriptedAgent(listen(t), func(call agentCall, conn net.Conn) {
			switch {
			case call.number == 1:
				writeFull(conn, 9)
			case !call.isWatch():
				<-release
				writeFull(conn, 9, "s-1")
			default:
				holdOpen(conn)
			}
		})
		w := startWatcher(t, addr, options{known: fullList(1, "s-0")})
		nextCallWhere(t, calls, func(call agentCall) bool { return call.number == 2 })
		select {
		case <-w.FirstListApplied():
			t.Error("ready, although no list has been applied")
		default:
		}
		close(release)
		<-w.FirstListApplied()
		w.wantServer("once ready", "s-1")
	})
}
