package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// isDialing tells whether somebody dials an address.
func isDialing(t *testing.T, addr string) bool {
	t.Helper()
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		t.Fatal(err)
	}
	var n int
	_, _ = fmt.Sscan(port, &n)
	open, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	return strings.Contains(string(open), fmt.Sprintf(" 0100007F:%04X 02 ", n)) // SYN_SENT
}

// reservedAddress is free, and of the ports that the system gives to nobody by itself: another
// test's listener, or an outgoing connection, would take it before the gateway does.
func reservedAddress(t *testing.T) string {
	t.Helper()
	for range 100 {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(20000)))
		if err == nil {
			_ = listener.Close()
			return listener.Addr().String()
		}
	}
	t.Fatal("no port is free")
	return ""
}

// startWithLongTimeouts starts a gateway in front of a server of the list. It dials for a minute,
// and its clients wait as long.
func startWithLongTimeouts(t *testing.T, host string) *gatewayUnderTest {
	t.Helper()
	g := &gatewayUnderTest{
		T: t, addr: reservedAddress(t), counter: fakes.NewCounter(t),
		discovery: fakes.NewDiscovery(t, host),
	}
	text := configuration(g.addr, g.discovery.Addr, g.counter.Addr, fakes.FormatList(1, true, host))
	startWithConfiguration(t, configFile(t),
		strings.NewReplacer(`"ConnectTimeoutMs":250`, `"ConnectTimeoutMs":60000`, `:9000`, `:60000`).Replace(text))
	fakes.Eventually(t, "listening", g.isListening)
	return g
}

// Dials of a server hang: while the gateway dials for a request, its client disconnects, or the
// list says that the server drains. It stops dialing at once, nothing is written when the server is
// back, and the other server gets the request that still has a client.
func TestDisconnect_cancelsTheDial(t *testing.T) {
	const list = "t=wide,d=60000,units=2,spread=1,first=0"
	query := queryCommand("c=look," + list)
	submit := fakes.FormatCommand("SVC.SUBMIT", "00000000b4d65521", nextRequestID(), "c=pay,"+list, "x")
	for name, row := range map[string]struct {
		command string
		stays   bool   // the client does
		health  string // of the server, published while dialing; none: no change
	}{
		"client disconnects":      {command: query},
		"drained, idempotent":     {query, true, "terminating"},
		"drained, non-idempotent": {submit, true, "terminating"},
		"removed from the list":   {submit, true, "terminated"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			saturated, other := fakes.NewSaturatedServer(t), fakes.NewServer(t, answerHello)
			gateway := startWithLongTimeouts(t, fakes.FormatHost("s-1", saturated.Addr, "in_service"))
			client := gateway.connect()
			client.send(row.command)
			fakes.Eventually(t, "a dial", func() bool { return isDialing(t, saturated.Addr) })
			if !row.stays {
				_ = client.Close()
			}
			if row.health != "" {
				gateway.discovery.Publish(false, fakes.FormatHost("s-1", saturated.Addr, row.health),
					fakes.FormatHost("s-2", other.Addr, "in_service"))
			}
			fakes.Eventually(t, "the end of the dial", func() bool { return !isDialing(t, saturated.Addr) })
			if row.stays {
				client.want("hello")
			}
			if written := saturated.CollectBytes(t, 1500*time.Millisecond); written != "" {
				t.Errorf("written: %q", written)
			}
			if n := other.PendingCommands(); n > 1 || (n == 1) != row.stays {
				t.Errorf("%d commands at the other server", n)
			}
		})
	}
}

// The first attempt of a keyed request is reset after it came; dials of the next server hang, and
// the retry was decided well inside the window. Once that is over nothing is written, though the
// server accepts connections then.
func TestRetry_isNotWrittenAfterItsWindow(t *testing.T) {
	t.Parallel()
	saturated := fakes.NewSaturatedServer(t)
	started := make(chan *gatewayUnderTest, 1)
	first := fakes.NewServer(t, func([]string) string {
		gateway := <-started
		gateway.publishAndAwait(fakes.FormatHost("s-2", saturated.Addr, "in_service"))
		return fakes.CloseConn
	})
	gateway := startWithLongTimeouts(t, fakes.FormatHost("s-1", first.Addr, "in_service"))
	started <- gateway
	client := gateway.connect()
	client.send(fakes.FormatCommand("SVC.SUBMIT", "00000000b4d65521", nextRequestID(),
		"c=hold,t=wide,d=60000,k=5c0f6e1a2b3d4c59,units=2,spread=1,first=0", "x"))
	fakes.Eventually(t, "a dial", func() bool { return isDialing(t, saturated.Addr) })
	client.want("-ERR failed")
	if written := saturated.CollectBytes(t, 1500*time.Millisecond); written != "" || first.PendingCommands() != 1 {
		t.Errorf("written: %q", written)
	}
}
