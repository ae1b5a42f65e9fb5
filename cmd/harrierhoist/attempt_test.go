package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// isDialing tells whether a connection to an address is coming up.
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

// reservedAddress is free, and of the ports that the system hands to nobody by itself: another story's listener, or a
// connection on its way out, would take it before the gateway does.
func reservedAddress(t *testing.T) string {
	t.Helper()
	for range 100 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(20000)))
		if err == nil {
			_ = l.Close()
			return l.Addr().String()
		}
	}
	t.Fatal("no port is free")
	return ""
}

// startWithLongTimeouts starts a gateway in front of a server that is listed. It dials for a minute, and its clients wait as long.
func startWithLongTimeouts(t *testing.T, entry string) *gatewayUnderTest {
	t.Helper()
	gateway := &gatewayUnderTest{T: t, addr: reservedAddress(t), counter: fakes.NewCounter(t), discovery: fakes.NewDiscovery(t, entry)}
	text := fmt.Sprintf(configurationTemplate, gateway.addr, gateway.discovery.Addr, gateway.counter.Addr, 1024, fakes.FormatList(1, true, entry))
	startWithConfiguration(t, filepath.Join(t.TempDir(), "config.json"),
		strings.NewReplacer(`"ConnectTimeoutMs":250`, `"ConnectTimeoutMs":60000`, `:9000`, `:60000`).Replace(text))
	fakes.Eventually(t, "listening", func() bool {
		c, err := net.Dial("tcp", gateway.addr)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	})
	return gateway
}

// A server whose connections don't come up: while the gateway dials for a task, its client goes, or the list says that the
// server drains. It stops dialing at once, nothing is written when the server is back, and the other server gets the
// task that still has a client.
func TestDisconnect_cancelsTheDial(t *testing.T) {
	const list = "t=wide,d=60000,units=2,spread=1,first=0"
	look := queryCommand("c=look," + list)
	pay := fakes.FormatCommand("SVC.SUBMIT", "00000000b4d65521", nextRequestID(), "c=pay,"+list, "x")
	for what, c := range map[string]struct {
		task   string
		stays  bool
		health string // of the server, told while dialing; none: nothing is told
	}{
		"client goes":        {task: look},
		"drained, pure":      {look, true, "terminating"},
		"drained, effectful": {pay, true, "terminating"},
		"gone from the list": {pay, true, "terminated"},
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			full, well := fakes.NewSaturatedServer(t), fakes.NewServer(t, answerHello)
			gateway := startWithLongTimeouts(t, fakes.FormatHost("s-1", full.Addr, "in_service"))
			client := gateway.connect()
			client.send(c.task)
			fakes.Eventually(t, "a dial", func() bool { return isDialing(t, full.Addr) })
			if !c.stays {
				_ = client.Close()
			}
			if c.health != "" {
				gateway.discovery.Publish(false, fakes.FormatHost("s-1", full.Addr, c.health), fakes.FormatHost("s-2", well.Addr, "in_service"))
			}
			fakes.Eventually(t, "the end of the dial", func() bool { return !isDialing(t, full.Addr) })
			if c.stays {
				client.want("hello")
			}
			if written := full.CollectBytes(t, 1500*time.Millisecond); written != "" {
				t.Errorf("written: %q", written)
			}
			if n := well.PendingCommands(); n > 1 || (n == 1) != c.stays {
				t.Errorf("%d commands at the other server", n)
			}
		})
	}
}

// A keyed task's first try is reset after it came; the next server's connections don't come up, and its repeat was chosen
// well inside the window. Once that is over nothing is written, though the server takes connections then.
func TestRetry_isNotWrittenAfterItsWindow(t *testing.T) {
	t.Parallel()
	full := fakes.NewSaturatedServer(t)
	started := make(chan *gatewayUnderTest, 1)
	first := fakes.NewServer(t, func([]string) string {
		gateway := <-started
		gateway.discovery.Publish(false, fakes.FormatHost("s-2", full.Addr, "in_service"))
		for !strings.HasPrefix(<-gateway.discovery.Queries, "since=2") { // the gateway knows of the other by now
		}
		return fakes.CloseConn
	})
	gateway := startWithLongTimeouts(t, fakes.FormatHost("s-1", first.Addr, "in_service"))
	started <- gateway
	client := gateway.connect()
	client.send(fakes.FormatCommand("SVC.SUBMIT", "00000000b4d65521", nextRequestID(),
		"c=hold,t=wide,d=60000,k=5c0f6e1a2b3d4c59,units=2,spread=1,first=0", "x"))
	fakes.Eventually(t, "a dial", func() bool { return isDialing(t, full.Addr) })
	client.want("-ERR failed")
	if written := full.CollectBytes(t, 1500*time.Millisecond); written != "" || first.PendingCommands() != 1 {
		t.Errorf("written: %q", written)
	}
}
