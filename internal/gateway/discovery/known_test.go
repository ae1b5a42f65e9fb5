package discovery

import (
	"net"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// Where discovery is polled, a gateway that starts with a list of an earlier run watches from its
// version, which takes one turn of an overbooked discovery. A notified agent is asked for its full
// list.
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
			t.Errorf("called with %q, then %q", first.query, second.query)
		}
		if pause := second.at.Sub(first.at); pause > maxShortPause {
			t.Errorf("the watch went on after %v", pause)
		}
		w.wantServer("after the first answer", "s-2")
	})
}

// The list of an earlier run may be of another incarnation of the agent, in a higher version: the
// full list is requested then, as it is where that list has no version or is of another address.
func TestRun_knownVersionOfAnotherAgentIsNotUsed(t *testing.T) {
	runVirtual(t, "in a lower version", func(t *testing.T) {
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
	runVirtual(t, "without a version", func(t *testing.T) {
		addr, calls := fullListAgent(t, 3, "s-2")
		startWatcher(t, addr, options{isPolled: true, known: `{"hosts":[` + readyHost("s-1") + `]}`})
		if call := nextCall(t, calls); call.isWatch() {
			t.Errorf("called with %q", call.query)
		}
	})
	runVirtual(t, "of another address", func(t *testing.T) {
		w := newWatcher(t, "nobody:1", options{isPolled: true, known: fullList(41, "s-1")})
		addr, calls := fullListAgent(t, 3, "s-2")
		w.SetAgent(addr, true)
		w.start()
		if call := nextCall(t, calls); call.isWatch() {
			t.Errorf("called with %q", call.query)
		}
	})
}
