package conformance

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

const (
	minUntilNextWindow = 10 * time.Second       // or half a window: no edge comes so soon, unless the row crosses one
	minUntilCrossing   = 2 * time.Second        // an edge that a row crosses comes no sooner,
	maxUntilCrossing   = 3 * time.Second        // and no later
	clockMargin        = 20 * time.Millisecond  // after an edge: clocks are read a little apart
	quietPeriod        = 100 * time.Millisecond // with nothing seen: nothing more comes by itself
	eventTimeout       = 10 * time.Second       // what a row waits for is long since there, or never comes
	// The same for a changed program, which is to fail: most rows wait for what never comes.
	changedEventTimeout = 4 * time.Second
	// A connection to the counter that is silent for so long is dead, and its checks end: later than by themselves.
	counterConnectTimeout = 5 * time.Second
	// The customer of a row is the first from here on that fits: rows name smaller ones as others beside it.
	firstCustomer    = 1000
	otherGatewaysTTL = "1" // how long our own calls have a name kept: gateways never ask for as little
)

// overlayAt names the variable that tells of a file of replaced sources, so that a changed program is played.
const overlayVariable = "CONFORMANCE_OVERLAY"

// program builds the program once for all rows; Clean removes it.
var buildProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "conformance")
	if err != nil {
		return "", err
	}
	buildDir = dir
	path := filepath.Join(dir, "harrierhoist")
	build := exec.Command("go", "build", "-overlay="+os.Getenv(overlayVariable), "-o", path, "harrierhoist/cmd/harrierhoist")
	out, err := build.CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

var buildDir string

// Clean removes what was built. Call it when all tests have ended.
func Cleanup() {
	for _, v := range sharedVoters {
		v.stop()
	}
	if buildDir != "" {
		_ = os.RemoveAll(buildDir)
	}
}

// process is a row's play against a running gateway: stand-ins note what reaches them, clients what they are answered.
type processTarget struct {
	t              testing.TB
	events         eventLog
	windows        windows
	plan           string
	gatewayCount   int
	addr           string
	pid            int
	peers          []string
	counter        *fakes.Counter
	discovery      *fakes.Discovery
	servers        []*fakes.Server
	releaseCounter func() // of the counter; nil: it answers
	variant        Variant
	ignoredCalls   *atomic.Int64 // calls that were not looked at
	mu             sync.Mutex
	answers        map[int]chan float64 // by task: the units to report
}

func newProcessTarget(t testing.TB, row Row, plan Plan, variant Variant) *processTarget {
	t.Helper()
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	p := &processTarget{
		t: t, plan: plan.Name, gatewayCount: max(row.Gateways, 1), counter: fakes.NewCounter(t),
		variant: variant, ignoredCalls: new(atomic.Int64), answers: map[int]chan float64{},
	}
	var hosts []string
	for i := range serverCount {
		p.servers = append(p.servers, fakes.NewServer(t, p.serve))
		hosts = append(hosts, fakes.FormatHost(fmt.Sprintf("s-%d", i), p.servers[i].Addr, "in_service"))
	}
	p.discovery = fakes.NewDiscovery(t, hosts...)
	l := Launch{Dir: t.TempDir(), Config: launchConfig(p, plan), Hosts: hosts}
	variant.Process(t, &l)
	p.discovery.Publish(true, l.Hosts...)
	l.Config["known"] = json.RawMessage(fakes.FormatList(1, true, l.Hosts...))
	p.peers = l.Peers
	running := p.start(path, &l)
	if l.OnReady != nil {
		l.OnReady(running)
	}
	p.chooseCustomer(plan, row.CrossesWindow)
	p.counter.Observe(p.recordCall)
	return p
}

// choose takes a customer whose windows change soon or not, as the row needs it.
func (p *processTarget) chooseCustomer(plan Plan, crosses bool) {
	for c := uint64(firstCustomer); ; c++ {
		if p.variant.AcceptsCustomer != nil && !p.variant.AcceptsCustomer(c) {
			continue
		}
		p.windows = newWindows(c, plan)
		if p.variant.CounterKey != nil {
			p.windows = newWindows(p.variant.CounterKey(c), plan)
			p.windows.customer = c
		}
		edge := p.windows.untilNext(wallClock())
		if crosses && edge > minUntilCrossing && edge < maxUntilCrossing || !crosses && edge > min(minUntilNextWindow, p.windows.length/2) {
			return
		}
	}
}

// clock is the time that all gateways share.
func wallClock() time.Duration { return time.Duration(time.Now().UnixNano()) }

// called notes a call to the counter that a gateway made.
func (p *processTarget) recordCall(call string) {
	words := strings.Fields(call)
	if len(words) != 4 || words[3] == otherGatewaysTTL {
		return
	}
	name, _ := strconv.ParseUint(words[1], 10, 64)
	units, _ := strconv.ParseFloat(words[2], 64)
	faces := p.windows.callEvents(wallClock(), name, units)
	if p.variant.MakesOwnCalls && strings.HasPrefix(faces[0], "count strange ") {
		p.ignoredCalls.Add(1)
		return
	}
	p.events.add(faces...)
}

// served is what the servers do: they note a push, and answer once the row says so.
func (p *processTarget) serve(words []string) string {
	task, _ := strconv.ParseUint(words[2], 16, 32)
	p.events.add("push " + decimal(uint32(task)))
	select {
	case units := <-p.answerChannel(int(task)):
		if units > 0 {
			return fakes.FormatValue("hello", int(units))
		}
		return "*3\r\n$5\r\nhello\r\n$7\r\nused=10\r\n$-1\r\n" // reports no cost
	case <-p.t.Context().Done():
		return fakes.CloseConn
	}
}

func (p *processTarget) answerChannel(task int) chan float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.answers[task] == nil {
		p.answers[task] = make(chan float64, 1)
	}
	return p.answers[task]
}
