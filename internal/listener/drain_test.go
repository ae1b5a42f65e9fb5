package listener

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// Connections stand in line as the front closes, and the one before them waits for a place: all are answered, and none
// comes behind them.
func TestDrain_answersConnectionsInTheBacklog(t *testing.T) {
	let := map[int]chan bool{1: make(chan bool)}
	h := newDrainFixture(t, 1, nil, answerByNumber(let))
	holds := h.dial()
	holds.send(query(1))
	h.server.NextCommand(t)
	waits, stands, too := h.dial(), h.dial(), h.dial()
	waits.send(query(2))
	<-h.came
	<-h.came // of these, the first is accepted and has no place; the others stand in the system
	stands.send(query(3))
	too.send(query(4))
	ended := h.drain()
	fakes.Eventually(t, "the end of reading on", h.f.isReadOver)
	close(let[1])
	for i, c := range []*drainClient{holds, waits, stands, too} {
		c.want([]string{"value 1", "value 2", "value 3", "value 4"}[i])
		c.wantEnd(nil)
		_ = c.Close()
	}
	h.awaitDrained(ended)
	if err := <-h.served; err != nil {
		t.Error(err)
	}
	if conn, err := h.redial(); err == nil {
		_ = conn.Close()
		t.Error("the line was not closed")
	}
}

func (h *drainFixture) redial() (io.Closer, error) {
	return net.Dial("tcp", h.TCPListener.Addr().String())
}

// A client that sends on and on without a pause: what was begun to be read is answered, the rest is plainly not read,
// and the drain ends in time.
func TestDrain_endsClientThatNeverPauses(t *testing.T) {
	h := newDrainFixture(t, 8, nil, answerHello)
	c := h.dial()
	near := <-h.came
	go func() {
		for many := strings.Repeat(ping, 1000); ; {
			if _, err := io.WriteString(c, many); err != nil {
				return
			}
		}
	}()
	answers, odd := 0, 0
	got := make(chan error)
	go func() {
		for in := bufio.NewReader(c); ; {
			line, err := in.ReadString('\n')
			if err != nil {
				got <- err
				return
			}
			if answers++; line != "+PONG\r\n" {
				odd++
			}
		}
	}()
	began := time.Now()
	ended := h.drain()
	if err := <-got; err != io.EOF {
		t.Errorf("the answers ended with %v", err)
	}
	_ = c.Close()
	h.awaitDrained(ended)
	if took := time.Since(began); took > writeTimeout+killGrace {
		t.Errorf("the drain took %v", took)
	}
	if read := int(near.read.Load()); odd > 0 || read != answers*len(ping) {
		t.Errorf("%d answers, %d of them odd, to %d commands that were read", answers, odd, read/len(ping))
	}
}

// Where no more is to be read, what was read on already is answered, and no byte behind that is taken.
func TestDrain_readsNothingBehindReadAhead(t *testing.T) {
	const many, buffer = 300, 4 << 10
	h := newDrainFixture(t, 8, func(near *tappedConn) {
		near.waited = once(func() {
			raw, _ := near.TCPConn.SyscallConn()
			fakes.Eventually(t, "all that was sent", func() (all bool) {
				_ = raw.Control(func(fd uintptr) {
					n, _, _ := syscall.Recvfrom(int(fd), make([]byte, 2*buffer), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
					all = n == many*len(ping)
				})
				return all
			})
		})
	}, answerHello)
	h.startDraining(0)
	c := h.dial()
	near := <-h.came
	c.send(strings.Repeat(ping, many))
	taken := buffer/len(ping) + 1 // the last of them in part
	for range taken {
		c.want(`\+PONG`)
	}
	c.wantEnd(nil)
	if n := int(near.read.Load()); n != taken*len(ping) {
		t.Errorf("%d bytes were read, for %d answers", n, taken)
	}
}

// An answer can't be written, and somebody waits for a place behind it: what is read late has only the time that SIGKILL
// leaves, nothing is given up before SIGKILL is due, and the drain ends all the same.
func TestDrain_endsThoughAnAnswerIsStuck(t *testing.T) {
	stop := make(chan bool)
	t.Cleanup(func() { close(stop) })
	var stuck atomic.Bool
	h := newDrainFixture(t, 1, func(c *tappedConn) {
		c.write = func(p []byte) (int, error) {
			stuck.Store(true)
			<-stop
			return 0, errors.New("over")
		}
	}, answerHello)
	c := h.dial()
	c.send(query(1))
	fakes.Eventually(t, "the answer", stuck.Load)
	waits := h.dial()
	began := time.Now()
	ended := h.drain()
	if p := h.f.boundTimeout(time.Hour); p <= 0 || p > time.Until(began.Add(writeTimeout+killGrace)) {
		t.Errorf("a request read now has %v", p)
	}
	h.awaitDrained(ended)
	if took := time.Since(began); took < writeTimeout+killGrace { // how late a full machine is with the end, over bounds
		t.Errorf("the drain took %v", took)
	}
	waits.wantEnd(syscall.ECONNRESET)
	if err := <-h.served; err != nil || h.logs.FilterMessage("ended before all clients had their answers").Len() != 1 {
		t.Errorf("served until %v; said %v", err, h.logs.All())
	}
}

// SIGKILL comes 0.7 s after the longest deadline, which counts as 3 s where it is longer.
func TestKillDelay(t *testing.T) {
	for longest, want := range map[time.Duration]time.Duration{
		500 * time.Millisecond: 1200 * time.Millisecond,
		3 * time.Second:        3700 * time.Millisecond,
		9 * time.Second:        3700 * time.Millisecond,
	} {
		site := policy.Settings{Classes: []policy.TrafficClass{{Name: "a", Timeout: longest / 2}, {Name: "b", Timeout: longest}}}
		if got := New(&site, nil, nil, 1, 0, nil).killDelay(); got != want {
			t.Errorf("with %v it is taken to come after %v, want %v", longest, got, want)
		}
	}
}
