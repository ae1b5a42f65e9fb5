package transport

import (
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"
)

// dropped returns how many messages to a voter did not fit.
func (ms *MessageSender) dropped(number uint64) uint64 {
	ms.mu.Lock()
	queue := ms.queues[number]
	ms.mu.Unlock()
	queue.mu.Lock()
	defer queue.mu.Unlock()
	return queue.dropped
}

// A voter that is suspended takes connections and answers nothing: nobody waits for it, what does
// not fit is dropped, and the other voter gets its messages meanwhile.
func TestMessageSender_silentVoterDelaysNobody(t *testing.T) {
	voter := newFakeVoter()
	address, _ := startServer(t, voter)
	silent := listen(t)
	sender := NewMessageSender(Network{})
	defer sender.Close()
	began := time.Now()
	for range 3 * maxQueuedMessages {
		sender.Send(8, silent.Addr().String(), []byte("m"))
	}
	sender.Send(7, address, []byte("m"))
	if took := time.Since(began); took > time.Second {
		t.Errorf("sending took %v", took)
	}
	eventually(t, "the other's message", func() bool { n, _, _ := voter.received(); return n == 1 })
	if n := sender.dropped(8); n < 2*maxQueuedMessages-callsPerVoter*maxBatchMessages || n > 2*maxQueuedMessages {
		t.Errorf("%d dropped", n)
	}
}

// Another voter has the address now: it rejects messages for the earlier one.
func TestMessageSender_messageForAnotherNumberIsRejected(t *testing.T) {
	voter := newFakeVoter()
	address, _ := startServer(t, voter)
	sender := NewMessageSender(Network{})
	defer sender.Close()
	sender.Send(6, address, []byte("not for 7"))
	sender.Send(7, address, []byte("for 7"))
	eventually(t, "its own", func() bool { n, _, _ := voter.received(); return n > 0 })
	if string(voter.messages[0]) != "for 7" {
		t.Errorf("received %q", voter.messages)
	}
}

// A voter that was down for a while gets what is sent after it is back.
func TestMessageSender_returningVoterGetsMessages(t *testing.T) {
	listener := listen(t)
	got := make(chan bool, 16)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = io.CopyN(io.Discard, conn, 1)
			got <- true
			_ = conn.Close()
		}
	}()
	sender := NewMessageSender(Network{})
	defer sender.Close()
	address := listener.Addr().String()
	sender.Send(7, address, []byte("m"))
	<-got
	_ = listener.Close()
	sender.Send(7, address, []byte("lost"))
	voter := newFakeVoter()
	var again net.Listener
	eventually(t, "the address again", func() (free bool) {
		var err error
		again, err = new(net.ListenConfig).Listen(t.Context(), "tcp", address)
		return err == nil
	})
	server := Serve(again, fakeHost{voter}, 16, zap.NewNop())
	t.Cleanup(server.Close)
	eventually(t, "a message", func() bool {
		sender.Send(7, address, []byte("m"))
		n, _, _ := voter.received()
		return n > 0
	})
}
