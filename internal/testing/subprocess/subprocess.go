// Package subprocess builds, for tests, the program, and runs it: its log is kept, and it may be
// killed, paused, started again, or have its disk fill up.
package subprocess

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Build builds the program into a folder, with flags of go build, and returns its path.
func Build(ctx context.Context, folder string, flags ...string) (string, error) {
	path := filepath.Join(folder, "harrierhoist")
	args := slices.Concat([]string{"build"}, flags, []string{"-o", path, "harrierhoist/cmd/harrierhoist"})
	if out, err := exec.CommandContext(ctx, "go", args...).CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
}

// Log is what a process wrote, over all its incarnations. It may be used by several goroutines at
// once.
type Log struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write appends to the log.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

// String returns all of the log.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

// Count returns how often a text is in the log.
func (l *Log) Count(text string) int { return strings.Count(l.String(), text) }

// Process is a process of the program, which may be started again after its end.
type Process struct {
	Name string
	Log  Log

	program string
	env     []string
	command *exec.Cmd     // nil: never started
	ended   chan struct{} // closed when it has ended
}

// NewProcess makes a process that does not run yet. Its environment is this process's own and env.
func NewProcess(program, name string, env ...string) *Process {
	return &Process{Name: name, program: program, env: env}
}

// AddEnv adds to the environment of the process, from its next start on.
func (p *Process) AddEnv(env ...string) { p.env = append(p.env, env...) }

// SetDiskFull has every write of the process to a file fail from now on, as on a full disk, or
// succeed again. (A disk that takes writes and fails to sync can't be made without special rights:
// package wal's own tests have one.)
func (p *Process) SetDiskFull(full bool) error {
	var limit unix.Rlimit
	if err := unix.Prlimit(p.PID(), unix.RLIMIT_FSIZE, nil, &limit); err != nil {
		return err
	}
	limit.Cur = limit.Max
	if full {
		limit.Cur = 1 // a Go program ignores the signal that comes with such a write: the write itself fails
	}
	return unix.Prlimit(p.PID(), unix.RLIMIT_FSIZE, &limit, nil)
}

// Start starts the process.
func (p *Process) Start() error {
	command := exec.Command(p.program)
	command.Env = append(os.Environ(), p.env...)
	command.Stdout = &p.Log
	command.Stderr = &p.Log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.command = command
	p.ended = ended
	go func() {
		defer close(ended)
		_ = command.Wait() // tests end processes as they like: its status tells nothing
	}()
	return nil
}

// PID returns the process ID of its last start.
func (p *Process) PID() int { return p.command.Process.Pid }

// Signal sends a signal, unless the process has ended: SIGSTOP to pause it, SIGCONT to resume it,
// SIGTERM, SIGHUP.
func (p *Process) Signal(s syscall.Signal) {
	if p.IsRunning() {
		_ = p.command.Process.Signal(s) // it may end just now
	}
}

// Kill ends the process at once, and waits for its end.
func (p *Process) Kill() {
	if p.command != nil {
		_ = p.command.Process.Kill() // it may have ended
		<-p.ended
	}
}

// IsRunning reports whether the process was started and has not ended.
func (p *Process) IsRunning() bool {
	if p.command == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}
