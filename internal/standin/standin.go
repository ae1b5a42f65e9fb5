// Package standin holds small stand-ins, for tests, of what a gateway talks with: servers, discovery and the
// counter, each on a loopback address of its own.
package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Listen gives a listener that ends with the test.
func Listen(t testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// Pair is a connection and the other end of it.
func Pair(t testing.TB) (near, far net.Conn) {
	t.Helper()
	l := Listen(t)
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if near, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = far.Close(), near.Close() })
	return near, far
}

// accept hands each connection to a goroutine, until the listener is closed; then it closes them all.
func accept(t testing.TB, l net.Listener, serve func(net.Conn)) {
	var mu sync.Mutex
	var all []net.Conn
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			all = append(all, c)
			mu.Unlock()
			go serve(c)
		}
	}()
	t.Cleanup(func() {
		mu.Lock()
		defer mu.Unlock()
		for _, c := range all {
			_ = c.Close()
		}
	})
}

// Words reads a command as words; it is plain and trusting.
func Words(in *bufio.Reader) ([]string, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return nil, err
	}
	n, _ := strconv.Atoi(strings.TrimSpace(line[1:]))
	var words []string
	for range n {
		if line, err = in.ReadString('\n'); err != nil {
			return nil, err
		}
		size, _ := strconv.Atoi(strings.TrimSpace(line[1:]))
		word := make([]byte, size+2)
		if _, err := io.ReadFull(in, word); err != nil {
			return nil, err
		}
		words = append(words, string(word[:size]))
	}
	return words, nil
}

// Command writes words as a command.
func Command(words ...string) string {
	text := fmt.Sprintf("*%d\r\n", len(words))
	for _, w := range words {
		text += fmt.Sprintf("$%d\r\n%s\r\n", len(w), w)
	}
	return text
}

// Value writes an answer of a server: a value and its cost.
func Value(value string, cost int) string {
	note := fmt.Sprintf("used=10,cost=%d", cost)
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$-1\r\n", len(value), value, len(note), note)
}

// Server answers each command by a function; an empty answer means silence, Hang up closes the connection.
type Server struct {
	Addr  string
	conns chan net.Conn
	got   chan []string
}

// HangUp as an answer closes the connection.
const HangUp = "hang up"

// NewServer starts a server.
func NewServer(t testing.TB, answer func(words []string) string) *Server {
	l := Listen(t)
	s := &Server{Addr: l.Addr().String(), conns: make(chan net.Conn, 1000), got: make(chan []string, 1000)}
	accept(t, l, func(c net.Conn) {
		s.conns <- c
		in := bufio.NewReader(c)
		for {
			words, err := Words(in)
			if err != nil {
				return
			}
			s.got <- words
			text := answer(words)
			if text == HangUp {
				_ = c.Close()
				return
			}
			_, _ = io.WriteString(c, text)
		}
	})
	return s
}

// Conns is how many connections came.
func (s *Server) Conns() int { return len(s.conns) }

// Conn is the next connection that came.
func (s *Server) Conn(t testing.TB) net.Conn { return next(t, s.conns, "connection") }

// Got is the next command that came.
func (s *Server) Got(t testing.TB) []string { return next(t, s.got, "command") }

// Commands is how many commands came and were not looked at.
func (s *Server) Commands() int { return len(s.got) }

// patience is far beyond what anything here takes: who waits so long has failed.
const patience = 20 * time.Second

// Eventually waits until something is seen.
func Eventually(t testing.TB, what string, seen func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !seen(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not seen", what)
		}
	}
}

func next[T any](t testing.TB, from chan T, what string) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(patience):
		t.Fatalf("no %s came", what)
		panic("unreachable")
	}
}

// Discovery lists hosts, and tells changes to those that watch.
type Discovery struct {
	Addr    string
	mu      sync.Mutex
	lists   []string // by version, from 1
	news    chan struct{}
	Queries chan string
}

// Host writes an entry of the list.
func Host(name, dial, health string) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"hall-a","class":"m2","block":1,"health":%q,"share":1.0,"born_ms":0}`,
		name, dial, health)
}

// NewDiscovery starts one with a first list.
func NewDiscovery(t testing.TB, hosts ...string) *Discovery {
	d := &Discovery{news: make(chan struct{}), Queries: make(chan string, 1000)}
	d.Tell(true, hosts...)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.Queries <- r.URL.RawQuery
		since, _ := strconv.Atoi(r.URL.Query().Get("since"))
		d.mu.Lock()
		for since >= len(d.lists) {
			news := d.news
			d.mu.Unlock()
			select {
			case <-news:
			case <-r.Context().Done():
				return
			}
			d.mu.Lock()
		}
		_, _ = io.WriteString(w, d.lists[since])
		d.mu.Unlock()
	}))
	t.Cleanup(server.CloseClientConnections)
	d.Addr = strings.TrimPrefix(server.URL, "http://")
	return d
}

// Tell adds a version.
func (d *Discovery) Tell(whole bool, hosts ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lists = append(d.lists, List(len(d.lists)+1, whole, hosts...))
	close(d.news)
	d.news = make(chan struct{})
}

// List writes a list in discovery's form.
func List(seq int, whole bool, hosts ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":%t,"hosts":[%s]}`, seq, whole, strings.Join(hosts, ","))
}

// Counter adds. While it is held it takes calls and answers none; once let go it answers them all.
type Counter struct {
	Addr   string
	mu     sync.Mutex
	totals map[string]float64
	Calls  chan string
	seen   atomic.Pointer[func(call string)]
}

// NewCounter starts a counter.
func NewCounter(t testing.TB) *Counter {
	l := Listen(t)
	c := &Counter{Addr: l.Addr().String(), totals: map[string]float64{}, Calls: make(chan string, 10000)}
	accept(t, l, func(conn net.Conn) {
		in := bufio.NewScanner(conn)
		for in.Scan() {
			c.Calls <- in.Text()
			if seen := c.seen.Load(); seen != nil {
				(*seen)(in.Text())
			}
			var name string
			var units float64
			var life int
			_, err := fmt.Sscanf(in.Text(), "incr %s %g %d", &name, &units, &life)
			c.mu.Lock()
			if err != nil {
				_, _ = io.WriteString(conn, "error\r\n")
			} else {
				c.totals[name] += units
				_, _ = fmt.Fprintf(conn, "ok %g\r\n", c.totals[name])
			}
			c.mu.Unlock()
		}
	})
	return c
}

// Watch has a function called with each call that comes from now on, before it is answered; it must not wait.
func (c *Counter) Watch(seen func(call string)) { c.seen.Store(&seen) }

// Call is the next call that came.
func (c *Counter) Call(t testing.TB) string { return next(t, c.Calls, "call") }

// Hold makes it silent until the function given back is called.
func (c *Counter) Hold() (letGo func()) {
	c.mu.Lock()
	return c.mu.Unlock
}
