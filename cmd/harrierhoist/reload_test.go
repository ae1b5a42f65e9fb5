package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"harrierhoist/internal/testing/fakes"
)

func (gateway *gatewayUnderTest) isListening() bool {
	c, err := net.Dial("tcp", gateway.addr)
	if err == nil {
		_ = c.Close()
	}
	return err == nil
}

// Signals in every order, with a task at the server all the while: it is answered, the end is clean, and the program
// stands still over its file between two signals where the story says so.
func TestSignals_inAnyOrder(t *testing.T) {
	send := func(gateway *gatewayUnderTest, all ...syscall.Signal) {
		for _, s := range all {
			_ = gateway.process.Process.Signal(s)
		}
	}
	const asked, taken = `"gateway: shutting down"`, `"gateway: configuration reloaded"`
	for name, story := range map[string]func(gateway *gatewayUnderTest, good string){
		"asked to end twice": func(gateway *gatewayUnderTest, _ string) {
			send(gateway, syscall.SIGTERM)
			waitForLog(gateway.T, gateway.log, asked)
			send(gateway, syscall.SIGTERM, syscall.SIGINT)
		},
		"interrupted": func(gateway *gatewayUnderTest, _ string) {
			send(gateway, syscall.SIGINT)
			waitForLog(gateway.T, gateway.log, asked)
		},
		"asked to end while it reads a new file, which never ends": func(gateway *gatewayUnderTest, _ string) {
			makePipe(gateway.T, gateway.configPath)
			send(gateway, syscall.SIGHUP)
			waitForReader(gateway.T, gateway.configPath)
			send(gateway, syscall.SIGTERM)
			waitForLog(gateway.T, gateway.log, asked)
		},
		"asked to end while it reads a new file, taken in the drain": func(gateway *gatewayUnderTest, good string) {
			makePipe(gateway.T, gateway.configPath)
			send(gateway, syscall.SIGHUP)
			end := waitForReader(gateway.T, gateway.configPath)
			send(gateway, syscall.SIGTERM)
			waitForLog(gateway.T, gateway.log, asked)
			_, _ = io.WriteString(end, good)
			_ = end.Close()
			waitForLog(gateway.T, gateway.log, taken)
		},
		"a new file in the drain": func(gateway *gatewayUnderTest, good string) {
			send(gateway, syscall.SIGTERM)
			waitForLog(gateway.T, gateway.log, asked)
			fakes.Eventually(gateway.T, "no listener", func() bool { return !gateway.isListening() })
			replaceFile(gateway.T, gateway.configPath, good)
			send(gateway, syscall.SIGHUP)
			waitForLog(gateway.T, gateway.log, taken)
			if gateway.isListening() {
				gateway.Error("listens again")
			}
		},
		"a broken file, then asked to end": func(gateway *gatewayUnderTest, _ string) {
			replaceFile(gateway.T, gateway.configPath, `{"listen":`)
			send(gateway, syscall.SIGHUP)
			waitForLog(gateway.T, gateway.log, "gateway: configuration refused")
			send(gateway, syscall.SIGTERM)
			waitForLog(gateway.T, gateway.log, asked)
		},
		"a file that is gone, then asked to end": func(gateway *gatewayUnderTest, _ string) {
			_ = os.Remove(gateway.configPath)
			send(gateway, syscall.SIGHUP)
			waitForLog(gateway.T, gateway.log, "gateway: configuration refused")
			send(gateway, syscall.SIGTERM)
			waitForLog(gateway.T, gateway.log, asked)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			let := make(chan bool)
			gateway := startGateway(t, 1024, func([]string) string { <-let; return fakes.FormatValue("hello", 1) })
			held := gateway.connect()
			held.send(queryCommand("c=look,t=wide,d=9000"))
			gateway.server.NextCommand(t)
			moved := fakes.NewDiscovery(t, fakes.FormatHost("s-1", gateway.server.Addr, "in_service"))
			story(gateway, fmt.Sprintf(configurationTemplate, gateway.addr, moved.Addr, fakes.NewCounter(t).Addr, 1024, "null"))
			close(let)
			held.want("hello")
			held.wantClosed()
			gateway.waitForCleanExit()
		})
	}
}

