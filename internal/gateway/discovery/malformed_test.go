package discovery

import (
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"harrierhoist/internal/numbering"
	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// After a malformed answer the previous list stays in force and one warning is logged. The full
// list is requested on a new connection within maxSilenceRecovery.
func TestWatch_malformedAnswerIsIgnored(t *testing.T) {
	truncatedList := fullList(9, "s-2")[:60]
	for name, respond := range map[string]func(net.Conn){
		"an empty body":          respondWith(""),
		"a truncated list":       respondWith(truncatedList),
		"two lists":              respondWith(fullList(9) + fullList(9)),
		"truncated, then closed": func(conn net.Conn) { writeAnswer(conn, truncatedList[:1]); _ = conn.Close() },
		"truncated body":         respondThenClose("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n" + truncatedList),
	} {
		runVirtual(t, name, func(t *testing.T) {
			addr, calls := fullListFirstAgent(t, func(_ int, conn net.Conn) { respond(conn) })
			w := startWatcher(t, addr, options{})
			watch, full := nextCallWhere(t, calls, agentCall.isWatch), nextCall(t, calls)
			if !watch.isWatchFrom(watch.connection) || full.isWatch() || full.connection <= watch.connection {
				t.Fatalf("got calls %+v, then %+v", watch, full)
			}
			if elapsed := full.at.Sub(watch.at); elapsed > maxSilenceRecovery {
				t.Errorf("full list requested after %v", elapsed)
			}
			w.wantServer("after the answer", "s-1")
			w.wantLogged("discovery: no valid answer", 1)
		})
	}
}

// While all answers are malformed, the previous list stays in force and only one warning is logged.
func TestRun_malformedListKeepsThePreviousAndWarnsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		addr, _ := scriptedAgent(listen(t), func(_ agentCall, conn net.Conn) {
			writeAnswer(conn, `{"seq":1,"hosts":7}`)
		})
		w := startWatcher(t, addr, options{known: fullList(1, "s-1")})
		time.Sleep(1500 * time.Millisecond) // several calls
		w.wantServer("after several calls", "s-1")
		w.wantLogged("discovery: no valid answer", 1)
	})
}

func TestDecodeAnswer_indentedListIsRead(t *testing.T) {
	d := &decoder{numbering.New([]string{"hall-a"}), numbering.New([]string{"m2"})}
	received, err := d.decodeAnswer([]byte("\n{\r\n\t\"seq\": 41,\n  \"whole\": true,\n  \"hosts\": [\n    " +
		strings.ReplaceAll(fakes.FormatHost("s-1", "1.2.3.4:5", "terminating"), ",", ",\n      ") + "\n  ]\n}\n\n"))
	if err != nil || received.version != 41 || !received.isFull || len(received.servers) != 1 ||
		received.servers[0].Endpoint.State != policy.Draining {
		t.Errorf("got %+v, %v", received, err)
	}
}
