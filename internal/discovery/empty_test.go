package discovery

import (
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"harrierhoist/internal/testing/fakes"
)

// A whole list with no server, where there were some, is an agent that lost its list, or the truth. It is obeyed once a
// second call, on a new connection, tells the same; until then the last list stands, and a list that names servers wins.
func TestRun_emptyFullListIsAppliedOnceConfirmed(t *testing.T) {
	gone := fakes.FormatHost("s-1", "127.0.0.1:9", "terminated")
	none := func(c net.Conn) { writeAnswer(c, fakes.FormatList(9, true)) }
	some := func(c net.Conn) { writeAnswer(c, fakes.FormatList(9, true, readyHost("s-2"))) }
	for name, c := range map[string]struct {
		empty  string
		second func(c net.Conn)
		after  string // in force once that is answered
		warned int    // that it is obeyed
	}{
		"empty again":               {fakes.FormatList(9, true), none, "", 1},
		"null again":                {`{"seq":9,"whole":true,"hosts":null}`, none, "", 1},
		"all terminated, then none": {fakes.FormatList(9, true, gone), none, "", 1},
		"servers again":             {fakes.FormatList(9, true), some, "s-2", 0},
		"a failure, then empty":     {fakes.FormatList(9, true), agentFailures["503"], "", 1},
		"silence, then empty":       {fakes.FormatList(9, true), holdOpen, "", 1},
	} {
		runVirtualInEachMode(t, name, func(t *testing.T, poll bool) {
			let := make(chan bool)
			var emptied, again atomic.Bool
			addr, calls := scriptedAgent(listen(t), func(a agentCall, conn net.Conn) {
				switch {
				case a.isWatch() && emptied.Swap(true):
					holdOpen(conn)
				case a.isWatch():
					writeAnswer(conn, c.empty)
				case !emptied.Load():
					writeAnswer(conn, fakes.FormatList(8, true, readyHost("s-1")))
				default:
					<-let
					if !again.Swap(true) {
						c.second(conn)
					} else if c.after == "" {
						none(conn)
					} else {
						some(conn)
					}
				}
			})
			settings := forwardingSettings()
			settings.PollList = poll
			seen, logs := observer.New(zap.InfoLevel)
			_, dispatcher, err := startWatcherWith(t, settings, addr, "null", zap.New(seen))
			if err != nil {
				t.Fatal(err)
			}
			first := nextCallWhere(t, calls, agentCall.isWatch)
			second := nextCall(t, calls)
			if second.query != "" || second.connection == first.connection {
				t.Errorf("asked once more: %+v after %+v", second, first)
			}
			if took := second.at.Sub(first.at); took > maxUpdateDelay/2 {
				t.Errorf("asked once more after %v", took)
			}
			if name := chosenServer(dispatcher); name != "s-1" {
				t.Errorf("in force meanwhile: %q", name)
			}
			close(let)
			next := nextCallWhere(t, calls, func(a agentCall) bool { return a.isWatchFrom(9) })
			if took := next.at.Sub(first.at); took > maxUpdateDelay {
				t.Errorf("in force after %v", took)
			}
			if name := chosenServer(dispatcher); name != c.after {
				t.Errorf("in force then: %q", name)
			}
			told := func(text string) int { return logs.FilterMessageSnippet(text).Len() }
			if told("confirmation requested") != 1 || told("empty endpoint list confirmed") != c.warned {
				t.Errorf("said %+v", logs.All())
			}
		})
	}
}

// Changes that leave no server are changes like others. So is an empty list where there was none to lose.
func TestRun_deltaThatLeavesNoServerIsAppliedAtOnce(t *testing.T) {
	d := fakes.NewDiscovery(t, readyHost("s-1"))
	seen, logs := observer.New(zap.InfoLevel)
	w, dispatcher, err := startWatcherWith(t, forwardingSettings(), d.Addr, "null", zap.New(seen))
	if err != nil {
		t.Fatal(err)
	}
	<-w.FirstList()
	d.Publish(false, fakes.FormatHost("s-1", "127.0.0.1:9", "terminated"))
	for q := ""; !strings.HasPrefix(q, "since=2&"); {
		q = <-d.Queries
	}
	if name := chosenServer(dispatcher); name != "" {
		t.Errorf("in force: %q", name)
	}
	none := fakes.NewDiscovery(t)
	w, _, err = startWatcherWith(t, forwardingSettings(), none.Addr, fakes.FormatList(1, true), zap.New(seen))
	if err != nil {
		t.Fatal(err)
	}
	<-w.FirstList()
	if n := logs.Len(); n != 0 {
		t.Errorf("said %+v", logs.All())
	}
}

// Ready is who has a list in force that discovery told: an empty one, with servers known from before, is none yet.
func TestFirstList_isClosedByAnAppliedList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		let := make(chan bool)
		addr, calls := scriptedAgent(listen(t), func(a agentCall, c net.Conn) {
			switch {
			case a.all == 1:
				writeAnswer(c, fakes.FormatList(9, true))
			case a.query == "":
				<-let
				writeAnswer(c, fakes.FormatList(9, true, readyHost("s-1")))
			default:
				holdOpen(c)
			}
		})
		w, dispatcher, err := startWatcherWith(t, forwardingSettings(), addr, fakes.FormatList(1, true, readyHost("s-0")), zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		nextCallWhere(t, calls, func(a agentCall) bool { return a.all == 2 })
		select {
		case <-w.FirstList():
			t.Error("ready by a list that is not in force")
		default:
		}
		close(let)
		<-w.FirstList()
		if name := chosenServer(dispatcher); name != "s-1" {
			t.Errorf("in force: %q", name)
		}
	})
}
