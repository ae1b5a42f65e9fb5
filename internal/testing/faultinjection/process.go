package faultinjection

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// buildFlags are those with which the program is built: as the tests are.
var buildFlags []string

// Build builds the program into a folder and gives its path.
func Build(folder string) (string, error) {
	path := filepath.Join(folder, "harrierhoist")
	args := append(append([]string{"build"}, buildFlags...), "-o", path, "harrierhoist/cmd/harrierhoist")
	out, err := exec.Command("go", args...).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
}

// Log is what a process wrote, over all its lives.
type Log struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write takes what it writes.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// String is all of it.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// Count is how often words are in it.
func (l *Log) Count(phrase string) int { return strings.Count(l.String(), phrase) }

// Process is one process of the program, which may be started again after its end.
type Process struct {
	Name string
	Log  Log

	program string
	env     []string
	cmd     *exec.Cmd
	ended   chan struct{}
}

// NewProcess names a process that is not running yet; env is added to this process's own.
func NewProcess(program, name string, environ ...string) *Process {
	return &Process{Name: name, program: program, env: environ}
}

// SetDiskFull has every write of the process to a file fail from now on, as on a full disk, or succeed again. A disk that
// takes writes and fails to sync can't be made without special rights: package disk's own tests have one.
func (p *Process) SetDiskFull(full bool) error {
	var limit unix.Rlimit
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, nil, &limit); err != nil {
		return err
	}
	if limit.Cur = limit.Max; full {
		limit.Cur = 1 // the signal that comes with such a write is none to a Go program: the write itself fails
	}
	return unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil)
}

// Start starts it.
func (p *Process) Start() error {
	p.cmd = exec.Command(p.program)
	p.cmd.Env = append(os.Environ(), p.env...)
	p.cmd.Stdout, p.cmd.Stderr = &p.Log, &p.Log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.ended = ended
	cmd := p.cmd
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// Signal sends a signal: SIGSTOP to let it stand still, SIGCONT to let it go on, SIGTERM, SIGHUP.
func (p *Process) Signal(s syscall.Signal) {
	if p.IsRunning() {
		_ = p.cmd.Process.Signal(s)
	}
}

// Kill ends it at once and waits for the end.
func (p *Process) Kill() {
	if p.cmd != nil {
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
}

// IsRunning tells whether it was started and has not ended.
func (p *Process) IsRunning() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}
