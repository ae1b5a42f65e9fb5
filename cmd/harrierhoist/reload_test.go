package main

import (
	"io"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

const (
	shutdownLine = `"gateway: shutting down"`
	reloadLine   = `"gateway: configuration reloaded"`
	refusalLine  = `"gateway: configuration refused"`
)

// reloadFromPipe has the gateway reload from a pipe, and returns its end for writing once the
// gateway reads it.
func (g *gatewayUnderTest) reloadFromPipe() (end *os.File) {
	g.Helper()
	makePipe(g.T, g.configPath)
	g.signal(syscall.SIGHUP)
	return waitForReader(g.T, g.configPath)
}

// signalOrders are orders of signals to a gateway that has a request in flight; each ends with one
// that asks it to end.
var signalOrders = map[string]func(g *gatewayUnderTest, newConfiguration string){
	"terminated three times": func(g *gatewayUnderTest, _ string) {
		g.terminate()
		g.signal(syscall.SIGTERM, syscall.SIGINT)
	},
	"interrupted": func(g *gatewayUnderTest, _ string) {
		g.signal(syscall.SIGINT)
		waitForLog(g.T, g.log, shutdownLine)
	},
	"terminated while it reads a new file, which never ends": func(g *gatewayUnderTest, _ string) {
		g.reloadFromPipe()
		g.terminate()
	},
	"terminated while it reads a new file, which is applied during the drain": func(
		g *gatewayUnderTest, newConfiguration string,
	) {
		end := g.reloadFromPipe()
		g.terminate()
		_, _ = io.WriteString(end, newConfiguration)
		_ = end.Close()
		waitForLog(g.T, g.log, reloadLine)
	},
	"a new file during the drain": func(g *gatewayUnderTest, newConfiguration string) {
		g.terminate()
		// Dials without a pause would keep the backlog full, and the socket open until SIGKILL is near.
		fakes.Eventually(g.T, "no listener", func() bool {
			time.Sleep(250 * time.Millisecond)
			return !g.isListening()
		})
		replaceFile(g.T, g.configPath, newConfiguration)
		g.signal(syscall.SIGHUP)
		waitForLog(g.T, g.log, reloadLine)
		if g.isListening() {
			g.Error("listens again")
		}
	},
	"a malformed file, then terminated": func(g *gatewayUnderTest, _ string) {
		replaceFile(g.T, g.configPath, `{"listen":`)
		g.signal(syscall.SIGHUP)
		waitForLog(g.T, g.log, refusalLine)
		g.terminate()
	},
	"a removed file, then terminated": func(g *gatewayUnderTest, _ string) {
		_ = os.Remove(g.configPath)
		g.signal(syscall.SIGHUP)
		waitForLog(g.T, g.log, refusalLine)
		g.terminate()
	},
}

// Signals in every order, with a request at the server all the while: it is answered, and the exit
// is clean.
func TestSignals_inAnyOrder(t *testing.T) {
	for name, sendSignals := range signalOrders {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan bool)
			gateway := startGateway(t, 1024, func([]string) string { <-release; return fakes.FormatValue("hello", 1) })
			inFlight := gateway.connect()
			inFlight.send(queryCommand(longQueryList))
			gateway.server.NextCommand(t)
			moved := fakes.NewDiscovery(t, gateway.host())
			sendSignals(gateway, configuration(gateway.addr, moved.Addr, fakes.NewCounter(t).Addr, "null"))
			close(release)
			inFlight.want("hello")
			inFlight.wantClosed()
			gateway.waitForCleanExit()
		})
	}
}

// environment is a server, a counter and a discovery that knows that server alone.
type environment struct {
	value     string // that the server answers
	counter   *fakes.Counter
	discovery *fakes.Discovery
}

func newEnvironment(t *testing.T, value string) *environment {
	t.Helper()
	server := fakes.NewServer(t, answering(value))
	host := fakes.FormatHost("s-"+value, server.Addr, "in_service")
	return &environment{value, fakes.NewCounter(t), fakes.NewDiscovery(t, host)}
}

func (e *environment) configuration(gateway *gatewayUnderTest) string {
	return configuration(gateway.addr, e.discovery.Addr, e.counter.Addr, "null")
}

// wantServedBy wants requests to go to the server of an environment, and their calls to its
// counter. Its list may still be on its way.
func (g *gatewayUnderTest) wantServedBy(e *environment) {
	g.Helper()
	fakes.Eventually(g, "requests at "+e.value, func() bool {
		client := g.connect()
		defer func() { _ = client.Close() }()
		client.send(queryCommand(longQueryList))
		answer, _ := client.readAnswer()
		return answer == e.value
	})
	for len(e.counter.Calls) > 0 {
		e.counter.NextCall(g)
	}
	g.connect().query(longQueryList, e.value)
	e.counter.NextCall(g)
}

// Two signals while the first file is read: the file as it was at the second is in force, with both
// its addresses.
func TestReload_lastOfTwoFilesApplies(t *testing.T) {
	gateway := startGateway(t, 1024, answerHello)
	first, last := newEnvironment(t, "first"), newEnvironment(t, "last")
	end := gateway.reloadFromPipe()
	replaceFile(t, gateway.configPath, last.configuration(gateway)) // the first is still being read
	gateway.signal(syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP)
	_, _ = io.WriteString(end, first.configuration(gateway))
	_ = end.Close()
	gateway.wantServedBy(last)
	log := gateway.log.String()
	if strings.LastIndex(log, last.discovery.Addr) < strings.LastIndex(log, first.discovery.Addr) {
		t.Errorf("the first file was applied last: %s", log)
	}
}

// A new file before the gateway is ready, and a signal before it has read its first file: both are
// applied, and the gateway is ready once the new discovery has answered.
func TestReload_beforeReady(t *testing.T) {
	silent := newSilentDiscovery(t, "")
	for name, isEarly := range map[string]bool{"before its file is read": true, "while discovery is silent": false} {
		t.Run(name, func(t *testing.T) {
			gateway := newGateway(t, answerHello)
			next := newEnvironment(t, "new")
			makePipe(t, gateway.configPath)
			gateway.process, gateway.log = startProgram(t, "RELAY_CONFIG="+gateway.configPath)
			end := waitForReader(t, gateway.configPath)
			replaceFile(t, gateway.configPath, next.configuration(gateway))
			if isEarly {
				gateway.signal(syscall.SIGHUP)
			}
			_, _ = io.WriteString(end, notReadyConfiguration(gateway, silent.addr))
			_ = end.Close()
			if !isEarly {
				fakes.Eventually(t, "a call to the silent discovery", func() bool { return silent.calls.Load() > 0 })
				gateway.signal(syscall.SIGHUP)
			}
			waitForLog(t, gateway.log, `"gateway: ready"`)
			gateway.wantServedBy(next)
			gateway.signal(syscall.SIGTERM)
			gateway.waitForCleanExit()
		})
	}
}
