package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// discovery is a stand-in for the agent of discovery on a gateway's machine. A watch is answered with
// the whole list once there is a later version than that of the call.
type discovery struct {
	addr string
	http *http.Server

	mu      sync.Mutex
	seq     int
	order   []string
	entries map[string]string
	changed chan struct{}
}

func newDiscovery() (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{addr: listener.Addr().String(), seq: 40, entries: map[string]string{}, changed: make(chan struct{})}
	d.http = &http.Server{Handler: d}
	go func() { _ = d.http.Serve(listener) }()
	return d, nil
}

// publish lists servers, in one change.
func (d *discovery) publish(health string, servers ...*server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range servers {
		born := int64(0)
		if !s.born.IsZero() {
			born = s.born.UnixMilli()
		}
		if d.entries[s.name] == "" {
			d.order = append(d.order, s.name)
		}
		d.entries[s.name] = fmt.Sprintf(`{"host":%q,"dial":%q,"site":%q,"class":"std","block":%d,"health":%q,"share":1.0,"born_ms":%d}`,
			s.name, s.addr, s.hall, s.block, health, born)
	}
	d.seq++
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *discovery) list() string {
	var hosts []string
	for _, name := range d.order {
		hosts = append(hosts, d.entries[name])
	}
	return fmt.Sprintf(`{"seq":%d,"whole":true,"hosts":[%s]}`, d.seq, strings.Join(hosts, ","))
}

// known returns the list in discovery's form.
func (d *discovery) known() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list()
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, err := strconv.Atoi(query.Get("since"))
	if err == nil {
		wait, _ := strconv.Atoi(query.Get("timeout_ms"))
		d.await(r, since, time.Duration(wait)*time.Millisecond)
	}
	d.mu.Lock()
	text := d.list()
	if err == nil && since == d.seq {
		text = fmt.Sprintf(`{"seq":%d,"whole":false,"hosts":[]}`, d.seq)
	}
	d.mu.Unlock()
	_, _ = io.WriteString(w, text)
}

// await waits until the version differs from that of a call, or its time is over.
func (d *discovery) await(r *http.Request, since int, wait time.Duration) {
	d.mu.Lock()
	seq, changed := d.seq, d.changed
	d.mu.Unlock()
	if since != seq {
		return
	}
	select {
	case <-changed:
	case <-time.After(wait):
	case <-r.Context().Done():
	}
}

// counter is a stand-in for the counter. While silent it adds and does not answer.
type counter struct {
	addr string

	mu     sync.Mutex
	totals map[string]*total
	silent bool
	woken  chan struct{}
	delay  time.Duration // before each answer
}

type total struct {
	sum     float64
	expires time.Time
}

func newCounter() (*counter, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &counter{addr: listener.Addr().String(), totals: map[string]*total{}, woken: make(chan struct{})}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	return c, nil
}

func (c *counter) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	for lines := bufio.NewScanner(conn); lines.Scan(); {
		answer := c.answer(lines.Text())
		c.mu.Lock()
		silent, woken := c.silent, c.woken
		c.mu.Unlock()
		time.Sleep(c.delay)
		if silent {
			<-woken
		}
		if _, err := io.WriteString(conn, answer+"\r\n"); err != nil {
			return
		}
	}
}

func (c *counter) answer(line string) string {
	if line == "ping" {
		return "pong"
	}
	words := strings.Fields(line)
	if len(words) != 4 || words[0] != "incr" {
		return "error"
	}
	amount, err1 := strconv.ParseFloat(words[2], 64)
	life, err2 := strconv.ParseInt(words[3], 10, 64)
	if err1 != nil || err2 != nil || life < 1 {
		return "error"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	t := c.totals[words[1]]
	if t == nil || now.After(t.expires) {
		t = &total{expires: now.Add(time.Duration(min(life, 60000)) * time.Millisecond)}
		c.totals[words[1]] = t
	}
	t.sum += amount
	return fmt.Sprintf("ok %.7g", t.sum)
}

// setSilent has the counter answer nothing, or answer again.
func (c *counter) setSilent(silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent && !silent {
		close(c.woken)
		c.woken = make(chan struct{})
	}
	c.silent = silent
}
