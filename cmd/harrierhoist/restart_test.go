package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

const processCount = 30 // processes that are started at once

// countingProxy is an address whose connections are counted on their way to another; nowhere: they are taken and left.
func countingProxy(t *testing.T, to string) (addr string, conns *atomic.Int64) {
	l := fakes.Listen(t)
	conns = &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			t.Cleanup(func() { _ = c.Close() })
			if to == "" {
				continue
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(far, c); _ = far.Close() }()
			go func() { _, _ = io.Copy(c, far); _ = c.Close() }()
		}
	}()
	return l.Addr().String(), conns
}

// unusedAddress is an address where nobody listens.
func unusedAddress(t *testing.T) string { return loopbackAddress(t) }

// rejectingDiscovery is an agent that turns every call away.
func rejectingDiscovery(t *testing.T) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// waitUntilReady waits until a gateway says that it is ready.
func waitUntilReady(t *testing.T, addr string) {
	fakes.Eventually(t, "ready at "+addr, func() bool {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return false
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(time.Second))
		_, _ = io.WriteString(c, fakes.FormatCommand("PING"))
		line, _ := bufio.NewReader(c).ReadString('\n')
		return line == "+PONG\r\n"
	})
}

// Thirty processes started at once while discovery is down, in each way in which it can be: nine in ten are ready within
// ten seconds, whatever the settings say of connections and whatever list was had. What they do then crowds nobody:
// nothing is called before a task comes, and a task of one customer at each costs a few calls and a connection each.
func TestStart_thirtyAtOnceAreReadyInTimeAndOverloadNobody(t *testing.T) {
	server := fakes.NewServer(t, answerHello)
	serverAddr, pushes := countingProxy(t, server.Addr)
	counter := fakes.NewCounter(t)
	counterAddr, lines := countingProxy(t, counter.Addr)
	silent, asks := countingProxy(t, "")
	agents := []string{silent, unusedAddress(t), rejectingDiscovery(t)}
	known := []string{"null", // none; one that holds; an old one, half of it gone
		fakes.FormatList(1, true, fakes.FormatHost("s-1", serverAddr, "in_service")),
		fakes.FormatList(1, true, fakes.FormatHost("s-1", serverAddr, "in_service"), fakes.FormatHost("s-0", loopbackAddress(t), "in_service"))}
	addrs, took := make([]string, processCount), make([]time.Duration, processCount)
	dir := t.TempDir()
	files := make([]string, processCount)
	for i := range processCount {
		addrs[i] = loopbackAddress(t)
		files[i] = strings.Replace(fmt.Sprintf(configurationTemplate, addrs[i], agents[i%3], counterAddr, 256, known[i/3%3]),
			`"Balancers":1,"Me":0`, fmt.Sprintf(`"Balancers":%d,"Me":%d`, processCount, i), 1)
		files[i] = strings.Replace(files[i], "8c1f30d27a5be964", fmt.Sprintf("8c1f30d27a5be9%02x", i), 1)
		if i%5 == 0 {
			files[i] = strings.Replace(files[i], `"ConnectTimeoutMs":250`, `"ConnectTimeoutMs":60000`, 1)
		}
	}
	var all sync.WaitGroup
	for i := range processCount {
		began := time.Now()
		startWithConfiguration(t, filepath.Join(dir, fmt.Sprint(i)), files[i])
		all.Go(func() {
			waitUntilReady(t, addrs[i])
			took[i] = time.Since(began)
		})
	}
	all.Wait()
	slow := 0
	for _, d := range took {
		if d > 10*time.Second {
			slow++
		}
	}
	if slow > processCount/10 {
		t.Errorf("%d of %d took over 10 s: %v", slow, processCount, took)
	}
	if n := lines.Load() + pushes.Load(); n > 0 {
		t.Errorf("%d connections to counter and servers before any task", n)
	}
	t.Logf("ready after %v; the silent agent was asked %d times by %d", took, asks.Load(), processCount/3)

	answers := make([]string, processCount)
	for i := range processCount {
		all.Go(func() {
			c, err := net.Dial("tcp", addrs[i])
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(20 * time.Second))
			_, _ = io.WriteString(c, queryCommand(fmt.Sprintf("c=look,t=wide,d=9000,units=2,spread=%d,first=0", processCount)))
			line, err := bufio.NewReader(c).ReadString('\n')
			if err != nil {
				t.Error(err)
			}
			answers[i] = line
		})
	}
	all.Wait()
	time.Sleep(time.Second) // what comes of them later
	calls := len(counter.Calls)
	t.Logf("%d tasks, one at each: %d calls on %d connections to the counter, %d connections to a server",
		processCount, calls, lines.Load(), pushes.Load())
	// A look, the window before and what it lacked, and the charge; of two names, each on a connection.
	if calls > 4*processCount || lines.Load() > 2*processCount || pushes.Load() > processCount {
		t.Error("the counter or the servers were crowded")
	}
	for i, line := range answers {
		if had := i/3%3 != 0; had != strings.HasPrefix(line, "$") {
			t.Errorf("with a list: %v; answered %q", had, line)
		}
	}
}
