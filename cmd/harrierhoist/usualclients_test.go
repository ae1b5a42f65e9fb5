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
	"syscall"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// The smallest machine that the operators' pages name.
const (
	smallMemoryMB    = 32
	smallDescriptors = 1024
)

// Load of the usual clients.
const (
	usualClientCount = 12
	usualDeadline    = 700 * time.Millisecond
	usualPace        = 100 * time.Millisecond // between an answer and the next request
	// connectAfterSigterm is how long after SIGTERM new connections keep coming.
	connectAfterSigterm = 400 * time.Millisecond
)

// usualAnswer is what became of one request of a usual client.
type usualAnswer struct {
	text   string // first line of the answer; empty if there was none
	took   time.Duration
	sentAt time.Time
	end    error // how the connection ended in place of the answer
}

// isLost reports whether the request has no answer, or one later than the pages allow.
func (a *usualAnswer) isLost() bool {
	return a.text == "" || a.took > usualDeadline+finalAnswerSlack+measuringSlack
}

// usualClients send one request after the other, each client on a connection that it keeps, until
// they are stopped or can no longer connect.
type usualClients struct {
	addr    string
	ended   atomic.Bool
	termAt  atomic.Pointer[time.Time] // SIGTERM; nil: not sent
	running sync.WaitGroup

	mu      sync.Mutex
	answers []usualAnswer
	unread  []time.Time // sending times of requests that crossed the close of the last connection
}

func startUsualClients(t *testing.T, addr string) *usualClients {
	t.Helper()
	clients := &usualClients{addr: addr}
	for i := range usualClientCount {
		clients.running.Go(func() {
			time.Sleep(time.Duration(i) * usualPace / usualClientCount)
			clients.run()
		})
	}
	t.Cleanup(clients.stop)
	return clients
}

// stop ends the clients once their last requests are answered.
func (u *usualClients) stop() {
	u.ended.Store(true)
	u.running.Wait()
}

// run sends requests until the clients are stopped, or the gateway can no longer be reached: the request
// that waits for that is unread.
func (u *usualClients) run() {
	pending := time.Time{} // when the request was sent first that crossed a close
	for !u.ended.Load() {
		conn, err := u.connect()
		if err != nil {
			break
		}
		pending = u.sendUntilClosed(conn, pending)
		_ = conn.Close()
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if !pending.IsZero() {
		u.unread = append(u.unread, pending)
	}
}

// errTerminated is the error of a connection that a front no longer makes.
var errTerminated = errors.New("the gateway was told to end")

func (u *usualClients) connect() (net.Conn, error) {
	if termAt := u.termAt.Load(); termAt != nil && time.Since(*termAt) > connectAfterSigterm {
		return nil, errTerminated
	}
	return net.Dial("tcp", u.addr)
}

// sendUntilClosed sends requests until the gateway closes the connection. A request that crosses the
// close unread is sent once more on a new connection: its first time is returned.
func (u *usualClients) sendUntilClosed(conn net.Conn, pending time.Time) time.Time {
	reader := bufio.NewReader(conn)
	state := continuousClient{client: &client{Conn: conn, in: reader}}
	for !u.ended.Load() && !state.isEnded() {
		answer := request(conn, reader, pending)
		if answer.hasCrossedClose() && time.Since(answer.sentAt) < usualDeadline {
			return answer.sentAt
		}
		pending = time.Time{}
		u.mu.Lock()
		u.answers = append(u.answers, answer)
		u.mu.Unlock()
		if answer.end != nil {
			break
		}
		time.Sleep(usualPace)
	}
	return pending
}

// request sends a request and reads its answer. It tells the time that is left since firstSent, unless
// that is zero.
func request(conn net.Conn, reader *bufio.Reader, firstSent time.Time) usualAnswer {
	now := time.Now()
	answer := usualAnswer{sentAt: now}
	if !firstSent.IsZero() {
		answer.sentAt = firstSent
	}
	left := usualDeadline - now.Sub(answer.sentAt)
	_ = conn.SetDeadline(now.Add(10 * time.Second))
	_, answer.end = io.WriteString(conn, queryCommand(queryListWith(left)))
	if answer.end == nil {
		answer.text, answer.end = readSoakAnswer(reader)
	}
	answer.took = time.Since(answer.sentAt)
	return answer
}

// hasCrossedClose reports whether the gateway closed the connection before it read the request.
func (a *usualAnswer) hasCrossedClose() bool {
	isReset := errors.Is(a.end, syscall.ECONNRESET) || errors.Is(a.end, syscall.EPIPE)
	return isReset || errors.Is(a.end, io.EOF)
}

// sentBetween returns how many requests were sent in a span and not answered, as the gateway ended.
func (u *usualClients) sentBetween(begin, end time.Time) (count int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, sentAt := range u.unread {
		if sentAt.After(begin) && sentAt.Before(end) {
			count++
		}
	}
	return count
}

// usualSummary counts what became of the requests.
type usualSummary struct {
	requests, served, refused, failed, lost int
	slowest                                 time.Duration
}

func (u *usualClients) summary() (s usualSummary) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i := range u.answers {
		answer := &u.answers[i]
		s.requests++
		s.slowest = max(s.slowest, answer.took)
		switch {
		case answer.isLost():
			s.lost++
		case strings.HasPrefix(answer.text, "$"):
			s.served++
		case strings.HasPrefix(answer.text, "-BUSY"):
			s.refused++
		default:
			s.failed++
		}
	}
	return s
}

