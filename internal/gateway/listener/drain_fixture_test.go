package listener

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// drainFixture is a running fixture with tapped connections and one server.
type drainFixture struct {
	*fixture
	*tappedListener
	server *fakes.Server
	served chan error // result of Serve
}

// drainSettings returns settings with one class, whose timeout is writeTimeout.
func drainSettings() policy.Settings {
	return policy.Settings{
		Gateways: 1, Zones: 1, ClockTick: 2 * time.Millisecond, MaxAttempts: 5, CanCancel: true, SendsRetryAfter: true,
		MaxRetryAfter: 2 * time.Second, DrainGrace: time.Second, ArrivalSlack: 8 * time.Millisecond,
		OverloadSpan: time.Second,
		Classes: []policy.TrafficClass{
			{Name: "look", LatencyObjective: 2 * time.Second, Timeout: 3 * time.Second, Effect: policy.Idempotent},
		},
		Plans: []policy.Plan{{Name: "wide", Rate: 100000, Burst: 100000}},
	}
}

func newDrainFixture(
	t *testing.T, maxConnections int, setHooks func(*tappedConn), answer func(words []string) string,
) *drainFixture {
	t.Helper()
	t.Parallel()
	server := fakes.NewServer(t, answer)
	f := fixtureOptions{settings: drainSettings(), maxConnections: maxConnections}.newFixture(t, server)
	f.MarkReady()
	tapped := &tappedListener{TCPListener: f.socket.(*net.TCPListener), accepted: make(chan *tappedConn, 1000)}
	d := &drainFixture{fixture: f, server: server, served: make(chan error, 1), tappedListener: tapped}
	d.setHooks.Store(&setHooks)
	go func() { d.served <- d.Serve(d.tappedListener) }()
	return d
}

// activateDrain makes the drain active, as Drain does once it has stopped accepting. Commands are
// read and forwarded for readTime.
func (d *drainFixture) activateDrain(readTime time.Duration) {
	readUntil := time.Now().Add(readTime)
	d.drain.times.Store(&drainTimes{
		forwardUntil: readUntil, readUntil: readUntil, answerBy: time.Now().Add(time.Hour),
	})
	d.drain.active.Store(true)
}

// startDrain starts Drain, and waits until the drain is active.
func (d *drainFixture) startDrain() (finished chan struct{}) {
	d.Helper()
	finished = make(chan struct{})
	go func() {
		d.Drain(d.tappedListener)
		close(finished)
	}()
	fakes.Eventually(d, "the drain active", d.drain.active.Load)
	return finished
}

// awaitDrained waits until Drain has returned.
func (d *drainFixture) awaitDrained(finished chan struct{}) {
	d.Helper()
	select {
	case <-finished:
	case <-time.After(20 * time.Second):
		d.Fatal("the drain did not end")
	}
}

// connectionOf returns the listener side of a client's connection.
func (d *drainFixture) connectionOf(client *testClient) (found *connection) {
	d.Helper()
	fakes.Eventually(d, "the connection", func() bool {
		d.connections.mu.Lock()
		defer d.connections.mu.Unlock()
		for c := range d.connections.connections {
			if c.RemoteAddr().String() == client.LocalAddr().String() {
				found = c
			}
		}
		return found != nil
	})
	return found
}

// makeIdle makes a connection look as if it had been idle for an hour.
func (c *connection) makeIdle() { c.setLastUsed(time.Now().Add(-time.Hour)) }

func (c *connection) setLastUsed(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.lastUsed = at
}

// isFullyAnswered reports whether all commands on the connection are answered.
func (c *connection) isFullyAnswered() bool {
	activity, _ := c.currentActivity(time.Now())
	return activity == activityIdleAnswered
}

// numberedQuery returns a query command with the number n, which is forwarded to the server.
func numberedQuery(n int) string {
	return fakes.FormatCommand("SVC.QUERY", "00000000b4d65521", uniqueID(), fmt.Sprintf("c=look,t=wide,d=3000,n=%d", n))
}

// answerByNumber returns a server function that answers a query with its number. If release has a
// channel for that number, the answer waits until the channel is closed.
func answerByNumber(release map[int]chan bool) func(words []string) string {
	return func(words []string) string {
		var n int
		_, _ = fmt.Sscanf(words[3][strings.LastIndex(words[3], "n="):], "n=%d", &n)
		if release[n] != nil {
			<-release[n]
		}
		return fakes.FormatValue(fmt.Sprintf("value %d", n), 1)
	}
}
