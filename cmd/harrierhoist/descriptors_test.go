package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
	"harrierhoist/internal/testing/subprocess"
)

// silentDiscovery answers nothing until it resumes, and then gives one list.
type silentDiscovery struct {
	addr   string
	resume chan struct{}
	calls  atomic.Int64
}

func newSilentDiscovery(t *testing.T, list string) *silentDiscovery {
	t.Helper()
	d := &silentDiscovery{resume: make(chan struct{})}
	server := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		d.calls.Add(1)
		select {
		case <-d.resume:
		case <-request.Context().Done():
			return
		}
		if !request.URL.Query().Has("since") {
			_, _ = io.WriteString(response, list)
			return
		}
		select {
		case <-time.After(time.Second): // no change
			_, _ = io.WriteString(response, strings.Replace(list, `"whole":true`, `"whole":false`, 1))
		case <-request.Context().Done():
		}
	}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	d.addr = strings.TrimPrefix(server.URL, "http://")
	return d
}

// startWithDescriptorLimit starts a gateway to which the system gives a number of descriptors.
func startWithDescriptorLimit(t *testing.T, descriptors int, configuration string) (*exec.Cmd, *subprocess.Log) {
	t.Helper()
	path := configFile(t)
	replaceFile(t, path, configuration)
	limited := exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s", descriptors, program))
	return startCommand(t, limited, "RELAY_CONFIG="+path)
}

// connectIdleClients starts clients that send nothing, and counts the connections that the gateway closes.
func connectIdleClients(t *testing.T, addr string, clients int) (idle *crowd, closed *atomic.Int64) {
	t.Helper()
	closed = &atomic.Int64{}
	idle = startCrowd(t, addr, clients, func(c *crowd, conn net.Conn) {
		discardAnswers(conn)
		if !c.ended.Load() {
			closed.Add(1)
		}
	})
	return idle, closed
}

// The file said a thousand sockets and the system gave 64: idle clients took them all, and no
// server, no counter and no agent could be called until they disconnected.
func TestDescriptors_idleClientsLeaveSomeForUpstreams(t *testing.T) {
	gateway := newGateway(t, answerHello)
	later := fakes.NewServer(t, answering("later"))
	discovery := newSilentDiscovery(t, fakes.FormatList(2, true, fakes.FormatHost("s-2", later.Addr, "in_service")))
	gateway.process, gateway.log = startWithDescriptorLimit(t, 64,
		configuration(gateway.addr, discovery.addr, gateway.counter.Addr, fakes.FormatList(1, true, gateway.host())))
	waitForLog(t, gateway.log, `"gateway: ready"`)

	idle, closed := connectIdleClients(t, gateway.addr, 120)
	fakes.Eventually(t, "a flood", func() bool { return closed.Load() >= 40 }) // all connections taken, twice over
	gateway.connect().query(longQueryList, "hello")
	gateway.counter.NextCall(t) // neither was called before
	before := discovery.calls.Load()
	// on new connections
	fakes.Eventually(t, "calls to discovery", func() bool { return discovery.calls.Load() > before+2 })
	close(discovery.resume)
	fakes.Eventually(t, "the list applied", func() bool {
		client := gateway.connect()
		defer func() { _ = client.Close() }()
		client.send(queryCommand(longQueryList))
		answer, _ := client.readAnswer()
		return answer == "later"
	})
	idle.stop()
	for range 30 { // and all is as before
		gateway.connect().query(longQueryList, "later")
	}
	if n := gateway.log.Count("listener: accept failed"); n > 0 {
		t.Errorf("%d times no client could be accepted", n)
	}
	if !strings.Contains(gateway.log.String(), `"sockets":1024,"descriptors":64`) {
		t.Errorf("no line on fewer descriptors: %s", gateway.log)
	}
}
