package conformance

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// How far the edges of a customer's windows are from a case's start.
const (
	minUntilNextWindow = 10 * time.Second // or half a window, unless the case crosses an edge
	minUntilNearEdge   = 2 * time.Second  // where it crosses one
	maxUntilNearEdge   = 3 * time.Second
	// waited after an edge: two processes read the clock at different moments
	clockMargin = 20 * time.Millisecond
)

// How long is waited for events.
const (
	quietPeriod  = 100 * time.Millisecond // without an event: no more come by themselves
	eventTimeout = 10 * time.Second       // an expected event has long happened, or never will
	// changedEventTimeout is the same for a deliberately broken program: most of its cases wait for
	// what never happens.
	changedEventTimeout = 4 * time.Second
)

const (
	// counterConnectTimeout is after what time a silent connection to the counter is given up, and
	// the checks on it end: later than the checks give up by themselves.
	counterConnectTimeout = 5 * time.Second
	// firstCustomer is where the search for a case's customer starts: cases name smaller ones as
	// others.
	firstCustomer = 1000
	// otherGatewaysTTL is the lifetime of names, in ms, in the calls made here: gateways never ask
	// for one so short.
	otherGatewaysTTL = "1"
)

// processTarget runs a case against a running gateway. Fake servers, discovery and counter record
// what reaches them, clients what they are answered.
type processTarget struct {
	t              testing.TB
	events         eventLog
	variant        Variant
	windows        windows
	plan           string
	gatewayCount   int
	addr           string
	pid            int
	peers          []string // addresses that the process may connect to besides the fakes
	counter        *fakes.Counter
	releaseCounter func() // nil unless the counter is silent
	discovery      *fakes.Discovery
	servers        []*fakes.Server
	ignoredCalls   atomic.Int64 // counter calls of the variant's own

	mu      sync.Mutex
	answers map[int]chan float64 // by request: the units that its answer reports
}

func newProcessTarget(tb testing.TB, testCase Case, plan Plan, variant Variant) *processTarget {
	tb.Helper()
	path, err := buildProgram()
	if err != nil {
		tb.Fatal(err)
	}
	created := &processTarget{
		t: tb, plan: plan.Name, gatewayCount: max(testCase.Gateways, 1), counter: fakes.NewCounter(tb),
		variant: variant, answers: map[int]chan float64{},
	}
	var hosts []string
	for i := range serverCount {
		created.servers = append(created.servers, fakes.NewServer(tb, created.serve))
		hosts = append(hosts, fakes.FormatHost(fmt.Sprintf("s-%d", i), created.servers[i].Addr, "in_service"))
	}
	created.discovery = fakes.NewDiscovery(tb, hosts...)
	launch := Launch{Dir: tb.TempDir(), Config: launchConfig(created, plan), Hosts: hosts}
	variant.Process(tb, &launch)
	created.discovery.Publish(true, launch.Hosts...)
	launch.Config["known"] = json.RawMessage(fakes.FormatList(1, true, launch.Hosts...))
	created.peers = launch.Peers
	instance := created.start(path, &launch)
	if launch.OnReady != nil {
		launch.OnReady(instance)
	}
	created.chooseCustomer(plan, testCase.CrossesWindow)
	created.counter.Observe(created.recordCall)
	return created
}

// chooseCustomer takes the first customer whose next window starts soon, or not, as the case needs
// it.
func (p *processTarget) chooseCustomer(plan Plan, crosses bool) {
	for customer := uint64(firstCustomer); ; customer++ {
		if p.variant.AcceptsCustomer != nil && !p.variant.AcceptsCustomer(customer) {
			continue
		}
		p.windows = newWindows(customer, plan)
		if p.variant.CounterKey != nil {
			p.windows = newWindows(p.variant.CounterKey(customer), plan)
			p.windows.customer = customer
		}
		left := p.windows.untilNext(wallClock())
		if crosses && isNearEdge(left) {
			return
		}
		if !crosses && left > min(minUntilNextWindow, p.windows.length/2) {
			return
		}
	}
}

// isNearEdge reports whether a window that lasts so much longer ends soon, yet not before a case
// has begun.
func isNearEdge(left time.Duration) bool { return left > minUntilNearEdge && left < maxUntilNearEdge }

// wallClock is the clock that all gateways share.
func wallClock() time.Duration { return time.Duration(time.Now().UnixNano()) }

// recordCall records a call to the counter that a gateway made.
func (p *processTarget) recordCall(call string) {
	words := strings.Fields(call)
	if len(words) != 4 || words[3] == otherGatewaysTTL {
		return
	}
	name, err := strconv.ParseUint(words[1], 10, 64)
	if err != nil {
		p.t.Errorf("call %q: %v", call, err)
		return
	}
	units, err := strconv.ParseFloat(words[2], 64)
	if err != nil {
		p.t.Errorf("call %q: %v", call, err)
		return
	}
	forms := p.windows.callEvents(wallClock(), name, units)
	if p.variant.MakesOwnCalls && strings.HasPrefix(forms[0], "count "+windowUnknown+" ") {
		p.ignoredCalls.Add(1)
		return
	}
	p.events.add(forms...)
}

// serve is the servers' part: it records an attempt, and answers once the case says so.
func (p *processTarget) serve(words []string) string {
	id, err := strconv.ParseUint(words[2], 16, 32)
	if err != nil {
		p.t.Errorf("request %q: %v", words[2], err)
		return fakes.CloseConn
	}
	p.events.add("attempt " + decimal(uint32(id)))
	select {
	case units := <-p.answerChannel(int(id)):
		if units > 0 {
			return fakes.FormatValue("hello", int(units))
		}
		return "*3\r\n$5\r\nhello\r\n$7\r\nused=10\r\n$-1\r\n" // reports no cost
	case <-p.t.Context().Done():
		return fakes.CloseConn
	}
}

func (p *processTarget) answerChannel(request int) chan float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.answers[request] == nil {
		p.answers[request] = make(chan float64, 1)
	}
	return p.answers[request]
}

// await waits until a pattern matches one of the events after the first n.
func (p *processTarget) await(pattern string, n int) {
	p.t.Helper()
	p.waitUntil(func(events [][]string) bool {
		for _, event := range events[n:] {
			if matches(event, pattern) {
				return true
			}
		}
		return false
	})
}

// waitUntil waits until the events are enough, or the time for that is over: what is missing then
// is the case's to say.
func (p *processTarget) waitUntil(enough func(events [][]string) bool) {
	timeout := eventTimeout
	if os.Getenv(overlayVariable) != "" {
		timeout = changedEventTimeout
	}
	for end := time.Now().Add(timeout); !enough(p.events.since(0)) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// awaitEvents waits until the events are enough, and then until no more come.
func (p *processTarget) awaitEvents(enough func(events [][]string) bool) *eventLog {
	p.waitUntil(enough)
	for n := -1; n != len(p.events.since(0)); time.Sleep(quietPeriod) {
		n = len(p.events.since(0))
	}
	return &p.events
}
