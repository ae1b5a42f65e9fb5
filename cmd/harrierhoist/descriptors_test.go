package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// silentDiscovery is discovery's: it says nothing until it is back, and then tells one list.
type silentDiscovery struct {
	addr   string
	resume chan struct{}
	calls  atomic.Int64
}

func newSilentDiscovery(t *testing.T, list string) *silentDiscovery {
	a := &silentDiscovery{resume: make(chan struct{})}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.calls.Add(1)
		select {
		case <-a.resume:
		case <-r.Context().Done():
			return
		}
		if !r.URL.Query().Has("since") {
			_, _ = io.WriteString(w, list)
			return
		}
		select {
		case <-time.After(time.Second): // no news
			_, _ = io.WriteString(w, strings.Replace(list, `"whole":true`, `"whole":false`, 1))
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	a.addr = strings.TrimPrefix(server.URL, "http://")
	return a
}

// startWithDescriptorLimit starts a gateway to which the system gives so many descriptors.
func startWithDescriptorLimit(t *testing.T, descriptors int, config string) (*exec.Cmd, *logBuffer) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd, log := exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s", descriptors, program)), &logBuffer{}
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_, _ = cmd.Process.Kill(), cmd.Wait()
		requireNoRace(t, log)
	})
	return cmd, log
}

// connectIdleClients keeps so many connections to an address that say nothing: one that is ended is made again. It gives how many
// were ended so far.
func connectIdleClients(t *testing.T, addr string, n int) (ended *atomic.Int64, stop func()) {
	ended = &atomic.Int64{}
	stopped := make(chan struct{})
	for range n {
		go func() {
			for {
				c, err := net.Dial("tcp", addr)
				if err == nil {
					over := make(chan struct{})
					go func() { defer close(over); _, _ = c.Read(make([]byte, 1)) }()
					select {
					case <-over:
						ended.Add(1)
					case <-stopped:
					}
					_ = c.Close()
				}
				select {
				case <-stopped:
					return
				default:
				}
			}
		}()
	}
	var once atomic.Bool
	stop = func() {
		if once.CompareAndSwap(false, true) {
			close(stopped)
		}
	}
	t.Cleanup(stop)
	return ended, stop
}

// The file said a thousand sockets and the system gave 64: clients that said nothing took them all, and no server, no
// counter and no agent could be called until they went.
func TestDescriptors_idleClientsLeaveSomeForUpstreams(t *testing.T) {
	gateway := &gatewayUnderTest{T: t, addr: loopbackAddress(t), server: fakes.NewServer(t, answerHello), counter: fakes.NewCounter(t)}
	later := fakes.NewServer(t, func([]string) string { return fakes.FormatValue("later", 1) })
	a := newSilentDiscovery(t, fakes.FormatList(2, true, fakes.FormatHost("s-2", later.Addr, "in_service")))
	gateway.process, gateway.log = startWithDescriptorLimit(t, 64, fmt.Sprintf(configurationTemplate, gateway.addr, a.addr, gateway.counter.Addr, 1024,
		fakes.FormatList(1, true, fakes.FormatHost("s-1", gateway.server.Addr, "in_service"))))
	fakes.Eventually(t, "ready", func() bool { return strings.Contains(gateway.log.String(), `"gateway: ready"`) })

	ended, stop := connectIdleClients(t, gateway.addr, 120)
	fakes.Eventually(t, "a flood", func() bool { return ended.Load() >= 40 }) // all places taken, twice over
	c := gateway.connect()
	c.send(queryCommand("c=look,t=wide,d=9000"))
	c.want("hello")
	gateway.counter.NextCall(t) // neither was called before
	asked := a.calls.Load()
	fakes.Eventually(t, "the agent asked", func() bool { return a.calls.Load() > asked+2 }) // on new connections
	close(a.resume)
	fakes.Eventually(t, "the list in force", func() bool {
		c := gateway.connect()
		c.send(queryCommand("c=look,t=wide,d=9000"))
		defer c.Close()
		line, _ := c.in.ReadString('\n')
		if strings.HasPrefix(line, "$") {
			line, _ = c.in.ReadString('\n')
		}
		return line == "later\r\n"
	})
	stop()
	for range 30 { // and all is as before
		c := gateway.connect()
		c.send(queryCommand("c=look,t=wide,d=9000"))
		c.want("later")
	}
	if n := strings.Count(gateway.log.String(), "listener: accept failed"); n > 0 {
		t.Errorf("%d times no client could be accepted", n)
	}
	if !strings.Contains(gateway.log.String(), `"sockets":1024,"descriptors":64`) {
		t.Errorf("not said that there are fewer: %s", gateway.log)
	}
}