func (s usualSummary) String() string {
	return fmt.Sprintf("%d requests: %d served, %d refused, %d failed, %d lost, slowest %v",
		s.requests, s.served, s.refused, s.failed, s.lost, s.slowest.Round(time.Millisecond))
}

// startSmallGateway starts a gateway with the least memory, descriptors and processors that the pages
// name, in front of a server that answers after some milliseconds.
func startSmallGateway(t *testing.T) *gatewayUnderTest {
	t.Helper()
	gateway := newGateway(t, func([]string) string {
		time.Sleep(5 * time.Millisecond)
		return fakes.FormatValue("hello", 1)
	})
	gateway.discovery = fakes.NewDiscovery(t, gateway.host())
	gateway.startSmall(smallDescriptors)
	return gateway
}

// startSmall starts the process with little memory and short deadlines.
func (g *gatewayUnderTest) startSmall(descriptors int) {
	g.Helper()
	drainCalls(g.T, g.counter)
	text := fmt.Sprintf(configurationTemplate, g.addr, g.discovery.Addr, g.counter.Addr, descriptors, "null")
	text = strings.NewReplacer(`"DeadlineMs":9000`, `"DeadlineMs":`+milliseconds(usualDeadline),
		`"memory_mb":192`, fmt.Sprintf(`"memory_mb":%d`, smallMemoryMB)).Replace(text)
	g.process, g.log = startWithConfiguration(g.T, g.configPath, text)
	waitUntilReady(g.T, g.addr)
}

// drainCalls takes the calls of a counter: more come than the fake holds for tests that read them.
func drainCalls(t *testing.T, counter *fakes.Counter) {
	t.Helper()
	go func() {
		for {
			select {
			case <-counter.Calls:
			case <-t.Context().Done():
				return
			}
		}
	}()
}

// wantNoneLost wants all usual requests answered in time, and the process within its memory.
func (g *gatewayUnderTest) wantNoneLost(clients *usualClients) {
	g.Helper()
	summary := clients.summary()
	peakMB := residentKB(g.process.Process.Pid, "VmHWM:") >> 10
	g.Logf("%v; peak memory %d MB", summary, peakMB)
	if summary.lost > 0 {
		g.Errorf("%d of %d usual requests were lost", summary.lost, summary.requests)
	}
	if peakMB > smallMemoryMB && raceSlowdown == 1 {
		g.Errorf("peak memory %d MB, limit %d MB", peakMB, smallMemoryMB)
	}
}
