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

// exhaustedListener has no file descriptor for a connection until as many idle connections as
// needed were closed.
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

// Without a file descriptor for the next connection, each failed accept evicts one, and they are
// logged once.
func TestAccept_evictsIdleClientsWithoutDescriptors(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	// Six of the eight connections are idle.
	l := &Listener{connections: fullConnectionTable(t, 2), drain: newDrainState(), log: zap.New(core)}
	socket := &exhaustedListener{table: l.connections, needed: 5}
	if err := l.Serve(socket); err != nil {
		t.Fatal(err)
	}
	closed := l.connections.closedCount()
	if closed != socket.needed || socket.attempts != socket.needed+1 {
		t.Errorf("%d connections evicted, %d attempts", closed, socket.attempts)
	}
	if logs.Len() != 1 || logs.FilterMessage("listener: accept failed").Len() != 1 {
		t.Errorf("logged %v", logs.All())
	}
}

// failingListener fails to accept for each of its failures, and then accepts.
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

// next takes the next failure; 0: there is none.
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

// Accepting fails for a moment in each way that the system has: the clients that connect then are
// served all the same, in service and in a drain.
func TestAccept_failuresForAMomentLoseNobody(t *testing.T) {
	failures := []syscall.Errno{
		syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR,
		syscall.EPROTO, syscall.ECONNABORTED, syscall.ENFILE,
	}
	server := fakes.NewServer(t, answerHello)
	f := fixtureOptions{settings: drainSettings(), maxConnections: 8}.newFixture(t, server)
	f.Ready()
	socket := &failingListener{TCPListener: f.socket.(*net.TCPListener)}
	socket.fail(failures...)
	served := make(chan error, 1)
	go func() { served <- f.Serve(socket) }()
	c := f.dial()
	c.send(query(1))
	c.wantAnswer("hello")
	socket.fail(failures...)
	finished := make(chan struct{})
	go func() {
		f.Drain(socket)
		close(finished)
	}()
	for range 3 {
		late := f.dial()
		late.send(query(2))
		late.wantAnswer("hello")
		_ = late.Close()
	}
	_ = c.Close()
	<-finished
	if err := <-served; err != nil {
		t.Error(err)
	}
}
