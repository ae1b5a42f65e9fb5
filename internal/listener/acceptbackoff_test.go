package listener

import (
	"net"
	"os"
	"syscall"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// exhaustedListener is a listener without a descriptor for its next client until so many idle ones have given theirs back.
type exhaustedListener struct {
	net.Listener
	f        *Listener
	needed   int
	attempts int
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.attempts++; l.f.closedClients() >= l.needed || l.attempts > 50 {
		return nil, net.ErrClosed
	}
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
}

// Without a descriptor for the next client, nothing was done but to ask again, a thousand times a second, with a line
// each time.
func TestAccept_evictsIdleClientsWithoutDescriptors(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	f := fullListener(t, 2) // six of eight are idle
	f.acceptDone, f.log = make(chan struct{}), zap.New(core)
	l := &exhaustedListener{f: f, needed: 5}
	if err := f.Serve(l); err != nil {
		t.Fatal(err)
	}
	if f.closedClients() != l.needed || l.attempts != l.needed+1 || logs.Len() != 1 {
		t.Errorf("%d idle clients made room, %d tries, %d lines", f.closedClients(), l.attempts, logs.Len())
	}
}
