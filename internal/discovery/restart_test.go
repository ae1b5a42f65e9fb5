package discovery

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"harrierhoist/internal/testing/fakes"
)

// What comes in place of the answer to a watch may be of an agent that started anew, and has our list no more. Nothing of
// it is in force: the whole list is asked for on a new connection, and the watch goes on from its version. A watch is
// never sent from our version on another connection than the list came on: the agent there may hold it for good.
func TestWatch_answerOfRestartedAgentIsIgnored(t *testing.T) {
	drain := fakes.FormatHost("s-1", "127.0.0.1:9", "terminating")
	for name, spoil := range map[string]func(c net.Conn){
		"changes of a lower version":     func(c net.Conn) { writeAnswer(c, fakes.FormatList(3, false, drain)) },
		"changes of our version":         func(c net.Conn) { writeAnswer(c, fakes.FormatList(41, false, drain)) },
		"nothing new in a lower version": func(c net.Conn) { writeAnswer(c, fakes.FormatList(3, false)) },
		"reset":                          resetConnection,
		"ended without a word":           func(c net.Conn) { _ = c.Close() },
		"answered once it is given up": func(c net.Conn) {
			holdOpen(c)
			writeAnswer(c, fakes.FormatList(42, false, drain))
		},
		"a change in a list cut off": func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+fakes.FormatList(42, false, drain, readyHost("s-3"))[:190])
			_ = c.Close()
		},
		"a change beside a bad entry": func(c net.Conn) {
			writeAnswer(c, fakes.FormatList(42, false, drain, fakes.FormatHost("s-3", "", "in_service")))
		},
		"a list that says not whether it is whole": func(c net.Conn) { writeAnswer(c, `{"seq":42,"hosts":[`+drain+`]}`) },
	} {
		runVirtualInEachMode(t, name, func(t *testing.T, poll bool) {
			let := make(chan bool)
			var spoilt atomic.Bool
			addr, calls := scriptedAgent(listen(t), func(a agentCall, c net.Conn) {
				switch {
				case a.query == "" && !spoilt.Load():
					writeAnswer(c, fakes.FormatList(41, true, readyHost("s-1")))
				case a.query == "":
					<-let
					writeAnswer(c, fakes.FormatList(3, true, readyHost("s-2")))
				case spoilt.Swap(true):
					holdOpen(c)
				default:
					spoil(c)
				}
			})
			settings := forwardingSettings()
			settings.PollList = poll
			seen, logs := observer.New(zap.InfoLevel)
			_, dispatcher, err := startWatcherWith(t, settings, addr, "null", zap.New(seen))
			if err != nil {
				t.Fatal(err)
			}
			open, anew := nextCallWhere(t, calls, agentCall.isWatch), nextCall(t, calls)
			if !open.isWatchFrom(41) || anew.query != "" || anew.connection == open.connection {
				t.Fatalf("asked %+v, then %+v", open, anew)
			}
			most := maxSilence
			if poll { // the watch itself may wait longer
				most = maxPolledWatch + watchGrace + time.Millisecond
			}
			if took := anew.at.Sub(open.at); took > most {
				t.Errorf("asked anew after %v", took)
			}
			if name := chosenServer(dispatcher); name != "s-1" {
				t.Errorf("in force meanwhile: %q", name)
			}
			close(let)
			next := nextCallWhere(t, calls, agentCall.isWatch)
			if !next.isWatchFrom(3) || next.call == 1 {
				t.Errorf("went on with %+v", next)
			}
			if name := chosenServer(dispatcher); name != "s-2" {
				t.Errorf("in force then: %q", name)
			}
			if n := logs.Len(); n != 1 {
				t.Errorf("said %+v", logs.All())
			}
		})
	}
}

// An agent that ends its connection right after the whole list, as one does that starts anew: the next call finds that
// before it is sent, or as it is, and net/http would send it once more by itself. It isn't sent.
func TestWatch_isNeverSentOnAnotherConnection(t *testing.T) {
	runVirtualInEachMode(t, "ended after the list", func(t *testing.T, poll bool) {
		addr, calls := scriptedAgent(listen(t), func(a agentCall, c net.Conn) {
			switch {
			case a.query != "":
				holdOpen(c)
			case a.all == 1:
				writeAnswer(c, fakes.FormatList(41, true, readyHost("s-1")))
				_ = c.Close()
			default:
				writeAnswer(c, fakes.FormatList(3, true, readyHost("s-2")))
			}
		})
		if _, err := startWatcherInMode(t, poll, addr, "null"); err != nil {
			t.Fatal(err)
		}
		if a := nextCallWhere(t, calls, agentCall.isWatch); !a.isWatchFrom(3) || a.call == 1 {
			t.Errorf("went on with %+v", a)
		}
	})
}

