package link

import (
	"io"
	"net"
	"testing"
	"time"
)

// A voter that is asleep takes connections and answers nothing: nobody waits for it, what does not fit is dropped, and
// the other voter gets its messages meanwhile.
func TestVoterAsleepHoldsNobodyUp(t *testing.T) {
	v := newMemory()
	at, _ := serve(t, v, 16)
	asleep, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer asleep.Close()
	p := NewPostbox(Plain{})
	defer p.Close()
	began := time.Now()
	for range 3 * queueMost {
		p.Send(8, asleep.Addr().String(), []byte("m"))
	}
	p.Send(7, at, []byte("m"))
	if took := time.Since(began); took > time.Second {
		t.Errorf("sending took %v", took)
	}
	eventually(t, "the other's message", func() bool { n, _, _ := v.noted(); return n == 1 })
	if n := p.Dropped(8); n < 2*queueMost-lanes*batchMost || n > 2*queueMost {
		t.Errorf("%d dropped", n)
	}
}

// The tenant of an address has changed: what is for another voter is not taken.
func TestMessageForAnotherNumberIsNotTaken(t *testing.T) {
	v := newMemory()
	at, _ := serve(t, v, 16)
	p := NewPostbox(Plain{})
	defer p.Close()
	p.Send(6, at, []byte("not for 7"))
	p.Send(7, at, []byte("for 7"))
	eventually(t, "its own", func() bool { n, _, _ := v.noted(); return n > 0 })
	if string(v.steps[0]) != "for 7" {
		t.Errorf("took %q", v.steps)
	}
}

// A voter that was down for a while gets what is sent after it is back.
func TestVoterThatIsBackIsHeard(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan bool, 16)
	go func() {
		for {
			conn, bad := l.Accept()
			if bad != nil {
				return
			}
			_, _ = io.CopyN(io.Discard, conn, 1)
			got <- true
			_ = conn.Close()
		}
	}()
	p := NewPostbox(Plain{})
	defer p.Close()
	at := l.Addr().String()
	p.Send(7, at, []byte("m"))
	<-got
	_ = l.Close()
	p.Send(7, at, []byte("lost"))
	v := newMemory()
	var again net.Listener
	eventually(t, "the address again", func() bool { again, err = net.Listen("tcp", at); return err == nil })
	s := Serve(again, house{v}, 16, nil)
	defer s.Close()
	eventually(t, "a message", func() bool {
		p.Send(7, at, []byte("m"))
		n, _, _ := v.noted()
		return n > 0
	})
}
