package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// steadyClient sends requests at a pace, without waiting for answers, until its connection ends.
type steadyClient struct {
	*client
	pace    time.Duration
	command func() string

	mu       sync.Mutex
	sentAt   []time.Time // by request, in order
	answered int
	endedAt  time.Time
	end      error
}

// send sends requests until the connection has ended.
func (s *steadyClient) send() {
	for {
		time.Sleep(s.pace)
		s.mu.Lock()
		hasEnded := !s.endedAt.IsZero()
		if !hasEnded {
			s.sentAt = append(s.sentAt, time.Now())
		}
		s.mu.Unlock()
		if hasEnded {
			return
		}
		if _, err := io.WriteString(s.Conn, s.command()); err != nil {
			return
		}
	}
}

// receive counts answers until the connection ends, and closes it then.
func (s *steadyClient) receive() {
	reader := continuousClient{client: s.client}
	for {
		err := reader.readWholeAnswer()
		s.mu.Lock()
		if err != nil && !strings.HasPrefix(err.Error(), "-") {
			s.end, s.endedAt = err, time.Now()
			s.mu.Unlock()
			_ = s.Close()
			return
		}
		s.answered++
		s.mu.Unlock()
	}
}

// endCrossing is how long before the client sees the end of its connection a request may have crossed
// that end; the review's case allows the same. On a busy machine the client sees the end late.
const endCrossing = 100 * time.Millisecond

// unanswered returns how many requests that did not cross the end of the connection have no answer.
func (s *steadyClient) unanswered() (count int) {
	for _, sentAt := range s.sentAt[s.answered:] {
		if s.endedAt.Sub(sentAt) > endCrossing {
			count++
		}
	}
	return count
}

// steadyCase is a planned restart while clients send on and servers hang.
type steadyCase struct {
	hanging          int // servers of six that hang from SIGTERM on
	clients          int
	pace             time.Duration
	deadline, killAt time.Duration
	pausedFor        time.Duration // the process is stopped for so long as SIGTERM comes
	newClients       int           // connect one after the other from SIGTERM on, as far as they are accepted
	memoryMB         int           // memory that the gateway may use; 0: the usual amount
	command          func(list string) string
}

// newClientInterval is the time between two clients that connect after SIGTERM.
const newClientInterval = 80 * time.Millisecond

func submitOf(size int) func(list string) string {
	return func(list string) string {
		return fakes.FormatCommand("SVC.SUBMIT", "00000000b4d65521", nextRequestID(),
			strings.Replace(list, "c=look", "c=pay", 1), strings.Repeat("b", size))
	}
}

// Guards against requests that are lost at a planned restart: clients send on without a pause, and
// servers hang. Commands behind such requests were read until 2.5 s after SIGTERM, and 64 of them at
// most; the connection then ended over the others. All that come are answered, in their order, and
// all connections and the process end before SIGKILL comes at its earliest.
func TestTerminate_requestsOfSteadyClientsAreAnswered(t *testing.T) {
	for name, change := range map[string]func(row *steadyCase){
		"all servers hang":                 func(*steadyCase) {},
		"three of six servers hang":        func(row *steadyCase) { row.hanging, row.clients = 3, 8 },
		"no server hangs":                  func(row *steadyCase) { row.hanging = 0 },
		"submits":                          func(row *steadyCase) { row.command = submitOf(2000) },
		"long values":                      func(row *steadyCase) { row.setLongValues() },
		"long values, memory used up":      func(row *steadyCase) { row.setLongValues(); row.memoryMB = 16 },
		"deadlines past SIGKILL":           func(row *steadyCase) { row.deadline = 9 * time.Second },
		"a request a millisecond":          func(row *steadyCase) { row.pace, row.clients = time.Millisecond, 2 },
		"new connections":                  func(row *steadyCase) { row.newClients = 9 },
		"new connections, three hang":      func(row *steadyCase) { row.newClients, row.hanging = 9, 3 },
		"noticed 0.15 s late":              func(row *steadyCase) { row.pausedFor = 150 * time.Millisecond },
		"noticed 0.9 s late":               func(row *steadyCase) { row.pausedFor = 900 * time.Millisecond },
		"noticed 2.5 s late":               func(row *steadyCase) { row.pausedFor = 2500 * time.Millisecond },
		"short deadlines":                  func(row *steadyCase) { row.setShortDeadlines() },
		"short deadlines, two hang":        func(row *steadyCase) { row.setShortDeadlines(); row.hanging = 2 },
		"short deadlines, new connections": func(row *steadyCase) { row.setShortDeadlines(); row.newClients = 9 },
		"short deadlines, noticed late": func(row *steadyCase) {
			row.setShortDeadlines()
			row.pausedFor = 100 * time.Millisecond
		},
		"deadlines of 60 ms": func(row *steadyCase) {
			row.deadline, row.killAt = 60*time.Millisecond, 760*time.Millisecond
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			row := steadyCase{
				hanging: 6, clients: 3, pace: 8 * time.Millisecond, deadline: 3 * time.Second,
				killAt: 3700 * time.Millisecond, memoryMB: 192, command: queryCommand,
			}
			change(&row)
			row.play(t)
		})
	}
}