// One that says that it ends each connection is watched all the same.
func TestWatch_agentThatEndsEachConnectionIsWatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var version atomic.Int64
		addr, calls := scriptedAgent(listen(t), func(a agentCall, c net.Conn) {
			text := fakes.FormatList(7, true, readyHost("s-1"))
			if a.isWatch() {
				text = fakes.FormatList(7+int(version.Add(1)), false, readyHost("s-1"))
			}
			_, _ = io.WriteString(c, "HTTP/1.0 200 OK\r\n\r\n"+text)
			_ = c.Close()
		})
		if _, err := startWatcher(t, addr, "null"); err != nil {
			t.Fatal(err)
		}
		for n := 7; n < 12; n++ {
			if a := nextCallWhere(t, calls, agentCall.isWatch); !a.isWatchFrom(n) {
				t.Fatalf("asked %+v, not from %d", a, n)
			}
		}
	})
}

// An agent that dies in mid-watch, refuses connections, and is back in a lower version with another list.
func TestWatch_restartedAgentIsFollowed(t *testing.T) {
	runVirtualInEachMode(t, "dead, then back", func(t *testing.T, poll bool) {
		first := listen(t)
		addr, calls := scriptedAgent(first, func(a agentCall, c net.Conn) {
			if a.query == "" {
				writeAnswer(c, fakes.FormatList(41, true, readyHost("s-1")))
			} else {
				_ = first.Close() // new connections are refused before this one is reset
				resetConnection(c)
			}
		})
		settings := forwardingSettings()
		settings.PollList = poll
		seen, logs := observer.New(zap.InfoLevel)
		_, dispatcher, err := startWatcherWith(t, settings, addr, "null", zap.New(seen))
		if err != nil {
			t.Fatal(err)
		}
		nextCallWhere(t, calls, func(a agentCall) bool { return a.isWatchFrom(41) })
		fakes.Eventually(t, "a warning", func() bool { return logs.FilterMessageSnippet("discovery: no valid answer").Len() == 1 })
		if name := chosenServer(dispatcher); name != "s-1" {
			t.Errorf("in force meanwhile: %q", name)
		}
		second := listenAt(t, addr)
		back := time.Now()
		_, calls = scriptedAgent(second, func(a agentCall, c net.Conn) {
			if a.query == "" {
				writeAnswer(c, fakes.FormatList(3, true, readyHost("s-2")))
			} else {
				holdOpen(c)
			}
		})
		next := nextCallWhere(t, calls, agentCall.isWatch)
		if took := next.at.Sub(back); !next.isWatchFrom(3) || took > maxUpdateDelay {
			t.Errorf("went on with %+v after %v", next, took)
		}
		if name := chosenServer(dispatcher); name != "s-2" {
			t.Errorf("in force then: %q", name)
		}
	})
}

// Nobody but the agent tells lists, under its one address: a call that it sends elsewhere is turned away.
func TestFetchFull_redirectIsNotFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other, others := scriptedAgent(listen(t), func(_ agentCall, c net.Conn) { writeAnswer(c, fakes.FormatList(9, true, readyHost("s-9"))) })
		for _, to := range []string{"http://" + other + "/api/targets", "/elsewhere"} {
			addr, calls := scriptedAgent(listen(t), func(_ agentCall, c net.Conn) {
				resp := http.Response{StatusCode: http.StatusFound, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{"Location": {to}}}
				_ = resp.Write(c)
			})
			if _, err := startWatcherInMode(t, true, addr, fakes.FormatList(1, true, readyHost("s-1"))); err != nil {
				t.Fatal(err)
			}
			for range 3 {
				if a := nextCall(t, calls); a.path != "/api/targets" {
					t.Errorf("asked for %s", a.path)
				}
			}
		}
		if n := len(others); n != 0 {
			t.Errorf("%d calls elsewhere", n)
		}
	})
}
