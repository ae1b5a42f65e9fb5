package faultinjection

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Discovery is a fake agent of discovery. Each call gets the complete list; a watch gets it with
// the next change or at its end.
type Discovery struct {
	Addr   string
	server *http.Server

	mu      sync.Mutex
	seq     int               // of the list
	entries map[string]string // by server
	changed chan struct{}     // closed with the next change
}

// health is a server's, as discovery names it.
type health string

const inService health = "in_service"

// NewDiscovery starts an agent that lists no server.
func NewDiscovery() (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: listener.Addr().String(), entries: map[string]string{}, changed: make(chan struct{}), seq: 1}
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: time.Minute}
	go func() { _ = d.server.Serve(listener) }() // it ends with Close, which is its error
	return d, nil
}

// Publish lists a server, or changes its entry. Its start is the zero time where it was long ago.
func (d *Discovery) Publish(s *Server, h health, startedAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	millis := int64(0)
	if !startedAt.IsZero() {
		millis = startedAt.UnixMilli()
	}
	d.entries[s.Name] = fmt.Sprintf(`{"host":%q,"dial":%q,"site":%q,"class":"m","block":0,"health":%q,"share":1.0,`+
		`"born_ms":%d}`, s.Name, s.Addr, s.Zone, h, millis)
	d.seq++
	close(d.changed)
	d.changed = make(chan struct{})
}

// FullList returns the complete list in discovery's form.
func (d *Discovery) FullList() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	entries := make([]string, 0, len(d.entries))
	for _, entry := range d.entries {
		entries = append(entries, entry)
	}
	return fmt.Sprintf(`{"seq":%d,"whole":true,"hosts":[%s]}`, d.seq, strings.Join(entries, ","))
}

// ServeHTTP answers a call.
func (d *Discovery) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	since, _ := strconv.Atoi(query.Get("since"))       // none: no watch
	millis, _ := strconv.Atoi(query.Get("timeout_ms")) // none: the watch ends at once
	d.mu.Lock()
	seq := d.seq
	changed := d.changed
	d.mu.Unlock()
	if since >= seq {
		timer := time.NewTimer(time.Duration(millis) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-request.Context().Done():
			return
		}
	}
	_, _ = io.WriteString(response, d.FullList()) // the gateway may have gone
}

// Close ends the agent.
func (d *Discovery) Close() { _ = d.server.Close() } // of a listener on loopback, at a test's end
