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
	far       = 10 * time.Second       // or half a window: no edge comes so soon, unless the row crosses one
	nearLeast = 2 * time.Second        // an edge that a row crosses comes no sooner,
	nearMost  = 3 * time.Second        // and no later
	beyond    = 20 * time.Millisecond  // after an edge: clocks are read a little apart
	quiet     = 100 * time.Millisecond // with nothing seen: nothing more comes by itself
	soonest   = 10 * time.Second       // what a row waits for is long since there, or never comes
	// The same for a changed program, which is to fail: most rows wait for what never comes.
	changedWait = 4 * time.Second
	// A connection to the counter that is silent for so long is dead, and its checks end: later than by themselves.
	connectWithin = 5 * time.Second
	// The customer of a row is the first from here on that fits: rows name smaller ones as others beside it.
	chosenFrom = 1000
	othersKey  = "1" // how long our own calls have a name kept: gateways never ask for as little
)

// overlayAt names the variable that tells of a file of replaced sources, so that a changed program is played.
const overlayAt = "CONFORMANCE_OVERLAY"

// program builds the program once for all rows; Clean removes it.
var program = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "conformance")
	if err != nil {
		return "", err
	}
	built = dir
	path := filepath.Join(dir, "harrierhoist")
	build := exec.Command("go", "build", "-overlay="+os.Getenv(overlayAt), "-o", path, "harrierhoist/cmd/harrierhoist")
	out, err := build.CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

var built string

// Clean removes what was built. Call it when all tests have ended.
func Clean() {
	for _, u := range unions {
		u.end()
	}
	if built != "" {
		_ = os.RemoveAll(built)
	}
}

// process is a row's play against a running gateway: stand-ins note what reaches them, clients what they are answered.
type process struct {
	t         testing.TB
	seen      seen
	windows   windows
	plan      string
	width     int
	addr      string
	pid       int
	peers     []string
	counter   *fakes.Counter
	discovery *fakes.Discovery
	servers   []*fakes.Server
	letGo     func() // of the counter; nil: it answers
	variant   Variant
	asides    *atomic.Int64 // calls that were not looked at
	mu        sync.Mutex
	answers   map[int]chan float64 // by task: the units to report
}

func newProcess(t testing.TB, row Row, plan Plan, v Variant) *process {
	t.Helper()
	path, err := program()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{
		t: t, plan: plan.Name, width: max(row.Gateways, 1), counter: fakes.NewCounter(t),
		variant: v, asides: new(atomic.Int64), answers: map[int]chan float64{},
	}
	var hosts []string
	for i := range servers {
		p.servers = append(p.servers, fakes.NewServer(t, p.served))
		hosts = append(hosts, fakes.FormatHost(fmt.Sprintf("s-%d", i), p.servers[i].Addr, "in_service"))
	}
	p.discovery = fakes.NewDiscovery(t, hosts...)
	l := Launch{Dir: t.TempDir(), Config: launchConfig(p, plan), Hosts: hosts}
	v.Process(t, &l)
	p.discovery.Publish(true, l.Hosts...)
	l.Config["known"] = json.RawMessage(fakes.FormatList(1, true, l.Hosts...))
	p.peers = l.Peers
	running := p.start(path, &l)
	if l.Ready != nil {
		l.Ready(running)
	}
	p.choose(plan, row.Crosses)
	p.counter.Observe(p.called)
	return p
}

// choose takes a customer whose windows change soon or not, as the row needs it.
func (p *process) choose(plan Plan, crosses bool) {
	for c := uint64(chosenFrom); ; c++ {
		if p.variant.Fits != nil && !p.variant.Fits(c) {
			continue
		}
		p.windows = windowsOf(c, plan)
		if p.variant.Key != nil {
			p.windows = windowsOf(p.variant.Key(c), plan)
			p.windows.customer = c
		}
		edge := p.windows.edge(clock())
		if crosses && edge > nearLeast && edge < nearMost || !crosses && edge > min(far, p.windows.length/2) {
			return
		}
	}
}

// clock is the time that all gateways share.
func clock() time.Duration { return time.Duration(time.Now().UnixNano()) }

// called notes a call to the counter that a gateway made.
func (p *process) called(call string) {
	words := strings.Fields(call)
	if len(words) != 4 || words[3] == othersKey {
		return
	}
	name, _ := strconv.ParseUint(words[1], 10, 64)
	units, _ := strconv.ParseFloat(words[2], 64)
	faces := p.windows.call(clock(), name, units)
	if p.variant.Aside && strings.HasPrefix(faces[0], "count strange ") {
		p.asides.Add(1)
		return
	}
	p.seen.add(faces...)
}

// served is what the servers do: they note a push, and answer once the row says so.
func (p *process) served(words []string) string {
	task, _ := strconv.ParseUint(words[2], 16, 32)
	p.seen.add("push " + decimal(uint32(task)))
	select {
	case units := <-p.answer(int(task)):
		if units > 0 {
			return fakes.FormatValue("hello", int(units))
		}
		return "*3\r\n$5\r\nhello\r\n$7\r\nused=10\r\n$-1\r\n" // reports no cost
	case <-p.t.Context().Done():
		return fakes.CloseConn
	}
}

func (p *process) answer(task int) chan float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.answers[task] == nil {
		p.answers[task] = make(chan float64, 1)
	}
	return p.answers[task]
}
