package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"harrierhoist/internal/testing/fakes"
)

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "harrierhoist")
	if err == nil {
		program = filepath.Join(dir, "harrierhoist")
		var out []byte
		if out, err = exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
			err = fmt.Errorf("%w: %s", err, out)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	if err := goleak.Find(); err != nil && code == 0 { // a test that leaves a goroutine behind fails
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

const configurationTemplate = `{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","counter":%q,
"limits":{"cores":1.0,"memory_mb":192,"sockets":%d},"known":%s,
"settings":{"Balancers":1,"Me":0,"MyZone":0,"Dcs":["hall-a"],"Models":["m2"],"Discovery":"push","TickMs":2,
"FamilyInfo":{"HasCounter":true,"CountLimitMs":200,"Settles":true,"MostUnits":6},"Report":{"Fields":[],"How":"off"},
"PolicyLimits":{"Cancelling":true,"TryLimit":6,"RetryAfter":true,"MaxRetryAfterMs":2000,"ConnectTimeoutMs":250,
"IdleCloseMs":30000,"StreamsPerConn":100},"Rules":{"AnswerSlackMs":8,"DrainGraceMs":1000,"ColdFrom":0.15,
"WarmAfterMs":16000,"FallMultiple":2,"TipAfterMs":1500},"RequestClasses":[
{"Name":"look","AimMs":5000,"DeadlineMs":9000,"Effect":"read_like","Worth":1},
{"Name":"hold","AimMs":5000,"DeadlineMs":9000,"Effect":"idempotency_key","Group":"cell","WindowMs":1000,"Worth":3},
{"Name":"pay","AimMs":5000,"DeadlineMs":9000,"Effect":"non_idempotent","Worth":3}],"TiersOfService":[
{"Name":"wide","UnitsPerS":1000,"PeakUnits":4000},{"Name":"small","UnitsPerS":0.1,"PeakUnits":3}]}}`

// gatewayUnderTest is a running gateway and the stand-ins around it.
type gatewayUnderTest struct {
	*testing.T
	addr       string
	process    *exec.Cmd
	configPath string // where its configuration is
	log        *logBuffer
	server     *fakes.Server
	counter    *fakes.Counter
	discovery  *fakes.Discovery
}

// logBuffer is what the program writes.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// startWithConfiguration starts the program on a configuration.
func startWithConfiguration(t *testing.T, path, config string) (*exec.Cmd, *logBuffer) {
	t.Helper()
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd, log := exec.Command(program), &logBuffer{}
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		requireNoRace(t, log)
	})
	return cmd, log
}

// requireNoRace fails the test if the program, built under GOFLAGS=-race, has seen a data race in itself.
func requireNoRace(t *testing.T, log *logBuffer) {
	if strings.Contains(log.String(), "DATA RACE") {
		t.Error(log)
	}
}

// startGateway starts a gateway in front of one server that answers by a function, and waits until it is ready.
func startGateway(t *testing.T, sockets int, answer func(words []string) string) *gatewayUnderTest {
	t.Helper()
	gateway := &gatewayUnderTest{T: t, addr: loopbackAddress(t), server: fakes.NewServer(t, answer), counter: fakes.NewCounter(t)}
	entry := fakes.FormatHost("s-1", gateway.server.Addr, "in_service")
	gateway.discovery = fakes.NewDiscovery(t, entry)
	gateway.configPath = filepath.Join(t.TempDir(), "config.json")
	gateway.process, gateway.log = startWithConfiguration(t, gateway.configPath, fmt.Sprintf(configurationTemplate, gateway.addr, gateway.discovery.Addr, gateway.counter.Addr, sockets,
		fakes.FormatList(1, true, entry)))
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("the program's log:\n%s", gateway.log)
		}
	})
	fakes.Eventually(t, "ready", func() bool {
		c, err := net.Dial("tcp", gateway.addr)
		if err != nil {
			return false
		}
		defer c.Close()
		_, _ = io.WriteString(c, fakes.FormatCommand("PING"))
		line, _ := bufio.NewReader(c).ReadString('\n')
		return line == "+PONG\r\n"
	})
	return gateway
}

// reload has the program take a configuration, and waits until its log says a line once more.
func (gateway *gatewayUnderTest) reload(config, line string) {
	gateway.Helper()
	before := strings.Count(gateway.log.String(), line)
	if err := os.WriteFile(gateway.configPath, []byte(config), 0o600); err != nil {
		gateway.Fatal(err)
	}
	_ = gateway.process.Process.Signal(syscall.SIGHUP)
	fakes.Eventually(gateway, line, func() bool { return strings.Count(gateway.log.String(), line) > before })
}

// client is a connection to the gateway.
type client struct {
	*testing.T
	net.Conn
	in *bufio.Reader
}

func (gateway *gatewayUnderTest) connect() *client {
	gateway.Helper()
	c, err := net.Dial("tcp", gateway.addr)
	if err != nil {
		gateway.Fatal(err)
	}
	gateway.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return &client{gateway.T, c, bufio.NewReader(c)}
}

func (c *client) send(text string) {
	c.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.Fatal(err)
	}
}

// want reads an answer and holds it against a pattern; a value is read as its text.
func (c *client) want(pattern string) {
	c.Helper()
	line, err := c.in.ReadString('\n')
	if strings.HasPrefix(line, "$") {
		line, err = c.in.ReadString('\n')
	}
	if !regexp.MustCompile("^(" + pattern + ")$").MatchString(strings.TrimSpace(line)) {
		c.Fatalf("answered %q (%v), want %s", line, err, pattern)
	}
}

// wantClosed wants no more than the end of the connection.
func (c *client) wantClosed() {
	c.Helper()
	if rest, err := io.ReadAll(c.in); len(rest) > 0 || os.IsTimeout(err) { // a reset is an end as well
		c.Fatalf("%q, %v instead of the end", rest, err)
	}
}

var lastRequestID atomic.Uint64

// nextRequestID is a new one with every request, as clients have it.
func nextRequestID() string { return fmt.Sprintf("%016x", lastRequestID.Add(1)) }

func queryCommand(list string) string {
	return fakes.FormatCommand("SVC.QUERY", "00000000b4d65521", nextRequestID(), list)
}

func submitCommand(body string) string {
	return fakes.FormatCommand("SVC.SUBMIT", "00000000b4d65521", nextRequestID(), "c=pay,t=wide,d=5000,units=2,spread=1,first=0", body)
}

func answerHello([]string) string { return fakes.FormatValue("hello", 3) }
