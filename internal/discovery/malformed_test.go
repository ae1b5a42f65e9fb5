package discovery

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"harrierhoist/internal/dispatch"
	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// What comes in place of a list is no list: the last one stands, the log says so, and the whole list is asked for
// on a new connection, within the 3 s.
func TestWatch_malformedAnswerIsIgnored(t *testing.T) {
	cut := fakes.FormatList(9, true, fakes.FormatHost("s-2", "127.0.0.1:9", "in_service"))[:60]
	for name, later := range map[string]func(int, net.Conn){
		"an empty body":   func(_ int, c net.Conn) { writeAnswer(c, "") },
		"a list cut off":  func(_ int, c net.Conn) { writeAnswer(c, cut) },
		"two lists":       func(_ int, c net.Conn) { writeAnswer(c, fakes.FormatList(9, true)+fakes.FormatList(9, true)) },
		"cut with a line": func(_ int, c net.Conn) { writeAnswer(c, cut[:1]); _ = c.Close() },
		"cut in mid-message": func(_ int, c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n"+cut)
			_ = c.Close()
		},
	} {
		runVirtual(t, name, func(t *testing.T) {
			addr, calls := listThenAgent(t, later)
			seen, logs := observer.New(zap.InfoLevel)
			_, dispatcher, err := startWatcherWith(t, forwardingSettings(), addr, "null", zap.New(seen))
			if err != nil {
				t.Fatal(err)
			}
			open, anew := nextCallWhere(t, calls, agentCall.isWatch), nextCall(t, calls)
			if !open.isWatchFrom(open.connection) || anew.isWatch() || anew.connection <= open.connection {
				t.Fatalf("asked %+v, then %+v", open, anew)
			}
			if took := anew.at.Sub(open.at); took > maxSilence {
				t.Errorf("asked again after %v", took)
			}
			e := dispatcher.Admit(dispatch.RequestSpec{Class: 0, Plan: 0, Customer: 5, Units: 1, GatewayCount: 1, Timeout: 2 * time.Second})
			if c := e.Next(); c.Action != dispatch.Forward || c.Server.Name != "s-1" {
				t.Errorf("verdict %v to %q: the list as last had was given up", c.Action, c.Server.Name)
			}
			if n := logs.FilterMessageSnippet("discovery: no valid answer").Len(); n != 1 {
				t.Errorf("said %d times", n)
			}
		})
	}
}

// Lists may come indented.
func TestDecodeAnswer_indentedListIsRead(t *testing.T) {
	d := &decoder{zones: []string{"hall-a"}, hardware: []string{"m2"}}
	received, err := d.decodeAnswer([]byte("\n{\r\n\t\"seq\": 41,\n  \"whole\": true,\n  \"hosts\": [\n    " +
		strings.ReplaceAll(fakes.FormatHost("s-1", "1.2.3.4:5", "terminating"), ",", ",\n      ") + "\n  ]\n}\n\n"))
	if err != nil || received.version != 41 || !received.isFull || len(received.servers) != 1 || received.servers[0].Endpoint.State != policy.Draining {
		t.Errorf("got %+v, %v", received, err)
	}
}
