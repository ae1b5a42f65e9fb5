package subprocess

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"harrierhoist/internal/testing/fakes"
)

// script is a program of some lines of sh.
func script(t *testing.T, lines string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "script")
	if err := os.WriteFile(path, []byte("#!/bin/sh\n"+lines), 0o700); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestProcess_runsAgainWithItsLogAndEnvironment(t *testing.T) {
	process := NewProcess(script(t, "echo \"started with $FIRST$SECOND\"\necho to stderr >&2\nexec sleep 100\n"),
		"p", "FIRST=a")
	t.Cleanup(process.Kill)
	if process.Kill(); process.IsRunning() {
		t.Error("running before its start")
	}
	for i, want := range []string{"started with a\n", "started with ab\n"} {
		if err := process.Start(); err != nil {
			t.Fatal(err)
		}
		fakes.Eventually(t, "its log",
			func() bool { return process.Log.Count(want) == 1 && process.Log.Count("to stderr\n") == i+1 })
		if !process.IsRunning() || syscall.Kill(process.PID(), 0) != nil {
			t.Errorf("start %d: not running", i)
		}
		if process.Kill(); process.IsRunning() {
			t.Errorf("start %d: running after its end", i)
		}
		process.AddEnv("SECOND=b")
	}
	if log := process.Log.String(); !strings.HasPrefix(log, "started with a\n") {
		t.Errorf("the log is %q", log)
	}
}

func TestProcess_signalEndsItAndIsNotSentAfterwards(t *testing.T) {
	p := NewProcess(script(t, "trap 'echo ended; exit' TERM\necho ready\nwhile :; do sleep 0.01; done\n"), "p")
	t.Cleanup(p.Kill)
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	fakes.Eventually(t, "its start", func() bool { return p.Log.Count("ready") == 1 })
	p.Signal(syscall.SIGTERM)
	fakes.Eventually(t, "its end", func() bool { return !p.IsRunning() })
	p.Signal(syscall.SIGTERM)
	if n := p.Log.Count("ended"); n != 1 {
		t.Errorf("ended %d times", n)
	}
}

func TestStart_missingProgramIsAnError(t *testing.T) {
	p := NewProcess(filepath.Join(t.TempDir(), "none"), "p")
	if err := p.Start(); err == nil || p.IsRunning() {
		t.Errorf("started: %v", err)
	}
}

func TestBuild_flagsAreTakenAndErrorsSayWhatGoSays(t *testing.T) {
	_, err := Build(t.Context(), t.TempDir(), "-no-such-flag")
	if err == nil || !strings.Contains(err.Error(), "no-such-flag") {
		t.Errorf("built: %v", err)
	}
}
