package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"

	"harrierhoist/internal/testing/fakes"
	"harrierhoist/internal/testing/subprocess"
)

// waitForLog waits until a text is in the log.
func waitForLog(t *testing.T, log *subprocess.Log, text string) {
	t.Helper()
	fakes.Eventually(t, text, func() bool { return strings.Contains(log.String(), text) })
}

// startProgram starts the program under test; the test's end kills it.
func startProgram(t *testing.T, env ...string) (*exec.Cmd, *subprocess.Log) {
	t.Helper()
	return startCommand(t, exec.Command(program), env...)
}

// startWithConfiguration starts the program on a configuration, which it writes to a path.
func startWithConfiguration(t *testing.T, path, configuration string) (*exec.Cmd, *subprocess.Log) {
	t.Helper()
	replaceFile(t, path, configuration)
	return startProgram(t, "RELAY_CONFIG="+path)
}

// startCommand starts a command of the program. Built under GOFLAGS=-race, a data race that it sees
// in itself fails the test; the log of a test that fails is shown.
func startCommand(t *testing.T, command *exec.Cmd, env ...string) (*exec.Cmd, *subprocess.Log) {
	t.Helper()
	log := &subprocess.Log{}
	command.Env = append(os.Environ(), env...)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_, _ = command.Process.Kill(), command.Wait()
		if strings.Contains(log.String(), "DATA RACE") {
			t.Error("a data race")
		}
		if t.Failed() {
			t.Logf("log of %v:\n%s", env, log)
		}
	})
	return command, log
}

var lastLoopbackAddress atomic.Uint32

// loopbackAddress is an address where nobody listens, on a loopback host of its own. It is not
// tried: a listener that is closed again may live on for a moment, in a process that another test
// just forks.
func loopbackAddress() string {
	pid, n := os.Getpid(), lastLoopbackAddress.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid>>8%250, pid%256, 1+n%250, 20000+n%10000)
}

// freeAddress is an address on 127.0.0.1 where nobody listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener := fakes.Listen(t)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// makePipe puts a pipe at a path, whatever was there: who reads it blocks until it is written.
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

// waitForReader waits until somebody reads a pipe, and returns its end for writing.
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

// replaceFile replaces a file atomically.
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

// configFile is a path for a configuration.
func configFile(t *testing.T) string {
	t.Helper()
	return filepath.Join(t.TempDir(), "config.json")
}
