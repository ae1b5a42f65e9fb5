package main

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
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
	c.send(queryCommand("c=look,t=wide,d=400"))
	c.want("-BUSY.*")
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
		t.Error("pushed again")
	}
}

func TestDrainingServer_getsNothingNew(t *testing.T) {
	gateway := startGateway(t, 1024, answerHello)
	other := fakes.NewServer(t, func([]string) string { return fakes.FormatValue("other", 1) })
	gateway.discovery.Publish(false, fakes.FormatHost("s-1", gateway.server.Addr, "terminating"), fakes.FormatHost("s-2", other.Addr, "in_service"))
	for q := ""; !strings.HasPrefix(q, "since=2&"); { // told
		q = <-gateway.discovery.Queries
	}
	c := gateway.connect()
	for range 9 {
		c.send(queryCommand("c=look,t=wide,d=4800"))
		c.want("other")
	}
}

func TestSilentCounter_delaysNobody(t *testing.T) {
	gateway := startGateway(t, 1024, answerHello)
	defer gateway.counter.Hold()()
	c := gateway.connect()
	for range 5 {
		c.send(queryCommand("c=look,t=wide,d=4800"))
		c.want("hello")
	}
}

func TestPause_countsAgainstTheDeadline(t *testing.T) {
	gateway := startGateway(t, 1024, answerHello)
	c, patient := gateway.connect(), gateway.connect()
	_ = gateway.process.Process.Signal(syscall.SIGSTOP)
	// The signal takes its time: sent before all threads stand still, the task was sometimes read at once.
	fakes.Eventually(t, "a standstill", func() bool {
		stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", gateway.process.Process.Pid))
		return strings.Contains(string(stat), ") T ")
	})
	c.send(queryCommand("c=look,t=wide,d=100"))
	patient.send(queryCommand("c=look,t=wide,d=9000"))
	time.Sleep(300 * time.Millisecond)
	_ = gateway.process.Process.Signal(syscall.SIGCONT)
	c.want("-ERR deadline passed")
	patient.want("hello")
	if got := gateway.server.NextCommand(t); regexp.MustCompile("d=8[0-7]").FindString(got[3]) == "" {
		t.Errorf("passed on with %s", got[3])
	}
}

func TestReload_movesCounterAndDiscovery(t *testing.T) {
	gateway := startGateway(t, 1024, answerHello)
	c := gateway.connect()
	gateway.reload(`{"listen":`, "gateway: configuration refused")
	c.send(queryCommand("c=look,t=wide,d=4800"))
	c.want("hello")
	gateway.counter.NextCall(t)

	other := fakes.NewServer(t, func([]string) string { return fakes.FormatValue("other", 1) })
	count, list := fakes.NewCounter(t), fakes.NewDiscovery(t, fakes.FormatHost("s-2", other.Addr, "in_service"))
	gateway.reload(fmt.Sprintf(configurationTemplate, gateway.addr, list.Addr, count.Addr, 1024, "null"), "gateway: configuration reloaded")
	for q := ""; !strings.HasPrefix(q, "since=1&"); { // told
		q = <-list.Queries
	}
	// On a machine with much to do a connection to the counter may come up too late for a task, which is then answered
	// uncounted: calls come all the same, and to the new one alone.
	old := len(gateway.counter.Calls)
	fakes.Eventually(t, "calls to the new counter", func() bool {
		c.send(queryCommand("c=look,t=wide,d=4800"))
		c.want("other")
		return len(count.Calls) >= 3
	})
	if n := len(gateway.counter.Calls); n > old {
		t.Errorf("%d calls to the old counter", n-old)
	}
}

func TestStart_badConfigurationIsOneLine(t *testing.T) {
	for _, config := range []string{"", "{", `{"listen":"127.0.0.1:0"}`,
		fmt.Sprintf(configurationTemplate, "127.0.0.1:0", "127.0.0.1:1", "127.0.0.1:1", 1024, `[]`),
		fmt.Sprintf(configurationTemplate, "nowhere", "127.0.0.1:1", "127.0.0.1:1", 1024, `null`)} {
		cmd, log := startWithConfiguration(t, filepath.Join(t.TempDir(), "config.json"), config)
		err := cmd.Wait()
		if _, exited := err.(*exec.ExitError); !exited || strings.Count(log.String(), "\n") != 1 ||
			!strings.HasPrefix(log.String(), "harrierhoist: ") {
			t.Errorf("%.40q: ended with %v: %q", config, err, log)
		}
	}
}
