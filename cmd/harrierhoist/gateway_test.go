package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
	"harrierhoist/internal/testing/subprocess"
)

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

// configuration is one with 1024 sockets; known is the endpoint list of an earlier run, or null.
func configuration(listen, discovery, counter, known string) string {
	return fmt.Sprintf(configurationTemplate, listen, discovery, counter, 1024, known)
}

// gatewayUnderTest is a running gateway and the fakes around it.
type gatewayUnderTest struct {
	*testing.T
	addr       string
	process    *exec.Cmd
	configPath string
	log        *subprocess.Log
	server     *fakes.Server
	counter    *fakes.Counter
	discovery  *fakes.Discovery
}

// newGateway has an address, a server and a counter; the gateway is not started.
func newGateway(t *testing.T, answer func(words []string) string) *gatewayUnderTest {
	t.Helper()
	return &gatewayUnderTest{
		T: t, addr: loopbackAddress(), configPath: configFile(t), server: fakes.NewServer(t, answer),
		counter: fakes.NewCounter(t),
	}
}

// startGateway starts a gateway in front of one server that answers by a function, and waits until
// it is ready.
func startGateway(t *testing.T, sockets int, answer func(words []string) string) *gatewayUnderTest {
	t.Helper()
	g := newGateway(t, answer)
	host := g.host()
	g.discovery = fakes.NewDiscovery(t, host)
	g.process, g.log = startWithConfiguration(t, g.configPath,
		fmt.Sprintf(configurationTemplate, g.addr, g.discovery.Addr,
			g.counter.Addr, sockets, fakes.FormatList(1, true, host)))
	waitUntilReady(t, g.addr)
	return g
}

// host is the server's entry in an endpoint list.
func (g *gatewayUnderTest) host() string { return fakes.FormatHost("s-1", g.server.Addr, "in_service") }

// configuration is the gateway's own, without an endpoint list.
func (g *gatewayUnderTest) configuration() string {
	return configuration(g.addr, g.discovery.Addr, g.counter.Addr, "null")
}

// publishAndAwait has discovery publish its second version, and waits until the gateway knows it.
func (g *gatewayUnderTest) publishAndAwait(host string) {
	g.discovery.Publish(false, host)
	for query := ""; !strings.HasPrefix(query, "since=2"); {
		query = <-g.discovery.Queries
	}
}

// waitUntilReady waits until a gateway answers PING with PONG.
func waitUntilReady(t *testing.T, addr string) {
	t.Helper()
	fakes.Eventually(t, "ready at "+addr, func() bool { return subprocess.IsReady(addr) })
}

// signal sends signals, one after the other.
func (g *gatewayUnderTest) signal(signals ...syscall.Signal) {
	g.Helper()
	for _, signal := range signals {
		if err := g.process.Process.Signal(signal); err != nil {
			g.Fatal(err)
		}
	}
}

// reload replaces the configuration, and waits until a text is in the log once more.
func (g *gatewayUnderTest) reload(configuration, text string) {
	g.Helper()
	before := g.log.Count(text)
	replaceFile(g.T, g.configPath, configuration)
	g.signal(syscall.SIGHUP)
	fakes.Eventually(g, text, func() bool { return g.log.Count(text) > before })
}

// terminate asks the process to end, and waits until it logs that.
func (g *gatewayUnderTest) terminate() {
	g.Helper()
	g.signal(syscall.SIGTERM)
	waitForLog(g.T, g.log, `"gateway: shutting down"`)
}

// waitForCleanExit waits for the end of the process, which has to be one without an error.
func (g *gatewayUnderTest) waitForCleanExit() {
	g.Helper()
	if err := g.process.Wait(); err != nil {
		g.Errorf("ended with %v: %s", err, g.log)
	}
}

func (g *gatewayUnderTest) isListening() bool {
	conn, err := net.Dial("tcp", g.addr)
	if err == nil {
		_ = conn.Close()
	}
	return err == nil
}

// client is a connection to the gateway.
type client struct {
	*testing.T
	net.Conn
	in *bufio.Reader
}

func (g *gatewayUnderTest) connect() *client {
	g.Helper()
	conn, err := net.Dial("tcp", g.addr)
	if err != nil {
		g.Fatal(err)
	}
	g.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return &client{g.T, conn, bufio.NewReader(conn)}
}

func (c *client) send(text string) {
	c.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.Fatal(err)
	}
}

// readAnswer reads an answer of one line; a value is read as its text.
func (c *client) readAnswer() (string, error) {
	line, err := c.in.ReadString('\n')
	if strings.HasPrefix(line, "$") {
		line, err = c.in.ReadString('\n')
	}
	return strings.TrimSpace(line), err
}

// want reads an answer and matches it with a pattern.
func (c *client) want(pattern string) {
	c.Helper()
	if answer, err := c.readAnswer(); !regexp.MustCompile("^(" + pattern + ")$").MatchString(answer) {
		c.Fatalf("answered %q (%v), want %s", answer, err, pattern)
	}
}

// query sends a query and matches its answer with a pattern.
func (c *client) query(list, pattern string) {
	c.Helper()
	c.send(queryCommand(list))
	c.want(pattern)
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
	return fakes.FormatCommand("SVC.SUBMIT", "00000000b4d65521", nextRequestID(),
		"c=pay,t=wide,d=5000,units=2,spread=1,first=0", body)
}

// Two lists of a query that any client may send.
const (
	queryList     = "c=look,t=wide,d=4800"
	longQueryList = "c=look,t=wide,d=9000"
)

func answerHello([]string) string { return fakes.FormatValue("hello", 3) }

// answering answers every command with a value.
func answering(value string) func([]string) string {
	return func([]string) string { return fakes.FormatValue(value, 1) }
}

// queryListWith is the list of a query with a deadline.
func queryListWith(deadline time.Duration) string { return "c=look,t=wide,d=" + milliseconds(deadline) }

func milliseconds(span time.Duration) string { return strconv.FormatInt(span.Milliseconds(), 10) }
