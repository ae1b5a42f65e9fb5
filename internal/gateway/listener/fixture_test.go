package listener

import (
	"fmt"
	"maps"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/internal/gateway/upstream"
	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// fixture is a listener on a loopback address with a dispatcher, an upstream pool and the servers
// of the test.
type fixture struct {
	*testing.T
	*Listener
	dispatcher *dispatch.Dispatcher
	socket     net.Listener
	logs       *observer.ObservedLogs // warnings and errors
}

// fixtureOptions configures a fixture.
type fixtureOptions struct {
	settings       policy.Settings
	count          func(counterReply) // called with the dispatcher's lock held; nil means no counter
	maxConnections int
	maxMemory      int // in bytes; 0 means no limit
}

// counterReply receives the total that the counter returns.
type counterReply func(float64, policy.Outcome)

// testSettings returns settings with an idempotent class, a non-idempotent one and two plans.
func testSettings() policy.Settings {
	return policy.Settings{
		Gateways: 1, Zones: 1, ClockTick: 2 * time.Millisecond, MaxAttempts: 4096, CanCancel: true,
		SendsRetryAfter: true, DrainGrace: time.Second, ArrivalSlack: 8 * time.Millisecond,
		Classes: []policy.TrafficClass{
			{Name: "look", LatencyObjective: 5 * time.Second, Timeout: 15 * time.Second, Effect: policy.Idempotent},
			{Name: "pay", LatencyObjective: 5 * time.Second, Timeout: 15 * time.Second, Effect: policy.NonIdempotent},
		},
		Plans: []policy.Plan{{Name: "wide", Rate: 1e6, Burst: 1e6}, {Name: "open", Rate: 1e6, Burst: 1e6}},
	}
}

// newFixture returns a fixture with a memory limit in bytes. It accepts no connections until start
// is called.
func newFixture(t *testing.T, maxMemory int, servers ...*fakes.Server) *fixture {
	t.Helper()
	return newFixtureWith(t, testSettings(), nil, maxMemory, servers...)
}

// newFixtureWith is like newFixture with the given settings, and with a counter if count is not
// nil.
func newFixtureWith(
	t *testing.T, settings policy.Settings, count func(counterReply), maxMemory int, servers ...*fakes.Server,
) *fixture {
	t.Helper()
	options := fixtureOptions{settings: settings, count: count, maxConnections: 256, maxMemory: maxMemory}
	return options.newFixture(t, servers...)
}

func (o fixtureOptions) newFixture(t *testing.T, servers ...*fakes.Server) *fixture {
	t.Helper()
	o.settings.HasCounter = o.count != nil
	upstreams := upstream.New(2*time.Second, 10*time.Second, nil, 2000)
	dispatcher, err := dispatch.New(o.settings, 7, dispatch.Dependencies{
		IdleTimeout: upstreams.IdleTimeout(), CheckHealth: func(dispatch.Server, func(dispatch.Result)) {},
		Count: func(_ uint64, _ float64, _ time.Duration, reply func(float64, policy.Outcome)) { o.count(reply) },
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	go dispatcher.RunTimers(t.Context())
	if len(servers) > 0 {
		dispatcher.HandleEndpoints(policy.ListFull, endpointsOf(servers))
	}
	core, logs := observer.New(zapcore.WarnLevel)
	l := New(&o.settings, dispatcher, upstreams, o.maxConnections, o.maxMemory, zap.New(core))
	return &fixture{t, l, dispatcher, fakes.Listen(t), logs}
}

// endpointsOf returns an endpoint list that holds the servers as ready.
func endpointsOf(servers []*fakes.Server) (list []dispatch.Server) {
	for i, server := range servers {
		list = append(list, dispatch.Server{
			Name: fmt.Sprintf("s-%d", i), Address: server.Addr, Endpoint: policy.Endpoint{State: policy.Ready},
		})
	}
	return list
}

// start starts accepting connections. Each connection is passed through the wrappers in order.
func (f *fixture) start(wrappers ...func(*net.TCPConn) net.Conn) *fixture {
	go func() { _ = f.Serve(wrappingListener{f.socket, wrappers}) }()
	return f
}

type wrappingListener struct {
	net.Listener
	wrappers []func(*net.TCPConn) net.Conn
}

func (w wrappingListener) Accept() (net.Conn, error) {
	conn, err := w.Listener.Accept()
	for _, wrap := range w.wrappers {
		if err == nil {
			conn = wrap(conn.(*net.TCPConn))
		}
	}
	return conn, err
}

// connectionCount returns the number of open connections.
func (f *fixture) connectionCount() int {
	f.connections.mu.Lock()
	defer f.connections.mu.Unlock()
	return len(f.connections.connections)
}

// openIDs returns the IDs of the requests in flight.
func (f *fixture) openIDs() map[string]bool {
	f.requestIDs.mu.Lock()
	defer f.requestIDs.mu.Unlock()
	return maps.Clone(f.requestIDs.open)
}

// awaitIdle waits until no connection is open and no request is in flight.
func (f *fixture) awaitIdle() {
	f.Helper()
	fakes.Eventually(f, "no connection and no request", func() bool {
		return f.connectionCount() == 0 && len(f.connections.slots) == 0 && len(f.openIDs()) == 0
	})
}

var lastID atomic.Int64

func uniqueID() string { return fmt.Sprintf("%016x", lastID.Add(1)) }

func queryCommand() string {
	return fakes.FormatCommand("SVC.QUERY", uniqueID(), uniqueID(), "c=look,t=wide,d=14000")
}

func submitCommand(body string) string {
	return fakes.FormatCommand("SVC.SUBMIT", uniqueID(), uniqueID(), "c=pay,t=wide,d=14000", body)
}

var pingCommand = fakes.FormatCommand("PING")

func answerNothing([]string) string { return "" }

func answerHello([]string) string { return fakes.FormatValue("hello", 1) }
