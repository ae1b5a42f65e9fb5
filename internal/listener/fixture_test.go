package listener

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/dispatch"
	"harrierhoist/internal/testing/fakes"
	"harrierhoist/internal/upstream"
	"harrierhoist/policy"
)

// fixture is a front on a loopback address with a gate and a fleet behind it, and servers that the story plays.
type fixture struct {
	*testing.T
	*Listener
	gate        *dispatch.Dispatcher
	tcpListener net.Listener
}

// testSettings has a lane that is safe to repeat and one that is not, and two plans.
func testSettings() policy.Settings {
	return policy.Settings{
		Gateways: 1, Zones: 1, ClockTick: 2 * time.Millisecond, MaxAttempts: 4096, CanCancel: true, RetryAfter: true,
		DrainGrace: time.Second, ArrivalSlack: 8 * time.Millisecond,
		Classes: []policy.TrafficClass{
			{Name: "look", LatencyObjective: 5 * time.Second, Timeout: 15 * time.Second, Effect: policy.Idempotent},
			{Name: "pay", LatencyObjective: 5 * time.Second, Timeout: 15 * time.Second, Effect: policy.NonIdempotent},
		},
		Plans: []policy.Plan{{Name: "wide", Rate: 1e6, Burst: 1e6}, {Name: "open", Rate: 1e6, Burst: 1e6}},
	}
}

// newFixture begins a story whose front holds so many bytes; it serves once a listener is given.
func newFixture(t *testing.T, bytes int, servers ...*fakes.Server) *fixture {
	t.Helper()
	return newFixtureWith(t, testSettings(), nil, bytes, servers...)
}

// countCallback is a call to the counter that waits for its answer.
type countCallback func(float64, policy.Outcome)

// newFixtureWith is play with settings and a counter whose calls go to a function, under the gate's lock.
func newFixtureWith(t *testing.T, given policy.Settings, count func(countCallback), bytes int, servers ...*fakes.Server) *fixture {
	t.Helper()
	given.HasCounter = count != nil
	f := upstream.New(2*time.Second, 10*time.Second, nil, 2000)
	g, err := dispatch.New(given, 7, dispatch.Dependencies{
		IdleTimeout: f.IdleTimeout(), CheckHealth: func(dispatch.Server, func(dispatch.Result)) {},
		Count: func(_ uint64, _ float64, _ time.Duration, told func(float64, policy.Outcome)) { count(told) },
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go g.RunTimers(ctx)
	var list []dispatch.Server
	for i, s := range servers {
		list = append(list, dispatch.Server{Name: fmt.Sprintf("s-%d", i), Address: s.Addr, Endpoint: policy.Endpoint{State: policy.Ready}})
	}
	if len(list) > 0 {
		g.HandleEndpoints(policy.ListFull, list)
	}
	return &fixture{t, New(&given, g, f, 256, bytes, zap.NewNop()), g, fakes.Listen(t)}
}

// start has clients taken; each connection is first handed to the functions given.
func (s *fixture) start(first ...func(*net.TCPConn) net.Conn) *fixture {
	go func() { _ = s.Serve(wrappingListener{s.tcpListener, first}) }()
	return s
}

type wrappingListener struct {
	net.Listener
	wrappers []func(*net.TCPConn) net.Conn
}

func (l wrappingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	for _, first := range l.wrappers {
		if err == nil {
			c = first(c.(*net.TCPConn))
		}
	}
	return c, err
}

// testClient is a client.
type testClient struct {
	*fixture
	*net.TCPConn
	in *bufio.Reader
}

func (s *fixture) dial() *testClient {
	s.Helper()
	conn, err := net.Dial("tcp", s.tcpListener.Addr().String())
	if err != nil {
		s.Fatal(err)
	}
	s.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetReadDeadline(time.Now().Add(30 * time.Second))
	return &testClient{s, conn.(*net.TCPConn), bufio.NewReader(conn)}
}

func (c *testClient) send(text string) {
	c.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.Fatal(err)
	}
}

// readAnswer reads an answer: a line, or what a value holds.
func (c *testClient) readAnswer() string {
	c.Helper()
	line, err := c.in.ReadString('\n')
	if size := 0; err == nil && line[0] == '$' {
		_, _ = fmt.Sscanf(line, "$%d", &size)
		value := make([]byte, size+2)
		_, err = io.ReadFull(c.in, value)
		line = string(value)
	}
	if err != nil {
		c.Fatal(err)
	}
	return strings.TrimSuffix(line, "\r\n")
}

// inHand is how many commands the front has in hand, of all its clients.
func (s *fixture) inHand() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		c.mu.Lock()
		n += c.commands
		c.mu.Unlock()
	}
	return n
}

// clientCount is how many clients there are.
func (s *fixture) clientCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clients)
}

// awaitEmpty waits until the front has no client and carries nothing.
func (s *fixture) awaitEmpty() {
	s.Helper()
	fakes.Eventually(s, "all gone", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.clients) == 0 && len(s.openIDs) == 0
	})
}

var lastNumber atomic.Int64

func uniqueID() string { return fmt.Sprintf("%016x", lastNumber.Add(1)) }

func queryCommand() string {
	return fakes.FormatCommand("SVC.QUERY", uniqueID(), uniqueID(), "c=look,t=wide,d=14000")
}

func submitCommand(body string) string {
	return fakes.FormatCommand("SVC.SUBMIT", uniqueID(), uniqueID(), "c=pay,t=wide,d=14000", body)
}

func answerNothing([]string) string { return "" }
