package faultinjection

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

// Counter is an emulated counter. It can be held, and then answers nothing.
type Counter struct {
	Addr string

	listener net.Listener
	mu       sync.Mutex
	totals   map[string]float64
	calls    int
	held     sync.RWMutex
}

// NewCounter starts one.
func NewCounter() (*Counter, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &Counter{Addr: l.Addr().String(), listener: l, totals: map[string]float64{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	return c, nil
}

func (c *Counter) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewScanner(conn)
	for in.Scan() {
		var name string
		var units float64
		var incarnation int
		_, err := fmt.Sscanf(in.Text(), "incr %s %g %d", &name, &units, &incarnation)
		c.held.RLock()
		if err != nil {
			_, _ = io.WriteString(conn, "error\r\n")
		} else {
			c.mu.Lock()
			c.calls++
			c.totals[name] += units
			total := c.totals[name]
			c.mu.Unlock()
			_, _ = fmt.Fprintf(conn, "ok %g\r\n", total)
		}
		c.held.RUnlock()
	}
}

// Hold makes it silent until the function given back is called.
func (c *Counter) Hold() (release func()) {
	c.held.Lock()
	return c.held.Unlock
}

// Totals are the counts by name, none forgotten.
func (c *Counter) Totals() map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := map[string]float64{}
	for name, n := range c.totals {
		all[name] = n
	}
	return all
}

// Calls is how many calls came.
func (c *Counter) Calls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// Close ends it.
func (c *Counter) Close() { _ = c.listener.Close() }

// Discovery is an emulated agent of discovery: it lists servers, and tells changes to those that watch.
type Discovery struct {
	Addr string

	server  *http.Server
	mu      sync.Mutex
	seq     int
	entries map[string]string // entries by server
	changed chan struct{}
}

// NewDiscovery starts one with no server.
func NewDiscovery() (*Discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: l.Addr().String(), entries: map[string]string{}, changed: make(chan struct{}), seq: 1}
	d.server = &http.Server{Handler: http.HandlerFunc(d.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = d.server.Serve(l) }()
	return d, nil
}

// Publish lists a server: in_service, terminating or terminated; born is its start, none where it is long ago.
func (d *Discovery) Publish(s *Server, health string, startedAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ms := int64(0)
	if !startedAt.IsZero() {
		ms = startedAt.UnixMilli()
	}
	d.entries[s.Name] = fmt.Sprintf(`{"host":%q,"dial":%q,"site":%q,"class":"m","block":0,"health":%q,`+
		`"share":1.0,"born_ms":%d}`,
		s.Name, s.Addr, s.Zone, health, ms)
	d.seq++
	close(d.changed)
	d.changed = make(chan struct{})
}

// FullList is the list as it stands, in discovery's form.
func (d *Discovery) FullList() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []string
	for _, entry := range d.entries {
		all = append(all, entry)
	}
	return fmt.Sprintf(`{"seq":%d,"whole":true,"hosts":[%s]}`, d.seq, strings.Join(all, ","))
}

func (d *Discovery) serve(w http.ResponseWriter, request *http.Request) {
	since, _ := strconv.Atoi(request.URL.Query().Get("since"))
	ms, _ := strconv.Atoi(request.URL.Query().Get("timeout_ms"))
	d.mu.Lock()
	seq, changed := d.seq, d.changed
	d.mu.Unlock()
	if since >= seq {
		t := time.NewTimer(time.Duration(ms) * time.Millisecond)
		defer t.Stop()
		select {
		case <-changed:
		case <-t.C:
		case <-request.Context().Done():
			return
		}
	}
	_, _ = io.WriteString(w, d.FullList())
}

// Close ends it.
func (d *Discovery) Close() { _ = d.server.Close() }
