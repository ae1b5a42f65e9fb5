package listener

import (
	"net"
	"os"
	"syscall"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// exhaustedListener has no file descriptor for a connection until so many idle connections were closed.
type exhaustedListener struct {
	net.Listener
	table    *connectionTable
	needed   int
	attempts int
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.attempts++; l.table.closedCount() >= l.needed || l.attempts > 50 {
		return nil, net.ErrClosed
	}
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
}

// Without a file descriptor for the next connection, each failed accept evicts one, and they are logged once.
func TestAccept_evictsIdleClientsWithoutDescriptors(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	l := &Listener{connections: fullConnectionTable(t, 2), drain: newDrainState(), log: zap.New(core)} // six of eight are idle
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
