package listener

import (
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// sendUntilBlocked sends commands until the receive window of the listener has been full for a while.
func (c *testClient) sendUntilBlocked(command func() string) {
	c.Helper()
	_ = c.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
	for blocked := false; !blocked; {
		_, err := io.WriteString(c, command())
		blocked = err != nil
	}
}

func longCommand() string { return submitCommand(strings.Repeat("x", 32<<10)) }

func manyQueries() string { return repeated(queryCommand, 1000) }

// repeated returns as many commands, each with IDs of its own.
func repeated(command func() string, count int) string {
	var text strings.Builder
	for range count {
		text.WriteString(command())
	}
	return text.String()
}

// Guards against attempts for clients that sent much and are gone: while the receive window is full,
// their system cannot send the close.
func TestDisconnect_isNotHiddenByAFullReceiveWindow(t *testing.T) {
	t.Run("while requests wait for a server", func(t *testing.T) {
		t.Parallel()
		server := fakes.NewServer(t, answerHello)
		f := newFixture(t, 0).start()
		checkHiddenDisconnect(t, f, server, longCommand, 0, func() {
			f.dispatcher.HandleEndpoints(policy.ListFull, endpointsOf(slices.Repeat([]*fakes.Server{server}, 8)))
		})
	})
	t.Run("while short requests wait for a server", func(t *testing.T) {
		t.Parallel()
		server := fakes.NewServer(t, answerHello)
		f := newFixture(t, 0).start()
		checkHiddenDisconnect(t, f, server, manyQueries, 0, func() {
			f.dispatcher.HandleEndpoints(policy.ListFull, endpointsOf(slices.Repeat([]*fakes.Server{server}, 8)))
		})
	})
	t.Run("while requests wait for a count", func(t *testing.T) {
		t.Parallel()
		server := fakes.NewServer(t, answerHello)
		settings, counter := testSettings(), &delayedCounter{}
		settings.LateCountAfter = settings.Classes[0].Timeout
		f := newFixtureWith(t, settings, counter.count, 0, server).start()
		checkHiddenDisconnect(t, f, server, longCommand, 0, counter.answer)
	})
	t.Run("while attempts are to be retried", func(t *testing.T) {
		t.Parallel()
		release := make(chan bool)
		server := fakes.NewServer(t, func([]string) string { <-release; return "-BUSY\r\n" })
		f := newFixture(t, 0, slices.Repeat([]*fakes.Server{server}, 8)...).start()
		checkHiddenDisconnect(t, f, server, longCommand, 1, func() { close(release) })
	})
	t.Run("while reading waits for memory", func(t *testing.T) {
		t.Parallel()
		server := fakes.NewServer(t, answerHello)
		f := newFixture(t, minMemory).start()
		checkHiddenDisconnect(t, f, server, longCommand, 0, func() {
			f.dispatcher.HandleEndpoints(policy.ListFull, endpointsOf(slices.Repeat([]*fakes.Server{server}, 8)))
		})
	})
	t.Run("during a drain", func(t *testing.T) {
		t.Parallel()
		server := fakes.NewServer(t, answerHello)
		f := newFixture(t, 0).start()
		checkHiddenDisconnect(t, f, server, longCommand, 0, func() {
			times := newDrainTimes(time.Now(), time.Hour)
			times.readUntil = time.Now() // reading has stopped already
			f.drain.times.Store(times)
			f.drain.active.Store(true)
			f.dispatcher.HandleEndpoints(policy.ListFull, endpointsOf(slices.Repeat([]*fakes.Server{server}, 8)))
		})
	})
}

// checkHiddenDisconnect checks that no attempt begins for a client that sent much and left some time
// before provide is called. Before it left, the server got at least the given number of its requests.
// How many more it got depends on when the gateway lets them wait for capacity.
func checkHiddenDisconnect(
	t *testing.T, f *fixture, server *fakes.Server, command func() string, minAttempted int, provide func(),
) {
	t.Helper()
	client := f.dial()
	client.sendUntilBlocked(command)
	fakes.Eventually(t, "the first attempts", func() bool { return server.PendingCommands() >= minAttempted })
	_ = client.Close()
	time.Sleep(2 * maxPresenceAge)
	attempted := server.PendingCommands()
	if minAttempted == 0 && attempted > 0 {
		t.Errorf("%d attempts without a server or a count", attempted)
	}
	provide()
	f.awaitIdle()
	if n := server.PendingCommands(); n != attempted {
		t.Errorf("%d attempts, want %d", n, attempted)
	}
}

// A client that sends as much and stays is served: its presence is unknown only until an answer is
// acknowledged.
func TestDisconnect_clientWithFullReceiveWindowIsServed(t *testing.T) {
	t.Parallel()
	const commands = 400
	server := fakes.NewServer(t, answerHello)
	f := newFixture(t, 0).start()
	client := f.dial()
	go func() { _, _ = io.WriteString(client, repeated(longCommand, commands)) }()
	time.Sleep(4 * maxPresenceAge)
	f.dispatcher.HandleEndpoints(policy.ListFull, endpointsOf(slices.Repeat([]*fakes.Server{server}, 8)))
	served := 0
	for range commands {
		if client.readAnswer() == "hello" {
			served++
		}
	}
	if served < commands*9/10 {
		t.Errorf("%d of %d requests were served", served, commands)
	}
}
