package listener

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// closeReasons are those in which the front ends a resting connection.
var closeReasons = map[string]func(h *drainFixture){
	"eviction": func(h *drainFixture) { h.f.evict(0) },
	"drain":    func(h *drainFixture) { h.f.closeIdle() },
	"sweep": func(h *drainFixture) {
		ctx, cancel := context.WithCancel(h.Context())
		defer cancel()
		go h.f.Sweep(ctx)
		for range 2 { // where the second ends, one sweep at least has seen all that was there before
			mum := h.dial()
			c := h.clientOf(mum)
			c.makeIdle()
			mum.wantEnd(syscall.ECONNRESET)
		}
	},
}

// clientOf is the client of a visitor.
func (h *drainFixture) clientOf(at *drainClient) (found *client) {
	h.Helper()
	fakes.Eventually(h, "the client", func() bool {
		h.f.mu.Lock()
		defer h.f.mu.Unlock()
		for c := range h.f.clients {
			if c.conn.RemoteAddr().String() == at.LocalAddr().String() {
				found = c
			}
		}
		return found != nil
	})
	return found
}

// The first byte of a request has come on a resting connection, and the reader has seen it but not counted it yet.
func TestCloseIdle_requestThatHasBegunIsAnswered(t *testing.T) {
	for name, end := range closeReasons {
		t.Run(name, func(t *testing.T) {
			seen, let := make(chan bool), make(chan bool)
			h := newDrainFixture(t, 8, func(c *tappedConn) { c.waited = once(func() { seen <- true; <-let }) }, answerHello)
			c := h.dial()
			h.clientOf(c).makeIdle()
			h.hook.Store(nil)
			c.send("*")
			<-seen
			end(h)
			close(let)
			c.send(strings.TrimPrefix(ping, "*"))
			c.want(`\+PONG`)
		})
	}
}

// A request comes as the connection is being ended: none of it is read, and the client can tell.
func TestCloseIdle_requestThatCrossesTheCloseIsNotRead(t *testing.T) {
	for name, end := range closeReasons {
		t.Run(name, func(t *testing.T) {
			h := newDrainFixture(t, 8, nil, answerHello)
			c := h.dial()
			near := <-h.came
			rests := h.clientOf(c)
			rests.makeIdle()
			near.breaks = once(func() {
				c.send(query(1))
				fakes.Eventually(t, "its coming", func() bool { return !rests.conn.IsQuiet() })
			})
			end(h)
			c.wantEnd(syscall.ECONNRESET)
			h.awaitEmpty()
			if n := near.read.Load(); n > 0 || h.server.PendingCommands() > 0 {
				t.Errorf("%d bytes were read, %d commands sent on", n, h.server.PendingCommands())
			}
		})
	}
}

func answerHello([]string) string { return fakes.FormatValue("hello", 1) }

// longValue is an answer that a narrow client takes only as it reads.
var longValue = strings.Repeat("x", 64<<10)

func answerLongValue([]string) string { return fakes.FormatValue(longValue, 1) }

// An answer is on its way to a slow client: no end of the connection takes it along, until the client has had its time.
func TestCloseIdle_answerInTransitIsDelivered(t *testing.T) {
	for name, end := range closeReasons {
		t.Run(name, func(t *testing.T) {
			h := newDrainFixture(t, 8, nil, answerLongValue)
			c := h.dial(true)
			slow := h.clientOf(c)
			c.send(query(1))
			fakes.Eventually(t, "the answer's last byte", func() bool {
				_, mum, idle := slow.idleState()
				return !mum && idle
			})
			slow.mu.Lock()
			slow.lastUsed = time.Now().Add(-drainIdleTimeout) // as Drain asks
			slow.mu.Unlock()
			if name != "sweep" { // which ends those idle for longer than an answer may take
				end(h)
			}
			if slow.closeIfIdle() {
				t.Error("ended over its answer")
			}
			c.want(longValue)
			slow.makeIdle()
			fakes.Eventually(t, "the last word of the client's system", func() bool { return !slow.conn.HasUnacknowledged() })
			end(h)
			c.wantEnd(syscall.ECONNRESET)
		})
	}
}