func (row *steadyCase) setLongValues() { row.command, row.pace = submitOf(60000), 20*time.Millisecond }

func (row *steadyCase) setShortDeadlines() {
	row.deadline, row.killAt = 400*time.Millisecond, 1100*time.Millisecond
}

func (row *steadyCase) play(t *testing.T) {
	t.Helper()
	var areHanging atomic.Bool
	gateway := row.startGateway(t, &areHanging)
	running := &sync.WaitGroup{}
	var clients []*steadyClient
	for range row.clients {
		clients = append(clients, row.startClient(gateway.connect(), running))
	}
	time.Sleep(600 * time.Millisecond)
	areHanging.Store(true)
	sigkill := gateway.terminatePaused(row.pausedFor, row.killAt)
	for range row.newClients {
		time.Sleep(newClientInterval)
		if conn, err := net.Dial("tcp", gateway.addr); err == nil {
			clients = append(clients, row.startClient(&client{t, conn, bufio.NewReader(conn)}, running))
		}
	}
	running.Wait()
	row.check(t, clients)
	sigkill.wantEndBefore()
}

// check wants an answer to each request that did not cross the end of its connection, and an orderly
// end of each connection. A new connection that carried no request yet may be reset.
func (row *steadyCase) check(t *testing.T, clients []*steadyClient) {
	t.Helper()
	requests, unanswered := 0, 0
	for i, c := range clients {
		requests += len(c.sentAt)
		unanswered += c.unanswered()
		isUnused := i >= row.clients && c.answered == 0
		if !errors.Is(c.end, io.EOF) && !isUnused {
			t.Errorf("connection %d ended with %v after %d of %d answers", i, c.end, c.answered, len(c.sentAt))
		}
	}
	if unanswered > 0 {
		t.Errorf("%d of %d requests were not answered", unanswered, requests)
	}
	t.Logf("%d requests on %d connections", requests, len(clients))
}

// startGateway starts a gateway in front of six servers.
func (row *steadyCase) startGateway(t *testing.T, areHanging *atomic.Bool) *gatewayUnderTest {
	t.Helper()
	gateway := newGateway(t, row.answer(0, areHanging))
	hosts := []string{gateway.host()}
	for i := 1; i < 6; i++ {
		server := fakes.NewServer(t, row.answer(i, areHanging))
		hosts = append(hosts, fakes.FormatHost(fmt.Sprintf("s-%d", i+1), server.Addr, "in_service"))
	}
	gateway.discovery = fakes.NewDiscovery(t, hosts...)
	text := strings.NewReplacer(`"DeadlineMs":9000`, `"DeadlineMs":`+milliseconds(row.deadline),
		`"memory_mb":192`, fmt.Sprintf(`"memory_mb":%d`, row.memoryMB)).Replace(gateway.configuration())
	gateway.process, gateway.log = startWithConfiguration(t, gateway.configPath, text)
	waitUntilReady(t, gateway.addr)
	return gateway
}

// answer returns how a server answers.
func (row *steadyCase) answer(number int, areHanging *atomic.Bool) func([]string) string {
	return func([]string) string {
		if areHanging.Load() && number < row.hanging {
			return ""
		}
		time.Sleep(20 * time.Millisecond)
		return fakes.FormatValue("hello", 1)
	}
}

// startClient starts a client on a connection.
func (row *steadyCase) startClient(connected *client, running *sync.WaitGroup) *steadyClient {
	c := &steadyClient{client: connected, pace: row.pace, command: func() string {
		return row.command(queryListWith(row.deadline))
	}}
	running.Go(c.send)
	running.Go(c.receive)
	return c
}
