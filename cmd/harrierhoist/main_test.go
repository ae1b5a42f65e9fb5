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

	"harrierhoist/internal/standin"
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
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

const told = `{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","counter":%q,
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

// world is a running gateway and the stand-ins around it.
type world struct {
	*testing.T
	addr      string
	cmd       *exec.Cmd
	config    string // where its configuration is
	log       *logged
	server    *standin.Server
	counter   *standin.Counter
	discovery *standin.Discovery
}

// logged is what the program writes.
type logged struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logged) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logged) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// launch starts the program on a configuration.
func launch(t *testing.T, path, config string) (*exec.Cmd, *logged) {
	t.Helper()
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd, log := exec.Command(program), &logged{}
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	return cmd, log
}

// begin starts a gateway in front of one server that answers by a function, and waits until it is ready.
func begin(t *testing.T, sockets int, answer func(words []string) string) *world {
	t.Helper()
	free := standin.Listen(t)
	w := &world{T: t, addr: free.Addr().String(), server: standin.NewServer(t, answer), counter: standin.NewCounter(t)}
	_ = free.Close()
	entry := standin.Host("s-1", w.server.Addr, "in_service")
	w.discovery = standin.NewDiscovery(t, entry)
	w.config = filepath.Join(t.TempDir(), "config.json")
	w.cmd, w.log = launch(t, w.config, fmt.Sprintf(told, w.addr, w.discovery.Addr, w.counter.Addr, sockets, standin.List(1, true, entry)))
	standin.Eventually(t, "ready", func() bool {
		c, err := net.Dial("tcp", w.addr)
		if err != nil {
			return false
		}
		defer c.Close()
		_, _ = io.WriteString(c, standin.Command("PING"))
		line, _ := bufio.NewReader(c).ReadString('\n')
		return line == "+PONG\r\n"
	})
	return w
}

// reload has the program take a configuration, and waits until its log says a line once more.
func (w *world) reload(config, line string) {
	w.Helper()
	before := strings.Count(w.log.String(), line)
	if err := os.WriteFile(w.config, []byte(config), 0o600); err != nil {
		w.Fatal(err)
	}
	_ = w.cmd.Process.Signal(syscall.SIGHUP)
	standin.Eventually(w, line, func() bool { return strings.Count(w.log.String(), line) > before })
}

// client is a connection to the gateway.
type client struct {
	*testing.T
	net.Conn
	in *bufio.Reader
}

func (w *world) dial() *client {
	w.Helper()
	c, err := net.Dial("tcp", w.addr)
	if err != nil {
		w.Fatal(err)
	}
	w.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return &client{w.T, c, bufio.NewReader(c)}
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

// closed wants no more than the end of the connection.
func (c *client) closed() {
	c.Helper()
	if rest, err := io.ReadAll(c.in); len(rest) > 0 || os.IsTimeout(err) { // a reset is an end as well
		c.Fatalf("%q, %v instead of the end", rest, err)
	}
}

var ids atomic.Uint64

// id is a new one with every request, as clients have it.
func id() string { return fmt.Sprintf("%016x", ids.Add(1)) }

func look(list string) string {
	return standin.Command("SVC.QUERY", "00000000b4d65521", id(), list)
}

func pay(body string) string {
	return standin.Command("SVC.SUBMIT", "00000000b4d65521", id(), "c=pay,t=wide,d=5000,units=2,spread=1,first=0", body)
}

func hello([]string) string { return standin.Value("hello", 3) }

func TestTasksAreServedAndTheirTrueUnitsCharged(t *testing.T) {
	w := begin(t, 1024, hello)
	c := w.dial()
	c.send(look("c=look,t=wide,d=4800,units=2,spread=1,first=0"))
	c.want("hello")
	got := w.server.Got(t)
	if ok, _ := regexp.MatchString(`^SVC.QUERY 00000000b4d65521 [0-9a-f]{16} c=look,t=wide,d=4[0-9]{3},units=2,spread=1,first=0$`,
		strings.Join(got, " ")); !ok {
		t.Errorf("passed on %q", got)
	}
	body := strings.Repeat("b", 64<<10)
	c.send(pay(body))
	c.want("hello")
	if got = w.server.Got(t); len(got) != 5 || got[0] != "SVC.SUBMIT" || got[4] != body {
		t.Errorf("passed on %d words", len(got))
	}
	for call := ""; !strings.Contains(call, " 3 "); { // the true units of the first, with the check of the second
		call = w.counter.Call(t)
	}
}

func TestOverTheLimitIsRejectedWithoutAPush(t *testing.T) {
	w := begin(t, 1024, hello)
	c := w.dial()
	for range 2 {
		c.send(look("c=look,t=small,d=4800,units=3"))
		c.want("hello|-BUSY [0-9]+")
	}
	c.send(look("c=look,t=small,d=4800,units=3"))
	c.want("-BUSY [0-9]+")
	if n := w.server.Commands(); n > 1 {
		t.Errorf("%d pushes", n)
	}
}

func TestBadInputGetsOneErrorAndHarmsNobody(t *testing.T) {
	w := begin(t, 1024, hello)
	for text, stays := range map[string]bool{
		look("c=nothing,t=wide,d=480"):     true,
		look("c=pay,t=wide,d=480"):         true, // effectful, but asked as a query
		look("c=look,t=nothing,d=480"):     true,
		look("c=look,t=wide,d=0"):          true,
		look("c=look,t=wide,d=-5"):         true,
		look("c=look,t=wide,d=NaN"):        true,
		look("c=look,t=wide"):              true,
		look(""):                           true,
		look("c=look,t=wide,d=0x1p9"):      true,
		look("c=look,t=wide,d=9,units=-1"): true,
		look("c=look,t=wide,d=9,units=7"):  true, // more than a task can take
		look("c=look,t=wide,d=9,first=1"):  true, // there is one gateway
		look("c=look,t=wide,d=9,spread=2"): true,
		look("c=look,t=wide,d=9,spread=0"): true,
		look("c=look,t=wide,d=9,d=9"):      true,
		look("c=look,t=wide,d=9,=7"):       true,
		look("c=look,t=wide,d=9,r=2"):      true,
		look("c=hold,t=wide,d=9"):          true,
		standin.Command("SVC.QUERY", "00000000b4d65521", "", "c=look,t=wide,d=480"):            true,
		standin.Command("SVC.QUERY", "0000000200000000", "1", "c=look,t=wide,d=480"):           true, // 2^33
		standin.Command("SVC.QUERY", "b4d65521", "1", "c=look,t=wide,d=480"):                   true,
		standin.Command("SVC.QUERY", "xyz", "1", "c=look,t=wide,d=480"):                        true,
		standin.Command("SVC.QUERY", "00000000b4d65521", "1", "c=look,t=wide,d=480", "body"):   true,
		standin.Command("SVC.SUBMIT", "00000000b4d65521", "1", "c=pay,t=wide,d=480"):           true,
		standin.Command("SVC.SUBMIT", "00000000b4d65521", "1", "c=hold,t=wide,d=480", "no k"):  true,
		standin.Command("SVC.SUBMIT", "00000000b4d65521", "1", "c=hold,t=wide,d=480,k=", "no"): true,
		standin.Command("SVC.QUERY"):       true,
		standin.Command("HELLO", "3"):      true,
		"*1\r\n$-5\r\n":                    false,
		"*1000000\r\n":                     false,
		"*5\r\n$60000000\r\nxxxxxxxx":      false,
		"GET / HTTP/1.1\r\n\r\n":           false,
		"*1\r\n$70000\r\n":                 false,
		strings.Repeat("x", 1<<20):         false,
		pay(strings.Repeat("b", 64<<10+1)): false,
	} {
		c := w.dial()
		_, _ = io.WriteString(c, text) // may be cut short where it has no end
		c.want("-ERR .*")
		if stays {
			c.send(look("c=look,t=wide,d=4800"))
			c.want("hello")
			continue
		}
		_ = c.Conn.(*net.TCPConn).CloseWrite()
		c.closed()
	}
}

func TestIdOfAnOpenTaskIsNobodyElses(t *testing.T) {
	first := make(chan bool)
	w := begin(t, 1024, func([]string) string { <-first; return standin.Value("hello", 1) })
	c, other := w.dial(), w.dial()
	same := look("c=look,t=wide,d=4800")
	c.send(same)
	w.server.Got(t)
	other.send(same)
	other.want("-ERR .*")
	close(first)
	c.want("hello")
	other.send(same) // open no more
	other.want("hello")
}

func TestWhoSaysNothingIsClosedInTime(t *testing.T) {
	w := begin(t, 1024, hello)
	mum, half, stays := w.dial(), w.dial(), w.dial()
	half.send("*4\r\n$9\r\nSVC.Q")
	stays.send(look("c=look,t=wide,d=4800"))
	stays.want("hello")
	mum.closed()
	half.closed()
	stays.send(look("c=look,t=wide,d=4800"))
	stays.want("hello")
}

func TestFloodOfThoseWhoSayNothingTakesNoPlaceFromClients(t *testing.T) {
	w := begin(t, 40, hello) // eight places
	c := w.dial()
	for range 5 {
		c.send(look("c=look,t=wide,d=4800"))
		c.want("hello")
		for range 20 {
			w.dial()
		}
	}
	if strings.Count(w.log.String(), "could not be accepted") > 0 {
		t.Error(w.log)
	}
}

func TestAnswersKeepTheOrderOfTheirTasks(t *testing.T) {
	first := make(chan bool)
	w := begin(t, 1024, func(words []string) string {
		if strings.Contains(words[3], "n=1") {
			<-first
			return standin.Value("one", 1)
		}
		return standin.Value("two", 1)
	})
	c := w.dial()
	c.send(look("c=look,t=wide,d=4800,n=1") + look("c=look,t=wide,d=4800,n=2") + standin.Command("PING"))
	w.server.Got(t)
	w.server.Got(t) // both are out at once
	close(first)
	c.want("one")
	c.want("two")
	c.want("\\+PONG")
}

func TestSilentServerIsGivenUpInTime(t *testing.T) {
	w := begin(t, 1024, func([]string) string { return "" })
	c := w.dial()
	c.send(standin.Command("SVC.SUBMIT", "00000000b4d65521", id(), "c=pay,t=wide,d=400", ""))
	c.want("-ERR .*") // it may have run: no promise
	c.send(look("c=look,t=wide,d=400"))
	c.want("-BUSY.*")
	if _, err := io.ReadAll(w.server.Conn(t)); err != nil {
		t.Errorf("the server's connection: %v", err)
	}
}

func TestServerThatHangsUpIsNoReasonToRepeatAnEffect(t *testing.T) {
	w := begin(t, 1024, func([]string) string { return standin.HangUp })
	c := w.dial()
	c.send(pay(""))
	c.want("-ERR .*")
	if w.server.Got(t); w.server.Commands() != 0 {
		t.Error("pushed again")
	}
}

func TestDrainingServerGetsNothingNew(t *testing.T) {
	w := begin(t, 1024, hello)
	other := standin.NewServer(t, func([]string) string { return standin.Value("other", 1) })
	w.discovery.Tell(false, standin.Host("s-1", w.server.Addr, "terminating"), standin.Host("s-2", other.Addr, "in_service"))
	for q := ""; !strings.HasPrefix(q, "since=2&"); { // told
		q = <-w.discovery.Queries
	}
	c := w.dial()
	for range 9 {
		c.send(look("c=look,t=wide,d=4800"))
		c.want("other")
	}
}

func TestSilentCounterHoldsNobodyUp(t *testing.T) {
	w := begin(t, 1024, hello)
	defer w.counter.Hold()()
	c := w.dial()
	for range 5 {
		c.send(look("c=look,t=wide,d=4800"))
		c.want("hello")
	}
}

func TestClientThatLeavesHoldsNothing(t *testing.T) {
	w := begin(t, 1024, func([]string) string { return "" })
	for range 3 {
		c := w.dial()
		c.send(pay(""))
		w.server.Got(t)
		_ = c.Close()
	}
	_ = w.cmd.Process.Signal(syscall.SIGTERM)
	if err := w.cmd.Wait(); err != nil { // with nobody to answer, it need not wait for the server
		t.Errorf("ended with %v: %s", err, w.log)
	}
}

func TestTimeSpentStandingStillIsOffThePatience(t *testing.T) {
	w := begin(t, 1024, hello)
	c, patient := w.dial(), w.dial()
	_ = w.cmd.Process.Signal(syscall.SIGSTOP)
	// The signal takes its time: sent before all threads stand still, the task was sometimes read at once.
	standin.Eventually(t, "a standstill", func() bool {
		stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", w.cmd.Process.Pid))
		return strings.Contains(string(stat), ") T ")
	})
	c.send(look("c=look,t=wide,d=100"))
	patient.send(look("c=look,t=wide,d=9000"))
	time.Sleep(300 * time.Millisecond)
	_ = w.cmd.Process.Signal(syscall.SIGCONT)
	c.want("-ERR deadline passed")
	patient.want("hello")
	if got := w.server.Got(t); regexp.MustCompile("d=8[0-7]").FindString(got[3]) == "" {
		t.Errorf("passed on with %s", got[3])
	}
}

func TestMoreClientsThanPlaces(t *testing.T) {
	w := begin(t, 40, hello) // eight places
	var idle []*client
	for range 30 {
		c := w.dial()
		c.send(look("c=look,t=wide,d=4800"))
		c.want("hello")
		idle = append(idle, c)
	}
	idle[0].closed() // it stood idle longest
}

func TestClientsThatAskOnceAndStayMakeRoomBeforeAllPlacesAreTaken(t *testing.T) {
	w := begin(t, 40, hello) // eight places, and clients hold no more than they may
	var stay []*client
	for range 6 {
		c := w.dial()
		c.send(look("c=look,t=wide,d=4800"))
		c.want("hello")
		stay = append(stay, c)
	}
	_ = stay[0].SetDeadline(time.Now().Add(5 * time.Second)) // as idle as that, it would be closed later still
	stay[0].closed()
}

func TestThoseWhoSayNothingOrHalfShutNobodyOut(t *testing.T) {
	w := begin(t, 40, hello) // eight places
	for i := range 9 {
		if c := w.dial(); i%2 == 0 {
			c.send("*4\r\n$9\r\nSVC.Q")
		}
	}
	for range 8 {
		c := w.dial()
		c.send(look("c=look,t=wide,d=9000"))
		c.want("hello")
	}
}

func TestAskedToEndItTakesOnForAWhileAndAnswersWhatItHolds(t *testing.T) {
	let := make(chan bool)
	w := begin(t, 1024, func(words []string) string {
		if strings.Contains(words[3], "n=1") {
			<-let
		}
		return standin.Value("hello", 1)
	})
	held, idle := w.dial(), w.dial()
	held.send(look("c=look,t=wide,d=4800,n=1"))
	w.server.Got(t)
	if err := w.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	standin.Eventually(t, "the signal", func() bool { return strings.Contains(w.log.String(), "asked to end") })
	fresh, mum := w.dial(), w.dial()
	for _, c := range []*client{idle, fresh} {
		c.send(look("c=look,t=wide,d=4800"))
		c.want("hello")
	}
	idle.closed()
	fresh.closed()
	mum.closed()
	close(let)
	held.want("hello")
	held.closed()
	if err := w.cmd.Wait(); err != nil {
		t.Errorf("ended with %v: %s", err, w.log)
	}
}

func TestNewConfigurationMovesCounterAndDiscovery(t *testing.T) {
	w := begin(t, 1024, hello)
	c := w.dial()
	w.reload(`{"listen":`, "the new configuration is not taken")
	c.send(look("c=look,t=wide,d=4800"))
	c.want("hello")
	w.counter.Call(t)

	other := standin.NewServer(t, func([]string) string { return standin.Value("other", 1) })
	count, list := standin.NewCounter(t), standin.NewDiscovery(t, standin.Host("s-2", other.Addr, "in_service"))
	w.reload(fmt.Sprintf(told, w.addr, list.Addr, count.Addr, 1024, "null"), "a new configuration")
	for q := ""; !strings.HasPrefix(q, "since=1&"); { // told
		q = <-list.Queries
	}
	for range 3 {
		c.send(look("c=look,t=wide,d=4800"))
		c.want("other")
		count.Call(t)
	}
}

func TestBadStartDataIsOnePlainLine(t *testing.T) {
	for _, config := range []string{"", "{", `{"listen":"127.0.0.1:0"}`,
		fmt.Sprintf(told, "127.0.0.1:0", "127.0.0.1:1", "127.0.0.1:1", 1024, `[]`),
		fmt.Sprintf(told, "nowhere", "127.0.0.1:1", "127.0.0.1:1", 1024, `null`)} {
		cmd, log := launch(t, filepath.Join(t.TempDir(), "config.json"), config)
		err := cmd.Wait()
		if _, exited := err.(*exec.ExitError); !exited || strings.Count(log.String(), "\n") != 1 ||
			!strings.HasPrefix(log.String(), "harrierhoist: ") {
			t.Errorf("%.40q: ended with %v: %q", config, err, log)
		}
	}
}