func TestCloseIdle_clientThatNeverReadsIsClosed(t *testing.T) {
	h := newDrainFixture(t, 8, nil, answerLongValue)
	c := h.dial(true)
	slow := h.clientOf(c)
	c.send(query(1))
	fakes.Eventually(t, "the answer's last byte", func() bool {
		_, mum, idle := slow.idleState()
		return !mum && idle
	})
	slow.makeIdle()
	h.f.evict(0)
	h.awaitEmpty()
}

// A request comes between the look for one and the half-close with the last answer, on a slow client as on a fast one:
// the answer comes whole, the request is not read, and its client sees an end in order.
func TestDrain_requestThatCrossesTheLastAnswerLosesNothing(t *testing.T) {
	for name, narrow := range map[string][]bool{"fast": nil, "slow": {true}} {
		t.Run(name, func(t *testing.T) {
			var c *drainClient
			var crossing atomic.Bool
			after := make(chan bool, 100) // the reader ends the connection over it, or waits on for a time
			tell := func() {
				if crossing.Load() {
					after <- true
				}
			}
			h := newDrainFixture(t, 8, func(near *tappedConn) {
				near.closes, near.words = tell, func(time.Time) { tell() }
				near.halfShut = once(func() {
					crossing.Store(true)
					c.send(query(2))
					<-after
					crossing.Store(false)
				})
			}, answerLongValue)
			c = h.dial(narrow...)
			first, near := query(1), <-h.came
			h.startDraining()
			c.send(first)
			c.want(longValue)
			c.wantEnd(nil)
			if n := near.read.Load(); int(n) != len(first) || h.server.PendingCommands() != 1 {
				t.Errorf("%d bytes were read of %d, %d commands sent on", n, len(first), h.server.PendingCommands())
			}
			_ = c.Close()
			h.awaitEmpty()
		})
	}
}

// A request stands, and the reader has seen it but not counted it yet, as the answer goes out that would be the last.
func TestDrain_requestReceivedBeforeTheLastAnswerIsAnswered(t *testing.T) {
	let := map[int]chan bool{1: make(chan bool)}
	seen, on := make(chan bool), make(chan bool)
	h := newDrainFixture(t, 8, func(near *tappedConn) {
		hold := once(func() { seen <- true; <-on })
		near.waited = func() {
			if near.read.Load() > 0 {
				hold()
			}
		}
	}, answerByNumber(let))
	c := h.dial()
	h.startDraining()
	c.send(query(1))
	h.server.NextCommand(t)
	c.send(query(2))
	<-seen
	close(let[1])
	c.want("value 1")
	close(on)
	c.want("value 2")
	c.wantEnd(nil)
}

// What comes after the half-close is not read either, by a client that stays.
func TestDrain_clientThatNeverClosesIsClosed(t *testing.T) {
	for name, text := range map[string]string{"mum": "", "sends on": query(2)} {
		t.Run(name, func(t *testing.T) {
			h := newDrainFixture(t, 8, nil, answerHello)
			c := h.dial()
			near := <-h.came
			h.startDraining()
			first := query(1)
			c.send(first)
			c.want("hello")
			c.wantEnd(nil)
			c.send(text)
			h.awaitEmpty()
			if n := near.read.Load(); int(n) != len(first) {
				t.Errorf("%d bytes were read of %d", n, len(first))
			}
			if text != "" && !errors.Is(c.awaitAcknowledged(), syscall.ECONNRESET) && !errors.Is(c.awaitAcknowledged(), syscall.EPIPE) {
				t.Error("the client cannot tell")
			}
		})
	}
}

// awaitAcknowledged is how a further write ends.
func (c *drainClient) awaitAcknowledged() error {
	_, err := c.Write([]byte("x"))
	return err
}
