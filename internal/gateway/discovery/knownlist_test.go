package discovery

import (
	"net"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// If discovery is polled, a gateway that starts with a known list first watches from its version.
// This takes only one turn of an overloaded discovery. From a notified agent the gateway requests
// the full list.
func TestRun_startsFromTheKnownVersion(t *testing.T) {
	runVirtualInEachMode(t, "known", func(t *testing.T, isPolled bool) {
		addr, calls := scriptedAgent(listen(t), func(call agentCall, conn net.Conn) {
			switch {
			case call.number == 1 && call.isWatch():
				terminatingHost := fakes.FormatHost("s-1", "x", "terminating")
				writeAnswer(conn, fakes.FormatList(8, false, terminatingHost, readyHost("s-2")))
			case call.isWatch():
				holdOpen(conn)
			default:
				writeFull(conn, 8, "s-2")
			}
		})
		w := startWatcher(t, addr, options{isPolled: isPolled, known: fullList(7, "s-1")})
		first, second := nextCall(t, calls), nextCall(t, calls)
		if first.isWatchFrom(7) != isPolled || !second.isWatchFrom(8) {
			t.Errorf("first calls have queries %q and %q", first.query, second.query)
		}
		if pause := second.at.Sub(first.at); pause > maxShortPause {
			t.Errorf("second call %v after the first, want at most maxShortPause", pause)
		}
		w.wantServer("after the first answer", "s-2")
	})
}

// The known list may come from the agent before a restart, and its version may be higher than the
// agent's present one. The full list is requested in that case, and also if the known list has no
// version or comes from an agent with another address.
func TestRun_knownVersionOfAnotherAgentIsNotUsed(t *testing.T) {
	runVirtual(t, "agent has a lower version", func(t *testing.T) {
		addr, _ := scriptedAgent(listen(t), func(call agentCall, conn net.Conn) {
			switch {
			case call.isWatchFrom(41):
				writeAnswer(conn, fakes.FormatList(3, false))
			case call.isWatch():
				holdOpen(conn)
			default:
				writeFull(conn, 3, "s-2")
			}
		})
		w := startWatcher(t, addr, options{isPolled: true, known: fullList(41, "s-1")})
		time.Sleep(time.Second)
		w.wantServer("after a second", "s-2")
	})
	runVirtual(t, "known list has no version", func(t *testing.T) {
		addr, calls := fullListAgent(t, 3, "s-2")
		startWatcher(t, addr, options{isPolled: true, known: `{"hosts":[` + readyHost("s-1") + `]}`})
		if call := nextCall(t, calls); call.isWatch() {
			t.Errorf("first call has query %q, want a call for the full list", call.query)
		}
	})
	runVirtual(t, "known list of another agent", func(t *testing.T) {
		w := newWatcher(t, "nobody:1", options{isPolled: true, known: fullList(41, "s-1")})
		addr, calls := fullListAgent(t, 3, "s-2")
		w.SetAgent(addr, true)
		w.start()
		if call := nextCall(t, calls); call.isWatch() {
			t.Errorf("first call has query %q, want a call for the full list", call.query)
		}
	})
}
