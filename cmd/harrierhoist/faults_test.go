package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

func TestSilentServer_timesOut(t *testing.T) {
	gateway := startGateway(t, 1024, func([]string) string { return "" })
	c := gateway.connect()
	c.send(fakes.FormatCommand("SVC.SUBMIT", "00000000b4d65521", nextRequestID(), "c=pay,t=wide,d=400", ""))
	c.want("-ERR .*") // it may have run: no promise
	c.query("c=look,t=wide,d=400", "-BUSY.*")
	if _, err := io.ReadAll(gateway.server.NextConn(t)); err != nil {
		t.Errorf("the server's connection: %v", err)
	}
}

func TestReset_nonIdempotentRequestIsNotRetried(t *testing.T) {
	gateway := startGateway(t, 1024, func([]string) string { return fakes.CloseConn })
	c := gateway.connect()
	c.send(submitCommand(""))
	c.want("-ERR .*")
	if gateway.server.NextCommand(t); gateway.server.PendingCommands() != 0 {
		t.Error("attempted again")
	}
}

func TestDrainingServer_getsNothingNew(t *testing.T) {
	gateway := startGateway(t, 1024, answerHello)
	other := fakes.NewServer(t, answering("other"))
	gateway.discovery.Publish(false, fakes.FormatHost("s-1", gateway.server.Addr, "terminating"),
		fakes.FormatHost("s-2", other.Addr, "in_service"))
	for query := ""; !strings.HasPrefix(query, "since=2&"); { // the gateway knows then
		query = <-gateway.discovery.Queries
	}
	c := gateway.connect()
	for range 9 {
		c.query(queryList, "other")
	}
}

func TestSilentCounter_delaysNobody(t *testing.T) {
	gateway := startGateway(t, 1024, answerHello)
	defer gateway.counter.Hold()()
	c := gateway.connect()
	for range 5 {
		c.query(queryList, "hello")
	}
}

func TestPause_countsAgainstTheDeadline(t *testing.T) {
	gateway := startGateway(t, 1024, answerHello)
	short, long := gateway.connect(), gateway.connect()
	gateway.signal(syscall.SIGSTOP)
	// The signal takes its time: sent before all threads are stopped, the request was sometimes
	// read at once.
	fakes.Eventually(t, "a stopped process", func() bool {
		stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", gateway.process.Process.Pid))
		return strings.Contains(string(stat), ") T ")
	})
	short.send(queryCommand("c=look,t=wide,d=100"))
	long.send(queryCommand(longQueryList))
	time.Sleep(300 * time.Millisecond)
	gateway.signal(syscall.SIGCONT)
	short.want("-ERR deadline passed")
	long.want("hello")
	if got := gateway.server.NextCommand(t); regexp.MustCompile("d=8[0-7]").FindString(got[3]) == "" {
		t.Errorf("forwarded with %s", got[3])
	}
}

func TestReload_movesCounterAndDiscovery(t *testing.T) {
	gateway := startGateway(t, 1024, answerHello)
	c := gateway.connect()
	gateway.reload(`{"listen":`, "gateway: configuration refused")
	c.query(queryList, "hello")
	gateway.counter.NextCall(t)

	other := fakes.NewServer(t, answering("other"))
	counter, list := fakes.NewCounter(t), fakes.NewDiscovery(t, fakes.FormatHost("s-2", other.Addr, "in_service"))
	gateway.reload(configuration(gateway.addr, list.Addr, counter.Addr, "null"), "gateway: configuration reloaded")
	for query := ""; !strings.HasPrefix(query, "since=1&"); { // the gateway has the list then
		query = <-list.Queries
	}
	// On a busy machine a connection to the counter may come up too late for a request, which is
	// then answered uncounted: calls come all the same, and to the new one alone.
	before := len(gateway.counter.Calls)
	fakes.Eventually(t, "calls to the new counter", func() bool {
		c.query(queryList, "other")
		return len(counter.Calls) >= 3
	})
	if n := len(gateway.counter.Calls); n > before {
		t.Errorf("%d calls to the old counter", n-before)
	}
}

func TestStart_badConfigurationIsOneLine(t *testing.T) {
	for name, text := range map[string]string{
		"empty": "", "cut off": "{", "keys missing": `{"listen":"127.0.0.1:0"}`,
		"a list that is none":     configuration("127.0.0.1:0", "127.0.0.1:1", "127.0.0.1:1", `[]`),
		"an address without port": configuration("nowhere", "127.0.0.1:1", "127.0.0.1:1", `null`),
	} {
		t.Run(name, func(t *testing.T) {
			process, log := startWithConfiguration(t, configFile(t), text)
			err := process.Wait()
			var exit *exec.ExitError
			if !errors.As(err, &exit) || log.Count("\n") != 1 || !strings.HasPrefix(log.String(), "harrierhoist: ") {
				t.Errorf("ended with %v: %q", err, log)
			}
		})
	}
}
