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

// countingProxy is an address whose connections are counted and passed on to another; empty: they
// are accepted and held.
func countingProxy(t *testing.T, target string) (addr string, connections *atomic.Int64) {
	t.Helper()
	listener := fakes.Listen(t)
	connections = &atomic.Int64{}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			t.Cleanup(func() { _ = near.Close() })
			if target == "" {
				continue
			}
			far, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(far, near); _ = far.Close() }()
			go func() { _, _ = io.Copy(near, far); _ = near.Close() }()
		}
	}()
	return listener.Addr().String(), connections
}

// rejectingDiscovery is an agent that rejects every call.
func rejectingDiscovery(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, _ *http.Request) {
		response.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// restartedFleet is many gateways that are started at once, with connections to what they share
// counted.
type restartedFleet struct {
	*testing.T
	addrs              []string
	counter            *fakes.Counter
	counterConnections *atomic.Int64
	serverConnections  *atomic.Int64
	discoveryCalls     *atomic.Int64 // connections to the silent agent
}

const fleetSize = 30

// startFleet starts a gateway with each combination of discovery (silent, not there, rejecting) and
// endpoint list of an earlier run (none, one that holds, one with a server that is gone); a fifth
// of them dial for a minute. It returns how long each took until it was ready.
func startFleet(t *testing.T) (fleet *restartedFleet, took []time.Duration) {
	t.Helper()
	server := fakes.NewServer(t, answerHello)
	f := &restartedFleet{T: t, addrs: make([]string, fleetSize), counter: fakes.NewCounter(t)}
	serverAddr, serverConnections := countingProxy(t, server.Addr)
	counterAddr, counterConnections := countingProxy(t, f.counter.Addr)
	silent, discoveryCalls := countingProxy(t, "")
	f.serverConnections, f.counterConnections, f.discoveryCalls = serverConnections, counterConnections, discoveryCalls
	agents := []string{silent, loopbackAddress(), rejectingDiscovery(t)}
	host := fakes.FormatHost("s-1", serverAddr, "in_service")
	known := []string{
		"null", fakes.FormatList(1, true, host),
		fakes.FormatList(1, true, host, fakes.FormatHost("s-0", loopbackAddress(), "in_service")),
	}
	texts := make([]string, fleetSize)
	for i := range texts {
		f.addrs[i] = loopbackAddress()
		texts[i] = strings.NewReplacer(
			`"Balancers":1,"Me":0`, fmt.Sprintf(`"Balancers":%d,"Me":%d`, fleetSize, i),
			"8c1f30d27a5be964", fmt.Sprintf("8c1f30d27a5be9%02x", i),
		).Replace(fmt.Sprintf(configurationTemplate, f.addrs[i], agents[i%3], counterAddr, 256, known[i/3%3]))
		if i%5 == 0 {
			texts[i] = strings.Replace(texts[i], `"ConnectTimeoutMs":250`, `"ConnectTimeoutMs":60000`, 1)
		}
	}
	took = make([]time.Duration, fleetSize)
	folder := t.TempDir()
	var waiting sync.WaitGroup
	for i, text := range texts {
		begun := time.Now()
		startWithConfiguration(t, filepath.Join(folder, fmt.Sprint(i)), text)
		waiting.Go(func() {
			waitUntilReady(t, f.addrs[i])
			took[i] = time.Since(begun)
		})
	}
	waiting.Wait()
	return f, took
}

// requestAtEach sends a request of one customer to each gateway, and returns the first lines of the
// answers.
func (f *restartedFleet) requestAtEach() (answers []string) {
	f.Helper()
	answers = make([]string, fleetSize)
	var waiting sync.WaitGroup
	for i, addr := range f.addrs {
		waiting.Go(func() {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				f.Error(err)
				return
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
			_, _ = io.WriteString(conn,
				queryCommand(fmt.Sprintf("c=look,t=wide,d=9000,units=2,spread=%d,first=0", fleetSize)))
			if answers[i], err = bufio.NewReader(conn).ReadString('\n'); err != nil {
				f.Error(err)
			}
		})
	}
	waiting.Wait()
	return answers
}

// Thirty processes started at once while discovery is down, in each way in which it can be: nine in
// ten are ready within ten seconds, whatever connect timeout is set and whatever list is known.
// What they do then overloads nobody: nothing is called before a request comes, and a request of
// one customer at each costs a few calls and a connection each.
func TestStart_thirtyAtOnceAreReadyInTimeAndOverloadNobody(t *testing.T) {
	fleet, took := startFleet(t)
	slow := 0
	for _, span := range took {
		if span > 10*time.Second {
			slow++
		}
	}
	if slow > fleetSize/10 {
		t.Errorf("%d of %d took over 10 s: %v", slow, fleetSize, took)
	}
	if n := fleet.counterConnections.Load() + fleet.serverConnections.Load(); n > 0 {
		t.Errorf("%d connections to counter and servers before any request", n)
	}
	t.Logf("ready after %v; the silent agent was called %d times by %d", took, fleet.discoveryCalls.Load(), fleetSize/3)

	answers := fleet.requestAtEach()
	time.Sleep(time.Second) // what follows from them later
	calls := len(fleet.counter.Calls)
	toCounter := fleet.counterConnections.Load()
	toServers := fleet.serverConnections.Load()
	t.Logf("%d requests, one at each: %d calls on %d connections to the counter, %d connections to a server",
		fleetSize, calls, toCounter, toServers)
	// A sample, the window before and what it lacked, and the charge; of two names, each on a
	// connection.
	if calls > 4*fleetSize || toCounter > 2*fleetSize || toServers > fleetSize {
		t.Error("the counter or the servers were overloaded")
	}
	for i, answer := range answers {
		if hasList := i/3%3 != 0; hasList != strings.HasPrefix(answer, "$") {
			t.Errorf("with a list: %v; answered %q", hasList, answer)
		}
	}
}
