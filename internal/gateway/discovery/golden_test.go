package discovery

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/gateway/config"
	"harrierhoist/internal/testing/fakes"
	"harrierhoist/internal/testing/golden"
)

func TestGolden_malformedKnownListIsRefusedAsBefore(t *testing.T) {
	const (
		list  = "configuration: known: an answer that is no list: json: cannot unmarshal "
		hosts = "struct { Host string; Dial string; Site string; Class string; Health string; Block int; " +
			"Share float64; BornMs float64 \"json:\\\"born_ms\\\"\" }"
	)
	for _, row := range []struct{ name, known, want string }{
		{"a host that is a number", `{"hosts":[{"host":7}]}`, list +
			"number into Go struct field .Host of type string"},
		{"an entry that is a number", `{"hosts":[7]}`, list + "number into Go value of type " + hosts},
		{"hosts by name", `{"hosts":{"a":7}}`, list + "object into Go value of type []" + hosts},
		{
			"an array", `[]`,
			"configuration: known: json: cannot unmarshal array into Go value of type struct { Hosts json.RawMessage }",
		},
	} {
		t.Run(row.name, func(t *testing.T) {
			dispatcher := newDispatcher(t, forwardingSettings(), zap.NewNop())
			_, err := New(&config.Gateway{KnownEndpoints: []byte(row.known)}, dispatcher, zap.NewNop())
			if err == nil || err.Error() != row.want {
				t.Errorf("got  %v\nwant %s", err, row.want)
			}
		})
	}
}

// The requests of the first call and of a watch must not change in any byte.
func TestGolden_callsAreWrittenAsBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := listenAt(t, "golden:1")
		heads := make(chan string, 2)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			in := bufio.NewReader(conn)
			for range 2 {
				var head bytes.Buffer
				for !strings.HasSuffix(head.String(), "\r\n\r\n") {
					line, err := in.ReadString('\n')
					if err != nil {
						return
					}
					head.WriteString(line)
				}
				heads <- head.String()
				writeAnswer(conn, fakes.FormatList(41, true, readyHost("s-1")))
			}
			holdOpen(conn)
		}()
		startWatcher(t, listener.Addr().String(), options{known: "null", seed: 5})
		const rest = " HTTP/1.1\r\nHost: golden:1\r\nUser-Agent: Go-http-client/1.1\r\nAccept-Encoding: gzip\r\n\r\n"
		for _, want := range []string{"GET /api/targets" + rest, "GET /api/targets?since=41&timeout_ms=1348" + rest} {
			if got := <-heads; got != want {
				t.Errorf("got request %q", got)
			}
		}
	})
}

// recordCalls returns a watcher's calls in 40 s of a virtual clock, one per line: seconds from the
// start, connection, number of the call on it, query. The number of a call determines its answer.
// The agent never rejects a call, because the pauses after a rejection do not depend on the seed.
func recordCalls(t *testing.T, isPolled bool, seed int64) (lines []string) {
	t.Helper()
	t.Cleanup(func() { time.Sleep(time.Second) }) // lets calls that are being answered end
	var mu sync.Mutex
	startedAt := time.Now()
	addr, _ := scriptedAgent(listen(t), func(call agentCall, conn net.Conn) {
		mu.Lock()
		lines = append(lines, fmt.Sprintf("%.3f %d %d %s", call.at.Sub(startedAt).Seconds(), call.connection,
			call.onConnection, cmp.Or(call.query, "full list")))
		mu.Unlock()
		switch {
		case call.number%9 == 5 || call.number > 30 && call.number%3 == 0:
			holdOpen(conn)
		case call.number%13 == 7 && !isPolled:
			_ = conn.Close()
		case call.number == 16:
			writeAnswer(conn, fakes.FormatList(16, true))
		case call.query == "":
			writeAnswer(conn, fakes.FormatList(call.number, true, readyHost("s-1")))
		case call.number%4 == 0:
			writeAnswer(conn, fakes.FormatList(call.number, false, readyHost("s-2")))
		default:
			time.Sleep(700 * time.Millisecond)
			var version int
			_, _ = fmt.Sscanf(call.query, "since=%d", &version)
			writeAnswer(conn, fakes.FormatList(version, false))
		}
	})
	startWatcher(t, addr, options{isPolled: isPolled, known: "null", seed: seed})
	time.Sleep(40 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	return slices.Clone(lines)
}

func TestGolden_timesOfCallsAreDrawnAsBefore(t *testing.T) {
	for _, row := range []struct {
		name     string
		isPolled bool
		file     string
	}{
		{"notified", false, "calls_pushed.txt"},
		{"polled", true, "calls_polled.txt"},
	} {
		runVirtual(t, row.name, func(t *testing.T) {
			golden.Check(t, row.file, []byte(strings.Join(recordCalls(t, row.isPolled, 3), "\n")+"\n"))
		})
	}
}
