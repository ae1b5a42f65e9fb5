package drill

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

	l      net.Listener
	mu     sync.Mutex
	totals map[string]float64
	calls  int
	held   sync.RWMutex
}

// NewCounter starts one.
func NewCounter() (*Counter, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &Counter{Addr: l.Addr().String(), l: l, totals: map[string]float64{}}
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
		var life int
		_, err := fmt.Sscanf(in.Text(), "incr %s %g %d", &name, &units, &life)
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
func (c *Counter) Hold() (letGo func()) {
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
func (c *Counter) Close() { _ = c.l.Close() }

// Discovery is an emulated agent of discovery: it lists servers, and tells changes to those that watch.
type Discovery struct {
	Addr string

	srv  *http.Server
	mu   sync.Mutex
	seq  int
	list map[string]string // entries by server
	news chan struct{}
}

// NewDiscovery starts one with no server.
func NewDiscovery() (*Discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: l.Addr().String(), list: map[string]string{}, news: make(chan struct{}), seq: 1}
	d.srv = &http.Server{Handler: http.HandlerFunc(d.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = d.srv.Serve(l) }()
	return d, nil
}

// Tell lists a server: in_service, terminating or terminated; born is its start, none where it is long ago.
func (d *Discovery) Tell(s *Server, health string, born time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ms := int64(0)
	if !born.IsZero() {
		ms = born.UnixMilli()
	}
	d.list[s.Name] = fmt.Sprintf(`{"host":%q,"dial":%q,"site":%q,"class":"m","block":0,"health":%q,`+
		`"share":1.0,"born_ms":%d}`,
		s.Name, s.Addr, s.Hall, health, ms)
	d.seq++
	close(d.news)
	d.news = make(chan struct{})
}

// Whole is the list as it stands, in discovery's form.
func (d *Discovery) Whole() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []string
	for _, entry := range d.list {
		all = append(all, entry)
	}
	return fmt.Sprintf(`{"seq":%d,"whole":true,"hosts":[%s]}`, d.seq, strings.Join(all, ","))
}

func (d *Discovery) serve(w http.ResponseWriter, q *http.Request) {
	since, _ := strconv.Atoi(q.URL.Query().Get("since"))
	ms, _ := strconv.Atoi(q.URL.Query().Get("timeout_ms"))
	d.mu.Lock()
	seq, news := d.seq, d.news
	d.mu.Unlock()
	if since >= seq {
		t := time.NewTimer(time.Duration(ms) * time.Millisecond)
		defer t.Stop()
		select {
		case <-news:
		case <-t.C:
		case <-q.Context().Done():
			return
		}
	}
	_, _ = io.WriteString(w, d.Whole())
}

// Close ends it.
func (d *Discovery) Close() { _ = d.srv.Close() }
