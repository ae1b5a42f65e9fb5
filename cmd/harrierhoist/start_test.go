package main

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"

	"harrierhoist/internal/testing/fakes"
)

var lastLoopbackAddress atomic.Uint32

// loopbackAddress is an address where nobody listens, on a loopback host of its own. It is not tried out: a listener that is
// closed again may live on for a moment, in a process that another test just forks.
func loopbackAddress(testing.TB) string {
	pid, n := os.Getpid(), lastLoopbackAddress.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid>>8%250, pid%256, 1+n%250, 20000+n%10000)
}

// makePipe puts one at a path, whatever was there: who reads it stands still until it is written.
func makePipe(t *testing.T, path string) {
	t.Helper()
	err := unix.Mkfifo(path+".pipe", 0o600)
	if err == nil {
		err = os.Rename(path+".pipe", path)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// waitForReader waits until somebody stands still over a pipe, and gives its end for writing.
func waitForReader(t *testing.T, path string) (end *os.File) {
	t.Helper()
	fakes.Eventually(t, "a reader of "+path, func() bool {
		var err error
		end, err = os.OpenFile(path, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		return err == nil
	})
	t.Cleanup(func() { _ = end.Close() })
	return end
}

// replaceFile writes a file in one go.
func replaceFile(t *testing.T, path, text string) {
	t.Helper()
	err := os.WriteFile(path+".new", []byte(text), 0o600)
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		t.Fatal(err)
	}
}

func startProgram(t *testing.T, env ...string) (*exec.Cmd, *logBuffer) {
	t.Helper()
	cmd, log := exec.Command(program), &logBuffer{}
	cmd.Env = append(os.Environ(), env...)
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

func waitForLog(t *testing.T, log *logBuffer, line string) {
	t.Helper()
	fakes.Eventually(t, line, func() bool { return strings.Contains(log.String(), line) })
}

// notReadyConfiguration is the configuration of a gateway that is not ready before an agent answers.
func notReadyConfiguration(gateway *gatewayUnderTest, agent string) string {
	return strings.Replace(fmt.Sprintf(configurationTemplate, gateway.addr, agent, gateway.counter.Addr, 1024,
		fakes.FormatList(1, true, fakes.FormatHost("s-1", gateway.server.Addr, "in_service"))),
		`"ConnectTimeoutMs":250`, `"ConnectTimeoutMs":60000`, 1)
}

// A signal that came before the program had asked for it killed it.
func TestTerminate_beforeTheFileIsRead(t *testing.T) {
	for _, signal := range []os.Signal{syscall.SIGTERM, syscall.SIGINT} {
		path := filepath.Join(t.TempDir(), "config.json")
		makePipe(t, path)
		cmd, log := startProgram(t, "RELAY_CONFIG="+path)
		waitForReader(t, path)
		_ = cmd.Process.Signal(signal)
		if err := cmd.Wait(); err != nil {
			t.Errorf("%v: ended with %v: %s", signal, err, log)
		}
	}
}

// Between the listener and the signals, clients had connected to a program that any signal killed. Here it stands still
// over the file of what is held in common in that moment.
func TestTerminate_afterListeningAndBeforeReady(t *testing.T) {
	a := newSilentDiscovery(t, "")
	gateway := &gatewayUnderTest{T: t, addr: loopbackAddress(t), server: fakes.NewServer(t, answerHello), counter: fakes.NewCounter(t)}
	dir := t.TempDir()
	config, common := filepath.Join(dir, "config.json"), filepath.Join(dir, "common.toml")
	replaceFile(t, config, notReadyConfiguration(gateway, a.addr))
	makePipe(t, common)
	gateway.process, gateway.log = startProgram(t, "RELAY_CONFIG="+config, "RELAY_COMMON="+common)
	end := waitForReader(t, common)
	c, asks := gateway.connect(), gateway.connect()
	c.send(queryCommand("c=look,t=wide,d=9000"))
	asks.send(fakes.FormatCommand("PING"))
	for range 2 {
		_ = gateway.process.Process.Signal(syscall.SIGTERM)
	}
	_, _ = io.WriteString(end, "[process]\nname = \"g\"\nhall = \"hall-a\"\nsingle = true\n"+voterTable(1, "v1", loopbackAddress(t), 0))
	_ = end.Close()
	c.want("hello")
	asks.want("-ERR not ready")
	c.wantClosed()
	gateway.waitForCleanExit()
	if strings.Contains(gateway.log.String(), `"gateway: ready"`) {
		t.Error("ready although it was asked to end")
	}
}

// waitForCleanExit wants the end of the program, with nothing wrong.
func (gateway *gatewayUnderTest) waitForCleanExit() {
	gateway.Helper()
	if err := gateway.process.Wait(); err != nil {
		gateway.Errorf("ended with %v: %s", err, gateway.log)
	}
}