// environment is a server, a counter and a discovery that knows that server alone.
type environment struct {
	counter *fakes.Counter
	agent   *fakes.Discovery
}

func newEnvironment(t *testing.T, value string) environment {
	s := fakes.NewServer(t, func([]string) string { return fakes.FormatValue(value, 1) })
	return environment{fakes.NewCounter(t), fakes.NewDiscovery(t, fakes.FormatHost("s-"+value, s.Addr, "in_service"))}
}

func (p environment) configuration(gateway *gatewayUnderTest) string {
	return fmt.Sprintf(configurationTemplate, gateway.addr, p.agent.Addr, p.counter.Addr, 1024, "null")
}

// wantServedAt wants tasks to go to the server of a place, and their calls to its counter. Its list may still be on its way.
func (gateway *gatewayUnderTest) wantServedAt(by string, p environment) {
	gateway.Helper()
	fakes.Eventually(gateway, "tasks at "+by, func() bool {
		c := gateway.connect()
		defer c.Close()
		c.send(queryCommand("c=look,t=wide,d=9000"))
		line, _ := c.in.ReadString('\n')
		if strings.HasPrefix(line, "$") {
			line, _ = c.in.ReadString('\n')
		}
		return line == by+"\r\n"
	})
	for len(p.counter.Calls) > 0 {
		p.counter.NextCall(gateway)
	}
	c := gateway.connect()
	c.send(queryCommand("c=look,t=wide,d=9000"))
	c.want(by)
	p.counter.NextCall(gateway)
}

// Two signals while the first file is read: the file as it was at the second is in force, with both its addresses.
func TestReload_lastOfTwoFilesApplies(t *testing.T) {
	gateway := startGateway(t, 1024, answerHello)
	first, last := newEnvironment(t, "first"), newEnvironment(t, "last")
	makePipe(t, gateway.configPath)
	_ = gateway.process.Process.Signal(syscall.SIGHUP)
	end := waitForReader(t, gateway.configPath)
	replaceFile(t, gateway.configPath, last.configuration(gateway)) // the first is still being read
	for range 3 {
		_ = gateway.process.Process.Signal(syscall.SIGHUP)
	}
	_, _ = io.WriteString(end, first.configuration(gateway))
	_ = end.Close()
	gateway.wantServedAt("last", last)
	if at := gateway.log.String(); strings.LastIndex(at, last.agent.Addr) < strings.LastIndex(at, first.agent.Addr) {
		t.Errorf("the first file was taken last: %s", at)
	}
}

// A new file before the program is ready, and one signal before it has read its first file: both are taken, and the
// program is ready once the new discovery has answered.
func TestReload_beforeReady(t *testing.T) {
	silent := newSilentDiscovery(t, "")
	for name, early := range map[string]bool{"before its file is read": true, "while discovery is silent": false} {
		t.Run(name, func(t *testing.T) {
			gateway := &gatewayUnderTest{T: t, addr: loopbackAddress(t), server: fakes.NewServer(t, answerHello), counter: fakes.NewCounter(t)}
			to := newEnvironment(t, "new")
			gateway.configPath = filepath.Join(t.TempDir(), "config.json")
			makePipe(t, gateway.configPath)
			gateway.process, gateway.log = startProgram(t, "RELAY_CONFIG="+gateway.configPath)
			end := waitForReader(t, gateway.configPath)
			replaceFile(t, gateway.configPath, to.configuration(gateway))
			if early {
				_ = gateway.process.Process.Signal(syscall.SIGHUP)
			}
			_, _ = io.WriteString(end, notReadyConfiguration(gateway, silent.addr))
			_ = end.Close()
			if !early {
				fakes.Eventually(t, "the silent agent asked", func() bool { return silent.calls.Load() > 0 })
				_ = gateway.process.Process.Signal(syscall.SIGHUP)
			}
			waitForLog(t, gateway.log, `"gateway: ready"`)
			gateway.wantServedAt("new", to)
			_ = gateway.process.Process.Signal(syscall.SIGTERM)
			gateway.waitForCleanExit()
		})
	}
}
