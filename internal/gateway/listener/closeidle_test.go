package listener

import (
	"context"
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// idleClosers holds functions that make the listener close an idle connection, by name.
var idleClosers = map[string]func(f *drainFixture){
	"eviction": func(f *drainFixture) { f.connections.evictForSlot() },
	"drain":    func(f *drainFixture) { f.connections.closeIdle(shouldCloseInDrain) },
	"sweep": func(f *drainFixture) {
		ctx, cancel := context.WithCancel(f.Context())
		defer cancel()
		go f.Sweep(ctx)
		for range 2 { // when the second one is closed, at least one whole sweep has run
			silent := f.dial()
			f.connectionOf(silent).makeIdle()
			silent.wantReset()
		}
	},
}

// The first byte of a request has arrived on an idle connection, and the reader has seen it but has
// not counted the request yet. The connection stays open.
func TestCloseIdle_partiallyReceivedRequestIsAnswered(t *testing.T) {
	for name, closeIdle := range idleClosers {
		t.Run(name, func(t *testing.T) {
			seen, release := make(chan bool), make(chan bool)
			f := newDrainFixture(t, 8, func(c *tappedConn) {
				c.afterWait = runOnce(func() { seen <- true; <-release })
			}, answerHello)
			c := f.dial()
			f.connectionOf(c).makeIdle()
			f.setHooks.Store(nil)
			c.send("*")
			<-seen
			closeIdle(f)
			close(release)
			c.send(strings.TrimPrefix(pingCommand, "*"))
			c.wantAnswer(`\+PONG`)
		})
	}
}

// A request arrives while the connection is being closed. No byte of it is read, and the client
// sees a reset.
func TestCloseIdle_requestDuringCloseIsNotRead(t *testing.T) {
	for name, closeIdle := range idleClosers {
		t.Run(name, func(t *testing.T) {
			f := newDrainFixture(t, 8, nil, answerHello)
			c := f.dial()
			tapped := <-f.accepted
			conn := f.connectionOf(c)
			conn.makeIdle()
			tapped.beforeReset = runOnce(func() {
				c.send(numberedQuery(1))
				fakes.Eventually(t, "the request's arrival", func() bool { return !conn.IsIdle() })
			})
			closeIdle(f)
			c.wantReset()
			f.awaitIdle()
			if n := tapped.readBytes.Load(); n > 0 || f.server.PendingCommands() > 0 {
				t.Errorf("%d bytes read, %d requests forwarded; want none", n, f.server.PendingCommands())
			}
		})
	}
}

// longValue is an answer that exceeds the buffers of a client with a small read buffer.
var longValue = strings.Repeat("x", 64<<10)

func answerLongValue([]string) string { return fakes.FormatValue(longValue, 1) }

// An answer is on its way to a slow client. Nothing closes the connection until the time to read
// the answer has passed.
func TestCloseIdle_answerInTransitIsDelivered(t *testing.T) {
	for name, closeIdle := range idleClosers {
		t.Run(name, func(t *testing.T) {
			f := newDrainFixture(t, 8, nil, answerLongValue)
			client := f.dialWithSmallReadBuffer()
			conn := f.connectionOf(client)
			client.send(numberedQuery(1))
			fakes.Eventually(t, "the answer written", conn.isFullyAnswered)
			conn.setLastUsed(time.Now().Add(-drainIdleTimeout))
			if name != "sweep" { // a sweep closes only connections that are idle for longer than writeTimeout
				closeIdle(f)
			}
			if conn.closeIfIdle() {
				t.Error("closed the connection while its answer was in transit")
			}
			client.wantAnswer(longValue)
			conn.makeIdle()
			fakes.Eventually(t, "all acknowledged", func() bool { return !conn.HasUnacknowledged() })
			closeIdle(f)
			client.wantReset()
		})
	}
}

func TestCloseIdle_clientThatNeverReadsIsClosed(t *testing.T) {
	f := newDrainFixture(t, 8, nil, answerLongValue)
	c := f.dialWithSmallReadBuffer()
	conn := f.connectionOf(c)
	c.send(numberedQuery(1))
	fakes.Eventually(t, "the answer written", conn.isFullyAnswered)
	conn.makeIdle()
	f.connections.evictForSlot()
	f.awaitIdle()
}
