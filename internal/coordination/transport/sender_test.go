package transport

import (
	"io"
	"net"
	"testing"
	"time"
)

// A voter that is asleep takes connections and answers nothing: nobody waits for it, what does not fit is dropped, and
// the other voter gets its messages meanwhile.
func TestMessageSender_silentVoterDelaysNobody(t *testing.T) {
	voter := newFakeVoter()
	address, _ := startServer(t, voter, 16)
	asleep, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer asleep.Close()
	ms := NewMessageSender(Network{})
	defer ms.Close()
	began := time.Now()
	for range 3 * maxQueuedMessages {
		ms.Send(8, asleep.Addr().String(), []byte("m"))
	}
	ms.Send(7, address, []byte("m"))
	if took := time.Since(began); took > time.Second {
		t.Errorf("sending took %v", took)
	}
	eventually(t, "the other's message", func() bool { n, _, _ := voter.received(); return n == 1 })
	if n := ms.Dropped(8); n < 2*maxQueuedMessages-callsPerVoter*maxBatchMessages || n > 2*maxQueuedMessages {
		t.Errorf("%d dropped", n)
	}
}

// The tenant of an address has changed: what is for another voter is not taken.
func TestMessageSender_messageForAnotherNumberIsRejected(t *testing.T) {
	voter := newFakeVoter()
	address, _ := startServer(t, voter, 16)
	ms := NewMessageSender(Network{})
	defer ms.Close()
	ms.Send(6, address, []byte("not for 7"))
	ms.Send(7, address, []byte("for 7"))
	eventually(t, "its own", func() bool { n, _, _ := voter.received(); return n > 0 })
	if string(voter.messages[0]) != "for 7" {
		t.Errorf("took %q", voter.messages)
	}
}

// A voter that was down for a while gets what is sent after it is back.
func TestMessageSender_returningVoterGetsMessages(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan bool, 16)
	go func() {
		for {
			conn, bad := listener.Accept()
			if bad != nil {
				return
			}
			_, _ = io.CopyN(io.Discard, conn, 1)
			got <- true
			_ = conn.Close()
		}
	}()
	ms := NewMessageSender(Network{})
	defer ms.Close()
	address := listener.Addr().String()
	ms.Send(7, address, []byte("m"))
	<-got
	_ = listener.Close()
	ms.Send(7, address, []byte("lost"))
	voter := newFakeVoter()
	var again net.Listener
	eventually(t, "the address again", func() bool { again, err = net.Listen("tcp", address); return err == nil })
	s := Serve(again, fakeHost{voter}, 16, nil)
	defer s.Close()
	eventually(t, "a message", func() bool {
		ms.Send(7, address, []byte("m"))
		n, _, _ := voter.received()
		return n > 0
	})
}
