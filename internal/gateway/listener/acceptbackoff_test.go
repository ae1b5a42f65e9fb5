package listener

import (
	"net"
	"os"
	"sync"
	"syscall"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"harrierhoist/internal/testing/fakes"
)

// exhaustedListener fails to accept for lack of file descriptors until the needed number of idle
// connections is closed.
type exhaustedListener struct {
	net.Listener
	table    *connectionTable
	needed   int
	attempts int
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	l.attempts++
	if l.table.closedCount() >= l.needed || l.attempts > 50 {
		return nil, net.ErrClosed
	}
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
}

// If file descriptors are exhausted, each failed accept evicts one idle connection, and the
// failures are logged once.
func TestAccept_evictsIdleClientsWhenOutOfDescriptors(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	// Six of the eight connections are idle.
	l := &Listener{connections: fullConnectionTable(t, 2), drain: newDrainState(), log: zap.New(core)}
	socket := &exhaustedListener{table: l.connections, needed: 5}
	if err := l.Serve(socket); err != nil {
		t.Fatal(err)
	}
	closed := l.connections.closedCount()
	if closed != socket.needed || socket.attempts != socket.needed+1 {
		t.Errorf("%d connections evicted in %d attempts to accept", closed, socket.attempts)
	}
	if logs.Len() != 1 || logs.FilterMessage("listener: accept failed").Len() != 1 {
		t.Errorf("logged %v, want one failed accept", logs.All())
	}
}

// failingListener returns its queued failures from Accept before it accepts connections.
type failingListener struct {
	*net.TCPListener
	mu       sync.Mutex
	failures []syscall.Errno
}

func (l *failingListener) fail(failures ...syscall.Errno) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, failures...)
}

// nextFailure removes and returns the next failure, or returns 0 if there is none.
func (l *failingListener) nextFailure() (failure syscall.Errno) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.failures) > 0 {
		failure, l.failures = l.failures[0], l.failures[1:]
	}
	return failure
}

func (l *failingListener) Accept() (net.Conn, error) {
	if failure := l.nextFailure(); failure != 0 {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", failure)}
	}
	return l.TCPListener.Accept()
}

// Transient failures of accept lose no client: clients that connect meanwhile are served, both
// normally and during a drain.
func TestAccept_transientFailuresLoseNoClient(t *testing.T) {
	failures := []syscall.Errno{
		syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR,
		syscall.EPROTO, syscall.ECONNABORTED, syscall.ENFILE,
	}
	server := fakes.NewServer(t, answerHello)
	f := fixtureOptions{settings: drainSettings(), maxConnections: 8}.newFixture(t, server)
	f.MarkReady()
	socket := &failingListener{TCPListener: f.socket.(*net.TCPListener)}
	socket.fail(failures...)
	served := make(chan error, 1)
	go func() { served <- f.Serve(socket) }()
	c := f.dial()
	c.send(numberedQuery(1))
	c.wantAnswer("hello")
	socket.fail(failures...)
	finished := make(chan struct{})
	go func() {
		f.Drain(socket)
		close(finished)
	}()
	for range 3 {
		late := f.dial()
		late.send(numberedQuery(2))
		late.wantAnswer("hello")
		_ = late.Close()
	}
	_ = c.Close()
	<-finished
	if err := <-served; err != nil {
		t.Error(err)
	}
}
